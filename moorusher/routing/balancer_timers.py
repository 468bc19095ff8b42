"""The earliest timer of many load balancers."""

from __future__ import annotations

import heapq
from itertools import count

from ..load_balancing.load_balancer import LoadBalancer


class BalancerTimers:
    """A heap of the balancers' next timers. Entries whose balancer has another time by now are dropped in passing."""

    def __init__(self) -> None:
        """Start without timers."""
        self._heap: list[tuple[int, int, LoadBalancer]] = []
        # The time of each balancer's newest entry in the heap.
        self._entered: dict[LoadBalancer, int] = {}
        self._order = count()  # between entries of one time

    def update(self, balancer: LoadBalancer) -> None:
        """Take note of a balancer's next timer; call it after each event the balancer has handled."""
        at = balancer.next_timer()
        if at is not None and self._entered.get(balancer) != at:
            self._entered[balancer] = at
            heapq.heappush(self._heap, (at, next(self._order), balancer))

    def next_time(self) -> int | None:
        """Return the earliest time of all (us); None without timers."""
        while self._heap:
            at, _, balancer = self._heap[0]
            if balancer.next_timer() == at:
                return at
            heapq.heappop(self._heap)
            if self._entered.get(balancer) == at:
                del self._entered[balancer]
            self.update(balancer)
        return None

    def pop_due(self, now: int) -> LoadBalancer | None:
        """Remove the earliest timer that is due, and return its balancer; None where none is due."""
        at = self.next_time()
        if at is None or at > now:
            return None
        _, _, balancer = heapq.heappop(self._heap)
        self._entered.pop(balancer, None)
        return balancer
