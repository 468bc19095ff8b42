"""The platform's protocol, JSON-RPC 2.0 with one message a line: framing, and the life of a connection."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, cast

from twisted.internet.error import ConnectionDone
from twisted.protocols.basic import LineOnlyReceiver
from twisted.python.failure import Failure

from ..core.outcomes import EndReason
from ..core.request_engine import RequestEngine
from ..time_units import MS, SECOND
from .connection_limits import ConnectionLimiter
from .jsonrpc_messages import LEAVING, PARSE, error_line
from .jsonrpc_session import JsonRpcSession
from .limited_protocol import LimitedFactory
from .unread_input import read_unread_input

MAX_LINE_BYTES = 8192  # a body in base64 takes 2,732 of it
# Until a message that gets an answer has come. A client that sends none is owed its close within 3 s, and a slow one
# may take 2 s over its first request.
FIRST_MESSAGE_TIMEOUT_US = 2_500 * MS
DEFAULT_IDLE_TIMEOUT_US = 30 * SECOND  # where the settings name none
LINGER_US = SECOND  # for the other side to read why it is closed
MAX_READ_BYTES = 16_384  # in one turn, from one connection: many of them at once must not hold the loop
MAX_UNSENT_BYTES = 256 * 1024  # 32 answers of 4 KiB in base64 are two thirds of it


class JsonRpcProtocol(LineOnlyReceiver):
    """One connection of a front end.

    `session`: its requests. `active`: when something last came, us. `leaving`: the other side has been asked to send
    nothing new. `unsent`: bytes written since the other side stopped reading, 0 while it reads. `last_ending`: why
    nothing more is read, while open requests still get their answers. `ending`: why it closes, None while it is open.
    """

    transport: Any  # zope's interfaces mean nothing to mypy
    delimiter = b"\n"
    MAX_LENGTH = MAX_LINE_BYTES

    def __init__(self, factory: JsonRpcFactory) -> None:
        self._factory = factory
        self._core = factory.core
        self._limiter = factory.limiter
        self.session = JsonRpcSession(factory.core, self, factory.is_fit)
        self.active = 0
        self.leaving = False
        self.unsent = 0
        self.last_ending: EndReason | None = None
        self.ending: EndReason | None = None
        self._message_began_us = 0  # when the message began whose end has not come yet; 0 where there is none
        self._is_producer = False  # registered at the transport

    # ---- Twisted's events ----

    def connectionMade(self) -> None:
        """A front end has connected."""
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = MAX_READ_BYTES
        # A front end that does not read is not read either; what it is already owed is bounded in `send`.
        self.transport.registerProducer(self, True)
        self._is_producer = True
        self._core.begin_turn()
        self.active = self._core.clock.now
        self._limiter.connection_opened(self)
        self._core.counters.add("connections")
        if self._factory.draining:
            self.leave()

    def connectionLost(self, reason: Failure | None = None) -> None:
        """The connection is gone: nobody waits for its requests."""
        self._unregister_producer()
        is_clean = reason is None or reason.check(ConnectionDone)  # type: ignore[no-untyped-call]
        self._limiter.connection_closed(self)
        ending = self.ending or (EndReason.CLOSED_BY_PEER if is_clean else EndReason.CONNECTION_LOST)
        self._core.counters.add("connections: " + ending.value)
        self.session.connection_lost()

    def dataReceived(self, data: bytes) -> None:
        """Bytes have come; they are dropped once nothing more is read."""
        if self.ending is not None or self.last_ending is not None:
            return
        self._core.begin_turn()
        super().dataReceived(data)  # type: ignore[no-untyped-call]
        if not self._buffer:
            self._message_began_us = 0
        elif not self._message_began_us or self.delimiter in data:
            self._message_began_us = self._core.clock.now

    def lineReceived(self, line: bytes) -> None:
        """One message has come."""
        if self.ending is not None or self.last_ending is not None or not line.strip():
            return
        self._core.begin_turn()
        self.active = self._core.clock.now
        self.session.handle(line, self._message_began_us or None)

    def lineLengthExceeded(self, line: bytes) -> None:
        """Where the next message starts is not known: nothing more is read."""
        self.send(error_line(None, PARSE, f"a line of more than {self.MAX_LENGTH} bytes"))
        self.stop_reading(EndReason.LINE_TOO_LONG)

    def pauseProducing(self) -> None:
        """The other side does not read."""
        self.unsent = 1
        self.transport.pauseProducing()

    def resumeProducing(self) -> None:
        """The other side reads again."""
        self.unsent = 0
        self.transport.resumeProducing()

    def stopProducing(self) -> None:
        """The transport says so as the connection ends; `connectionLost` follows."""

    def _unregister_producer(self) -> None:
        if self._is_producer:
            self._is_producer = False
            self.transport.unregisterProducer()

    # ---- for the session ----

    def send(self, line: bytes) -> None:
        """Write one line. A connection that does not read is aborted above `MAX_UNSENT_BYTES`."""
        self.transport.write(line)  # the transport writes once a turn, whatever was added to it
        if self.unsent:
            self.unsent += len(line)
            if self.unsent > MAX_UNSENT_BYTES:
                self.end(EndReason.SLOW_READER)

    def idle(self) -> None:
        """A complete message has come, and no request is open."""
        self._limiter.connection_idle(self)

    def busy(self) -> None:
        """A request is open."""
        self._limiter.connection_busy(self)

    def leave(self) -> None:
        """Ask the front end to send nothing new here, once."""
        if not self.leaving:
            self.leaving = True
            self.send(LEAVING)

    def stop_reading(self, ending: EndReason) -> None:
        """Read nothing more, and close once all open requests are answered."""
        if self.last_ending is None:
            self.last_ending = ending
            self.busy()
            self.end_if_answered()

    def end_if_answered(self) -> None:
        """Close if nothing more is read and no request is open."""
        if self.last_ending is not None and not self.session.open:
            self._half_close(self.last_ending)

    # ---- closing ----

    @property
    def reading(self) -> bool:
        """Whether a message has begun whose rest may still come."""
        began = self._message_began_us
        return began > 0 and self._core.clock.now - began < FIRST_MESSAGE_TIMEOUT_US

    def end(self, ending: EndReason) -> bool:
        """Close, after reading what has come unread.

        Returns False, and stays open, where that has a request, or where an idle connection is reading one.
        """
        if self.ending is None and ending is not EndReason.SLOW_READER and not self.unsent:
            read_unread_input(self.transport)
            if self.ending is None and self.session.open:
                return False
            if self.ending is None and ending is EndReason.IDLE_TIMEOUT and self.reading:
                self._limiter.leave_requested(self)
                return False
        if self.ending is None:
            self._close(ending)
        return True

    def read_rest(self) -> None:
        """The runner ends: requests that have come until now still get their answers."""
        if self.ending is None and not self.unsent:
            read_unread_input(self.transport)

    def close(self) -> None:
        """The runner ends, and all that was open has its answer."""
        if self.ending is None:
            self._close(EndReason.CLOSED_LOCALLY)

    def cut(self) -> None:
        """Abort the connection, whatever is unsent."""
        if self in self._limiter.connections:
            self.transport.abortConnection()

    def _close(self, ending: EndReason) -> None:
        if ending is EndReason.EVICTED_WHILE_IDLE:
            self.leave()  # an idle front end learns why, and sends nothing new
        self.ending = ending
        self._limiter.connection_closing(self)
        if ending is EndReason.SLOW_READER:
            self.transport.abortConnection()
        else:
            self._unregister_producer()  # with a producer that is paused, Twisted would never close
            self.transport.loseConnection()

    def _half_close(self, ending: EndReason) -> None:
        """Close our half, and drop what still comes.

        A close with input unread would reset the connection, and the other side might never see the error.
        """
        if self.ending is None:
            self.ending = ending
            self._limiter.connection_closing(self)
            self.transport.loseWriteConnection()
            self._core.alarms.at(self._core.clock.now + LINGER_US, self.cut)


class JsonRpcFactory(LimitedFactory):
    """Listens for front ends.

    `draining`: new connections are asked to leave at once. `is_fit`: what health checks are answered.
    """

    def __init__(self, core: RequestEngine, max_connections: int, is_fit: Callable[[], bool]) -> None:
        idle_timeout = round(core.settings.max_idle_connection_ms * MS) or DEFAULT_IDLE_TIMEOUT_US
        super().__init__(
            core, ConnectionLimiter(core, max_connections, FIRST_MESSAGE_TIMEOUT_US, idle_timeout)
        )
        self.draining = False
        self.is_fit = is_fit

    def connection(self) -> JsonRpcProtocol:
        """Return the protocol of a new connection."""
        return JsonRpcProtocol(self)

    @property
    def connections(self) -> set[JsonRpcProtocol]:
        """All that are open."""
        return cast(set[JsonRpcProtocol], self.limiter.connections)

    def leave(self) -> None:
        """Ask all front ends, and those that still connect, to send nothing new here."""
        self.draining = True
        for connection in list(self.connections):
            connection.leave()

    def trim(self, idle_timeout: int) -> None:
        """Ask front ends to close what has carried nothing for this time, us: our own close could cross a request."""
        self.limiter.set_idle_timeout(idle_timeout)
