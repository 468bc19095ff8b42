"""HAProxy's agent check: one line of text about this runner, then a close."""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import Protocol

from ..core.outcomes import EndReason
from ..core.request_engine import RequestEngine
from ..health.formatting import haproxy
from ..server.health_report import Reporter
from .probes import SILENCE, ProbeFactory

MOST_SENT = 256  # bytes of `agent-send`; more is no balancer's
MOST_NAME = 32  # of them that tell one balancer from another behind one address


class AgentCheckProtocol(Protocol):
    """HAProxy sends nothing, or `agent-send`'s text, and reads one line. It need not wait for the text to be read;
    but a close with the text unread would reset the connection before the line is seen: our half is closed, and
    the other side has until its time is over."""

    transport: Any
    reading = False  # it is answered before it is read
    host = ""  # the balancer, as far as it can be told apart: its port changes with each probe

    def __init__(self, owner: AgentCheckFactory) -> None:
        self.owner, self.core = owner, owner.core
        self._ending: EndReason | None = None
        self._sent = b""

    def connectionMade(self) -> None:
        self.owner.limiter.connection_opened(self)
        self.owner.limiter.connection_closing(self)
        self.owner.asked()
        report = self.owner.reporter.report(self.host)
        line = haproxy(report, self.owner.reporter.doors_closed, self.owner.maxconn)
        self.transport.write(line.encode("ascii") + b"\n")
        self.transport.loseWriteConnection()
        self._alarm = self.core.alarms.at(self.core.clock.now + SILENCE, self.cut)

    def dataReceived(self, data: bytes) -> None:
        self._sent += data[: MOST_SENT + 1 - len(self._sent)]
        if len(self._sent) > MOST_SENT:
            self._ending = self._ending or EndReason.LINE_TOO_LONG
            self.transport.abortConnection()

    def leave(self) -> None:
        """Nothing can be asked of a balancer here."""

    def end(self, ending: EndReason) -> bool:
        self._ending = self._ending or ending
        self.transport.abortConnection()
        return True

    def cut(self) -> None:
        if self in self.owner.limiter.connections:
            self.end(EndReason.SLOW_READER)

    def connectionLost(self, reason: object = None) -> None:
        self._alarm.cancel()
        self.owner.left(self)
        self.core.counters.add("probes: " + (self._ending or EndReason.CLOSED_BY_PEER).value)
        if self._sent:
            self.owner.heard(self.host, self._sent)


class AgentCheckFactory(ProbeFactory):
    """Listens for HAProxy's agent checks."""

    def __init__(self, core: RequestEngine, reporter: Reporter, maxconn: bool = False) -> None:
        super().__init__(core, reporter, AgentCheckProtocol)
        self.maxconn = maxconn

    def heard(self, host: str, sent: bytes) -> None:
        """`agent-send` may name its sender: balancers behind one address are then told apart by their intervals."""
        name = sent.split(b"\n", 1)[0].strip().decode("ascii", "replace")[:MOST_NAME]
        if name:
            self.core.begin_turn()
            self.reporter.tracker.balancers.asked(self.core.clock.now, f"{host} {name}")
