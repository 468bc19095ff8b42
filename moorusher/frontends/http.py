"""HTTP/1 server framing: reads each call completely, within limits, and answers it."""

# Twisted's web server is not used: it costs 6 MB of memory, is several times as expensive per call, and restarts its
# timeout with every byte (docs/design/standing.md).

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from twisted.protocols.basic import LineReceiver

from ..core.outcomes import EndReason
from ..time_units import SECOND
from .unread_input import read_unread_input

MAX_HEAD_BYTES = 4096  # Maximum size of an HTTP request's request line and headers.
MAX_LENGTH_DIGITS = 12  # Maximum number of digits of Content-Length.
LINGER_US = 2 * SECOND  # Time for an answer to be read, and for the other side to close.
REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    503: "Service Unavailable",
}
# Reason phrase of other status codes, which operators can configure for health checks.
OTHER_REASON = "Health"


@dataclass(frozen=True, slots=True)
class HttpReply:
    """The answer to a call.

    Attributes:
        headers: Headers besides type, length, caching and connection.
    """

    status: int
    body: bytes
    content_type: str = "text/plain"
    headers: list[tuple[str, str]] = field(default_factory=list)


class HttpServerProtocol(LineReceiver):
    """Reads one call after the other, and answers each.

    The factory has `core`, `limiter`, `connection_closed(protocol)`, `counter_prefix` and
    `handle(method, path, headers, host)`, which returns the reply to a call.

    Attributes:
        host: Address of the caller. Its port changes with each connection.
        linger_us: Time for an answer to be read.
        max_body_bytes: Longest accepted body. Bodies are read and discarded.
    """

    transport: Any
    host = ""
    delimiter = b"\n"
    MAX_LENGTH = MAX_HEAD_BYTES
    linger_us = LINGER_US
    max_body_bytes = 0

    def __init__(self, factory: Any) -> None:
        self._factory = factory
        self._core = factory.core
        self._end_reason: EndReason | None = None
        self._alarm: Any = None  # aborts the connection if an answer is not read
        self._calls_answered = 0
        self._reset_call()

    def _reset_call(self) -> None:
        self._request: bytes | None = None  # The request line, None until it has arrived.
        self._headers: dict[str, str] = {}
        self._head_bytes = 0
        self._remaining_body_bytes = 0

    # ---- Twisted's events ----

    def connectionMade(self) -> None:
        """Register the new connection."""
        self.transport.setTcpNoDelay(True)
        # Bounds the unread answers if a caller sends calls without reading.
        self.transport.registerProducer(self, True)
        self._factory.limiter.connection_opened(self)

    def pauseProducing(self) -> None:
        """Stop reading, since the other side does not read. It has `linger_us` to resume."""
        super().pauseProducing()  # type: ignore[no-untyped-call]
        if self._alarm is None:
            self._alarm = self._core.alarms.at(self._core.clock.now + self.linger_us, self._abort_slow_reader)

    def resumeProducing(self) -> None:
        """Resume reading, since the other side reads again."""
        if self._alarm is not None and self._end_reason is None:
            self._alarm.cancel()
            self._alarm = None
        super().resumeProducing()  # type: ignore[no-untyped-call]

    def connectionLost(self, reason: object = None) -> None:
        """Release the connection's slot, and count why it ended."""
        if self._alarm is not None:
            self._alarm.cancel()
        self.transport.unregisterProducer()
        self._factory.connection_closed(self)
        end_reason = self._end_reason or EndReason.CLOSED_BY_PEER
        self._core.counters.add(f"{self._factory.counter_prefix}: {end_reason.value}")

    def dataReceived(self, data: bytes) -> None:
        """Parse received data, unless the connection is closing."""
        if self._end_reason is None:
            self._core.start_turn()
            super().dataReceived(data)  # type: ignore[no-untyped-call]

    def lineLengthExceeded(self, line: bytes) -> None:
        """Answer 431."""
        self._reject(431, "the head is too long", EndReason.LINE_TOO_LONG)

    def lineReceived(self, line: bytes) -> None:
        """Parse the request line or a header line of an HTTP request."""
        if self._end_reason is not None:
            return
        line = line.removesuffix(b"\r")
        self._head_bytes += len(line) + len(b"\r\n")
        if self._head_bytes > MAX_HEAD_BYTES:
            self._reject(431, "the head is too long", EndReason.LINE_TOO_LONG)
        elif self._request is None:
            if line:  # Empty lines before a request are ignored, as HTTP recommends.
                self._request = line
        elif line:
            self._read_header(line)
        else:
            self._end_head(self._request)

    def rawDataReceived(self, data: bytes) -> None:
        """Discard body data, and handle the HTTP request once its body is complete."""
        count = min(len(data), self._remaining_body_bytes)
        self._remaining_body_bytes -= count
        if not self._remaining_body_bytes and self._end_reason is None:
            self._handle_call()
            self.setLineMode(data[count:])  # type: ignore[no-untyped-call]

    # ---- closing ----

    @property
    def reading(self) -> bool:
        """Whether an HTTP request has been received in part, and the rest may still arrive."""
        return self._request is not None

    def request_close(self) -> None:
        """Close an idle connection, since HTTP has no message that asks the other side to close."""
        self.try_close(EndReason.IDLE_TIMEOUT)

    def try_close(self, end_reason: EndReason) -> bool:
        """Close, and return True. If unread input contains an HTTP request, answer it, stay open and return False."""
        answered_before = self._calls_answered
        if self._end_reason is None and end_reason is not EndReason.CLOSED_LOCALLY:
            read_unread_input(self.transport)
            if self._calls_answered > answered_before and self._end_reason is None:
                return False
        if self._end_reason is None:
            self._close(end_reason)
        return True

    def abort(self) -> None:
        """Abort the connection, and discard unsent output."""
        if self in self._factory.limiter.connections:
            self.transport.abortConnection()

    def _abort_slow_reader(self) -> None:
        self._end_reason = self._end_reason or EndReason.SLOW_READER
        self.abort()

    def _close(self, end_reason: EndReason) -> None:
        self._end_reason = end_reason
        self._factory.limiter.connection_closing(self)
        # Unread input would make the close reset the connection, and the answer could be lost. The input is discarded,
        # since `_end_reason` is set.
        read_unread_input(self.transport)
        self.transport.loseConnection()
        self._schedule_abort()

    def _schedule_abort(self) -> None:
        if self._alarm is not None:
            self._alarm.cancel()
        self._alarm = self._core.alarms.at(self._core.clock.now + self.linger_us, self.abort)

    # ---- a call ----

    def _read_header(self, line: bytes) -> None:
        name, colon, value = line.partition(b":")
        if not colon or not name or name != name.strip():
            self._reject(400, "a header can't be read", EndReason.FRAMING_LOST)
            return
        self._headers[name.decode("latin-1").lower()] = value.strip().decode("latin-1")

    def _end_head(self, request: bytes) -> None:
        parts = request.split()
        if len(parts) != 3 or not parts[2].startswith(b"HTTP/1."):
            self._reject(400, "no HTTP/1 request", EndReason.FRAMING_LOST)
            return
        length = self._headers.get("content-length", "0")
        # isdigit alone accepts digits of other scripts, and int alone accepts '+5' and '1_0'.
        if not (length.isascii() and length.isdigit()):
            self._reject(400, "Content-Length: expected a whole number", EndReason.FRAMING_LOST)
            return
        is_too_long = len(length) > MAX_LENGTH_DIGITS or int(length) > self.max_body_bytes
        if is_too_long or "transfer-encoding" in self._headers:
            self._reject(413, "no such body is taken here", EndReason.FRAMING_LOST)
            return
        self._remaining_body_bytes = int(length)
        if self._remaining_body_bytes:
            self.setRawMode()  # type: ignore[no-untyped-call]
        else:
            self._handle_call()

    def _handle_call(self) -> None:
        method, path, version = (part.decode("latin-1") for part in (self._request or b"").split())
        headers = self._headers
        self._reset_call()
        self._calls_answered += 1
        connection = headers.get("connection", "").lower()
        keep_alive = connection == "keep-alive" if version == "HTTP/1.0" else connection != "close"
        reply = self._factory.handle(method, path.partition("?")[0], headers, self.host)
        self._answer(reply, keep_alive, method != "HEAD")

    def _reject(self, status: int, text: str, end_reason: EndReason) -> None:
        """Answer an error and close our half of the connection."""
        # The start of the next call is unknown. After a full close, the caller might not be able to read the error.
        self._core.counters.add("faulty")
        self._end_reason = end_reason
        self._factory.limiter.connection_closing(self)
        self._write(HttpReply(status, text.encode() + b"\n"), keep_alive=False)
        self.transport.loseWriteConnection()
        self._schedule_abort()

    def _answer(self, reply: HttpReply, keep_alive: bool, with_body: bool = True) -> None:
        self._write(reply, keep_alive, with_body)
        if keep_alive:
            self._factory.limiter.connection_idle(self)
        else:
            self.try_close(EndReason.CLOSED_LOCALLY)

    def _write(self, reply: HttpReply, keep_alive: bool, with_body: bool = True) -> None:
        lines = [
            f"HTTP/1.1 {reply.status} {REASONS.get(reply.status, OTHER_REASON)}",
            f"Content-Type: {reply.content_type}",
            f"Content-Length: {len(reply.body)}",
            "Cache-Control: no-store",
            f"Connection: {'keep-alive' if keep_alive else 'close'}",
            *(f"{name}: {value}" for name, value in reply.headers),
        ]
        head = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
        self.transport.write(head + (reply.body if with_body else b""))


def not_allowed(*allowed: str) -> HttpReply:
    """Return a 405 reply that names the allowed methods."""
    text = f"only {' and '.join(allowed)}\n"
    return HttpReply(405, text.encode(), headers=[("Allow", ", ".join(allowed))])
