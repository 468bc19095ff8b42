"""What runners say to each other about demand."""

from __future__ import annotations

from ..forecasting.demand import Key, Part
from ..replication.messages import ComponentPayload, component_codec

PART = "forecast"  # of `fleet.messages.For`


class Report(ComponentPayload, frozen=True, tag="report"):
    """What a member has counted since its last report that was kept."""

    serial: int
    parts: list[Part]


class Took(ComponentPayload, frozen=True, tag="took"):
    """A majority has what that report said: by (bucket, until when it had counted)."""

    serial: int
    told: list[tuple[int, int]]


class Elsewhere(ComponentPayload, frozen=True, tag="elsewhere"):
    """To who has reported: another has the forecast, as far as is known here; "" where that is not."""

    serial: int
    seat: str


class Ask(ComponentPayload, frozen=True, tag="ask"):
    """What is forecast for that customer; "" for all."""

    serial: int
    customer: str


class Past(ComponentPayload, frozen=True, tag="past"):
    """Hours of one route that were counted elsewhere."""

    key: Key
    first: int
    asked: list[int]
    core_us: float
    worth: float


class Load(ComponentPayload, frozen=True, tag="load"):
    """Counts of the past, brought by an operator."""

    serial: int
    past: list[Past]


class Told(ComponentPayload, frozen=True, tag="told"):
    """JSON; `error` and `what` where there is nothing to tell."""

    serial: int
    body: bytes
    error: str = ""
    what: str = ""


encode, decode = component_codec(Report | Took | Elsewhere | Ask | Load | Told)
