"""How many calls may be in flight on a route and in a pool: the route's own limit, and the customer's pool quota."""

from __future__ import annotations

from collections import Counter
from collections.abc import Hashable
from typing import Any

from .route import Hop, RouteKey


class RouteLimits:
    """Counts calls in flight, each on one hop at a time.

    in_flight: by route (Counter).
    in_flight_in_pool: by customer and pool (Counter).
    """

    def __init__(self) -> None:
        """Start without calls."""
        self.in_flight: Counter[RouteKey] = Counter()
        self.in_flight_in_pool: Counter[tuple[str, str]] = Counter()

    def try_enter(self, key: RouteKey, hop: Hop, pool_quota: int) -> bool:
        """Count a call on a hop; False where the route or the customer's quota of its pool is full."""
        if hop.max_in_flight and self.in_flight[key] >= hop.max_in_flight:
            return False
        if hop.pool:
            pool_key = (key.customer, hop.pool)
            if self.in_flight_in_pool[pool_key] >= pool_quota:
                return False
            self.in_flight_in_pool[pool_key] += 1
        self.in_flight[key] += 1
        return True

    def leave(self, key: RouteKey, hop: Hop) -> None:
        """A call has left the hop that it had entered."""
        _decrement(self.in_flight, key)
        if hop.pool:
            _decrement(self.in_flight_in_pool, (key.customer, hop.pool))


def _decrement(counter: Counter[Any], key: Hashable) -> None:
    counter[key] -= 1
    if not counter[key]:
        del counter[key]
