"""Periodic reports to the announce service whether this runner accepts requests, over one connection."""

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

# The service drops a runner's entry 3 s after the last report, so two consecutive reports may be lost.
REPORT_PERIOD_US = 900 * MS
CONNECT_TIMEOUT_S = 1


class AnnounceProtocol(HttpClientProtocol):
    """A connection to the announce service.

    Attributes:
        awaits_reply: Whether a report was sent and not answered yet.
    """

    def __init__(self, announcer: Announcer) -> None:
        super().__init__()
        self._announcer = announcer
        self.awaits_reply = False

    def connectionMade(self) -> None:
        """Notify the announcer, which sends a report."""
        self.transport.setTcpNoDelay(True)
        self._announcer.connection_made(self)

    def send_report(self, name: str, accepting: bool) -> None:
        """Report whether the runner `name` accepts requests."""
        body = b'{"accepting":"%s"}' % (b"true" if accepting else b"false")
        self.awaits_reply = True
        self.request_sent()
        self.transport.write(
            b"PUT /announce/%s HTTP/1.1\r\nHost: announce\r\nContent-Type: application/json\r\n"
            b"Content-Length: %d\r\n\r\n%s" % (name.encode(), len(body), body)
        )

    def response_received(self, response: HttpResponse) -> None:
        """Record whether the service accepted the report."""
        self.awaits_reply = False
        self._announcer.report_answered(response.status == NO_CONTENT)
        if not response.keep_alive:
            self.transport.loseConnection()

    def response_malformed(self, reason: str) -> None:
        """Abort the connection."""
        log.warning("announce service sent a malformed response: reason=%s", reason)
        self.transport.abortConnection()

    def unexpected_data(self) -> None:
        """Abort the connection."""
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Notify the announcer, which reconnects for the next report."""
        self._announcer.connection_lost(self)


class Announcer(ClientFactory):
    """Reports to the announce service whether the runner accepts requests.

    Reconnects if the connection is lost or the service does not answer.

    Attributes:
        core: The request engine; set by the owner.
        is_fit: Returns whether the runner accepts requests; set by the owner.
    """

    noisy = False

    def __init__(self, reactor: Any, address: Address, name: str) -> None:
        """Create an announcer for the runner `name`."""
        self.core: RequestEngine
        self.is_fit: Callable[[], bool] = lambda: True
        self._reactor = reactor
        self._address = address
        self._name = name
        self._connection: AnnounceProtocol | None = None
        self._connector: Any = None  # Connector of the connection attempt in progress.
        self._is_stopped = False

    # ---- called by the owner ----

    def start(self) -> None:
        """Send the first report and schedule further ones."""
        self._report_periodically()

    def set_address(self, address: Address) -> None:
        """Switch to a new address and report there at once, since an entry could expire before the next report."""
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
        """Stop reporting because the runner shuts down: once its entry expires, front ends use other runners."""
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
            # No answer for a whole period: the service may have failed without closing the connection.
            self._connection.transport.abortConnection()
            self._connection = None
        if self._connection is not None:
            self._connection.send_report(self._name, self.is_fit())
        elif self._connector is None:
            self._connect()

    def report_answered(self, accepted: bool) -> None:
        """Count a report as accepted or not accepted."""
        self.core.counters.add("reports heard" if accepted else "reports not heard")

    # ---- connections ----

    def _connect(self) -> None:
        self._connector = self._reactor.connectTCP(*self._address, self, timeout=CONNECT_TIMEOUT_S)

    def buildProtocol(self, addr: object) -> AnnounceProtocol:
        """Return the protocol of a new connection."""
        return AnnounceProtocol(self)

    def connection_made(self, connection: AnnounceProtocol) -> None:
        """Use a new connection, and send a report on it."""
        self._connector = None
        self._connection = connection
        if self._is_stopped:
            connection.transport.loseConnection()
        else:
            connection.send_report(self._name, self.is_fit())

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        """Count the report as not accepted. The next report reconnects."""
        if connector is self._connector:
            self._connector = None
            self.report_answered(False)

    def connection_lost(self, connection: AnnounceProtocol) -> None:
        """Discard a closed connection."""
        if self._connection is connection:
            self._connection = None
