"""Base classes of all stand-in servers: a port, the open connections, and scripted replies."""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import Factory, Protocol
from twisted.protocols.basic import LineReceiver

from ..ports import HOST, free_port


class StandInServer(Factory):
    """A server on its own port that closes its connections when it is closed.

    Attributes:
        port: Port that the server listens on, 0 before the first `listen`.
        accepted: Number of connections accepted so far.
        open: Open connections.
    """

    noisy = False
    protocol: Any

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor
        self.port = 0
        self.accepted = 0
        self.open: set[Any] = set()
        self._listening_port: Any = None

    def listen(self, port: int = 0) -> None:
        """Listen on `port`, or on a free port if it is 0."""
        self._listening_port = self.reactor.listenTCP(port or free_port(), self, interface=HOST)
        self.port = self._listening_port.getHost().port

    def stop_listening(self) -> None:
        """Accept no new connections; open ones remain."""
        if self._listening_port is not None:
            self._listening_port.stopListening()
            self._listening_port = None

    def close(self) -> None:
        """Stop listening and abort all connections."""
        self.stop_listening()
        for connection in list(self.open):
            connection.transport.abortConnection()

    def buildProtocol(self, addr: object) -> Any:
        """Return a new connection that refers to this server."""
        self.accepted += 1
        connection = self.protocol()
        connection.server = self
        return connection


class TrackedConnection(Protocol):
    """A connection that is in its server's set of open connections while it is open.

    Attributes:
        server: Server that accepted the connection.
    """

    transport: Any
    server: Any

    def connectionMade(self) -> None:
        """Add the connection to the server's open connections."""
        self.server.open.add(self)

    def connectionLost(self, reason: object = None) -> None:
        """Remove the connection from the server's open connections."""
        self.server.open.discard(self)


class HttpConnection(TrackedConnection, LineReceiver):
    """An HTTP connection that passes each complete request to `server.request_received`."""

    def connectionMade(self) -> None:
        """Initialize the state of the first request."""
        super().connectionMade()
        self._content_length = 0
        self._request_line = b""
        self._body = b""

    def lineReceived(self, line: bytes) -> None:
        """Process the request line, a header, or the empty line before the body."""
        if not self._request_line:
            self._request_line = line
        elif line.lower().startswith(b"content-length:"):
            self._content_length = int(line.split(b":")[1])
        elif not line:
            self._body = b""
            self.setRawMode()  # type: ignore[no-untyped-call]

    def rawDataReceived(self, data: bytes) -> None:
        """Append a part of the body, and pass on the complete request. Bytes after it belong to the next request."""
        self._body += data
        if len(self._body) < self._content_length:
            return
        body = self._body[: self._content_length]
        rest = self._body[self._content_length :]
        request_line = self._request_line
        self._request_line = b""
        self.server.request_received(self, request_line, body)
        self.setLineMode(rest)  # type: ignore[no-untyped-call]


class ScriptedServer(StandInServer):
    """A server whose replies follow a script.

    Attributes:
        script: Reply to each request in turn: a status, "reset" to abort the connection, "hang" for no reply, or
            another value that the subclass defines. The last one is repeated.
        delay: Delay of each reply, in seconds.
        calls: Bodies of the received requests, in order.
    """

    def __init__(self, reactor: Any, *script: int | str, delay: float = 0.0) -> None:
        super().__init__(reactor)
        self.script = list(script or (200,))
        self.delay = delay
        self.calls: list[bytes] = []

    def answer(self, connection: Any, reply: int | str) -> None:
        """Write a reply of the script."""
        raise NotImplementedError

    def request_received(self, connection: Any, request_line: bytes, body: bytes) -> None:
        """Record the request and reply with the next step of the script."""
        self.calls.append(body)
        reply = self.script.pop(0) if len(self.script) > 1 else self.script[0]
        if reply == "reset":
            connection.transport.abortConnection()
        elif reply != "hang":
            self.reactor.callLater(self.delay, self.answer, connection, reply)
