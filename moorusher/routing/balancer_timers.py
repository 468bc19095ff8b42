"""Earliest timer of many load balancers."""

from __future__ import annotations

import heapq
from itertools import count

from ..load_balancing.load_balancer import LoadBalancer


class BalancerTimers:
    """A heap of the balancers' next timers. An outdated entry is removed when it reaches the front."""

    def __init__(self) -> None:
        """Create an empty heap."""
        self._heap: list[tuple[int, int, LoadBalancer]] = []
        # Time of each balancer's latest entry in the heap.
        self._scheduled_at: dict[LoadBalancer, int] = {}
        self._order = count()  # orders entries of the same time

    def update(self, balancer: LoadBalancer) -> None:
        """Add a balancer's next timer; must be called after each event that the balancer has handled."""
        at = balancer.next_timer()
        if at is not None and self._scheduled_at.get(balancer) != at:
            self._scheduled_at[balancer] = at
            heapq.heappush(self._heap, (at, next(self._order), balancer))

    def next_time(self) -> int | None:
        """Return the time of the earliest timer (us); None if there is none."""
        while self._heap:
            at, _, balancer = self._heap[0]
            if balancer.next_timer() == at:
                return at
            heapq.heappop(self._heap)
            if self._scheduled_at.get(balancer) == at:
                del self._scheduled_at[balancer]
            self.update(balancer)
        return None

    def pop_due(self, now: int) -> LoadBalancer | None:
        """Remove the earliest due timer, and return its balancer; None if none is due."""
        at = self.next_time()
        if at is None or at > now:
            return None
        _, _, balancer = heapq.heappop(self._heap)
        self._scheduled_at.pop(balancer, None)
        return balancer
