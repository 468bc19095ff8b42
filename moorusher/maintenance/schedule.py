r"""Who asked to go out, who is out, and how it stands with each: one value for the whole fleet.

    waiting -> DRAINING -> OUT -> BACK -> (over)
       ^          |                 \-> ASIDE, where it came back and died again
       \----------/ it could not be drained, its process ended, or an operator holds everything

A machine counts as out from its grant on until its turn is over. DRAINING can be taken back by anybody; OUT by nobody:
its operator has been told that it may be worked on, and may begin at any later time.
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import Enum

import msgspec

from ..membership.placement import CLUSTER_KEY_PREFIX

KEY = CLUSTER_KEY_PREFIX + b"outages"


class Stage(Enum):
    """How far a machine's turn has come."""

    DRAINING = 0  # granted: it hands over what has not begun, and ends what has
    OUT = 1  # told that it may go
    BACK = 2  # a later process of it is there; cold, or without its memory
    ASIDE = 3  # a person must look; it counts as out


class Ends(Enum):
    """What proves that the work on a machine is over."""

    BOOT = 0  # a process on a later start of the machine: whoever was told on that machine is gone with the earlier one
    DONE = 1  # an operator's word alone. A later process proves nothing: who was told may not have begun yet


class How(Enum):
    """A turn, or an ask of which no turn is left, came to an end so."""

    DONE = 0
    WITHDRAWN = 1
    GIVEN_UP = 2  # by an operator's word, before it was back


class Ask(msgspec.Struct, frozen=True, array_like=True):
    """Times are seconds of the Unix clock of whoever wrote them: they set the order, and nothing rests on them."""

    id: str
    reason: str
    by: str
    lasts_s: float
    asked_s: float
    not_before_s: float = 0.0
    due_s: float = 0.0  # none, where 0
    priority: int = 0
    together: bool = False  # with others of its zone, as far as the bounds go
    ends: int = Ends.BOOT.value
    waiting: tuple[str, ...] = ()
    held: tuple[tuple[str, str], ...] = ()  # seats that a person must look at, with the reason
    done: int = 0
    bound: str = ""  # to who waits on the machine, by what its file said then: on a later start nobody does

    def same(self, other: Ask) -> bool:
        """What was asked for, whatever has become of it."""
        return (
            self.reason,
            self.lasts_s,
            self.not_before_s,
            self.due_s,
            self.priority,
            self.together,
            self.ends,
        ) == (
            other.reason,
            other.lasts_s,
            other.not_before_s,
            other.due_s,
            other.priority,
            other.together,
            other.ends,
        )


class Turn(msgspec.Struct, frozen=True, array_like=True):
    """`number`: of the change that granted it. `inc`: the process that drains, was told to go, or came back."""

    seat: str
    ask: str
    number: int
    stage: int = Stage.DRAINING.value
    inc: int = 0
    since_s: float = 0.0
    mark: str = ""  # what the machine's own file said as it was told to go
    settings: str = ""  # digest of its settings then
    lasts_s: float = 0.0
    ends: int = Ends.BOOT.value
    tries: int = 0  # grants before this one that came to nothing
    falls: int = 0  # times it came back and ended again
    note: str = ""

    @property
    def at(self) -> Stage:
        return Stage(self.stage)


class Ended(msgspec.Struct, frozen=True, array_like=True):
    """A turn that is over, as it is remembered."""

    ask: str
    seat: str  # "" for the ask as a whole
    how: int
    at_s: float
    note: str = ""


class Roster(msgspec.Struct, frozen=True, array_like=True):
    """Everything about outages: asks, turns, holds, and what is over."""

    number: int = 0  # grows with each change
    hold: str = ""  # why nobody goes
    asks: tuple[Ask, ...] = ()
    turns: tuple[Turn, ...] = ()
    ended: tuple[Ended, ...] = ()  # the last ones
    tried: tuple[tuple[str, str, int], ...] = ()  # (ask, seat, grants that came to nothing), while they wait

    def ask(self, id: str) -> Ask | None:
        return next((a for a in self.asks if a.id == id), None)

    def turn(self, seat: str) -> Turn | None:
        return next((t for t in self.turns if t.seat == seat), None)

    def waits(self) -> Iterator[tuple[Ask, str]]:
        for ask in self.asks:
            for seat in ask.waiting:
                yield ask, seat

    def is_over(self, id: str) -> bool:
        return any(e.ask == id and not e.seat for e in self.ended)

    def last(self, id: str, seat: str) -> Ended | None:
        """How the seat's part of the ask ended, where that is still known."""
        return next((e for e in reversed(self.ended) if e.ask == id and e.seat in (seat, "")), None)

    def tries(self, id: str, seat: str) -> int:
        return next((n for a, s, n in self.tried if (a, s) == (id, seat)), 0)


EMPTY = Roster()
_encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(Roster)


def pack(roster: Roster) -> bytes:
    """A roster as the value of its register."""
    return _encode(roster)


def unpack(value: bytes | None) -> Roster:
    """The roster in a register."""
    return EMPTY if value is None else _decoder.decode(value)
