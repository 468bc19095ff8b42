"""A health report in the protocols of load balancers, without the framing, which `frontends` adds.

The formats follow HAProxy's documentation of `agent-check`, Envoy's documentation of HTTP health checking and degraded
endpoints, and the text form of ORCA's `endpoint-load-metrics` header.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from .report import HealthReport
from .states import HealthState

MAX_REASON_LENGTH = 120  # characters; HAProxy logs the first line
DEGRADED_WEIGHT_THRESHOLD = 50
MIN_ERROR_STATUS = 300  # lowest HTTP status that load balancers treat as a failed health check


@dataclass(frozen=True, slots=True)
class StatusCodes:
    """HTTP statuses of `/health`; the names are keys of `[health]`.

    Attributes:
        crowded: Status while overloaded.
        full: Status while overloaded and close to collapse.
    """

    # The statuses are configurable, since some load balancers treat 429 differently from other errors and some only
    # distinguish 200 from everything else. The default of `crowded` is 200, so that load balancers that read only the
    # status continue to send; others read the `x-envoy-degraded` header.
    crowded: int = 200
    full: int = 503
    draining: int = 503
    maintenance: int = 503


@dataclass(frozen=True, slots=True)
class ProbeResponse:
    """Answer to an HTTP health check, without its framing.

    Attributes:
        degraded: Whether to send `x-envoy-degraded`: the runner gets requests only if other endpoints don't suffice.
        fail_now: Whether to send `x-envoy-immediate-health-check-fail`: the runner is unhealthy from the first failure.
    """

    status: int
    retry_after_s: int | None = None
    degraded: bool = False
    fail_now: bool = False


def one_line(text: str) -> str:
    """Return the text shortened to MAX_REASON_LENGTH, with `?` for line ends, control and non-ASCII characters."""
    return "".join(c if " " <= c <= "~" else "?" for c in text)[:MAX_REASON_LENGTH]


def haproxy_agent_state(
    report: HealthReport, listeners_closed: bool = False, with_maxconn: bool = False
) -> str:
    """Return a line of `agent-check` without line end.

    `ready` cancels an earlier `drain` or `maint`; `up` cancels an earlier `down`, `fail` or `stopped`.
    """
    reason = f" #{report.state.value}: {one_line(report.reason)}"
    match report.state:
        case HealthState.DRAINING:
            # `stopped` spares HAProxy connection attempts after the listeners are closed.
            return ("drain stopped" if listeners_closed else "drain") + reason
        case HealthState.MAINTENANCE:
            return "maint" + reason
        case HealthState.STARTING:
            return "ready down" + reason
        case HealthState.FAILED:
            return "ready fail" + reason
    # A weight of 0% stops new traffic but leaves the server up: its checks and open requests continue.
    maxconn = f" maxconn:{max(1, report.max_connections)}" if with_maxconn else ""
    return f"ready up {report.weight}%{maxconn}{reason}"


def health_response(report: HealthReport, codes: StatusCodes) -> ProbeResponse:
    """Return the answer of `/health`: whether load balancers may send new requests."""
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
    return ProbeResponse(200, degraded=report.weight < DEGRADED_WEIGHT_THRESHOLD)


def readiness_response(report: HealthReport) -> ProbeResponse:
    """Return the answer of `/ready`: whether the runner can serve at all."""
    # An overloaded runner is ready: its removal from an endpoint list would overload the other runners.
    if report.state.routable:
        return ProbeResponse(200)
    return ProbeResponse(503, retry_after_s=None if report.state is HealthState.DRAINING else 1)


def startup_response(kernel_up: bool) -> ProbeResponse:
    """Return the answer of `/startup`: whether the kernel has been up at any time since the start."""
    return ProbeResponse(200) if kernel_up else ProbeResponse(503, retry_after_s=1)


def orca_load_metrics(
    report: HealthReport,
    cpu: float | None,
    memory: float | None,
    requests_per_s: float,
    errors_per_s: float,
) -> str:
    """Return the value of the `endpoint-load-metrics` header. Unknown values are omitted: a 0 would attract traffic."""
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
