"""HAProxy's agent check: one line of text about this runner, then a close."""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import Protocol

from ..core.outcomes import EndReason
from ..core.request_engine import RequestEngine
from ..health.formatting import haproxy_agent_state
from ..health_reporting.reporter import Reporter
from .probes import PROBE_TIMEOUT_US, ProbeFactory

MAX_SENT_BYTES = 256  # of `agent-send`; more is no load balancer's
MAX_NAME_LENGTH = 32  # characters of it that tell one load balancer from another behind one address


class AgentCheckProtocol(Protocol):
    """One agent check.

    HAProxy sends nothing, or the text of `agent-send`, and reads one line. It need not wait for its text to be read;
    but a close with the text unread would reset the connection before the line is seen. So our half is closed, and the
    other side has `PROBE_TIMEOUT_US` to close its own. `host`: the load balancer's address; its port changes with each
    check. `reading`: the line is written before anything is read.
    """

    transport: Any
    reading = False
    host = ""

    def __init__(self, factory: AgentCheckFactory) -> None:
        self._factory = factory
        self._core = factory.core
        self._ending: EndReason | None = None
        self._received = b""

    def connectionMade(self) -> None:
        """Write the line at once."""
        self._factory.limiter.connection_opened(self)
        self._factory.limiter.connection_closing(self)
        self._factory.count_check()
        report = self._factory.reporter.report(self.host)
        line = haproxy_agent_state(report, self._factory.reporter.stopped_accepting, self._factory.maxconn)
        self.transport.write(line.encode("ascii") + b"\n")
        self.transport.loseWriteConnection()
        self._alarm = self._core.alarms.at(self._core.clock.now + PROBE_TIMEOUT_US, self.cut)

    def dataReceived(self, data: bytes) -> None:
        """Keep what names the load balancer."""
        self._received += data[: MAX_SENT_BYTES + 1 - len(self._received)]
        if len(self._received) > MAX_SENT_BYTES:
            self._ending = self._ending or EndReason.LINE_TOO_LONG
            self.transport.abortConnection()

    def connectionLost(self, reason: object = None) -> None:
        """The check is over."""
        self._alarm.cancel()
        self._factory.connection_closed(self)
        self._core.counters.add("probes: " + (self._ending or EndReason.CLOSED_BY_PEER).value)
        if self._received:
            self._factory.note_sender(self.host, self._received)

    def leave(self) -> None:
        """Nothing can be asked of a load balancer here."""

    def end(self, ending: EndReason) -> bool:
        """Abort: the line has had its time."""
        self._ending = self._ending or ending
        self.transport.abortConnection()
        return True

    def cut(self) -> None:
        """The other side has not closed in time."""
        if self in self._factory.limiter.connections:
            self.end(EndReason.SLOW_READER)


class AgentCheckFactory(ProbeFactory):
    """Listens for HAProxy's agent checks. `maxconn`: whether the line tells a maximum of connections."""

    def __init__(self, core: RequestEngine, reporter: Reporter, maxconn: bool = False) -> None:
        super().__init__(core, reporter, AgentCheckProtocol)
        self.maxconn = maxconn

    def note_sender(self, host: str, sent: bytes) -> None:
        """Tell load balancers behind one address apart by the name in `agent-send`: their intervals differ."""
        name = sent.split(b"\n", 1)[0].strip().decode("ascii", "replace")[:MAX_NAME_LENGTH]
        if name:
            self.core.begin_turn()
            self.reporter.tracker.probes.probed(self.core.clock.now, f"{host} {name}")
