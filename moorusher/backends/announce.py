"""Reports to the announce service that this runner serves: at a steady pace, over one connection."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from ..config.section import Address
from ..core.request_engine import RequestEngine
from ..time_units import MS
from .http_client import NO_CONTENT, HttpClientProtocol, HttpResponse

log = logging.getLogger("moorusher")

REPORT_PERIOD_US = 900 * MS  # an entry lapses after 3 s: two reports in a row may be lost
CONNECT_TIMEOUT_S = 1


class AnnounceProtocol(HttpClientProtocol):
    """One connection to the announce service.

    awaits_reply: a report was sent and not answered yet (bool).
    """

    def __init__(self, announcer: Announcer) -> None:
        """`announcer` is the factory that this connection belongs to."""
        super().__init__()
        self._announcer = announcer
        self.awaits_reply = False

    def connectionMade(self) -> None:
        """Report at once."""
        self.transport.setTcpNoDelay(True)
        self._announcer.connection_made(self)

    def send_report(self, name: str, accepting: bool) -> None:
        """Send a report on the runner of this name."""
        body = b'{"accepting":"%s"}' % (b"true" if accepting else b"false")
        self.awaits_reply = True
        self.request_sent()
        self.transport.write(
            b"PUT /announce/%s HTTP/1.1\r\nHost: announce\r\nContent-Type: application/json\r\n"
            b"Content-Length: %d\r\n\r\n%s" % (name.encode(), len(body), body)
        )

    def response_received(self, response: HttpResponse) -> None:
        """Count the report."""
        self.awaits_reply = False
        self._announcer.report_answered(response.status == NO_CONTENT)
        if not response.keep_alive:
            self.transport.loseConnection()

    def response_malformed(self, reason: str) -> None:
        """Drop the connection."""
        log.warning("announce service sent a malformed response: reason=%s", reason)
        self.transport.abortConnection()

    def unexpected_data(self) -> None:
        """Drop the connection."""
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Have another connection made with the next report."""
        self._announcer.connection_lost(self)


class Announcer(ClientFactory):
    """Sends reports, and makes another connection where one is lost or silent.

    core: the request engine; set by the owner.
    is_fit: whether the runner accepts requests, as it is reported; set by the owner.
    """

    noisy = False

    def __init__(self, reactor: Any, address: Address, name: str) -> None:
        """`name`: the runner's."""
        self.core: RequestEngine
        self.is_fit: Callable[[], bool] = lambda: True
        self._reactor = reactor
        self._address = address
        self._name = name
        self._connection: AnnounceProtocol | None = None
        self._connector: Any = None  # of the connection being made
        self._is_stopped = False

    # ---- for the owner ----

    def start(self) -> None:
        """Report now and from now on."""
        self._report_periodically()

    def move(self, address: Address) -> None:
        """Report to a new address at once: the entry would lapse before the next report is due."""
        if address == self._address or self._is_stopped:
            return
        self._address = address
        connection = self._connection
        connector = self._connector
        self._connection = None
        self._connector = None
        if connection is not None:
            connection.transport.loseConnection()
        if connector is not None:
            connector.disconnect()
        if self.core.ready:
            self._connect()

    def stop(self) -> None:
        """Report no more: the runner shuts down, the entry lapses, and front ends go elsewhere the sooner for it."""
        self._is_stopped = True
        if self._connection is not None:
            self._connection.transport.loseConnection()

    # ---- reports ----

    def _report_periodically(self) -> None:
        if self._is_stopped:
            return
        self.core.alarms.at(self.core.clock.now + REPORT_PERIOD_US, self._report_periodically)
        if not self.core.ready:
            return
        if self._connection is not None and self._connection.awaits_reply:
            # No answer for a whole period: the service may be gone without a word.
            self._connection.transport.abortConnection()
            self._connection = None
        if self._connection is not None:
            self._connection.send_report(self._name, self.is_fit())
        elif self._connector is None:
            self._connect()

    def report_answered(self, accepted: bool) -> None:
        """Count a report by whether the service has accepted it."""
        self.core.counters.add("reports heard" if accepted else "reports not heard")

    # ---- connections ----

    def _connect(self) -> None:
        self._connector = self._reactor.connectTCP(*self._address, self, timeout=CONNECT_TIMEOUT_S)

    def buildProtocol(self, addr: object) -> AnnounceProtocol:
        """Make the protocol of a connection."""
        return AnnounceProtocol(self)

    def connection_made(self, connection: AnnounceProtocol) -> None:
        """Report over a new connection."""
        self._connector = None
        self._connection = connection
        if self._is_stopped:
            connection.transport.loseConnection()
        else:
            connection.send_report(self._name, self.is_fit())

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        """Count the report as lost; the next one dials again."""
        if connector is self._connector:
            self._connector = None
            self.report_answered(False)

    def connection_lost(self, connection: AnnounceProtocol) -> None:
        """Forget a connection."""
        if self._connection is connection:
            self._connection = None
