"""The table of requests and the life of one: held, running or sharing, then over."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any

from moorusher.scheduling import interface as api

from .answer import Reply
from .clock import MS


class Stage(Enum):
    """How far a request has come."""

    HELD = "held"
    BEGINNING = "beginning"  # the module has started it; others must know before it is commanded
    RUNNING = "running"  # from the command to the kernel until its end is known, calls included
    SHARING = "sharing"  # waits for the result of another try


UNDER_WAY = (Stage.BEGINNING, Stage.RUNNING)  # for the module: it runs


def is_word(text: str, most: int) -> bool:
    """Of the characters that rids and tokens may have. They go on into lines and headers of other protocols: a
    line end in one would let a client write headers of its own."""
    return 0 < len(text) <= most and text.isascii() and all(c.isalnum() or c in "-_.:" for c in text)


@dataclass(slots=True, frozen=True)
class Range:
    """The values that a figure of a request may have, whichever front it comes over. NaN is in none."""

    least: float
    most: float
    above: bool = False  # the least itself is not allowed,
    under: bool = False  # nor the most

    def has(self, value: float) -> bool:
        return (self.least < value if self.above else self.least <= value) and (
            value < self.most if self.under else value <= self.most
        )

    def __str__(self) -> str:
        return f"{'above' if self.above else 'from'} {self.least:g} {'and under' if self.under else 'to'} {self.most:g}"


MEMORY_KB = Range(0, 2_000, above=True, under=True)
RANK = Range(0, 1, under=True)
PEER = Range(0, 2**32, under=True)
UNIX_MS = Range(0, 1e15)
BUDGET_MS = Range(0, 86_400_000)  # nobody waits longer than a day


@dataclass(slots=True, frozen=True)
class Arrival:
    """What a front has read: checked in form, not yet against the settings."""

    rid: str
    klass: str
    body: bytes
    t0_unix_ms: float | None = None  # when it came to the machine, by the sender's word,
    came: int | None = None  # or by the front's clock; else now
    budget_ms: float | None = None
    tenant: str | None = None
    caller: int = 0
    memory_kb: float = 0.0
    rank: float = 0.0
    token: str | None = None
    subject: int | None = None
    is_retry: bool = False
    hint_ms: float | None = None


@dataclass(slots=True, eq=False)
class Request:
    """A request that was taken in, until it is over."""

    number: int  # the module's id of it
    rid: str  # the kernel's
    cls: api.RequestClass  # as it was when this was read: new settings change nothing for what is open
    tenant: str | None
    body: bytes
    came: int  # when it came to the machine, in microseconds of the monotonic clock
    reply: Reply | None  # None once it is answered or the caller has gone
    tag: int
    arrival: Arrival
    key: tuple[str | None, str] | None = None
    stage: Stage = Stage.HELD
    repeats: int | None = None
    first: bool = False  # a first try, as far as is known yet, that has not been counted
    ruling: Any = None  # `routes.Ruling`: by the rules under which it was read

    @property
    def due(self) -> int:
        """When its caller stops waiting, in microseconds of the monotonic clock."""
        budget_ms, deadline_ms = self.arrival.budget_ms, self.cls.deadline_ms
        return self.came + round(min(deadline_ms, deadline_ms if budget_ms is None else budget_ms) * MS)


class Table:
    """Requests that are owed an answer or whose run is not over, by both of their names."""

    def __init__(self) -> None:
        self.by_number: dict[int, Request] = {}
        self.by_rid: dict[str, Request] = {}
        self._next = 1

    def number(self) -> int:
        n = self._next
        self._next = n % 0xFFFF_FFFF + 1
        return n

    def add(self, request: Request) -> None:
        self.by_number[request.number] = request
        self.by_rid[request.rid] = request

    def remove(self, request: Request) -> None:
        self.by_number.pop(request.number, None)
        if self.by_rid.get(request.rid) is request:
            del self.by_rid[request.rid]

    def __len__(self) -> int:
        return len(self.by_number)
