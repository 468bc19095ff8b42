"""Bounds the connections of a frontend, and chooses which one is evicted for a new one.

Guards against clients that open connections by hundreds and send nothing, or send one request and keep the connection
for good: they would take every slot, and other front ends could not connect. Each connection stands in one list at
most, oldest first: `closing`, `silent` (no complete message yet), `idle` (no request open) or `asked to leave`. One
that stands in none has a request open, and is never evicted. One alarm watches the oldest of each list.
"""

from __future__ import annotations

from itertools import islice
from typing import Protocol

from ..core.clock import Alarm
from ..core.outcomes import EndReason
from ..core.request_engine import RequestEngine
from ..time_units import MS, SECOND

EVICTION_GRACE_US = (
    300 * MS
)  # a connection that is younger, or idle for less, is evicted only if there is no other
LEAVE_TIMEOUT_US = 2 * SECOND  # for the other side to close what it was asked to close
CLOSE_TIMEOUT_US = 5 * SECOND  # for the other side to read the last of what it was sent
MAX_CANDIDATES = 32  # connections of one list that are looked at for an eviction


class LimitedConnection(Protocol):
    """What a `ConnectionLimiter` needs of a connection."""

    @property
    def reading(self) -> bool:
        """Whether a message has begun whose rest may still come."""

    def leave(self) -> None:
        """Ask the other side to close."""

    def end(self, ending: EndReason) -> bool:
        """Close, and return True; False where a request turned out to be unread, and the connection stays."""

    def cut(self) -> None:
        """Abort the connection, whatever is unsent."""


Since = dict[
    LimitedConnection, int
]  # connections, oldest first, and the time in us since when they stand there


class ConnectionLimiter:
    """The connections of one frontend: how many there may be, and when each has to close.

    `max_connections`: how many may be open. `first_message_timeout`: for a connection to bring its first complete
    message, us. `idle_timeout`: for a connection without an open request, us. `connections`: all that are open.
    """

    def __init__(
        self, core: RequestEngine, max_connections: int, first_message_timeout: int, idle_timeout: int
    ) -> None:
        self.core = core
        self.max_connections = max_connections
        self.first_message_timeout = first_message_timeout
        self.idle_timeout = idle_timeout
        self.connections: set[LimitedConnection] = set()
        self._closing: Since = {}
        self._silent: Since = {}
        self._idle: Since = {}
        self._asked_to_leave: Since = {}
        self._alarm: Alarm | None = None
        self._alarm_at = 0  # us; of `_alarm`
        self._is_reserved = False  # a slot is free for the connection that is accepted next

    def __len__(self) -> int:
        return len(self.connections)

    def set_idle_timeout(self, idle_timeout: int) -> None:
        """Apply a new idle timeout, in us, to all connections."""
        self.idle_timeout = idle_timeout
        self._schedule()

    # ---- what connections report ----

    def connection_opened(self, connection: LimitedConnection) -> None:
        """A new connection, which has brought nothing yet."""
        self.connections.add(connection)
        self._silent[connection] = self.core.clock.now
        self._schedule()

    def connection_idle(self, connection: LimitedConnection) -> None:
        """A complete message has come, and no request is open."""
        self.connection_busy(connection)
        if connection in self.connections and connection not in self._closing:
            self._idle[connection] = self.core.clock.now
            self._schedule()

    def leave_requested(self, connection: LimitedConnection) -> None:
        """It was asked to close; it has `LEAVE_TIMEOUT_US` from now on."""
        self.connection_busy(connection)
        self._asked_to_leave[connection] = self.core.clock.now
        self._schedule()

    def connection_busy(self, connection: LimitedConnection) -> None:
        """A request is open."""
        self._silent.pop(connection, None)
        self._idle.pop(connection, None)
        self._asked_to_leave.pop(connection, None)

    def connection_closing(self, connection: LimitedConnection) -> None:
        """Nothing that still comes on it counts; it waits for the other side to close."""
        self.connection_busy(connection)
        self._closing[connection] = self.core.clock.now
        self._schedule()

    def connection_closed(self, connection: LimitedConnection) -> None:
        """It is gone."""
        self.connection_busy(connection)
        self._closing.pop(connection, None)
        self.connections.discard(connection)

    # ---- slots ----

    @property
    def is_full(self) -> bool:
        """Whether one more connection needs the slot of another, which has not been evicted yet."""
        return len(self.connections) >= self.max_connections and not self._is_reserved

    def admit(self) -> bool:
        """Whether there is a slot for a new connection, after an eviction where that is needed."""
        was_reserved = self._is_reserved
        self._is_reserved = False
        return was_reserved or not self.is_full or self.evict_one()

    def reserve(self) -> bool:
        """The same for the connection that is accepted next; `admit` has the slot then."""
        self._is_reserved = self._is_reserved or not self.is_full or self.evict_one()
        return self._is_reserved

    def evict_one(self) -> bool:
        """Evict the connection that has been without an open request for longest. False where there is none.

        Those in the middle of a message go last: a slow client may be bringing its first request.
        """
        now = self.core.clock.now
        graced = now - EVICTION_GRACE_US
        return (
            self._evict(graced, mid_message=False)
            or self._cut_closing(graced)
            or self._evict(graced, mid_message=True)
            or self._evict(now, mid_message=True)
        )

    def _evict(self, since: int, mid_message: bool) -> bool:
        """Evict one that has been in its list since then. `mid_message`: also one that is reading a message."""
        return any(
            self._evict_from(listed, since, mid_message)
            for listed in (self._asked_to_leave, self._silent, self._idle)
        )

    @staticmethod
    def _evict_from(listed: Since, since: int, mid_message: bool) -> bool:
        for connection in list(islice(listed, MAX_CANDIDATES)):
            if listed.get(connection, since + 1) > since:
                return False
            if (mid_message or not connection.reading) and connection.end(EndReason.EVICTED_WHILE_IDLE):
                return True
        return False

    def _cut_closing(self, since: int) -> bool:
        """Abort one that has been closing since then: it had time to take its last answer."""
        connection = next(iter(self._closing), None)
        if connection is None or self._closing[connection] > since:
            return False
        del self._closing[connection]
        connection.cut()
        return True

    # ---- timeouts ----

    def _timeouts(self) -> tuple[tuple[Since, int], ...]:
        return (
            (self._silent, self.first_message_timeout),
            (self._idle, self.idle_timeout),
            (self._asked_to_leave, LEAVE_TIMEOUT_US),
            (self._closing, CLOSE_TIMEOUT_US),
        )

    def _schedule(self) -> None:
        """Set the alarm to the earliest timeout."""
        due_times = [next(iter(listed.values())) + timeout for listed, timeout in self._timeouts() if listed]
        due = min(due_times, default=None)
        if due is None or (self._alarm is not None and self._alarm_at <= due):
            return
        if self._alarm is not None:
            self._alarm.cancel()
        self._alarm_at = due
        self._alarm = self.core.alarms.at(due, self._ring)

    def _ring(self) -> None:
        self._alarm = None
        now = self.core.clock.now
        for listed, timeout in self._timeouts():
            while listed:
                connection = next(iter(listed))
                if now - listed[connection] < timeout:
                    break
                self._time_out(connection, listed)
        self._schedule()

    def _time_out(self, connection: LimitedConnection, listed: Since) -> None:
        if listed is self._closing:
            del listed[connection]
            connection.cut()
        elif listed is self._idle:
            del listed[connection]
            self._asked_to_leave[connection] = self.core.clock.now
            connection.leave()
        else:
            ending = EndReason.READ_TIMEOUT if listed is self._silent else EndReason.IDLE_TIMEOUT
            if connection.end(ending):
                listed.pop(connection, None)
