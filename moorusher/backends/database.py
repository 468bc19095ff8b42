"""Downstream calls to the database over HTTP/1.1: a connection pool with one call at a time on each connection."""

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
from .tcp_acknowledgement import acknowledge_now

CONNECT_TIMEOUT_S = 30  # The time limit of a call is usually shorter.
# Time between a response and the reuse of its connection, in which unexpected further data is detected.
REUSE_DELAY_US = 20 * MS
# The database closes idle connections after 10 s. No call must be sent while it does so.
MAX_IDLE_US = 7 * SECOND
MAX_IDLE_CONNECTIONS = 32
MAX_BUSY_CONNECTIONS = 1024
NEVER_STARTED_HEADER = b"never-started"


def end_reason_of(status: int, headers: dict[bytes, bytes]) -> EndReason:
    """Return how a call ended. Assume that the call ran, unless the response proves that it never did."""
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
    """A connection to the database.

    Attributes:
        number: Number of the call in progress, None if the connection is idle.
        idle_since: When the last call ended, in microseconds.
        was_idle: Whether the connection was idle before the current call.
    """

    def __init__(self, pool: DatabasePool, number: int, call: CallRequest) -> None:
        """Create a connection that sends `call` once it is established."""
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
        """Send a call as an HTTP request."""
        self.number = number
        self._call = call
        self.request_sent()
        self.transport.write(
            b"POST /v1/exec HTTP/1.1\r\nHost: db\r\nRequest-Ref: %s\r\nStatement-Timeout-Ms: %d\r\n"
            b"Content-Length: %d\r\n\r\n%s" % (call.rid.encode(), call.timeout_ms, len(call.body), call.body)
        )

    def response_received(self, response: HttpResponse) -> None:
        """End the call, and return the connection to the pool if it can be reused."""
        self._pool.core.start_turn()
        number = self.number
        self.number = None
        if number is None or not response.keep_alive or self._address != self._pool.address:
            self.transport.loseConnection()
        else:
            # If the server has written more than the reply, its system may withhold the rest until the reply is
            # acknowledged. It must arrive now, and not behind the next call, whose reply it would be taken for.
            acknowledge_now(self.transport)
            self._pool.connection_idle(self)
        if number is not None:
            self._pool.call_ended(number, end_reason_of(response.status, response.headers), response.body)

    def unexpected_data(self) -> None:
        """Abort the connection: further data could be mistaken for the next response."""
        self._pool.connection_lost(self)
        self.transport.abortConnection()

    def response_malformed(self, reason: str) -> None:
        """End the call without a response, and abort the connection."""
        number = self.number
        self.number = None
        self.transport.abortConnection()
        if number is not None:
            self._pool.call_ended(number, EndReason.CALL_REPLY_UNREADABLE, b"")

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Retry the call if that is allowed, otherwise end it.

        If the connection was idle before, the database most likely closed it before the call arrived. This is not
        certain, so only calls that may run twice are sent on such connections and retried.
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
    """A connection attempt for one call.

    Attributes:
        address: Address of the attempt.
    """

    noisy = False

    def __init__(self, pool: DatabasePool, number: int, call: CallRequest) -> None:
        self._pool = pool
        self._number = number
        self._call = call
        self._is_cancelled = False
        self._connector: Any = None
        self.address = pool.address

    def connect(self, address: Address) -> None:
        """Start connecting to an address."""
        self.address = address
        self._connector = self._pool.reactor.connectTCP(*address, self, timeout=CONNECT_TIMEOUT_S)

    def cancel(self) -> None:
        """Cancel the attempt, since the call was cancelled."""
        self._is_cancelled = True
        if self._connector is not None:
            self._connector.disconnect()

    def restart(self) -> None:
        """Abort the attempt. `clientConnectionFailed` then retries with the current address of the pool."""
        self._connector.disconnect()

    def buildProtocol(self, addr: object) -> DatabaseProtocol | None:
        """Return the protocol, which sends the call, or None if the attempt was cancelled."""
        if self._is_cancelled:
            return None
        connection = DatabaseProtocol(self._pool, self._number, self._call)
        self._pool.connection_made(self._number, connection)
        return connection

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        """Retry with the pool's current address if it has changed, otherwise end the call, which was never sent."""
        if self._is_cancelled:
            return
        if self.address != self._pool.address:
            self.connect(self._pool.address)
        else:
            self._pool.call_ended(self._number, EndReason.CALL_NOT_CONNECTED, b"")


class DatabasePool:
    """The connections to one database, and the calls on them.

    Attributes:
        reactor: Twisted's reactor.
        address: Address of the database.
        core: The request engine or server pool that makes the calls; set by it.
        max_idle: Maximum number of idle connections.
        max_busy: Maximum number of connections that carry a call or are being opened for one.
    """

    def __init__(self, reactor: Any, address: Address, max_idle: int = MAX_IDLE_CONNECTIONS) -> None:
        self.core: BackendOwner
        self.reactor = reactor
        self.address = address
        self.max_idle = max_idle
        self.max_busy = MAX_BUSY_CONNECTIONS
        self._idle: deque[DatabaseProtocol] = deque()  # longest idle first; the last one is reused first
        self._connecting: dict[int, DatabaseConnectionFactory] = {}  # by call number
        self._busy: dict[int, DatabaseProtocol] = {}  # by call number
        self._idle_alarm: Alarm | None = None  # for the connection that has been idle longest

    # ---- calls ----

    def call(self, number: int, request: CallRequest) -> None:
        """Make a call, and report its end to `core.execution`."""
        self._close_expired()
        connection = self._find_reusable() if tolerates_duplicates(request.effect) else None
        if connection is None:
            self.connect(number, request)
            return
        self._idle.remove(connection)
        self._busy[number] = connection
        connection.was_idle = True
        connection.send(number, request)

    def _find_reusable(self) -> DatabaseProtocol | None:
        """Return the most recently idle connection that has been idle for `REUSE_DELAY_US`, or None.

        On a connection that has just become idle, late data or a duplicate response could be mistaken for the next
        response. Calls that must not run twice always use a new connection, since a reset of a reused one does not
        prove that the call never ran.
        """
        latest = self.core.clock.now - REUSE_DELAY_US
        return next(
            (connection for connection in reversed(self._idle) if connection.idle_since <= latest), None
        )

    def connect(self, number: int, call: CallRequest) -> None:
        """Make a call on a new connection, or end it as never sent if the connection limit is reached."""
        if len(self._busy) + len(self._connecting) >= self.max_busy:
            self.call_ended(number, EndReason.CALL_NOT_CONNECTED, b"")
            return
        factory = self._connecting[number] = DatabaseConnectionFactory(self, number, call)
        factory.connect(self.address)

    def give_up(self, number: int) -> None:
        """Cancel a call by closing its connection. Its end is not reported."""
        factory = self._connecting.pop(number, None)
        if factory is not None:
            factory.cancel()
        connection = self._busy.pop(number, None)
        if connection is not None:
            connection.number = None
            connection.transport.abortConnection()

    def call_ended(self, number: int, reason: EndReason, body: bytes) -> None:
        """Report the end of a call to the owner."""
        self._connecting.pop(number, None)
        self._busy.pop(number, None)
        self.core.execution.call_ended(number, reason, body)

    # ---- called by the owner ----

    def set_address(self, address: Address) -> None:
        """Send new calls to a new address. Calls in flight may still be answered at the old one."""
        if address == self.address:
            return
        self.address = address
        idle = self._idle
        self._idle = deque()
        for connection in idle:
            connection.transport.loseConnection()
        for factory in list(self._connecting.values()):
            factory.restart()

    def close(self) -> None:
        """Close all idle connections. Calls in flight are not affected."""
        self.set_max_idle(0)

    def set_max_idle(self, max_idle: int = MAX_IDLE_CONNECTIONS) -> None:
        """Change the maximum number of idle connections, and close those above it."""
        self.max_idle = max_idle
        self._close_surplus()

    # ---- connections ----

    def connection_made(self, number: int, connection: DatabaseProtocol) -> None:
        """Record that the connection for a call was established."""
        self._connecting.pop(number, None)
        self._busy[number] = connection

    def connection_idle(self, connection: DatabaseProtocol) -> None:
        """Return a connection to the pool for reuse."""
        connection.idle_since = self.core.clock.now
        self._idle.append(connection)
        self._close_surplus()
        self._schedule_idle_expiry()

    def connection_lost(self, connection: DatabaseProtocol) -> None:
        """Remove a connection from the pool."""
        if connection in self._idle:
            self._idle.remove(connection)

    def _close_surplus(self) -> None:
        while len(self._idle) > self.max_idle:
            self._idle.popleft().transport.loseConnection()

    def _close_expired(self) -> None:
        while self._idle and self.core.clock.now - self._idle[0].idle_since >= MAX_IDLE_US:
            self._idle.popleft().transport.loseConnection()

    def _schedule_idle_expiry(self) -> None:
        if self._idle_alarm is None and self._idle:
            self._idle_alarm = self.core.alarms.at(self._idle[0].idle_since + MAX_IDLE_US, self._idle_expired)

    def _idle_expired(self) -> None:
        self._idle_alarm = None
        self._close_expired()
        self._schedule_idle_expiry()
