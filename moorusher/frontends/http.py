"""The server's side of HTTP/1: one call read whole, with its bounds, and answered. Framing only.

A small reader of its own in place of Twisted's web server, which costs 6 MB and several times as much for a call,
and counts its time-out anew with every byte (docs/design/standing.md).
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from twisted.protocols.basic import LineReceiver

from ..core.clock import SECOND
from ..core.outcomes import EndReason
from .unread_input import read_unread_input

MOST_HEAD = 4096  # bytes of a call before its body, all lines together
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


@dataclass(frozen=True, slots=True)
class HttpReply:
    """The answer to a call."""

    status: int
    body: bytes
    kind: str = "text/plain"
    more: list[tuple[str, str]] = field(default_factory=list)


class HttpServerProtocol(LineReceiver):
    """One call after the other. What owns it has `core`, `places`, `left(connection)`, `counts` (the name of its
    counters) and `called`, which gives the answer to a call."""

    transport: Any
    host = ""  # the caller, as far as it can be told apart: its port changes with each connection
    delimiter = b"\n"
    MAX_LENGTH = MOST_HEAD
    linger = LINGER_US
    most_body = 0  # bytes; what is allowed is read and thrown away

    def __init__(self, owner: Any) -> None:
        self.owner, self.core = owner, owner.core
        self._ending: EndReason | None = None
        self._alarm: Any = None
        self._calls = 0  # answered
        self._begin()

    def _begin(self) -> None:
        self._request: bytes | None = None
        self._headers: dict[str, str] = {}
        self._read = self._body_left = 0

    # ---- the connection ----

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)  # calls sent and never read must not pile up as answers
        self.owner.limiter.connection_opened(self)

    def pauseProducing(self) -> None:
        """The other side does not read: nothing more is read from it, and it has so long to begin."""
        super().pauseProducing()  # type: ignore[no-untyped-call]
        if self._alarm is None:
            self._alarm = self.core.alarms.at(self.core.clock.now + self.linger, self._unread)

    def resumeProducing(self) -> None:
        if self._alarm is not None and self._ending is None:
            self._alarm.cancel()
            self._alarm = None
        super().resumeProducing()  # type: ignore[no-untyped-call]

    def _unread(self) -> None:
        self._ending = self._ending or EndReason.SLOW_READER
        self.cut()

    def connectionLost(self, reason: object = None) -> None:
        if self._alarm is not None:
            self._alarm.cancel()
        self.transport.unregisterProducer()
        self.owner.left(self)
        self.core.counters.add(f"{self.owner.counts}: {(self._ending or EndReason.CLOSED_BY_PEER).value}")

    @property
    def reading(self) -> bool:
        return self._request is not None

    def leave(self) -> None:
        """An idle connection is asked for its place: HTTP has no word for it but the close."""
        self.end(EndReason.IDLE_TIMEOUT)

    def end(self, ending: EndReason) -> bool:
        """Close. False where a call had come unread: it has its answer now, and the connection stays."""
        before = self._calls
        if self._ending is None and ending is not EndReason.CLOSED_LOCALLY:
            read_unread_input(self.transport)
            if self._calls > before and self._ending is None:
                return False
        if self._ending is None:
            self._close(ending)
        return True

    def _close(self, ending: EndReason) -> None:
        self._ending = ending
        self.owner.limiter.connection_closing(self)
        read_unread_input(
            self.transport
        )  # thrown away: left unread, it would reset the connection, answer and all
        self.transport.loseConnection()
        self._cut_later()

    def _cut_later(self) -> None:
        if self._alarm is not None:
            self._alarm.cancel()
        self._alarm = self.core.alarms.at(self.core.clock.now + self.linger, self.cut)

    def cut(self) -> None:
        if self in self.owner.limiter.connections:
            self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:
        if self._ending is None:
            self.core.begin_turn()
            super().dataReceived(data)  # type: ignore[no-untyped-call]

    def lineLengthExceeded(self, line: bytes) -> None:
        self._refuse(431, "the head is too long", EndReason.LINE_TOO_LONG)

    # ---- a call ----

    def lineReceived(self, line: bytes) -> None:
        if self._ending is not None:
            return
        line = line.removesuffix(b"\r")
        self._read += len(line) + 2
        if self._read > MOST_HEAD:
            return self._refuse(431, "the head is too long", EndReason.LINE_TOO_LONG)
        if self._request is None:
            if line:  # empty lines before a request are passed over, as HTTP advises
                self._request = line
        elif line:
            name, colon, value = line.partition(b":")
            if not colon or not name or name != name.strip():
                return self._refuse(400, "a header can't be read", EndReason.FRAMING_LOST)
            self._headers[name.decode("latin-1").lower()] = value.strip().decode("latin-1")
        else:
            self._head_over(self._request)

    def _head_over(self, request: bytes) -> None:
        parts = request.split()
        if len(parts) != 3 or not parts[2].startswith(b"HTTP/1."):
            return self._refuse(400, "no HTTP/1 request", EndReason.FRAMING_LOST)
        length = self._headers.get("content-length", "0")
        # isdigit alone lets other scripts' digits pass; int alone lets '+5' and '1_0' pass.
        if not (length.isascii() and length.isdigit()):
            return self._refuse(400, "Content-Length: expected a whole number", EndReason.FRAMING_LOST)
        if len(length) > 12 or int(length) > self.most_body or "transfer-encoding" in self._headers:
            return self._refuse(413, "no such body is taken here", EndReason.FRAMING_LOST)
        self._body_left = int(length)
        if self._body_left:
            self.setRawMode()  # type: ignore[no-untyped-call]
        else:
            self._whole()

    def rawDataReceived(self, data: bytes) -> None:
        took = min(len(data), self._body_left)
        self._body_left -= took
        if not self._body_left and self._ending is None:
            self._whole()
            self.setLineMode(data[took:])  # type: ignore[no-untyped-call]

    def _whole(self) -> None:
        method, path, version = (p.decode("latin-1") for p in (self._request or b"").split())
        headers = self._headers
        self._begin()
        self._calls += 1
        connection = headers.get("connection", "").lower()
        keep = connection == "keep-alive" if version == "HTTP/1.0" else connection != "close"
        said = self.owner.called(method, path.partition("?")[0], headers, self.host)
        self._say(said, keep, method != "HEAD")

    def _refuse(self, status: int, text: str, ending: EndReason) -> None:
        """Where the next call begins is not known: our half is closed, so that the error can be read."""
        self.core.counters.add("faulty")
        self._ending = ending
        self.owner.limiter.connection_closing(self)
        self._write(HttpReply(status, text.encode() + b"\n"), False)
        self.transport.loseWriteConnection()
        self._cut_later()

    def _say(self, said: HttpReply, keep: bool, body: bool = True) -> None:
        self._write(said, keep, body)
        if keep:
            self.owner.limiter.connection_idle(self)
        else:
            self.end(EndReason.CLOSED_LOCALLY)

    def _write(self, said: HttpReply, keep: bool, body: bool = True) -> None:
        lines = [
            f"HTTP/1.1 {said.status} {REASONS.get(said.status, 'Health')}",
            f"Content-Type: {said.kind}",
            f"Content-Length: {len(said.body)}",
            "Cache-Control: no-store",
            f"Connection: {'keep-alive' if keep else 'close'}",
            *(f"{n}: {v}" for n, v in said.more),
        ]
        self.transport.write(
            ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + (said.body if body else b"")
        )


def not_allowed(*allowed: str) -> HttpReply:
    """405, with the methods that are allowed."""
    return HttpReply(405, f"only {' and '.join(allowed)}\n".encode(), more=[("Allow", ", ".join(allowed))])
