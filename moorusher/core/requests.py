"""A request from its arrival until it is over, and the table of those that are open."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any

from moorusher.scheduling import interface as api
from moorusher.time_units import MS

from .answer import Reply

MAX_REQUEST_NUMBER = 0xFFFF_FFFF  # then the numbering starts again at 1
MAX_REQUEST_ID_LENGTH = 64
MAX_TOKEN_LENGTH = 128


class RequestStage(Enum):
    """How far a request has come."""

    QUEUED = "queued"  # the scheduler, or who has a say in its key, has not decided yet
    STARTING = "starting"  # the scheduler has started it; a majority must know before the kernel is commanded
    RUNNING = "running"  # from the command to the kernel until its end is known, calls included
    AWAITING_SHARED_RESULT = "awaiting shared result"  # waits for the result of an earlier attempt


STARTED_STAGES = (RequestStage.STARTING, RequestStage.RUNNING)  # for the scheduler, it runs


def is_identifier(text: str, max_length: int) -> bool:
    """Whether a text has only the characters allowed in request ids and idempotency tokens, and at most so many.

    They are passed on in lines and headers of other protocols: with a line end in one, a client could inject headers.
    """
    return 0 < len(text) <= max_length and text.isascii() and all(c.isalnum() or c in "-_.:" for c in text)


@dataclass(slots=True, frozen=True)
class ValueRange:
    """The values that a number in a request may have, whichever frontend reads it. NaN is in no range."""

    minimum: float
    maximum: float
    excludes_minimum: bool = False
    excludes_maximum: bool = False

    def contains(self, value: float) -> bool:
        """Whether the value is in the range."""
        above = self.minimum < value if self.excludes_minimum else self.minimum <= value
        return above and (value < self.maximum if self.excludes_maximum else value <= self.maximum)

    def __str__(self) -> str:
        lower = "above" if self.excludes_minimum else "from"
        upper = "and under" if self.excludes_maximum else "to"
        return f"{lower} {self.minimum:g} {upper} {self.maximum:g}"


MEMORY_KB = ValueRange(0, 2_000, excludes_minimum=True, excludes_maximum=True)
RANK = ValueRange(0, 1, excludes_maximum=True)
PEER = ValueRange(0, 2**32, excludes_maximum=True)
UNIX_MS = ValueRange(0, 1e15)
BUDGET_MS = ValueRange(0, 86_400_000)  # nobody waits longer than a day


@dataclass(slots=True, frozen=True)
class Arrival:
    """What a frontend has read: checked in form, not yet against the settings.

    Attributes:
        rid: the id of the request, unique among those that are open.
        class_name: the class of requests that the caller names.
        t0_unix_ms: when it came to the machine, by the sender's clock.
        arrived_us: the same by the engine's clock; None for now.
        budget_ms: how long its caller waits, from its arrival.
        caller: the number of the front end that sent it.
        memory_kb: what it takes while it is open.
        token: the idempotency key's part that the caller chooses.
        subject: the user or session that the request is for.
        is_retry: the sender says that there was an earlier attempt.
        cost_hint_ms: the sender's estimate of its service time.
    """

    rid: str
    class_name: str
    body: bytes
    t0_unix_ms: float | None = None
    arrived_us: int | None = None
    budget_ms: float | None = None
    tenant: str | None = None
    caller: int = 0
    memory_kb: float = 0.0
    rank: float = 0.0
    token: str | None = None
    subject: int | None = None
    is_retry: bool = False
    cost_hint_ms: float | None = None


@dataclass(slots=True, eq=False)
class Request:
    """A request that was registered, until it is over.

    Attributes:
        number: its id for the scheduler, the key table and the calls.
        rid: its id for the kernel and in the log.
        request_class: as it was when the request was read: new settings change nothing for what is open.
        arrived_us: when it came to the machine, by the engine's clock.
        reply: where the answer is owed; None once it is answered or its caller has gone.
        tag: what `reply` knows the request by.
        key: tenant and token, where its class is idempotent by key.
        retry_of: the number of the attempt that holds its key.
        uncounted: a first attempt, as far as is known yet, that has not been counted as demand.
        stop_requested: the scheduler has stopped it while it was `STARTING`.
        ruling: a `routes.Ruling`, by the rules under which it was read.
    """

    number: int
    rid: str
    request_class: api.RequestClass
    tenant: str | None
    body: bytes
    arrived_us: int
    reply: Reply | None
    tag: int
    arrival: Arrival
    key: tuple[str | None, str] | None = None
    stage: RequestStage = RequestStage.QUEUED
    retry_of: int | None = None
    uncounted: bool = False
    stop_requested: bool = False
    ruling: Any = None

    @property
    def deadline_us(self) -> int:
        """When its caller stops waiting, by the engine's clock."""
        wait_ms = self.request_class.deadline_ms
        budget_ms = self.arrival.budget_ms
        if budget_ms is not None:
            wait_ms = min(wait_ms, budget_ms)
        return self.arrived_us + round(wait_ms * MS)


class RequestTable:
    """The requests that are owed an answer or whose run is not over, by number and by request id."""

    def __init__(self) -> None:
        self.by_number: dict[int, Request] = {}
        self.by_rid: dict[str, Request] = {}
        self._next_number = 1

    def __len__(self) -> int:
        return len(self.by_number)

    def take_number(self) -> int:
        """A number that no open request has."""
        number = self._next_number
        self._next_number = number % MAX_REQUEST_NUMBER + 1
        return number

    def add(self, request: Request) -> None:
        """Enter a request."""
        self.by_number[request.number] = request
        self.by_rid[request.rid] = request

    def remove(self, request: Request) -> None:
        """The request is over."""
        self.by_number.pop(request.number, None)
        if self.by_rid.get(request.rid) is request:
            del self.by_rid[request.rid]

    @property
    def unanswered(self) -> int:
        """How many requests are owed an answer."""
        return sum(request.reply is not None for request in self.by_number.values())

    def queued(self, now: int) -> tuple[int, int]:
        """How many requests are queued, and the age of the oldest of them in us."""
        arrivals = [r.arrived_us for r in self.by_number.values() if r.stage is RequestStage.QUEUED]
        return len(arrivals), max(0, now - min(arrivals)) if arrivals else 0

    def memory_kb(self, run_memory_factor: float) -> float:
        """About what the open requests take in the kernel; one that runs takes `run_memory_factor` times as much."""
        return sum(
            request.arrival.memory_kb * (run_memory_factor if request.stage is RequestStage.RUNNING else 1.0)
            for request in self.by_number.values()
        )
