"""The kinds of effect that there are. An owner does something by handing one of these to its `Ownership`: each states
how an owner of before is kept from doing harm with it, and there is no other way out.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from .errors import DutyError
from .fencing_token import Fence
from .lease_record import Intent, Settle


@dataclass(frozen=True, slots=True)
class OnFleet:
    """The duty's own state, in its register: refused by the majority where the term is over."""

    state: bytes


@dataclass(frozen=True, slots=True)
class LatestState:
    """The same, read when its turn comes: after the effects that were under way when it was asked for."""

    read: Callable[[], bytes]


@dataclass(frozen=True, slots=True)
class Fenced:
    """At a receiver that compares: see `fence`."""

    to: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Once:
    """At a receiver that can't compare: the intent is chosen first. `what`: at most `post.MOST_WHAT` bytes."""

    to: str
    what: bytes
    settle: Settle


Effect = OnFleet | LatestState | Fenced | Once


@dataclass(frozen=True, slots=True)
class Made:
    """What became of it. `done` is False for an intent that was settled as never done."""

    fence: Fence
    answer: bytes = b""
    done: bool = True


@dataclass(frozen=True, slots=True)
class Told:
    """What a receiver has said. None of it counts for more than it says: a lost answer is no answer."""

    heard: bool
    done: bool = False
    answer: bytes = b""
    highest: Fence | None = None  # it knows of later work


Outcome = Made | DutyError
__all__ = ["Effect", "Fence", "Fenced", "Intent", "LatestState", "Made", "OnFleet", "Once", "Outcome", "Told"]
