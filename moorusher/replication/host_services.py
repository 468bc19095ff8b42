"""Services of the host process for the parts of a node: messages, clock, random numbers, counters and timers."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count
from typing import Any

from .interfaces import NodeHost


class HostServices:
    """Delegates to the host, and runs the node's timers when the host wakes the node. Times are in us."""

    def __init__(self, host: NodeHost) -> None:
        self.host = host
        # Heap of (due time, sequence number, action). The sequence number keeps the order of timers that are due at
        # the same time.
        self._timers: list[tuple[int, int, Callable[[], None]]] = []
        self._timer_numbers = count()

    def send(self, seat: str, message: Any) -> None:
        """Send a message to a seat."""
        self.host.send(seat, message)

    def reply(self, seat: str, message: Any) -> None:
        """Reply to the sender of the message being handled."""
        self.host.reply(seat, message)

    def replier(self, seat: str) -> Callable[[Any], None]:
        """Return a function that replies later to the sender of the message being handled."""
        return self.host.replier(seat)

    def call_when_durable(self, then: Callable[[], None], space: int) -> None:
        """See `RegisterHost.call_when_durable`."""
        self.host.call_when_durable(then, space)

    def count(self, name: str) -> None:
        """Increment the counter of that name."""
        self.host.count(name)

    def random(self) -> float:
        """Return a random number from 0 to 1."""
        return self.host.random()

    def clock(self) -> int:
        """Return the current time."""
        return self.host.clock()

    def at(self, when: int, action: Callable[[], None]) -> None:
        """Call `action` at that time or soon after it."""
        heapq.heappush(self._timers, (when, next(self._timer_numbers), action))
        if self._timers[0][0] == when:
            self.host.wake(when)

    def run_timers(self) -> None:
        """Run all timers that are due by the host's clock at the time of the call."""
        now = self.clock()
        while self._timers and self._timers[0][0] <= now:
            heapq.heappop(self._timers)[2]()

    def request_wake(self) -> None:
        """Request that the host wakes the node for its next timer."""
        if self._timers:
            self.host.wake(self._timers[0][0])
