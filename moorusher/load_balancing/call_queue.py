"""Queue of calls that wait for an endpoint with capacity, ordered by deadline."""

from __future__ import annotations

import heapq
from itertools import count

from .calls import CallState, OpenCall


class CallQueue:
    """A bounded queue ordered by deadline.

    An entry is valid while its call is QUEUED; an invalid entry is removed when it reaches the front.
    """

    def __init__(self, max_calls: int) -> None:
        """Create an empty queue for at most `max_calls` calls."""
        self._max_calls = max_calls
        self._entries: list[tuple[int, int, int, OpenCall]] = []  # deadline, call id, order of arrival, call
        self._arrivals = count()
        self._length = 0  # number of valid entries

    def __len__(self) -> int:
        """Return the number of queued calls."""
        return self._length

    @property
    def is_full(self) -> bool:
        """Whether the next call has to be rejected."""
        return self._length >= self._max_calls

    def push(self, call: OpenCall) -> None:
        """Add a call to the queue."""
        call.state = CallState.QUEUED
        self._length += 1
        heapq.heappush(self._entries, (call.deadline, call.call_id, next(self._arrivals), call))

    def first(self) -> OpenCall | None:
        """Return the queued call with the earliest deadline without removing it."""
        while self._entries:
            call = self._entries[0][-1]
            if call.state is CallState.QUEUED:
                return call
            heapq.heappop(self._entries)
        return None

    def pop_first(self) -> None:
        """Remove the call that `first` has just returned."""
        heapq.heappop(self._entries)
        self._length -= 1

    def discard(self, call: OpenCall) -> None:
        """Remove a cancelled call; do nothing if it is not queued."""
        if call.state is CallState.QUEUED:
            call.state = CallState.EXPIRED
            self._length -= 1
