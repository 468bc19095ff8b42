"""Real loopback connections on a reactor that the test iterates, so that the test decides what happens in between."""

from __future__ import annotations

import json
import socket
from contextlib import suppress
from typing import Any

from twisted.internet import tcp
from twisted.internet.selectreactor import SelectReactor

from .test_core import EngineHarness

HOST = "127.0.0.1"
CONNECT_TIMEOUT_S = 5.0


class Loop:
    """A Twisted reactor that is never installed and never run. Tests call `turn` to iterate it."""

    def __init__(self, harness: EngineHarness) -> None:
        self.harness = harness
        self.reactor: Any = SelectReactor()

    def turn(self, iterations: int = 3) -> None:
        """Do some iterations of the reactor and of the engine."""
        for _ in range(iterations):
            self.reactor.runUntilCurrent()
            self.reactor.doIteration(0)
            self.harness.turn()

    def connect(self, factory: Any) -> Client:
        """Return a client whose connection is served by a protocol of `factory`."""
        with socket.create_server((HOST, 0)) as listening:
            client = socket.create_connection(listening.getsockname(), CONNECT_TIMEOUT_S)
            accepted, _ = listening.accept()
        with accepted:
            serve: Any = tcp.Server
            transport = serve._fromConnectedSocket(accepted.fileno(), socket.AF_INET, factory, self.reactor)
        return Client(client, transport, self)


class Client:
    """The client side of a connection, with the transport and the protocol of the server side."""

    def __init__(self, sock: socket.socket, transport: Any, loop: Loop) -> None:
        self.sock, self.transport, self.loop = sock, transport, loop
        self.protocol = transport.protocol
        self._received = b""

    def send(self, data: bytes) -> None:
        """Send data. Loopback delivers at once: the data has arrived when this returns."""
        self.sock.sendall(data)

    def read(self) -> bytes:
        """Return all data received so far.

        :raises ConnectionResetError: the connection was reset.
        """
        self.sock.setblocking(False)
        with suppress(BlockingIOError):
            while data := self.sock.recv(65_536):
                self._received += data
        return self._received

    def messages(self) -> list[dict[str, Any]]:
        """Iterate the reactor and return the received lines, decoded from JSON."""
        self.loop.turn()
        return [json.loads(line) for line in self.read().splitlines()]

    @property
    def ended(self) -> bool:
        """Whether the other side has closed at least its half of the connection."""
        try:
            self.read()
            return self.sock.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            return False
        except ConnectionResetError:
            return True
