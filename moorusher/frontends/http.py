"""The server's side of HTTP/1: one call read whole, with its bounds, and answered. Framing only.

A small reader of its own in place of Twisted's web server, which costs 6 MB and several times as much for a call,
and counts its time-out anew with every byte (docs/design/standing.md).
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from twisted.protocols.basic import LineReceiver

from ..core.outcomes import EndReason
from ..time_units import SECOND
from .unread_input import read_unread_input

MAX_HEAD_BYTES = 4096  # of a call before its body, all lines together
MAX_LENGTH_DIGITS = 12  # of Content-Length
LINGER_US = 2 * SECOND  # for an answer to be read, and for the other side to close
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
OTHER_REASON = "Health"  # of status codes that an operator has chosen for health checks


@dataclass(frozen=True, slots=True)
class HttpReply:
    """The answer to a call. `headers`: those beside type, length, caching and connection."""

    status: int
    body: bytes
    content_type: str = "text/plain"
    headers: list[tuple[str, str]] = field(default_factory=list)


class HttpServerProtocol(LineReceiver):
    """Reads one call after the other, and answers each.

    The factory has `core`, `limiter`, `connection_closed(protocol)`, `counts` (the prefix of its counters) and
    `handle(method, path, headers, host)`, which returns the reply to a call. `host`: the caller's address; its port
    changes with each connection. `linger`: us for an answer to be read. `max_body_bytes`: a body up to this is read and
    dropped.
    """

    transport: Any
    host = ""
    delimiter = b"\n"
    MAX_LENGTH = MAX_HEAD_BYTES
    linger = LINGER_US
    max_body_bytes = 0

    def __init__(self, factory: Any) -> None:
        self._factory = factory
        self._core = factory.core
        self._ending: EndReason | None = None
        self._alarm: Any = None  # of an answer that is not read
        self._calls_answered = 0
        self._expect_call()

    def _expect_call(self) -> None:
        self._request: bytes | None = None  # the request line, once it has come
        self._headers: dict[str, str] = {}
        self._head_bytes = 0
        self._missing_body_bytes = 0

    # ---- Twisted's events ----

    def connectionMade(self) -> None:
        """A caller has connected."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)  # calls sent and never read must not pile up as answers
        self._factory.limiter.connection_opened(self)

    def pauseProducing(self) -> None:
        """The other side does not read: nothing more is read from it, and it has `linger` to begin."""
        super().pauseProducing()  # type: ignore[no-untyped-call]
        if self._alarm is None:
            self._alarm = self._core.alarms.at(self._core.clock.now + self.linger, self._end_slow_reader)

    def resumeProducing(self) -> None:
        """The other side reads again."""
        if self._alarm is not None and self._ending is None:
            self._alarm.cancel()
            self._alarm = None
        super().resumeProducing()  # type: ignore[no-untyped-call]

    def connectionLost(self, reason: object = None) -> None:
        """The connection is gone."""
        if self._alarm is not None:
            self._alarm.cancel()
        self.transport.unregisterProducer()
        self._factory.connection_closed(self)
        ending = self._ending or EndReason.CLOSED_BY_PEER
        self._core.counters.add(f"{self._factory.counts}: {ending.value}")

    def dataReceived(self, data: bytes) -> None:
        """Bytes have come; they are dropped once the connection closes."""
        if self._ending is None:
            self._core.begin_turn()
            super().dataReceived(data)  # type: ignore[no-untyped-call]

    def lineLengthExceeded(self, line: bytes) -> None:
        """Answer 431."""
        self._reject(431, "the head is too long", EndReason.LINE_TOO_LONG)

    def lineReceived(self, line: bytes) -> None:
        """One line of a call's head."""
        if self._ending is not None:
            return
        line = line.removesuffix(b"\r")
        self._head_bytes += len(line) + len(b"\r\n")
        if self._head_bytes > MAX_HEAD_BYTES:
            self._reject(431, "the head is too long", EndReason.LINE_TOO_LONG)
        elif self._request is None:
            if line:  # empty lines before a request are passed over, as HTTP advises
                self._request = line
        elif line:
            self._read_header(line)
        else:
            self._end_head(self._request)

    def rawDataReceived(self, data: bytes) -> None:
        """A part of a call's body."""
        count = min(len(data), self._missing_body_bytes)
        self._missing_body_bytes -= count
        if not self._missing_body_bytes and self._ending is None:
            self._handle_call()
            self.setLineMode(data[count:])  # type: ignore[no-untyped-call]

    # ---- closing ----

    @property
    def reading(self) -> bool:
        """Whether a call has begun whose rest may still come."""
        return self._request is not None

    def leave(self) -> None:
        """Close an idle connection: HTTP has no other word for it."""
        self.end(EndReason.IDLE_TIMEOUT)

    def end(self, ending: EndReason) -> bool:
        """Close. Returns False where a call had come unread: it is answered now, and the connection stays."""
        answered_before = self._calls_answered
        if self._ending is None and ending is not EndReason.CLOSED_LOCALLY:
            read_unread_input(self.transport)
            if self._calls_answered > answered_before and self._ending is None:
                return False
        if self._ending is None:
            self._close(ending)
        return True

    def cut(self) -> None:
        """Abort the connection, whatever is unsent."""
        if self in self._factory.limiter.connections:
            self.transport.abortConnection()

    def _end_slow_reader(self) -> None:
        self._ending = self._ending or EndReason.SLOW_READER
        self.cut()

    def _close(self, ending: EndReason) -> None:
        self._ending = ending
        self._factory.limiter.connection_closing(self)
        # Dropped, since `_ending` is set: left unread, it would reset the connection, answer and all.
        read_unread_input(self.transport)
        self.transport.loseConnection()
        self._cut_later()

    def _cut_later(self) -> None:
        if self._alarm is not None:
            self._alarm.cancel()
        self._alarm = self._core.alarms.at(self._core.clock.now + self.linger, self.cut)

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
        # isdigit alone lets other scripts' digits pass; int alone lets '+5' and '1_0' pass.
        if not (length.isascii() and length.isdigit()):
            self._reject(400, "Content-Length: expected a whole number", EndReason.FRAMING_LOST)
            return
        is_too_long = len(length) > MAX_LENGTH_DIGITS or int(length) > self.max_body_bytes
        if is_too_long or "transfer-encoding" in self._headers:
            self._reject(413, "no such body is taken here", EndReason.FRAMING_LOST)
            return
        self._missing_body_bytes = int(length)
        if self._missing_body_bytes:
            self.setRawMode()  # type: ignore[no-untyped-call]
        else:
            self._handle_call()

    def _handle_call(self) -> None:
        method, path, version = (part.decode("latin-1") for part in (self._request or b"").split())
        headers = self._headers
        self._expect_call()
        self._calls_answered += 1
        connection = headers.get("connection", "").lower()
        keep_alive = connection == "keep-alive" if version == "HTTP/1.0" else connection != "close"
        reply = self._factory.handle(method, path.partition("?")[0], headers, self.host)
        self._answer(reply, keep_alive, method != "HEAD")

    def _reject(self, status: int, text: str, ending: EndReason) -> None:
        """Answer an error and close our half: where the next call begins is not known, and the error is to be read."""
        self._core.counters.add("faulty")
        self._ending = ending
        self._factory.limiter.connection_closing(self)
        self._write(HttpReply(status, text.encode() + b"\n"), keep_alive=False)
        self.transport.loseWriteConnection()
        self._cut_later()

    def _answer(self, reply: HttpReply, keep_alive: bool, with_body: bool = True) -> None:
        self._write(reply, keep_alive, with_body)
        if keep_alive:
            self._factory.limiter.connection_idle(self)
        else:
            self.end(EndReason.CLOSED_LOCALLY)

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
    """Return a 405 that names the methods that are allowed."""
    text = f"only {' and '.join(allowed)}\n"
    return HttpReply(405, text.encode(), headers=[("Allow", ", ".join(allowed))])
