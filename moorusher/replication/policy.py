"""What the operator's file says of a fleet. Imports nothing: it is read where there is no fleet, too."""

from __future__ import annotations

from dataclasses import dataclass

MAX_SEATS = 1_000


@dataclass(frozen=True, slots=True)
class Seat:
    """A place in the fleet: a process that replaces another takes the same one."""

    name: str
    address: tuple[str, int]
    zone: str = ""
    group: str = ""  # machines that are not to be out together: a rack, a switch


@dataclass(frozen=True, slots=True)
class Policy:
    """Figures of `[fleet]`."""

    claim_ms: float = 250.0  # a key whose majority has not answered by then is uncovered
    copies: int = 3
    alone: bool = False  # uncovered keyed requests are served as by a runner without a fleet; else refused
