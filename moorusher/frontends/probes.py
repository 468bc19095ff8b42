"""Base class of the health-check listeners. It limits connections, so that no load balancer starves the others."""

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

MAX_CONNECTIONS = 128  # Open connections per listener.
# Open connections from one address. The limit leaves slots to other addresses if one opens many connections.
MAX_CONNECTIONS_OF_HOST = 48
PROBE_TIMEOUT_US = 2 * SECOND  # Time for a health check to arrive, and for its answer to be read.
IDLE_TIMEOUT_US = 60 * SECOND  # A load balancer may keep its connection open between health checks.


class ProbeFactory(Factory):
    """Builds the protocols of health checks. A connection without a free slot is closed without an answer.

    Attributes:
        core: The request engine.
        reporter: Reports the health state.
        limiter: Limits the connections.
        counter_prefix: Prefix of the connection counters.
    """

    noisy = False
    counter_prefix = "probes"

    def __init__(self, core: RequestEngine, reporter: Reporter, build: Callable[[Any], Any]) -> None:
        """Create a factory. `build` returns the protocol of a connection, which has an attribute `host`."""
        self.core = core
        self.reporter = reporter
        self._build = build
        self.limiter = ConnectionLimiter(core, MAX_CONNECTIONS, PROBE_TIMEOUT_US, IDLE_TIMEOUT_US)
        self._connections_of_host: Counter[str] = Counter()  # Hosts without a connection are removed.

    def buildProtocol(self, addr: object) -> Any:
        """Return a protocol, or None if no slot is free for this address."""
        self.core.start_turn()
        host = str(getattr(addr, "host", ""))
        if self._connections_of_host[host] >= MAX_CONNECTIONS_OF_HOST or not self.limiter.admit():
            self.core.counters.add("probes: " + EndReason.TOO_MANY_CONNECTIONS.value)
            return None
        self._connections_of_host[host] += 1
        protocol = self._build(self)
        protocol.host = host
        return protocol

    def connection_closed(self, connection: Any) -> None:
        """Release the slot of a connection."""
        self.limiter.connection_closed(connection)
        self._connections_of_host[connection.host] -= 1
        if self._connections_of_host[connection.host] <= 0:
            del self._connections_of_host[connection.host]

    def count_check(self) -> None:
        """Count a health check."""
        self.core.counters.add("health checks")


class RequestRates:
    """Rates of requests for load reports, measured over at least a second.

    Attributes:
        served_per_s: Rate of served requests as of the last `update`.
        failed_per_s: Rate of failed requests as of the last `update`.
    """

    def __init__(self, core: RequestEngine) -> None:
        self._core = core
        self._updated_at_us = core.clock.now
        self._served = 0
        self._failed = 0
        self.served_per_s = 0.0
        self.failed_per_s = 0.0

    def update(self) -> None:
        """Calculate the rates again if a second has passed since the last calculation."""
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
    """Formats the health state as a load report in the text format of ORCA."""

    def __init__(self, core: RequestEngine, reporter: Reporter) -> None:
        self._reporter = reporter
        self._rates = RequestRates(core)

    def text(self) -> str:
        """Return the report, without utilization if the gauges are too old."""
        report = self._reporter.report()
        self._rates.update()
        gauges = self._reporter.observe().gauges
        if gauges is None or any(part.startswith("gauges") for part in report.unknown):
            return orca_load_metrics(report, None, None, self._rates.served_per_s, self._rates.failed_per_s)
        return orca_load_metrics(
            report, gauges.busy, gauges.memory, self._rates.served_per_s, self._rates.failed_per_s
        )
