"""Events about keyed work that a node sends to its runner through `NodeHost.notify`."""

from __future__ import annotations

from dataclasses import dataclass

from .work_record import KeyDigest


@dataclass(frozen=True, slots=True)
class WorkEvent:
    """The base class of all events; each is about one key."""

    key: KeyDigest


# ---- results of a claim: exactly one of these events, or a `ResultKnown`, follows each claim ----


@dataclass(frozen=True, slots=True)
class ClaimGranted(WorkEvent):
    """This runner owns the key and should queue its request."""


@dataclass(frozen=True, slots=True)
class ClaimJoined(WorkEvent):
    """Another runner owns the key; its result follows."""


@dataclass(frozen=True, slots=True)
class BodyDiffers(WorkEvent):
    """The key was used with another body; the request should be rejected."""


@dataclass(frozen=True, slots=True)
class ClaimUncovered(WorkEvent):
    """No majority of the key's replicas answered.

    Attributes:
        reason: Text for the caller.
        proven: Whether it is certain that no replica has accepted the claim.
    """

    reason: str
    proven: bool


# ---- results of a start: exactly one of these events follows each start ----


@dataclass(frozen=True, slots=True)
class StartConfirmed(WorkEvent):
    """The start is recorded, and the run should be commanded now."""


@dataclass(frozen=True, slots=True)
class StartLost(WorkEvent):
    """Another runner has taken the work over, so this one must not run it. `ResultKnown` follows."""


@dataclass(frozen=True, slots=True)
class StartUncovered(WorkEvent):
    """No majority of the key's replicas answered; the work must not run.

    Attributes:
        reason: Text for the caller.
    """

    reason: str


# ---- work of another runner ----


@dataclass(frozen=True, slots=True)
class ResultKnown(WorkEvent):
    """Another runner's work has ended.

    Attributes:
        result: Result of the run; None if it has none or the result can't be determined.
    """

    result: bytes | None


@dataclass(frozen=True, slots=True)
class RejectedByAll(WorkEvent):
    """Every runner that could run the work has rejected the work, so the work has not run."""


@dataclass(frozen=True, slots=True)
class HandedOver(WorkEvent):
    """This runner has handed over queued work and should remove the work from its queue. `ResultKnown` follows."""


@dataclass(frozen=True, slots=True)
class KeyForgotten(WorkEvent):
    """The node has deleted its state of the key; no more events about the key follow."""


@dataclass(frozen=True, slots=True)
class WorkInHand:
    """A runner's state of the work of a key.

    Attributes:
        in_hand: Whether the work is queued or running here.
        finished: Whether the run has ended here.
        result: Result of the run, or None.
    """

    in_hand: bool
    finished: bool = False
    result: bytes | None = None
