"""The platform's protocol, JSON-RPC 2.0 with one message per line: framing, and opening and closing of connections."""

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

MAX_LINE_BYTES = 8192  # The longest body takes 2,732 bytes in base64.
# Time for the first message that gets an answer. A connection without one must be closed within 3 s, and a slow
# client may take 2 s for its first request.
FIRST_MESSAGE_TIMEOUT_US = 2_500 * MS
DEFAULT_IDLE_TIMEOUT_US = 30 * SECOND  # Used if the settings contain no idle timeout.
LINGER_US = SECOND  # Time for the other side to read why the connection is closed.
# Bytes read per connection and turn, limited so that many busy connections don't block the event loop.
MAX_READ_BYTES = 16_384
MAX_UNSENT_BYTES = 256 * 1024  # Two thirds are enough for 32 answers of 4 KiB in base64.


class JsonRpcProtocol(LineOnlyReceiver):
    """A connection of a front end.

    Attributes:
        session: The requests of the connection.
        last_activity_us: When the connection was made or the last message arrived, in us.
        leaving: Whether the other side has been asked to send no new requests.
        unsent_bytes: Bytes written since the other side stopped reading, 0 while it reads.
        pending_end_reason: Why reading has stopped while open requests are still answered; None while reading.
        end_reason: Why the connection closes; None while it is open.
    """

    transport: Any  # mypy does not support zope interfaces.
    delimiter = b"\n"
    MAX_LENGTH = MAX_LINE_BYTES

    def __init__(self, factory: JsonRpcFactory) -> None:
        self._factory = factory
        self._core = factory.core
        self._limiter = factory.limiter
        self.session = JsonRpcSession(factory.core, self, factory.is_fit)
        self.last_activity_us = 0
        self.leaving = False
        self.unsent_bytes = 0
        self.pending_end_reason: EndReason | None = None
        self.end_reason: EndReason | None = None
        self._message_began_us = 0  # When the incomplete message began to arrive; 0 if there is none.
        self._is_producer = False  # Whether this is registered as a producer at the transport.

    # ---- Twisted's events ----

    def connectionMade(self) -> None:
        """Register the new connection."""
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = MAX_READ_BYTES
        # Stops reading from a front end that does not read. `send` limits the answers to requests already received.
        self.transport.registerProducer(self, True)
        self._is_producer = True
        self._core.start_turn()
        self.last_activity_us = self._core.clock.now
        self._limiter.connection_opened(self)
        self._core.counters.add("connections")
        if self._factory.draining:
            self.request_close()

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Release the connection's slot, count why it ended, and cancel its requests."""
        self._unregister_producer()
        is_clean = reason is None or reason.check(ConnectionDone)  # type: ignore[no-untyped-call]
        self._limiter.connection_closed(self)
        end_reason = self.end_reason or (EndReason.CLOSED_BY_PEER if is_clean else EndReason.CONNECTION_LOST)
        self._core.counters.add("connections: " + end_reason.value)
        self.session.connection_lost()

    def dataReceived(self, data: bytes) -> None:
        """Parse received data, unless reading has stopped."""
        if self.end_reason is not None or self.pending_end_reason is not None:
            return
        self._core.start_turn()
        super().dataReceived(data)  # type: ignore[no-untyped-call]
        if not self._buffer:
            self._message_began_us = 0
        elif not self._message_began_us or self.delimiter in data:
            self._message_began_us = self._core.clock.now

    def lineReceived(self, line: bytes) -> None:
        """Handle a message."""
        if self.end_reason is not None or self.pending_end_reason is not None or not line.strip():
            return
        self._core.start_turn()
        self.last_activity_us = self._core.clock.now
        self.session.handle(line, self._message_began_us or None)

    def lineLengthExceeded(self, line: bytes) -> None:
        """Send an error and stop reading: the start of the next message is unknown."""
        self.send(error_line(None, PARSE, f"a line of more than {self.MAX_LENGTH} bytes"))
        self.stop_reading(EndReason.LINE_TOO_LONG)

    def pauseProducing(self) -> None:
        """Stop reading, since the other side does not read."""
        self.unsent_bytes = 1
        self.transport.pauseProducing()

    def resumeProducing(self) -> None:
        """Resume reading, since the other side reads again."""
        self.unsent_bytes = 0
        self.transport.resumeProducing()

    def stopProducing(self) -> None:
        """Called when the connection ends. `connectionLost` follows."""

    def _unregister_producer(self) -> None:
        if self._is_producer:
            self._is_producer = False
            self.transport.unregisterProducer()

    # ---- called by the session ----

    def send(self, line: bytes) -> None:
        """Write a line. Abort the connection if the other side does not read and `MAX_UNSENT_BYTES` is exceeded."""
        self.transport.write(line)  # The transport collects the output, and sends it once per turn.
        if self.unsent_bytes:
            self.unsent_bytes += len(line)
            if self.unsent_bytes > MAX_UNSENT_BYTES:
                self.try_close(EndReason.SLOW_READER)

    def mark_idle(self) -> None:
        """Record that a complete message has arrived, and no request is open."""
        self._limiter.connection_idle(self)

    def mark_busy(self) -> None:
        """Record that a request is open."""
        self._limiter.connection_busy(self)

    def request_close(self) -> None:
        """Ask the front end to send no new requests and to close, unless it was asked before."""
        if not self.leaving:
            self.leaving = True
            self.send(LEAVING)

    def stop_reading(self, end_reason: EndReason) -> None:
        """Stop reading, and close once all open requests are answered."""
        if self.pending_end_reason is None:
            self.pending_end_reason = end_reason
            self.mark_busy()
            self.close_if_answered()

    def close_if_answered(self) -> None:
        """Close if reading has stopped and no request is open."""
        if self.pending_end_reason is not None and not self.session.open:
            self._half_close(self.pending_end_reason)

    # ---- closing ----

    @property
    def reading(self) -> bool:
        """Whether a message has been received in part, and the rest may still arrive."""
        began = self._message_began_us
        return began > 0 and self._core.clock.now - began < FIRST_MESSAGE_TIMEOUT_US

    def try_close(self, end_reason: EndReason) -> bool:
        """Read pending input, then close.

        Return False and stay open if the input contains a request, or if an idle connection has received one in part.
        """
        if self.end_reason is None and end_reason is not EndReason.SLOW_READER and not self.unsent_bytes:
            read_unread_input(self.transport)
            if self.end_reason is None and self.session.open:
                return False
            if self.end_reason is None and end_reason is EndReason.IDLE_TIMEOUT and self.reading:
                self._limiter.close_requested(self)
                return False
        if self.end_reason is None:
            self._close(end_reason)
        return True

    def read_pending_input(self) -> None:
        """Read pending input before the runner stops, so that requests in it are answered."""
        if self.end_reason is None and not self.unsent_bytes:
            read_unread_input(self.transport)

    def close(self) -> None:
        """Close before the runner stops, after all open requests have been answered."""
        if self.end_reason is None:
            self._close(EndReason.CLOSED_LOCALLY)

    def abort(self) -> None:
        """Abort the connection, and discard unsent output."""
        if self in self._limiter.connections:
            self.transport.abortConnection()

    def _close(self, end_reason: EndReason) -> None:
        if end_reason is EndReason.EVICTED_WHILE_IDLE:
            self.request_close()  # notifies the idle front end, so that it sends no new requests
        self.end_reason = end_reason
        self._limiter.connection_closing(self)
        if end_reason is EndReason.SLOW_READER:
            self.transport.abortConnection()
        else:
            self._unregister_producer()  # Twisted would never close a connection with a paused producer.
            self.transport.loseConnection()

    def _half_close(self, end_reason: EndReason) -> None:
        """Close our half of the connection, and discard further input."""
        # A full close with unread input would reset the connection, and the other side might never see the error.
        if self.end_reason is None:
            self.end_reason = end_reason
            self._limiter.connection_closing(self)
            self.transport.loseWriteConnection()
            self._core.alarms.at(self._core.clock.now + LINGER_US, self.abort)


class JsonRpcFactory(LimitedFactory):
    """Builds the protocols of front-end connections.

    Attributes:
        draining: Whether new connections are asked at once to send no requests.
        is_fit: Returns whether health checks are answered with "fit".
    """

    def __init__(self, core: RequestEngine, max_connections: int, is_fit: Callable[[], bool]) -> None:
        idle_timeout_us = round(core.settings.max_idle_connection_ms * MS) or DEFAULT_IDLE_TIMEOUT_US
        super().__init__(
            core, ConnectionLimiter(core, max_connections, FIRST_MESSAGE_TIMEOUT_US, idle_timeout_us)
        )
        self.draining = False
        self.is_fit = is_fit

    def connection(self) -> JsonRpcProtocol:
        """Return the protocol of a new connection."""
        return JsonRpcProtocol(self)

    @property
    def connections(self) -> set[JsonRpcProtocol]:
        """The open connections."""
        return cast(set[JsonRpcProtocol], self.limiter.connections)

    def start_draining(self) -> None:
        """Ask all front ends, including those that connect later, to send no new requests."""
        self.draining = True
        for connection in list(self.connections):
            connection.request_close()

    def set_idle_timeout(self, idle_timeout_us: int) -> None:
        """Change the idle timeout, in us, after which front ends are asked to close a connection."""
        # The runner does not close it at once, since a request could arrive at the same time.
        self.limiter.set_idle_timeout(idle_timeout_us)
