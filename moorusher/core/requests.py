"""Requests, their stages, and the table of open requests."""

from __future__ import annotations

import string
from dataclasses import dataclass
from enum import Enum
from typing import Any

from moorusher.scheduling import interface as api
from moorusher.time_units import MS

from .answer import Reply

MAX_REQUEST_NUMBER = 0xFFFF_FFFF  # numbering restarts at 1 after it
MAX_REQUEST_ID_LENGTH = 64
MAX_TOKEN_LENGTH = 128
MAX_SUBJECT_DIGITS = 16  # 64 bits, which requests have room for on the wire between runners and on disk
HEX_DIGITS = frozenset(string.hexdigits)


class RequestStage(Enum):
    """Stage of an open request."""

    # Waits for the claim of its key or for the scheduler's decision.
    QUEUED = "queued"
    # Started by the scheduler; waits until a majority of the cluster acknowledges the start.
    STARTING = "starting"
    # The kernel has been commanded to run the request, and the run has not ended.
    RUNNING = "running"
    # Waits for the result of an earlier attempt.
    AWAITING_SHARED_RESULT = "awaiting shared result"


STARTED_STAGES = (RequestStage.STARTING, RequestStage.RUNNING)  # stages that the scheduler counts as running


def is_identifier(text: str, max_length: int) -> bool:
    """Return whether a text is valid as a request id or idempotency token of at most `max_length` characters.

    Both are copied into lines and headers of other protocols. A line end in one would let a client inject headers.
    """
    return 0 < len(text) <= max_length and text.isascii() and all(c.isalnum() or c in "-_.:" for c in text)


def parse_subject(text: str) -> int:
    """Return the number of a subject, given in hex digits.

    :raises ValueError: The text is empty, too long or has other characters.
    """
    if not 0 < len(text) <= MAX_SUBJECT_DIGITS or not set(text) <= HEX_DIGITS:
        raise ValueError(f"expected 1 to {MAX_SUBJECT_DIGITS} hex digits")
    return int(text, 16)


@dataclass(slots=True, frozen=True)
class ValueRange:
    """Range of valid values for a number in a request, shared by all frontends. NaN is in no range."""

    minimum: float
    maximum: float
    excludes_minimum: bool = False
    excludes_maximum: bool = False

    def contains(self, value: float) -> bool:
        """Return whether the value is in the range."""
        satisfies_minimum = self.minimum < value if self.excludes_minimum else self.minimum <= value
        return satisfies_minimum and (
            value < self.maximum if self.excludes_maximum else value <= self.maximum
        )

    def __str__(self) -> str:
        lower = "above" if self.excludes_minimum else "from"
        upper = "and under" if self.excludes_maximum else "to"
        return f"{lower} {self.minimum:g} {upper} {self.maximum:g}"


MEMORY_KB_RANGE = ValueRange(0, 2_000, excludes_minimum=True, excludes_maximum=True)
RANK_RANGE = ValueRange(0, 1, excludes_maximum=True)
PEER_RANGE = ValueRange(0, 2**32, excludes_maximum=True)
UNIX_MS_RANGE = ValueRange(0, 1e15)
BUDGET_MS_RANGE = ValueRange(0, 86_400_000)  # at most one day


@dataclass(slots=True, frozen=True)
class Arrival:
    """A request as read by a frontend: syntactically valid, not yet checked against the settings.

    Attributes:
        rid: Request id, unique among the open requests.
        class_name: Name of the request class.
        body: Input of the run.
        t0_unix_ms: Time of arrival that the sender states, by the sender's clock.
        arrived_us: Time when its first byte was read, by the engine's clock; None for the current time.
        budget_ms: Time that the caller waits, from the arrival.
        tenant: Name of the tenant.
        caller: Number of the front end that sent the request.
        memory_kb: Memory that the request takes while it is open.
        rank: Rank by which front ends select requests, see `SignalKind.FLOOR`.
        token: Caller's part of the idempotency key.
        subject: User or session that the request is for.
        is_retry: Whether the sender reports an earlier attempt.
        cost_hint_ms: Sender's estimate of the service time.
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
    """A registered, open request.

    Attributes:
        number: Id of the request for the scheduler, the key table and the calls.
        rid: Id of the request for the kernel and in the log.
        request_class: Class as of the time of arrival; new settings don't affect open requests.
        tenant: Name of the tenant; None if the settings define no tenants.
        body: Input of the run.
        arrived_us: Time of arrival by the engine's clock: as stated by the sender, else when it was read.
        reply: Receives the answer; None once it is sent or the caller has disconnected.
        tag: Identifies the request to `reply`.
        arrival: The request as read by the frontend.
        key: Tenant and token, if the class has idempotency keys.
        stage: Current stage.
        retry_of: Number of the attempt that has the key; None for a first attempt.
        uncounted: Whether the request seems to be a first attempt and has not been counted as demand.
        stop_requested: Whether the scheduler has stopped the request while it was `STARTING`.
        ruling: Decision (`routes.Ruling`) of the rules that applied when the request was read, or None.
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
        """Time at which the caller stops waiting, by the engine's clock."""
        wait_ms = self.request_class.deadline_ms
        budget_ms = self.arrival.budget_ms
        if budget_ms is not None:
            wait_ms = min(wait_ms, budget_ms)
        return self.arrived_us + round(wait_ms * MS)


class RequestTable:
    """Requests that are unanswered or still running, by number and by request id."""

    def __init__(self) -> None:
        self.by_number: dict[int, Request] = {}
        self.by_rid: dict[str, Request] = {}
        self._next_number = 1

    def __len__(self) -> int:
        return len(self.by_number)

    def allocate_number(self) -> int:
        """Return the next number. Numbers repeat only after `MAX_REQUEST_NUMBER` others."""
        number = self._next_number
        self._next_number = number % MAX_REQUEST_NUMBER + 1
        return number

    def add(self, request: Request) -> None:
        """Add a request."""
        self.by_number[request.number] = request
        self.by_rid[request.rid] = request

    def remove(self, request: Request) -> None:
        """Remove a request that has ended."""
        self.by_number.pop(request.number, None)
        if self.by_rid.get(request.rid) is request:
            del self.by_rid[request.rid]

    @property
    def unanswered(self) -> int:
        """Number of unanswered requests."""
        return sum(request.reply is not None for request in self.by_number.values())

    def queued(self, now: int) -> tuple[int, int]:
        """Return the number of queued requests, and the age of the oldest of them in us."""
        arrivals = [r.arrived_us for r in self.by_number.values() if r.stage is RequestStage.QUEUED]
        return len(arrivals), max(0, now - min(arrivals)) if arrivals else 0

    def memory_kb(self, run_memory_factor: float) -> float:
        """Estimate the memory of the open requests. A run multiplies a request's memory by `run_memory_factor`."""
        return sum(
            request.arrival.memory_kb * (run_memory_factor if request.stage is RequestStage.RUNNING else 1.0)
            for request in self.by_number.values()
        )
