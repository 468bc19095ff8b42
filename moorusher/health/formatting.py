"""A health report in the words of the protocols that balancers speak; framing is the frontends'.

HAProxy: the documentation of `agent-check`. Envoy: that of HTTP health checking and of degraded endpoints. ORCA: the
text form of the `endpoint-load-metrics` header.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from .report import HealthReport
from .states import HealthState

MAX_REASON_LENGTH = 120  # HAProxy keeps the first line, and logs it
DEGRADED_BELOW_WEIGHT = 50
MIN_ERROR_STATUS = 300


@dataclass(frozen=True, slots=True)
class StatusCodes:
    """HTTP statuses of `/health`. Balancers differ: some know 200 and the rest, some keep 429 apart.

    Attributes:
        crowded: overloaded; 200 with a mark, as a balancer that reads only the status goes on sending.
        full: overloaded, and about to fall over.
    """

    crowded: int = 200  # the four names are keys of `[health]`
    full: int = 503
    draining: int = 503
    maintenance: int = 503


@dataclass(frozen=True, slots=True)
class ProbeResponse:
    """What an HTTP probe is told, before it is framed.

    Attributes:
        degraded: `x-envoy-degraded`: requests are sent to where the others don't suffice.
        fail_now: `x-envoy-immediate-health-check-fail`: without waiting for further failures.
    """

    status: int
    retry_after_s: int | None = None
    degraded: bool = False
    fail_now: bool = False


def one_line(text: str) -> str:
    """A reason that may come from an operator: without line ends and control characters, and not too long."""
    return "".join(c if " " <= c <= "~" else "?" for c in text)[:MAX_REASON_LENGTH]


def haproxy_agent_state(
    report: HealthReport, listeners_closed: bool = False, with_maxconn: bool = False
) -> str:
    """One line of `agent-check`, without its end. `ready` lifts a `drain` or `maint` said before; `up` a `down`,
    `fail`, `stopped`."""
    reason = f" #{report.state.value}: {one_line(report.reason)}"
    match report.state:
        case HealthState.DRAINING:  # nothing new; once nothing listens, HAProxy need not find out by trying
            return ("drain stopped" if listeners_closed else "drain") + reason
        case HealthState.MAINTENANCE:
            return "maint" + reason
        case HealthState.STARTING:
            return "ready down" + reason
        case HealthState.FAILED:
            return "ready fail" + reason
    # 0% takes all new traffic away and leaves the server up: its checks and open requests go on.
    maxconn = f" maxconn:{max(1, report.max_connections)}" if with_maxconn else ""
    return f"ready up {report.weight}%{maxconn}{reason}"


def health_response(report: HealthReport, codes: StatusCodes) -> ProbeResponse:
    """Whether new requests may be sent here."""
    match report.state:
        case HealthState.DRAINING:
            return ProbeResponse(codes.draining, fail_now=codes.draining >= MIN_ERROR_STATUS)
        case HealthState.MAINTENANCE:
            return ProbeResponse(codes.maintenance, fail_now=codes.maintenance >= MIN_ERROR_STATUS)
        case HealthState.STARTING | HealthState.FAILED:
            return ProbeResponse(503, retry_after_s=1, fail_now=report.state is HealthState.FAILED)
        case HealthState.OVERLOADED:
            status = codes.crowded if report.weight else codes.full
            retry_after_s = None
            if status >= MIN_ERROR_STATUS:
                retry_after_s = max(1, math.ceil(report.horizon_us / 1e6))
            return ProbeResponse(status, retry_after_s, degraded=True)
    return ProbeResponse(200, degraded=report.weight < DEGRADED_BELOW_WEIGHT)


def readiness_response(report: HealthReport) -> ProbeResponse:
    """Whether it could serve at all. Overload is no reason to take it out of an endpoint list: the others would be
    overloaded by it."""
    if report.state.routable:
        return ProbeResponse(200)
    return ProbeResponse(503, retry_after_s=None if report.state is HealthState.DRAINING else 1)


def startup_response(kernel_up: bool) -> ProbeResponse:
    """Whether it has come up once, which is not taken back."""
    return ProbeResponse(200) if kernel_up else ProbeResponse(503, retry_after_s=1)


def orca_load_metrics(
    report: HealthReport,
    cpu: float | None,
    memory: float | None,
    requests_per_s: float,
    errors_per_s: float,
) -> str:
    """The value of the `endpoint-load-metrics` header. What is unknown is left out: a 0 would draw traffic."""
    metrics: list[tuple[str, float | None]] = [
        ("application_utilization", report.pressure),
        ("cpu_utilization", cpu),
        ("mem_utilization", memory),
        ("rps_fractional", requests_per_s),
        ("eps", errors_per_s),
        ("named_metrics.weight", float(report.weight)),
        ("named_metrics.crowd_per_core", report.mean_per_core),
    ]
    return "TEXT " + ", ".join(f"{name}={value:.4g}" for name, value in metrics if value is not None)
