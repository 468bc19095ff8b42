"""Subset of endpoints that a runner uses, and selection of one of them for a call.

The subset is chosen by weighted rendezvous hashing of the runner's name. The endpoint is chosen by power of two choices
on the expected wait (`cost`). The runner's own zone is preferred until its endpoint costs more than `zone_spill_ratio`
times as much as the one in the other zones.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence

import xxhash

from .endpoint import Endpoint

MAX_DRAWN_PAIRS = 3  # random pairs tried before all endpoints are compared


def subset_order(runner: str, endpoints: Sequence[Endpoint]) -> list[Endpoint]:
    """Return the endpoints in the order of this runner; its subset is the beginning of the list.

    The relative order of two endpoints depends on no other endpoint, so adding or removing one reorders no others.
    """

    def score(endpoint: Endpoint) -> float:
        digest = xxhash.xxh3_64_intdigest(f"{runner}\0{endpoint.config.name}".encode())
        uniform = (digest + 1) / (2**64 + 2)  # in (0, 1)
        return -endpoint.config.weight / math.log(uniform)

    return sorted(endpoints, key=score, reverse=True)


class Picker:
    """Picks an endpoint by power of two random choices, and prefers a short expected wait.

    Latencies are in microseconds; `typical_us` is the set's median latency.
    """

    def __init__(self, draw: Callable[[], float], zone_spill_ratio: float) -> None:
        """Create a picker; `draw` returns a random number in [0, 1)."""
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
        """Return a local endpoint, or a remote one that costs clearly less; None if no local one has capacity."""
        local_choice = self.pick(local, now, typical_us, avoid)
        if local_choice is None:
            return None
        remote_choice = self.pick(remote, now, typical_us, avoid)
        if remote_choice is None:
            return local_choice
        max_local_cost = self._zone_spill_ratio * remote_choice.cost(now, typical_us)
        return local_choice if local_choice.cost(now, typical_us) <= max_local_cost else remote_choice

    def pick(
        self, endpoints: Sequence[Endpoint], now: int, typical_us: float, avoid: Endpoint | None = None
    ) -> Endpoint | None:
        """Return the cheaper of two random endpoints with capacity; compare all if no random pair has capacity."""
        if not endpoints:
            return None
        for _ in range(MAX_DRAWN_PAIRS):
            pair = (self._draw_one(endpoints, now), self._draw_one(endpoints, now))
            candidates = [e for e in pair if e is not None and e is not avoid and e.has_capacity(now)]
            if candidates:
                return min(candidates, key=lambda endpoint: endpoint.cost(now, typical_us))
        candidates = [e for e in endpoints if e is not avoid and e.has_capacity(now)]
        return min(candidates, key=lambda e: e.cost(now, typical_us) / e.ramp(now)) if candidates else None

    def _draw_one(self, endpoints: Sequence[Endpoint], now: int) -> Endpoint | None:
        """Return a random endpoint; an endpoint in slow start is accepted with the probability of its ramp."""
        endpoint = endpoints[int(self._draw() * len(endpoints))]
        ramp = endpoint.ramp(now)
        return endpoint if ramp >= 1.0 or self._draw() < ramp else None
