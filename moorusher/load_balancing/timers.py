"""Timers of a load balancer."""

from __future__ import annotations

import heapq
from enum import IntEnum

NO_CALL = 0  # call id of a timer that belongs to no call


class TimerKind(IntEnum):
    """Purpose of a timer. The order of the values applies to timers of one call that are due at the same time."""

    RETRY = 0  # a backoff ends
    HEDGE = 1  # an attempt has been unanswered for unusually long
    SLOT = 2  # an endpoint in slow start may get a call again, so the queue is served


class Timers:
    """A heap of timers. Timers are never removed early: the handler of a timer checks whether it still applies."""

    def __init__(self) -> None:
        """Create an empty heap."""
        self._heap: list[tuple[int, int, TimerKind]] = []

    def add(self, at: int, call_id: int, kind: TimerKind) -> None:
        """Add a timer for the time `at` (us)."""
        heapq.heappush(self._heap, (at, call_id, kind))

    def next_time(self) -> int | None:
        """Return the time of the earliest timer in microseconds; None if there is none."""
        return self._heap[0][0] if self._heap else None

    def pop_due(self, now: int) -> tuple[int, int, TimerKind] | None:
        """Remove and return the earliest due timer as (time, call id, kind); None if none is due."""
        if self._heap and self._heap[0][0] <= now:
            return heapq.heappop(self._heap)
        return None
