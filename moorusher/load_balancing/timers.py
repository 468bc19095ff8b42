"""The times at which the load balancer has something to do by itself."""

from __future__ import annotations

import heapq
from enum import IntEnum

NO_CALL = 0  # in place of a call's id, for a timer that is no call's


class TimerKind(IntEnum):
    """What a timer is for. The order decides between two timers of one call at one time."""

    RETRY = 0  # a backoff ends
    HEDGE = 1  # an attempt has been silent for unusually long
    SLOT = 2  # an endpoint in slow start may get a call again: look at the queue


class Timers:
    """A heap of timers. None is ever withdrawn: whoever handles one checks whether it still applies."""

    def __init__(self) -> None:
        """Start without a timer."""
        self._heap: list[tuple[int, int, TimerKind]] = []

    def add(self, at: int, call_id: int, kind: TimerKind) -> None:
        """Set a timer for the time `at` (us)."""
        heapq.heappush(self._heap, (at, call_id, kind))

    def next_time(self) -> int | None:
        """Return the earliest time in microseconds; None without timers."""
        return self._heap[0][0] if self._heap else None

    def pop_due(self, now: int) -> tuple[int, int, TimerKind] | None:
        """Remove and return the earliest timer that is due (time, call id, kind); None where none is."""
        if self._heap and self._heap[0][0] <= now:
            return heapq.heappop(self._heap)
        return None
