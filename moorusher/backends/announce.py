"""Reports to the announce service that this runner serves. Framing only."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from ..config.section import Address
from ..core.clock import MS
from ..core.request_engine import RequestEngine
from .http_client import HttpClient

log = logging.getLogger("moorusher")

EVERY = 900 * MS  # an entry lapses after 3 s: two reports in a row may go missing


class _Connection(HttpClient):
    def __init__(self, announcer: Announcer) -> None:
        super().__init__()
        self.announcer = announcer
        self.waiting = False

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.announcer.connected(self)

    def report(self, name: str, accepting: bool) -> None:
        body = b'{"accepting":"%s"}' % (b"true" if accepting else b"false")
        self.waiting = True
        self.asked()
        self.transport.write(
            b"PUT /announce/%s HTTP/1.1\r\nHost: announce\r\nContent-Type: application/json\r\n"
            b"Content-Length: %d\r\n\r\n%s" % (name.encode(), len(body), body)
        )

    def replied(self, status: int, headers: dict[bytes, bytes], body: bytes, keep: bool) -> None:
        self.waiting = False
        self.announcer.core.counters.add("reports heard" if status == 204 else "reports not heard")
        if not keep:
            self.transport.loseConnection()

    def garbled(self, why: str) -> None:
        log.warning("announce service: %s", why)
        self.transport.abortConnection()

    def stray(self) -> None:
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure | None = None) -> None:
        self.announcer.lost(self)


class Announcer(ClientFactory):
    """Reports at a steady pace over one connection, and makes a new one where that falls silent."""

    noisy = False

    def __init__(self, reactor: Any, address: Address, name: str) -> None:
        self._reactor, self._address, self._name = reactor, address, name
        self.core: RequestEngine  # set by the owner
        self.fit: Callable[[], bool] = lambda: True  # what is reported; set by the owner
        self._connection: _Connection | None = None
        self._dialling: Any = None  # the connector under way
        self._stopped = False

    def start(self) -> None:
        self._tick()

    def move(self, address: Address) -> None:
        """Reports go to the new address at once: the entry would lapse by the time that the next one is due."""
        if address == self._address or self._stopped:
            return
        self._address = address
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.transport.loseConnection()
        dialling, self._dialling = self._dialling, None
        if dialling is not None:
            dialling.disconnect()
        if self.core.ready:
            self._dial()

    def _dial(self) -> None:
        self._dialling = self._reactor.connectTCP(*self._address, self, timeout=1)

    def stop(self) -> None:
        """On leaving: the entry lapses by itself, and front ends look elsewhere the sooner for it."""
        self._stopped = True
        if self._connection is not None:
            self._connection.transport.loseConnection()

    def _tick(self) -> None:
        if self._stopped:
            return
        self.core.alarms.at(self.core.clock.now + EVERY, self._tick)
        if not self.core.ready:
            return
        if self._connection is not None and self._connection.waiting:
            self._connection.transport.abortConnection()  # no word for a whole period: try a new one
            self._connection = None
        if self._connection is not None:
            self._connection.report(self._name, self.fit())
        elif self._dialling is None:
            self._dial()

    def buildProtocol(self, addr: object) -> _Connection:
        return _Connection(self)

    def connected(self, connection: _Connection) -> None:
        self._dialling, self._connection = None, connection
        if self._stopped:
            connection.transport.loseConnection()
        else:
            connection.report(self._name, self.fit())

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        if connector is self._dialling:
            self._dialling = None
            self.core.counters.add("reports not heard")

    def lost(self, connection: _Connection) -> None:
        if self._connection is connection:
            self._connection = None
