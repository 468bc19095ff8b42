"""What a node tells its runner about keyed work: one dataclass for each instruction, sent through `NodeHost.notify`."""

from __future__ import annotations

from dataclasses import dataclass

from .work_record import KeyDigest


@dataclass(frozen=True, slots=True)
class WorkEvent:
    """The base: something is settled about a key."""

    key: KeyDigest


# ---- the end of a claim: exactly one of these, or a `ResultKnown`, follows it ----


@dataclass(frozen=True, slots=True)
class ClaimGranted(WorkEvent):
    """The key is this runner's: queue its request."""


@dataclass(frozen=True, slots=True)
class ClaimJoined(WorkEvent):
    """Another runner has the key: wait for its result."""


@dataclass(frozen=True, slots=True)
class BodyDiffers(WorkEvent):
    """The key was used with another body: reject the request."""


@dataclass(frozen=True, slots=True)
class ClaimUncovered(WorkEvent):
    """No majority of the key's replicas answers. `proven`: nobody else can know of this claim."""

    reason: str
    proven: bool


# ---- the end of a start: exactly one of these follows it ----


@dataclass(frozen=True, slots=True)
class StartConfirmed(WorkEvent):
    """A majority knows that the work has started: command the run now."""


@dataclass(frozen=True, slots=True)
class StartLost(WorkEvent):
    """Another runner has taken the work over: do not run it. `ResultKnown` follows."""


@dataclass(frozen=True, slots=True)
class StartUncovered(WorkEvent):
    """No majority of the key's replicas answers: do not run it."""

    reason: str


# ---- work that is another runner's ----


@dataclass(frozen=True, slots=True)
class ResultKnown(WorkEvent):
    """Another runner's work is over. `result` is None where it ended without one, or none can be known."""

    result: bytes | None


@dataclass(frozen=True, slots=True)
class RejectedByAll(WorkEvent):
    """Every runner that could run the work has rejected it; it never ran."""


@dataclass(frozen=True, slots=True)
class HandedOver(WorkEvent):
    """Work that was held here is another's now: drop it from the queue. `ResultKnown` follows."""


@dataclass(frozen=True, slots=True)
class KeyForgotten(WorkEvent):
    """Nothing more is said of the key."""


@dataclass(frozen=True, slots=True)
class WorkInHand:
    """What a runner knows of a key.

    Attributes:
        in_hand: `bool`, queued or running here.
        finished: `bool`.
        result: `bytes`, where it finished with one.
    """

    in_hand: bool
    finished: bool = False
    result: bytes | None = None
