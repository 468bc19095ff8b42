"""JSON document of `GET /standing`: the health state and the measurements behind it, with ages in ms."""

from __future__ import annotations

from ..health.observation import KernelGauges, Maintenance
from ..time_units import MS
from .reporter import Reporter


def health_document(reporter: Reporter) -> dict[str, object]:
    """Return the document; its keys are part of the administration API."""
    report = reporter.report()
    observation = reporter.observe()
    tracker = reporter.tracker
    now = observation.now
    return {
        "standing": report.state.value,
        "weight": report.weight,
        "reason": report.reason,
        "since_ms": (now - tracker.since_us) / MS,
        "routable": report.routable,
        "pressure": report.pressure,
        "parts": report.pressure_parts,
        "unknown": list(report.unknown),
        "crowd": {
            "now": observation.on_cores,
            "mean_per_core": report.mean_per_core,
            "forecast_per_core": report.forecast_per_core,
            "survives_per_core": report.survivable_per_core,
            "horizon_ms": report.horizon_us / MS,
            "trend_per_s": tracker.on_cores.trend(now),
        },
        "at_calls": observation.at_calls,
        "held": observation.queued,
        "oldest_held_ms": observation.oldest_queued_us / MS,
        "open": observation.unanswered,
        "speed": observation.speed,
        "gauge": None if observation.gauges is None else _gauges_document(observation.gauges, now),
        "link": {"losses_in_30_s": tracker.link.flaps(now)},
        "maintenance": _maintenance_document(tracker.maintenance, now),
        "draining": observation.draining,
        "left_ms": observation.shutdown_remaining_us / MS,
        "balancers": {
            "known": len(tracker.probes),
            "slowest_ms": tracker.probes.longest_us(now) / MS,
        },
    }


def _maintenance_document(maintenance: Maintenance | None, now: int) -> dict[str, object] | None:
    if maintenance is None:
        return None
    expires_us = maintenance.expires_us
    return {
        "reason": maintenance.reason,
        "for_ms": (now - maintenance.since_us) / MS,
        "left_ms": None if expires_us is None else (expires_us - now) / MS,
    }


def _gauges_document(gauges: KernelGauges, now: int) -> dict[str, float | None]:
    return {
        "busy": gauges.busy,
        "runnable": gauges.runnable,
        "memory": gauges.memory,
        "age_ms": (now - gauges.read_at_us) / MS,
    }
