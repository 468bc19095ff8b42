"""A stand-in for a uwsgi backend of a runner."""

from __future__ import annotations

from typing import Any

from ...protocols.uwsgi_packets import HEAD, VARS, parse_vars
from .base import ScriptedServer, TrackedConnection


class UwsgiConnection(TrackedConnection):
    """A connection that receives a packet of variables, then a body of CONTENT_LENGTH bytes."""

    def connectionMade(self) -> None:
        """Initialize an empty buffer."""
        super().connectionMade()
        self._buffer = b""

    def dataReceived(self, data: bytes) -> None:
        """Buffer the bytes, and pass the request to the server when it is complete."""
        self._buffer += data
        if len(self._buffer) < HEAD.size:
            return
        end_of_variables = HEAD.size + HEAD.unpack_from(self._buffer)[1]
        if len(self._buffer) < end_of_variables:
            return
        variables = parse_vars(self._buffer[HEAD.size : end_of_variables])
        body = self._buffer[end_of_variables:]
        if len(body) < int(variables["CONTENT_LENGTH"]):
            return
        self._buffer = b""
        self.server.tokens.append(variables.get(VARS["token"]))
        self.server.request_received(self, b"", body)


class UwsgiPeer(ScriptedServer):
    """A uwsgi server. "cut" in its script closes the connection in the middle of the reply.

    Attributes:
        tokens: Idempotency key of each request, None for a request without one.
    """

    protocol = UwsgiConnection

    def __init__(self, reactor: Any, *script: int | str) -> None:
        super().__init__(reactor, *script)
        self.tokens: list[str | None] = []

    def answer(self, connection: Any, reply: int | str) -> None:
        """Write a reply with this status and close the connection."""
        is_cut = reply == "cut"
        status = 200 if is_cut else reply
        body = b"rep" if is_cut else b"reply"
        header = "X-Moorusher-Never-Ran: 1\r\n" if reply == 503 else ""
        head = f"HTTP/1.1 {status} X\r\n{header}Content-Length: 5\r\n\r\n"
        connection.transport.write(head.encode() + body)
        connection.transport.loseConnection()
