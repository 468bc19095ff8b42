"""What the parts of a node ask of the process: messages, time, chance and counters; with the node's alarms."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count
from typing import Any

from .interfaces import NodeHost


class HostServices:
    """Passes on to the host. Alarms are kept here: the host is asked for the first of them alone. Times are in us."""

    def __init__(self, host: NodeHost) -> None:
        self.host = host
        # (when, number in the order in which they were set, what to do)
        self._alarms: list[tuple[int, int, Callable[[], None]]] = []
        self._alarm_numbers = count()

    def send(self, seat: str, message: Any) -> None:
        """To whichever process has the seat."""
        self.host.send(seat, message)

    def reply(self, seat: str, message: Any) -> None:
        """To the process whose message is being handled."""
        self.host.reply(seat, message)

    def replier(self, seat: str) -> Callable[[Any], None]:
        """`reply`, for later."""
        return self.host.replier(seat)

    def durable(self, then: Callable[[], None], space: int) -> None:
        """See `RegisterHost.durable`."""
        self.host.durable(then, space)

    def count(self, name: str) -> None:
        """One more in the counter of that name."""
        self.host.count(name)

    def random(self) -> float:
        """From 0 to 1."""
        return self.host.random()

    def clock(self) -> int:
        """Now."""
        return self.host.clock()

    def at(self, when: int, action: Callable[[], None]) -> None:
        """Calls `action` at that time, or soon after it."""
        heapq.heappush(self._alarms, (when, next(self._alarm_numbers), action))
        if self._alarms[0][0] == when:
            self.host.wake(when)

    def run_alarms(self) -> None:
        """Runs what is due by the host's clock as it is now."""
        now = self.clock()
        while self._alarms and self._alarms[0][0] <= now:
            heapq.heappop(self._alarms)[2]()

    def request_wake(self) -> None:
        """Asks the host to wake the node for its next alarm."""
        if self._alarms:
            self.host.wake(self._alarms[0][0])
