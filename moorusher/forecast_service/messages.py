"""What runners say to each other about demand."""

from __future__ import annotations

from ..forecasting.demand import Key, Part
from ..replication.messages import Said, spoken

PART = "forecast"  # of `fleet.messages.For`


class Report(Said, frozen=True, tag="report"):
    """What a member has counted since its last report that was kept."""

    serial: int
    parts: list[Part]


class Took(Said, frozen=True, tag="took"):
    """A majority has what that report said: by (bucket, until when it had counted)."""

    serial: int
    told: list[tuple[int, int]]


class Elsewhere(Said, frozen=True, tag="elsewhere"):
    """To who has reported: another has the forecast, as far as is known here; "" where that is not."""

    serial: int
    seat: str


class Ask(Said, frozen=True, tag="ask"):
    """What is forecast for that customer; "" for all."""

    serial: int
    customer: str


class Past(Said, frozen=True, tag="past"):
    """Hours of one route that were counted elsewhere."""

    key: Key
    first: int
    asked: list[int]
    core_us: float
    worth: float


class Load(Said, frozen=True, tag="load"):
    """Counts of the past, brought by an operator."""

    serial: int
    past: list[Past]


class Told(Said, frozen=True, tag="told"):
    """JSON; `error` and `what` where there is nothing to tell."""

    serial: int
    body: bytes
    error: str = ""
    what: str = ""


encode, decode = spoken(Report | Took | Elsewhere | Ask | Load | Told)
