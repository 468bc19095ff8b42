"""What the listeners for probes share: their places, their bounds, and that no probe holds anything for long."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import Factory

from ..core.clock import SECOND
from ..core.outcomes import EndReason
from ..core.request_engine import RequestEngine
from ..health.formatting import orca
from ..server.health_report import Reporter
from .connection_limits import ConnectionLimiter

MOST = 128  # connections of balancers at a time, for each listener
MOST_OF_ONE = 48  # of them from one address: a flood from there must leave places to the others
SILENCE = 2 * SECOND  # for a probe to come whole, and for its answer to be read
IDLENESS = 60 * SECOND  # a balancer may keep its connection between probes


class ProbeFactory(Factory):
    """`build` makes a connection; one that finds no place is closed without a word."""

    noisy = False
    most = MOST
    counts = "probes"

    def __init__(self, core: RequestEngine, reporter: Reporter, build: Callable[[Any], Any]) -> None:
        self.core, self.reporter, self._build = core, reporter, build
        self.limiter = ConnectionLimiter(core, self.most, SILENCE, IDLENESS)
        self._of: Counter[str] = Counter()  # places by address; those that have none are not in it

    def buildProtocol(self, addr: object) -> Any:
        self.core.begin_turn()
        host = str(getattr(addr, "host", ""))
        if self._of[host] >= MOST_OF_ONE or not self.limiter.admit():
            self.core.counters.add("probes: " + EndReason.TOO_MANY_CONNECTIONS.value)
            return None
        self._of[host] += 1
        made = self._build(self)
        made.host = host
        return made

    def left(self, connection: Any) -> None:
        """Its place is free."""
        self.limiter.connection_closed(connection)
        self._of[connection.host] -= 1
        if self._of[connection.host] <= 0:
            del self._of[connection.host]

    def asked(self) -> None:
        self.core.counters.add("health checks")


class Rates:
    """Requests and failures a second since the last time, for load reports."""

    def __init__(self, core: RequestEngine) -> None:
        self._core = core
        self._at, self._served, self._failed = core.clock.now, 0, 0
        self.rps = self.eps = 0.0

    def read(self) -> None:
        now = self._core.clock.now
        if now - self._at < SECOND:
            return
        total, seconds = self._core.counters.total, (now - self._at) / SECOND
        served, failed = total["served"], total["failed"]
        self.rps = (served - self._served) / seconds
        self.eps = (failed - self._failed) / seconds
        self._at, self._served, self._failed = now, served, failed


class LoadReport:
    """ORCA's text form of the standing, for whoever answers with it."""

    def __init__(self, core: RequestEngine, reporter: Reporter) -> None:
        self._reporter, self._rates = reporter, Rates(core)

    def text(self) -> str:
        report = self._reporter.report()
        self._rates.read()
        gauge = self._reporter.observe().gauge
        old = gauge is None or any(u.startswith("gauges") for u in report.unknown)
        busy, memory = (None, None) if old or gauge is None else (gauge.busy, gauge.memory)
        return orca(report, busy, memory, self._rates.rps, self._rates.eps)
