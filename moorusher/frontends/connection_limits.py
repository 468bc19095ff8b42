"""Limits the connections of a frontend, and selects the connection that is evicted for a new one."""

# Guards against clients that open hundreds of connections and send nothing, or send one request and keep the connection
# open forever: they would occupy all slots, and other front ends could not connect.
#
# Each connection is in at most one queue, in order of time: closing, silent (no complete message yet), idle (no open
# request) or close requested. A connection that is in none of them has an open request, and is never evicted. One alarm
# is set for the earliest timeout of all queues.

from __future__ import annotations

from itertools import islice
from typing import Protocol

from ..core.clock import Alarm
from ..core.outcomes import EndReason
from ..core.request_engine import RequestEngine
from ..time_units import MS, SECOND

# A connection that has been in its queue for less than this time is evicted only if there is no other candidate.
EVICTION_GRACE_US = 300 * MS
CLOSE_REQUEST_TIMEOUT_US = 2 * SECOND  # Time for the other side to close after it was asked to.
CLOSE_TIMEOUT_US = 5 * SECOND  # Time for the other side to read the rest of the output.
MAX_CANDIDATES = 32  # Connections of one queue that are considered for an eviction.


class LimitedConnection(Protocol):
    """Interface of the connections of a `ConnectionLimiter`."""

    @property
    def reading(self) -> bool:
        """Whether a message has been received in part, and the rest may still arrive."""

    def request_close(self) -> None:
        """Ask the other side to close."""

    def try_close(self, end_reason: EndReason) -> bool:
        """Close, and return True. Return False and stay open if unread input contains a request."""

    def abort(self) -> None:
        """Abort the connection, and discard unsent output."""


# Connections, each with the time in us at which it entered the queue. The earliest comes first.
EntryTimes = dict[LimitedConnection, int]


class ConnectionLimiter:
    """Limits the number of connections of one frontend, and closes them after their timeouts.

    Attributes:
        max_connections: Maximum number of open connections.
        first_message_timeout_us: Time for a connection to deliver its first complete message, in us.
        idle_timeout_us: Time that a connection may be open without a request, in us.
        connections: All open connections.
    """

    def __init__(
        self, core: RequestEngine, max_connections: int, first_message_timeout_us: int, idle_timeout_us: int
    ) -> None:
        self.core = core
        self.max_connections = max_connections
        self.first_message_timeout_us = first_message_timeout_us
        self.idle_timeout_us = idle_timeout_us
        self.connections: set[LimitedConnection] = set()
        self._closing: EntryTimes = {}
        self._silent: EntryTimes = {}
        self._idle: EntryTimes = {}
        self._close_requested: EntryTimes = {}
        self._alarm: Alarm | None = None
        self._alarm_at_us = 0  # time of `_alarm` in us
        self._is_reserved = False  # Whether a slot is reserved for the connection that is accepted next.

    def __len__(self) -> int:
        return len(self.connections)

    def set_idle_timeout(self, idle_timeout_us: int) -> None:
        """Apply a new idle timeout, in us, to all connections."""
        self.idle_timeout_us = idle_timeout_us
        self._schedule()

    # ---- called by connections ----

    def connection_opened(self, connection: LimitedConnection) -> None:
        """Add a new connection, which has not delivered any message."""
        self.connections.add(connection)
        self._silent[connection] = self.core.clock.now
        self._schedule()

    def connection_idle(self, connection: LimitedConnection) -> None:
        """Record that a complete message has arrived, and no request is open."""
        self.connection_busy(connection)
        if connection in self.connections and connection not in self._closing:
            self._idle[connection] = self.core.clock.now
            self._schedule()

    def close_requested(self, connection: LimitedConnection) -> None:
        """Record that the other side was asked to close, and start the timeout `CLOSE_REQUEST_TIMEOUT_US`."""
        self.connection_busy(connection)
        self._close_requested[connection] = self.core.clock.now
        self._schedule()

    def connection_busy(self, connection: LimitedConnection) -> None:
        """Record that a request is open."""
        self._silent.pop(connection, None)
        self._idle.pop(connection, None)
        self._close_requested.pop(connection, None)

    def connection_closing(self, connection: LimitedConnection) -> None:
        """Record that the connection ignores further input, and waits for the other side to close."""
        self.connection_busy(connection)
        self._closing[connection] = self.core.clock.now
        self._schedule()

    def connection_closed(self, connection: LimitedConnection) -> None:
        """Remove a closed connection."""
        self.connection_busy(connection)
        self._closing.pop(connection, None)
        self.connections.discard(connection)

    # ---- slots ----

    @property
    def is_full(self) -> bool:
        """Whether a new connection requires an eviction."""
        return len(self.connections) >= self.max_connections and not self._is_reserved

    def admit(self) -> bool:
        """Return whether there is a slot for a new connection, after an eviction if necessary."""
        was_reserved = self._is_reserved
        self._is_reserved = False
        return was_reserved or not self.is_full or self.evict_one()

    def reserve(self) -> bool:
        """Reserve a slot for the next `admit`, evicting a connection if necessary. Return whether one is reserved."""
        self._is_reserved = self._is_reserved or not self.is_full or self.evict_one()
        return self._is_reserved

    def evict_one(self) -> bool:
        """Evict a connection without an open request. Return False if no connection can be evicted.

        Of each queue (close requested, silent, idle, closing), the connection that entered it first is tried first.
        """
        # Connections that have received a message in part come last: a slow client may be sending its first request.
        now = self.core.clock.now
        grace_start = now - EVICTION_GRACE_US
        return (
            self._evict(grace_start, mid_message=False)
            or self._abort_closing(grace_start)
            or self._evict(grace_start, mid_message=True)
            or self._evict(now, mid_message=True)
        )

    def _evict(self, since: int, mid_message: bool) -> bool:
        """Evict a connection that entered its queue (close requested, silent or idle) at `since` or earlier.

        :param mid_message: Whether connections that have received a message in part may be evicted.
        """
        return any(
            self._evict_from(queue, since, mid_message)
            for queue in (self._close_requested, self._silent, self._idle)
        )

    @staticmethod
    def _evict_from(queue: EntryTimes, since: int, mid_message: bool) -> bool:
        for connection in list(islice(queue, MAX_CANDIDATES)):
            if queue.get(connection, since + 1) > since:
                return False
            if (mid_message or not connection.reading) and connection.try_close(EndReason.EVICTED_WHILE_IDLE):
                return True
        return False

    def _abort_closing(self, since: int) -> bool:
        """Abort a connection that began to close at `since` or earlier: its peer had time to read the last answer."""
        connection = next(iter(self._closing), None)
        if connection is None or self._closing[connection] > since:
            return False
        del self._closing[connection]
        connection.abort()
        return True

    # ---- timeouts ----

    def _timeouts(self) -> tuple[tuple[EntryTimes, int], ...]:
        return (
            (self._silent, self.first_message_timeout_us),
            (self._idle, self.idle_timeout_us),
            (self._close_requested, CLOSE_REQUEST_TIMEOUT_US),
            (self._closing, CLOSE_TIMEOUT_US),
        )

    def _schedule(self) -> None:
        """Set the alarm for the earliest timeout."""
        due_times = [next(iter(queue.values())) + timeout for queue, timeout in self._timeouts() if queue]
        due = min(due_times, default=None)
        if due is None or (self._alarm is not None and self._alarm_at_us <= due):
            return
        if self._alarm is not None:
            self._alarm.cancel()
        self._alarm_at_us = due
        self._alarm = self.core.alarms.at(due, self._alarm_fired)

    def _alarm_fired(self) -> None:
        self._alarm = None
        now = self.core.clock.now
        for queue, timeout in self._timeouts():
            while queue:
                connection = next(iter(queue))
                if now - queue[connection] < timeout:
                    break
                self._time_out(connection, queue)
        self._schedule()

    def _time_out(self, connection: LimitedConnection, queue: EntryTimes) -> None:
        if queue is self._closing:
            del queue[connection]
            connection.abort()
        elif queue is self._idle:
            del queue[connection]
            self._close_requested[connection] = self.core.clock.now
            connection.request_close()
        else:
            end_reason = EndReason.READ_TIMEOUT if queue is self._silent else EndReason.IDLE_TIMEOUT
            if connection.try_close(end_reason):
                queue.pop(connection, None)
