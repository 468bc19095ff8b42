"""A report in the words of the protocols that balancers speak. Pure: framing is the fronts'.

HAProxy: the documentation of `agent-check`. Envoy: that of HTTP health checking and of degraded endpoints. ORCA: the
text form of the `endpoint-load-metrics` header.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from .states import Standing
from .tracker import Report

MOST_WORDS = 120  # of a reason: HAProxy keeps the first line, and logs it


@dataclass(frozen=True, slots=True)
class Codes:
    """HTTP statuses of `/health`. Balancers differ: some know 200 and the rest, some keep 429 apart."""

    crowded: int = 200  # with a mark: a balancer that reads only the status goes on sending
    full: int = 503  # crowded, and about to fall over
    draining: int = 503
    maintenance: int = 503


@dataclass(frozen=True, slots=True)
class Answer:
    """What an HTTP probe is told, in no framing yet."""

    status: int
    retry_after_s: int | None = None
    degraded: bool = False  # x-envoy-degraded: sent to where the others don't suffice
    fail_now: bool = False  # x-envoy-immediate-health-check-fail: without waiting for further failures


def clean(text: str) -> str:
    """A reason may come from an operator: no line end, no control character, nothing that a log can't take."""
    return "".join(c if " " <= c <= "~" else "?" for c in text)[:MOST_WORDS]


def haproxy(report: Report, doors_closed: bool = False, maxconn: bool = False) -> str:
    """One line, without its end. `ready` lifts a `drain` or `maint` said before; `up` a `down`, `fail`, `stopped`."""
    reason = f" #{report.standing.value}: {clean(report.reason)}"
    match report.standing:
        case Standing.DRAINING:  # nothing new; once nothing listens, HAProxy need not find out by trying
            return ("drain stopped" if doors_closed else "drain") + reason
        case Standing.MAINTENANCE:
            return "maint" + reason
        case Standing.STARTING:
            return "ready down" + reason
        case Standing.FAILED:
            return "ready fail" + reason
    # 0% takes all new traffic away and leaves the server up: its checks and what is open go on.
    bound = f" maxconn:{max(1, report.room)}" if maxconn else ""
    return f"ready up {report.weight}%{bound}{reason}"


def routing(report: Report, codes: Codes) -> Answer:
    """May new requests be sent here?"""
    match report.standing:
        case Standing.DRAINING:
            return Answer(codes.draining, fail_now=codes.draining >= 300)
        case Standing.MAINTENANCE:
            return Answer(codes.maintenance, fail_now=codes.maintenance >= 300)
        case Standing.STARTING | Standing.FAILED:
            return Answer(503, retry_after_s=1, fail_now=report.standing is Standing.FAILED)
        case Standing.CROWDED:
            status = codes.crowded if report.weight else codes.full
            wait = max(1, math.ceil(report.horizon_us / 1e6)) if status >= 300 else None
            return Answer(status, wait, degraded=True)
    return Answer(200, degraded=report.weight < 50)


def readiness(report: Report) -> Answer:
    """Could it serve at all? Crowded is no reason to take it out of an endpoint list: it would make others so."""
    if report.standing.routable:
        return Answer(200)
    return Answer(503, retry_after_s=None if report.standing is Standing.DRAINING else 1)


def startup(report: Report, kernel_up: bool) -> Answer:
    """Has it come up once? Not taken back."""
    return Answer(200) if kernel_up else Answer(503, retry_after_s=1)


def orca(report: Report, cpu: float | None, memory: float | None, rps: float, eps: float) -> str:
    """The value of `endpoint-load-metrics`. What is unknown is left out: a 0 would draw traffic."""
    told: list[tuple[str, float | None]] = [
        ("application_utilization", report.pressure),
        ("cpu_utilization", cpu),
        ("mem_utilization", memory),
        ("rps_fractional", rps),
        ("eps", eps),
        ("named_metrics.weight", float(report.weight)),
        ("named_metrics.crowd_per_core", report.crowd),
    ]
    return "TEXT " + ", ".join(f"{name}={value:.4g}" for name, value in told if value is not None)
