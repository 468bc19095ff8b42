"""Which endpoints a runner keeps to, and which of them gets a call.

Subset: weighted rendezvous hashing of the runner's name. Choice: power of two choices, by the expected wait (`cost`) of
each; the own zone first, until its choice is `zone_spill_ratio` times as costly as that of the other zones.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence

import xxhash

from .endpoint import Endpoint

MAX_DRAWN_PAIRS = 3  # before all endpoints are looked at


def subset_order(runner: str, endpoints: Sequence[Endpoint]) -> list[Endpoint]:
    """Return the endpoints in the runner's own order; its subset is the first ones.

    The order of two endpoints does not depend on any other, so one that comes or goes moves no call between others.
    """

    def score(endpoint: Endpoint) -> float:
        digest = xxhash.xxh3_64_intdigest(f"{runner}\0{endpoint.config.name}".encode())
        drawn = (digest + 1) / (2**64 + 2)  # over 0 and under 1
        return -endpoint.config.weight / math.log(drawn)

    return sorted(endpoints, key=score, reverse=True)


class Picker:
    """Draws an endpoint at random in a way that prefers those with a short expected wait.

    Latencies are in microseconds; `typical_us` is the set's median.
    """

    def __init__(self, draw: Callable[[], float], zone_spill_ratio: float) -> None:
        """`draw` returns random numbers from 0 to under 1."""
        self._draw = draw
        self._zone_spill_ratio = zone_spill_ratio

    def pick_by_zone(
        self,
        local: Sequence[Endpoint],
        remote: Sequence[Endpoint],
        now: int,
        typical_us: float,
        avoid: Endpoint | None = None,
    ) -> Endpoint | None:
        """Return an endpoint of the own zone, or one elsewhere that is clearly better; None if no local one can."""
        nearby = self.pick(local, now, typical_us, avoid)
        if nearby is None:
            return None
        elsewhere = self.pick(remote, now, typical_us, avoid)
        if elsewhere is None:
            return nearby
        tolerated = self._zone_spill_ratio * elsewhere.cost(now, typical_us)
        return nearby if nearby.cost(now, typical_us) <= tolerated else elsewhere

    def pick(
        self, endpoints: Sequence[Endpoint], now: int, typical_us: float, avoid: Endpoint | None = None
    ) -> Endpoint | None:
        """Return the better of two drawn at random with capacity; all are compared only if draws find none."""
        if not endpoints:
            return None
        for _ in range(MAX_DRAWN_PAIRS):
            pair = (self._draw_one(endpoints, now), self._draw_one(endpoints, now))
            able = [e for e in pair if e is not None and e is not avoid and e.has_capacity(now)]
            if able:
                return min(able, key=lambda endpoint: endpoint.cost(now, typical_us))
        able = [e for e in endpoints if e is not avoid and e.has_capacity(now)]
        return min(able, key=lambda e: e.cost(now, typical_us) / e.ramp(now)) if able else None

    def _draw_one(self, endpoints: Sequence[Endpoint], now: int) -> Endpoint | None:
        """Draw one; one in slow start counts only as often as its ramp says."""
        endpoint = endpoints[int(self._draw() * len(endpoints))]
        ramp = endpoint.ramp(now)
        return endpoint if ramp >= 1.0 or self._draw() < ramp else None
