"""Health probes of a stand-in balancer over sockets."""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ClientFactory, Protocol

from .balancer import Server
from .clock import now_us
from .ports import HOST

_MAX_READ_BYTES = 4096
"""Number of bytes used of each received chunk of a reply; the rest of the chunk is ignored."""
_TIMEOUT_S = 1.0

OnReply = Callable[[bytes], None]


class ProbeKind(enum.Enum):
    """Kind of a probe; the value is the path of its request. An agent replies without a request."""

    AGENT = None
    HTTP = b"/health"
    ALIVE = b"/alive"


class _ProbeConnection(Protocol):
    """The connection of one probe."""

    transport: Any
    factory: Any

    def connectionMade(self) -> None:
        """Send the probe's request, if it has one."""
        self._received = b""
        if self.factory.request:
            self.transport.write(self.factory.request)

    def dataReceived(self, data: bytes) -> None:
        """Append a part of the reply."""
        self._received += data[:_MAX_READ_BYTES]

    def connectionLost(self, reason: object = None) -> None:
        """Deliver the complete reply."""
        self.factory.finish(self._received)


class _ProbeFactory(ClientFactory):
    """One probe, which ends with a reply, a failed connection or the timeout.

    Attributes:
        request: Bytes to send, b"" for none.
        timer: Timer of the timeout.
    """

    noisy = False
    protocol = _ProbeConnection

    def __init__(self, request: bytes, on_reply: OnReply) -> None:
        self.request = request
        self.timer: Any = None
        self._on_reply: OnReply | None = on_reply

    def finish(self, reply: bytes) -> None:
        """Deliver the reply, b"" for none. Further calls have no effect."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        on_reply = self._on_reply
        self._on_reply = None
        if on_reply is not None:
            on_reply(reply)

    def clientConnectionFailed(self, connector: object, reason: object) -> None:
        """Finish without a reply if the connection fails or times out."""
        self.finish(b"")


def exchange_bytes(
    reactor: Any,
    port: int,
    request: bytes,
    on_reply: OnReply,
    timeout_s: float = _TIMEOUT_S,
    source: str = HOST,
) -> None:
    """Connect, send the request, and read until the peer closes the connection.

    :param on_reply: called once, with b"" if no reply arrives in time.
    :param source: source address of the connection.
    """
    factory = _ProbeFactory(request, on_reply)
    connector = reactor.connectTCP(HOST, port, factory, timeout=timeout_s, bindAddress=(source, 0))
    factory.timer = reactor.callLater(timeout_s, lambda: connector.disconnect())


class HealthProber:
    """Probes one server periodically.

    :param phase: delay of the first probe as a share of the interval, 0 to 1.

    Attributes:
        server: Balancer's view of the server, updated by the replies.
        port: Port of the server's agent or health listener.
        kind: Kind of the probes.
        interval_s: Time between two probes.
        rise: Consecutive successful checks after which the server is up.
        fall: Consecutive failed checks after which the server is down.
        source: Source address of the probes.
        latencies_us: Latency of each answered probe.
        unanswered: Number of probes without an answer.
    """

    def __init__(
        self,
        reactor: Any,
        server: Server,
        port: int,
        kind: ProbeKind,
        interval_s: float,
        phase: float,
        rise: int = 2,
        fall: int = 3,
        source: str = HOST,
    ) -> None:
        self.reactor = reactor
        self.server = server
        self.port = port
        self.kind = kind
        self.interval_s = interval_s
        self.rise = rise
        self.fall = fall
        self.source = source
        self.latencies_us: list[int] = []
        self.unanswered = 0
        self._timer = reactor.callLater(phase * interval_s, self._probe)

    def stop(self) -> None:
        """Stop probing."""
        if self._timer.active():
            self._timer.cancel()

    def _probe(self) -> None:
        self._timer = self.reactor.callLater(self.interval_s, self._probe)
        began_us = now_us()
        path = self.kind.value
        request = b"" if path is None else b"GET %s HTTP/1.0\r\n\r\n" % path
        exchange_bytes(
            self.reactor,
            self.port,
            request,
            lambda reply: self._reply_received(began_us, reply),
            source=self.source,
        )

    def _reply_received(self, began_us: int, reply: bytes) -> None:
        now = now_us()
        if reply:
            self.latencies_us.append(now - began_us)
        else:
            self.unanswered += 1
        if self.kind is not ProbeKind.AGENT:
            parts = reply.split(None, 2)
            passed = len(parts) > 1 and parts[1].startswith(b"2")
            self.server.record_check(now, passed, self.rise, self.fall)
        elif reply:
            self.server.read_agent(now, reply.split(b"\n", 1)[0].decode("ascii", "replace"))
        else:
            self.server.record_check(now, False, self.rise, self.fall)
