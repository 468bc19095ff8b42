"""Downstream calls to the database over HTTP/1.1: a pool of connections, with one call at a time on each."""

from __future__ import annotations

from collections import deque
from typing import Any

from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from moorusher.scheduling.retry_policy import Evidence, may_retry, tolerates_duplicates

from ..config.section import Address
from ..core.call import CallRequest
from ..core.clock import Alarm
from ..core.outcomes import EndReason
from ..time_units import MS, SECOND
from .http_client import HttpClientProtocol, HttpResponse
from .owner import BackendOwner

CONNECT_TIMEOUT_S = 30  # a call's own time limit is mostly shorter
SETTLE_US = 20 * MS  # after a response, for data that should not follow it
MAX_IDLE_US = 7 * SECOND  # the other side closes after 10 s: a call must not cross that close
MAX_IDLE_CONNECTIONS = 32
MAX_BUSY_CONNECTIONS = 1024
NEVER_STARTED_HEADER = b"never-started"


def end_reason_of(status: int, headers: dict[bytes, bytes]) -> EndReason:
    """Tell by the response how a call ended; without a proof that it never ran, it may have."""
    never_started = headers.get(NEVER_STARTED_HEADER) == b"1"
    if status == 200:
        return EndReason.CALL_ANSWERED
    if status == 503 and never_started:
        return EndReason.CALL_REJECTED
    if status == 409 and never_started:
        return EndReason.CALL_NOT_AWAITED
    if status == 504:
        return EndReason.CALL_DEADLINE_EXCEEDED
    return EndReason.CALL_FAILED


class DatabaseProtocol(HttpClientProtocol):
    """One connection to the database.

    number: of the call that is on it, None while it is idle.
    idle_since: when its last call ended, in microseconds.
    was_idle: the present call was sent on a connection that had been idle.
    """

    def __init__(self, pool: DatabasePool, number: int, call: CallRequest) -> None:
        """The call is sent as the connection is made."""
        super().__init__()
        self._pool = pool
        self._address = pool.address
        self._first_number = number
        self._call = call
        self.number: int | None = None
        self.idle_since = 0
        self.was_idle = False

    def connectionMade(self) -> None:
        """Send the first call."""
        self.transport.setTcpNoDelay(True)
        self.send(self._first_number, self._call)

    def send(self, number: int, call: CallRequest) -> None:
        """Send a call."""
        self.number = number
        self._call = call
        self.request_sent()
        self.transport.write(
            b"POST /v1/exec HTTP/1.1\r\nHost: db\r\nRequest-Ref: %s\r\nStatement-Timeout-Ms: %d\r\n"
            b"Content-Length: %d\r\n\r\n%s" % (call.rid.encode(), call.timeout_ms, len(call.body), call.body)
        )

    def response_received(self, response: HttpResponse) -> None:
        """End the call, and keep the connection where it may be used again."""
        self._pool.core.begin_turn()
        number = self.number
        self.number = None
        if number is None or not response.keep_alive or self._address != self._pool.address:
            self.transport.loseConnection()
        else:
            self._pool.connection_idle(self)
        if number is not None:
            self._pool.call_ended(number, end_reason_of(response.status, response.headers), response.body)

    def unexpected_data(self) -> None:
        """Drop the connection: what else comes could be taken for the next response."""
        self._pool.connection_lost(self)
        self.transport.abortConnection()

    def response_malformed(self, reason: str) -> None:
        """End the call without a response, and drop the connection."""
        number = self.number
        self.number = None
        self.transport.abortConnection()
        if number is not None:
            self._pool.call_ended(number, EndReason.CALL_REPLY_UNREADABLE, b"")

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Retry the call where that is allowed, else end it.

        A connection that was idle was most likely closed by the other side before the call reached it. That proves
        nothing, so only calls that may run twice are sent on such connections, and retried.
        """
        self._pool.connection_lost(self)
        number = self.number
        self.number = None
        if number is None:
            return
        if self.was_idle and may_retry(self._call.effect, Evidence.CONNECTION_RESET):
            self._pool.core.counters.add("calls sent again: a connection that was idle broke")
            self._pool.connect(number, self._call)
        else:
            self._pool.call_ended(number, EndReason.CALL_CONNECTION_LOST, b"")


class DatabaseConnectionFactory(ClientFactory):
    """A connection being made for one call.

    address: that is dialled (Address).
    """

    noisy = False

    def __init__(self, pool: DatabasePool, number: int, call: CallRequest) -> None:
        """`number`: the call's."""
        self._pool = pool
        self._number = number
        self._call = call
        self._is_cancelled = False
        self._connector: Any = None
        self.address = pool.address

    def connect(self, address: Address) -> None:
        """Dial."""
        self.address = address
        self._connector = self._pool.reactor.connectTCP(*address, self, timeout=CONNECT_TIMEOUT_S)

    def cancel(self) -> None:
        """Nobody needs the connection any more."""
        self._is_cancelled = True
        if self._connector is not None:
            self._connector.disconnect()

    def interrupt(self) -> None:
        """Fail the attempt to connect, which then goes to the pool's present address."""
        self._connector.disconnect()

    def buildProtocol(self, addr: object) -> DatabaseProtocol | None:
        """Make the protocol, which sends the call."""
        if self._is_cancelled:
            return None
        connection = DatabaseProtocol(self._pool, self._number, self._call)
        self._pool.connection_made(self._number, connection)
        return connection

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        """Dial the present address where that has changed, else end the call: it was never sent."""
        if self._is_cancelled:
            return
        if self.address != self._pool.address:
            self.connect(self._pool.address)
        else:
            self._pool.call_ended(self._number, EndReason.CALL_NOT_CONNECTED, b"")


class DatabasePool:
    """All connections to one database, and the calls on them.

    reactor: Twisted's.
    address: of the database (Address).
    core: the request engine or the server pool, which calls come from (BackendOwner); set by it.
    max_idle: connections kept without a call (int).
    max_busy: connections that carry or are made for a call (int).
    """

    def __init__(self, reactor: Any, address: Address, max_idle: int = MAX_IDLE_CONNECTIONS) -> None:
        """`max_idle` may be changed by `set_max_idle`."""
        self.core: BackendOwner
        self.reactor = reactor
        self.address = address
        self.max_idle = max_idle
        self.max_busy = MAX_BUSY_CONNECTIONS
        self._idle: deque[DatabaseProtocol] = deque()  # oldest first; the newest is used first
        self._connecting: dict[int, DatabaseConnectionFactory] = {}  # by the call's number
        self._busy: dict[int, DatabaseProtocol] = {}  # by the call's number
        self._idle_alarm: Alarm | None = None  # for the connection that has been idle longest

    # ---- calls ----

    def call(self, number: int, request: CallRequest) -> None:
        """Make a call; its end is reported to the core."""
        self._close_aged()
        connection = self._find_settled() if tolerates_duplicates(request.effect) else None
        if connection is None:
            self.connect(number, request)
            return
        self._idle.remove(connection)
        self._busy[number] = connection
        connection.was_idle = True
        connection.send(number, request)

    def _find_settled(self) -> DatabaseProtocol | None:
        """Find the connection that became idle last, but not just now.

        Late data or a second copy of its response would be taken for the next response. A call that must not run twice
        gets a new connection: a reset on one that was idle proves nothing.
        """
        latest = self.core.clock.now - SETTLE_US
        return next((one for one in reversed(self._idle) if one.idle_since <= latest), None)

    def connect(self, number: int, call: CallRequest) -> None:
        """Make a call on a new connection; where none may be made, the call ends, and was never sent."""
        if len(self._busy) + len(self._connecting) >= self.max_busy:
            self.call_ended(number, EndReason.CALL_NOT_CONNECTED, b"")
            return
        factory = self._connecting[number] = DatabaseConnectionFactory(self, number, call)
        factory.connect(self.address)

    def give_up(self, number: int) -> None:
        """Cancel a call by closing its connection; its end is not reported."""
        factory = self._connecting.pop(number, None)
        if factory is not None:
            factory.cancel()
        connection = self._busy.pop(number, None)
        if connection is not None:
            connection.number = None
            connection.transport.abortConnection()

    def call_ended(self, number: int, reason: EndReason, body: bytes) -> None:
        """Report the end of a call."""
        self._connecting.pop(number, None)
        self._busy.pop(number, None)
        self.core.execution.call_ended(number, reason, body)

    # ---- for the owner ----

    def move(self, address: Address) -> None:
        """Send new calls to a new address; those in flight at the old one may still be answered there."""
        if address == self.address:
            return
        self.address = address
        idle = self._idle
        self._idle = deque()
        for connection in idle:
            connection.transport.loseConnection()
        for factory in list(self._connecting.values()):
            factory.interrupt()

    def close(self) -> None:
        """No more calls are made here: idle connections are closed, calls in flight end as they do."""
        self.set_max_idle(0)

    def set_max_idle(self, max_idle: int = MAX_IDLE_CONNECTIONS) -> None:
        """Keep so many connections without a call from now on."""
        self.max_idle = max_idle
        self._close_surplus()

    # ---- connections ----

    def connection_made(self, number: int, connection: DatabaseProtocol) -> None:
        """A connection was made for a call."""
        self._connecting.pop(number, None)
        self._busy[number] = connection

    def connection_idle(self, connection: DatabaseProtocol) -> None:
        """A connection may be used for another call."""
        connection.idle_since = self.core.clock.now
        self._idle.append(connection)
        self._close_surplus()
        self._watch_idle()

    def connection_lost(self, connection: DatabaseProtocol) -> None:
        """A connection must not be used again."""
        if connection in self._idle:
            self._idle.remove(connection)

    def _close_surplus(self) -> None:
        while len(self._idle) > self.max_idle:
            self._idle.popleft().transport.loseConnection()

    def _close_aged(self) -> None:
        while self._idle and self.core.clock.now - self._idle[0].idle_since >= MAX_IDLE_US:
            self._idle.popleft().transport.loseConnection()

    def _watch_idle(self) -> None:
        if self._idle_alarm is None and self._idle:
            self._idle_alarm = self.core.alarms.at(self._idle[0].idle_since + MAX_IDLE_US, self._idle_expired)

    def _idle_expired(self) -> None:
        self._idle_alarm = None
        self._close_aged()
        self._watch_idle()
