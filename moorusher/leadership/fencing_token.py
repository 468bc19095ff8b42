"""What goes along with everything that is done outside for a duty, and the rule of a receiver that can compare.

A receiver keeps, for each duty, the highest fence that it has taken, on a disk, *before* it acts: what comes below it
is of an owner whose time is over, what is equal was done already.
"""

from __future__ import annotations

from enum import Enum

import msgspec


class Fence(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Made only of a number that a majority has chosen. Compared in this order."""

    born: int
    term: int
    number: int


class Verdict(Enum):
    """What a receiver makes of a fence."""

    NEW = "new"  # to be done
    AGAIN = "again"  # it was: answer as then
    BEHIND = "behind"  # refused, with the highest


def judge(highest: Fence | None, fence: Fence) -> Verdict:
    """Compare a fence with the highest that a receiver knows."""
    if highest is None or fence > highest:
        return Verdict.NEW
    return Verdict.AGAIN if fence == highest else Verdict.BEHIND
