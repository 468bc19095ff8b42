"""Limits on calls in flight: the limit of a route, and a customer's quota of a pool."""

from __future__ import annotations

from collections import Counter
from collections.abc import Hashable
from typing import Any

from .route import Hop, RouteKey


class RouteLimits:
    """Counts calls in flight; a call is on one hop at a time.

    Attributes:
        in_flight: Number of calls by route.
        in_flight_in_pool: Number of calls by customer and pool.
    """

    def __init__(self) -> None:
        """Start with no calls in flight."""
        self.in_flight: Counter[RouteKey] = Counter()
        self.in_flight_in_pool: Counter[tuple[str, str]] = Counter()

    def try_enter(self, key: RouteKey, hop: Hop, pool_quota: int) -> bool:
        """Count a call on a hop; return False if the route's limit or the customer's pool quota is reached."""
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
        """Stop counting a call that `try_enter` has counted on this hop."""
        _decrement(self.in_flight, key)
        if hop.pool:
            _decrement(self.in_flight_in_pool, (key.customer, hop.pool))


def _decrement(counter: Counter[Any], key: Hashable) -> None:
    counter[key] -= 1
    if not counter[key]:
        del counter[key]
