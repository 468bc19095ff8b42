"""What a machine has to do about its own turn, from what the roster says and how it is itself. No step of it is taken
before the roster says so; what it writes is refused where the roster has gone on."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from .policy import Policy
from .schedule import Ends, Stage, Turn
from .transitions import Accept, Change, GiveBack, Go, Return, Warm


class Doing(Enum):
    """What the machine does meanwhile."""

    SERVES = "serves"
    DRAINS = "drains"  # takes nothing new, hands over what has not begun
    GONE = "may go"  # drained, and its operator is told
    RETURNS = "returns"  # serves, and is not yet what it was


@dataclass(frozen=True, slots=True)
class Own:
    """This process. `fresh`: it does not replace a running one. `mark`: what the machine's file said at its start."""

    seat: str
    inc: int
    fresh: bool
    mark: str
    settings: str
    drained: bool = False
    out: int = 1  # machines out, this one included
    draining_us: int = 0  # since it began to
    back_us: int = 0  # since it came back
    warm: bool = False
    whole: bool = False


@dataclass(frozen=True, slots=True)
class Do:
    """What this machine has to do now."""

    doing: Doing
    change: Change | None = None
    late: str = ""  # said loudly, once


def proves(turn: Turn, own: Own) -> bool:
    """Whether this process can only be there as the work is over."""
    return turn.ends == Ends.BOOT.value and bool(own.mark) and own.mark != turn.mark


def decide(turn: Turn | None, own: Own, policy: Policy, now_s: float) -> Do:
    """`turn`: of this machine's seat, as last known; `now_s`: Unix time, to be written down and no more."""
    if turn is None:
        return Do(Doing.SERVES)
    if turn.at is Stage.DRAINING:
        return _drains(turn, own, policy, now_s)
    if turn.at is Stage.OUT:
        if proves(turn, own):
            return Do(Doing.RETURNS, Return(turn, own.inc, now_s, own.settings))
        late = ""
        if now_s - turn.since_s > policy.go_s:
            late = (
                f"told to go {now_s - turn.since_s:.0f} s ago, and up, on the same start: it counts as out until "
                "it has gone and is back, or `moorusher outage done` is said of it"
            )
        return Do(Doing.GONE, None, late)
    if turn.at is Stage.ASIDE:
        return Do(Doing.RETURNS, None, turn.note)
    return _is_back(turn, own, policy, now_s)


def _drains(turn: Turn, own: Own, policy: Policy, now_s: float) -> Do:
    if (
        own.out > policy.most
    ):  # whoever granted it goes by a file that says more; that is no fault of this machine
        return Do(
            Doing.SERVES,
            GiveBack(
                turn, own.inc, f"{own.out} are out, and {policy.most} may be by its own file", counts=False
            ),
        )
    if turn.inc != own.inc:
        if turn.inc and own.fresh:
            return Do(Doing.SERVES, GiveBack(turn, own.inc, "its process ended while it drained"))
        return Do(Doing.DRAINS, Accept(turn, own.inc))
    if own.drained:
        return Do(Doing.DRAINS, Go(turn, own.inc, policy.most, now_s, own.mark, own.settings))
    if own.draining_us > policy.drain_s * 1e6:
        return Do(Doing.DRAINS, GiveBack(turn, own.inc, f"not drained within {policy.drain_s:g} s"))
    return Do(Doing.DRAINS)


def _is_back(turn: Turn, own: Own, policy: Policy, now_s: float) -> Do:
    if turn.inc != own.inc:
        if own.fresh:
            return Do(Doing.RETURNS, Return(turn, own.inc, now_s, own.settings))
        return Do(Doing.RETURNS, Accept(turn, own.inc))
    if own.warm and (own.whole or own.back_us > policy.back_s * 1e6):
        return Do(Doing.RETURNS, Warm(turn, own.inc, now_s, policy.most_kept))
    late = ""
    if own.back_us > policy.back_s * 1e6:
        late = f"back for {own.back_us / 1e6:.0f} s, and still cold"
    return Do(Doing.RETURNS, None, late)
