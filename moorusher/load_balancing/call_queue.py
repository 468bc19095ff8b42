"""Calls that wait because no endpoint has capacity, the earliest deadline first."""

from __future__ import annotations

import heapq
from itertools import count

from .calls import CallState, OpenCall


class CallQueue:
    """A bounded queue. An entry counts while its call is QUEUED; others are dropped when they come to the front."""

    def __init__(self, max_calls: int) -> None:
        """`max_calls`: that may wait at a time."""
        self._max_calls = max_calls
        self._entries: list[tuple[int, int, int, OpenCall]] = []  # deadline, call id, order of arrival, call
        self._arrivals = count()
        self._length = 0  # calls that wait; not entries

    def __len__(self) -> int:
        """Return the number of calls that wait."""
        return self._length

    @property
    def is_full(self) -> bool:
        """Whether a further call has to be rejected."""
        return self._length >= self._max_calls

    def push(self, call: OpenCall) -> None:
        """Let a call wait."""
        call.state = CallState.QUEUED
        self._length += 1
        heapq.heappush(self._entries, (call.deadline, call.call_id, next(self._arrivals), call))

    def first(self) -> OpenCall | None:
        """Return the call that is next, and leave it in the queue."""
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
        """Remove a call that is cancelled; one that does not wait is left as it is."""
        if call.state is CallState.QUEUED:
            call.state = CallState.EXPIRED
            self._length -= 1
