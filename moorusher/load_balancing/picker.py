"""Which servers a runner keeps to, and which of them gets a call."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence

import xxhash

from .endpoint import Member

TRIES = 3  # pairs that are drawn before all are looked at


def rank(runner: str, servers: Sequence[Member]) -> list[Member]:
    """Weighted rendezvous hashing: each runner has an order of its own, in which a server that comes or goes moves no
    other. The first `subset` of it are the runner's."""

    def score(member: Member) -> float:
        drawn = (xxhash.xxh3_64_intdigest(f"{runner}\0{member.server.name}".encode()) + 1) / (2**64 + 2)
        return -member.server.weight / math.log(drawn)

    return sorted(servers, key=score, reverse=True)


def _drawn(members: Sequence[Member], now: int, draw: Callable[[], float]) -> Member | None:
    """One at random; one in slow start only as often as its ramp says."""
    member = members[int(draw() * len(members))]
    ramp = member.ramp(now)
    return member if ramp >= 1.0 or draw() < ramp else None


def two(
    members: Sequence[Member],
    now: int,
    typical: float,
    draw: Callable[[], float],
    avoid: Member | None = None,
) -> Member | None:
    """The better of two at random that have room; all are looked at only where chance finds none."""
    if not members:
        return None
    for _ in range(TRIES):
        pair = (_drawn(members, now, draw), _drawn(members, now, draw))
        able = [m for m in pair if m is not None and m is not avoid and m.has_room(now)]
        if able:
            return min(able, key=lambda m: m.cost(now, typical))
    able = [m for m in members if m is not avoid and m.has_room(now)]
    return min(able, key=lambda m: m.cost(now, typical) / m.ramp(now)) if able else None
