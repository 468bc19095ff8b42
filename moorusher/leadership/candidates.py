"""Who should have a duty: rendezvous hashing over who is fit, and nobody far above the mean.

Thaler and Ravishankar 1998, with bounded loads (Mirrokni, Thorup and Zadimoghaddam 2018): each duty has an order of all
seats of its own; it goes to the first one that is not full. Sticky: who has one keeps it, unless it has far too many.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import ceil

import xxhash

from ..membership.placement import rendezvous_score
from ..replication.work_record import Key

ROOM = 1.25  # times the mean that one may be given,
TOO_MANY = 1.5  # and more than which it gives some up


@dataclass(frozen=True, slots=True)
class Seen:
    """Of a member, as it says itself."""

    seat: str
    fit: bool
    has: int  # duties
    keeps: int  # registers of duties
    steady: bool = True


def mean(seen: Iterable[Seen], copies: int) -> float:
    """Duties for each fit member. Each duty's register is kept `copies` times, whoever has the duty."""
    every = list(seen)
    fit = sum(m.fit for m in every)
    return sum(m.keeps for m in every) / max(1, copies) / max(1, fit)


def room(of_mean: float) -> int:
    """How many duties a member may have where the mean is so many."""
    return max(1, ceil(ROOM * of_mean))


def too_many(of_mean: float) -> int:
    """It has too many above this; one more than a fair share is nothing to move for."""
    return max(2, ceil(TOO_MANY * of_mean) + 1)


def order(key: Key, seen: Iterable[Seen], of_mean: float) -> list[str]:
    """Fit members, whose turn it is first; those that are full, and those that come and go, after all the others."""
    name = xxhash.xxh64_digest(key)
    most = room(of_mean)
    fit = [m for m in seen if m.fit]
    return [
        m.seat
        for m in sorted(fit, key=lambda m: (not m.steady, m.has >= most, -rendezvous_score(m.seat, name)))
    ]


@dataclass(slots=True)
class Steady:
    """Members that come and go: after each return one gets nothing for a while, for longer each time."""

    first_us: int
    most_us: int
    falls: dict[str, tuple[int, int]] = field(default_factory=dict)  # how often, and when last

    def fell(self, now: int, seat: str) -> None:
        times, last = self.falls.get(seat, (0, now))
        if now - last > self.most_us:
            times = 0
        self.falls[seat] = times + 1, now

    def is_steady(self, now: int, seat: str) -> bool:
        if seat not in self.falls:
            return True
        times, last = self.falls[seat]
        return now - last >= self.wait(times)

    def wait(self, times: int) -> int:
        return min(self.most_us, self.first_us << min(times - 1, 16))
