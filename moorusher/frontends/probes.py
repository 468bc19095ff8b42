"""What the listeners for health checks share: bounds on connections, so that no load balancer starves the others."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import Factory

from ..core.outcomes import EndReason
from ..core.request_engine import RequestEngine
from ..health.formatting import orca_load_metrics
from ..health_reporting.reporter import Reporter
from ..time_units import SECOND
from .connection_limits import ConnectionLimiter

MAX_CONNECTIONS = 128  # of load balancers at a time, for each listener
MAX_CONNECTIONS_OF_HOST = 48  # of them from one address: a flood from there must leave slots to the others
PROBE_TIMEOUT_US = 2 * SECOND  # for a health check to arrive, and for its answer to be read
IDLE_TIMEOUT_US = 60 * SECOND  # a load balancer may keep its connection between health checks


class ProbeFactory(Factory):
    """Listens for health checks. A connection that finds no slot is closed without a byte.

    `core`: the request engine. `reporter`: the health state. `limiter`: the connections. `counts`: prefix of its
    counters. `build` makes the protocol of a connection from the factory; the protocol has an attribute `host`.
    """

    noisy = False
    counts = "probes"

    def __init__(self, core: RequestEngine, reporter: Reporter, build: Callable[[Any], Any]) -> None:
        self.core = core
        self.reporter = reporter
        self._build = build
        self.limiter = ConnectionLimiter(core, MAX_CONNECTIONS, PROBE_TIMEOUT_US, IDLE_TIMEOUT_US)
        self._connections_of_host: Counter[str] = Counter()  # hosts without connections are not in it

    def buildProtocol(self, addr: object) -> Any:
        """Return a protocol, or None where no slot is free for this address."""
        self.core.begin_turn()
        host = str(getattr(addr, "host", ""))
        if self._connections_of_host[host] >= MAX_CONNECTIONS_OF_HOST or not self.limiter.admit():
            self.core.counters.add("probes: " + EndReason.TOO_MANY_CONNECTIONS.value)
            return None
        self._connections_of_host[host] += 1
        protocol = self._build(self)
        protocol.host = host
        return protocol

    def connection_closed(self, connection: Any) -> None:
        """The slot of this connection is free."""
        self.limiter.connection_closed(connection)
        self._connections_of_host[connection.host] -= 1
        if self._connections_of_host[connection.host] <= 0:
            del self._connections_of_host[connection.host]

    def count_check(self) -> None:
        """Count one health check."""
        self.core.counters.add("health checks")


class RequestRates:
    """Requests and failures a second, over at least the last second, for load reports.

    `served_per_s`, `failed_per_s`: as of the last `update`.
    """

    def __init__(self, core: RequestEngine) -> None:
        self._core = core
        self._updated_at_us = core.clock.now
        self._served = 0
        self._failed = 0
        self.served_per_s = 0.0
        self.failed_per_s = 0.0

    def update(self) -> None:
        """Work the rates out anew where a second has passed since the last time."""
        now = self._core.clock.now
        if now - self._updated_at_us < SECOND:
            return
        seconds = (now - self._updated_at_us) / SECOND
        total = self._core.counters.total
        self.served_per_s = (total["served"] - self._served) / seconds
        self.failed_per_s = (total["failed"] - self._failed) / seconds
        self._updated_at_us = now
        self._served = total["served"]
        self._failed = total["failed"]


class LoadReport:
    """The health state as a load report in ORCA's text form, for answers that carry it."""

    def __init__(self, core: RequestEngine, reporter: Reporter) -> None:
        self._reporter = reporter
        self._rates = RequestRates(core)

    def text(self) -> str:
        """Return the report. Utilization is left out where the gauges are too old."""
        report = self._reporter.report()
        self._rates.update()
        gauges = self._reporter.observe().gauges
        if gauges is None or any(part.startswith("gauges") for part in report.unknown):
            return orca_load_metrics(report, None, None, self._rates.served_per_s, self._rates.failed_per_s)
        return orca_load_metrics(
            report, gauges.busy, gauges.memory, self._rates.served_per_s, self._rates.failed_per_s
        )
