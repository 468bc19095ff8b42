"""The HAProxy agent check: one line of text about this runner, after which the connection is closed."""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import Protocol

from ..core.outcomes import EndReason
from ..core.request_engine import RequestEngine
from ..health.formatting import haproxy_agent_state
from ..health_reporting.reporter import Reporter
from .probes import PROBE_TIMEOUT_US, ProbeFactory

MAX_SENT_BYTES = 256  # Longest accepted `agent-send` text. No load balancer sends more.
MAX_NAME_LENGTH = 32  # Characters of the text that distinguish load balancers behind one address.


class AgentCheckProtocol(Protocol):
    """One agent check.

    Attributes:
        reading: Always False: the line is written before anything is read.
        host: Address of the load balancer. Its port changes with each check.
    """

    # HAProxy sends nothing or the `agent-send` text, and reads one line. The line is sent without waiting for the text.
    # But a close with the text unread would reset the connection, and the line could be lost. So only our half is
    # closed, and HAProxy has `PROBE_TIMEOUT_US` to close its half.

    transport: Any
    reading = False
    host = ""

    def __init__(self, factory: AgentCheckFactory) -> None:
        self._factory = factory
        self._core = factory.core
        self._end_reason: EndReason | None = None
        self._received = b""

    def connectionMade(self) -> None:
        """Send the line with this runner's state, and close the sending side of the connection."""
        self._factory.limiter.connection_opened(self)
        self._factory.limiter.connection_closing(self)
        self._factory.count_check()
        report = self._factory.reporter.report(self.host)
        line = haproxy_agent_state(report, self._factory.reporter.stopped_accepting, self._factory.maxconn)
        self.transport.write(line.encode("ascii") + b"\n")
        self.transport.loseWriteConnection()
        self._alarm = self._core.alarms.at(self._core.clock.now + PROBE_TIMEOUT_US, self.abort)

    def dataReceived(self, data: bytes) -> None:
        """Collect the `agent-send` text, which names the load balancer."""
        self._received += data[: MAX_SENT_BYTES + 1 - len(self._received)]
        if len(self._received) > MAX_SENT_BYTES:
            self._end_reason = self._end_reason or EndReason.LINE_TOO_LONG
            self.transport.abortConnection()

    def connectionLost(self, reason: object = None) -> None:
        """Count the ended check, and record its sender."""
        self._alarm.cancel()
        self._factory.connection_closed(self)
        self._core.counters.add("probes: " + (self._end_reason or EndReason.CLOSED_BY_PEER).value)
        if self._received:
            self._factory.record_sender(self.host, self._received)

    def request_close(self) -> None:
        """Do nothing: the protocol can't ask a load balancer to close."""

    def try_close(self, end_reason: EndReason) -> bool:
        """Abort the connection: the line was already sent."""
        self._end_reason = self._end_reason or end_reason
        self.transport.abortConnection()
        return True

    def abort(self) -> None:
        """Abort the connection if it is still open."""
        if self in self._factory.limiter.connections:
            self.try_close(EndReason.SLOW_READER)


class AgentCheckFactory(ProbeFactory):
    """Builds the protocols of HAProxy agent checks.

    Attributes:
        maxconn: Whether the line includes a maximum number of connections.
    """

    def __init__(self, core: RequestEngine, reporter: Reporter, maxconn: bool = False) -> None:
        super().__init__(core, reporter, AgentCheckProtocol)
        self.maxconn = maxconn

    def record_sender(self, host: str, sent: bytes) -> None:
        """Record a check of the load balancer that is named in `agent-send`."""
        # Load balancers behind one address must be distinguished, since their check intervals differ.
        name = sent.split(b"\n", 1)[0].strip().decode("ascii", "replace")[:MAX_NAME_LENGTH]
        if name:
            self.core.start_turn()
            self.reporter.tracker.probes.probed(self.core.clock.now, f"{host} {name}")
