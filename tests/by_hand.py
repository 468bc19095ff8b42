"""Real loopback connections on a loop that turns when the test says so: what comes in between is up to the test."""

from __future__ import annotations

import json
import socket
from contextlib import suppress
from typing import Any

from twisted.internet import tcp
from twisted.internet.selectreactor import SelectReactor

from .test_core import EngineHarness

HOST = "127.0.0.1"
PATIENCE_S = 5.0


class Loop:
    """Twisted's loop, never installed and never run: `turn` does one round of it."""

    def __init__(self, world: EngineHarness) -> None:
        self.world = world
        self.reactor: Any = SelectReactor()

    def turn(self, rounds: int = 3) -> None:
        for _ in range(rounds):
            self.reactor.runUntilCurrent()
            self.reactor.doIteration(0)
            self.world.turn()

    def connect(self, factory: Any) -> Client:
        """A client whose connection `factory` serves."""
        with socket.create_server((HOST, 0)) as listening:
            client = socket.create_connection(listening.getsockname(), PATIENCE_S)
            accepted, _ = listening.accept()
        with accepted:
            serve: Any = tcp.Server
            transport = serve._fromConnectedSocket(accepted.fileno(), socket.AF_INET, factory, self.reactor)
        return Client(client, transport, self)


class Client:
    """The client's end, and the transport of the other side."""

    def __init__(self, sock: socket.socket, transport: Any, loop: Loop) -> None:
        self.sock, self.transport, self.loop = sock, transport, loop
        self.protocol = transport.protocol
        self._got = b""

    def send(self, data: bytes) -> None:
        """It has arrived at the other side when this returns: loopback delivers at once."""
        self.sock.sendall(data)

    def read(self) -> bytes:
        """All that has arrived here; raises ConnectionResetError where the connection was reset."""
        self.sock.setblocking(False)
        with suppress(BlockingIOError):
            while data := self.sock.recv(65_536):
                self._got += data
        return self._got

    def messages(self) -> list[dict[str, Any]]:
        """As lines of JSON, once the loop has turned."""
        self.loop.turn()
        return [json.loads(line) for line in self.read().splitlines()]

    @property
    def ended(self) -> bool:
        """The other side has closed its half at least."""
        try:
            self.read()
            return self.sock.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            return False
        except ConnectionResetError:
            return True
