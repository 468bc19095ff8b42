"""`[agent]`, `[health]` and `[standing]` of the operator's file, read and checked."""

from __future__ import annotations

from typing import Any

from ..health.formatting import StatusCodes
from ..health.policy import HealthPolicy
from .model import HealthCheckConfig
from .section import ConfigError, Figure, Section

# The figures of `[standing]`, by key: outside their bounds a report can't do what it is for.
POLICY_FIGURES = {
    "probe_ms": Figure("max_probe_interval_ms", 10, 10_000),
    "reaction_ms": Figure("balancer_reaction_ms", 0, 10_000),
    "tip_per_core": Figure("survivable_runs_per_core", 0, 1_000),
    "crowded_at": Figure("overloaded_above", 0.1, 0.79),
    "full_at": Figure("no_traffic_above", 0.81, 1),
    "calm_at": Figure("recovered_below", 0.05, 1),
    "crowded_weight": Figure("min_overloaded_weight", 1, 100),
    "hold_share": Figure("max_queue_wait_fraction", 0.01, 10),
    "refused_share": Figure("max_rejected_fraction", 0.01, 1),
    "climb_s": Figure("ramp_s", 0, 600),
    "gauge_fresh_ms": Figure("gauges_fresh_ms", 50, 60_000),
    "gauge_unknown_ms": Figure("gauges_expired_ms", 100, 600_000),
    "link_trust_ms": Figure("link_down_grace_ms", 500, 60_000),
    "settle_ms": Figure("link_settle_ms", 0, 60_000),
}
ASCENDING_KEYS = (("calm_at", "crowded_at"), ("gauge_fresh_ms", "gauge_unknown_ms"))
STATUS_CODE_STATES = ("crowded", "full", "draining", "maintenance")
STATUS_CODE_BOUNDS = (200, 599)


def read_health_checks(agent: Section, health: Section, standing: Section) -> HealthCheckConfig:
    """Read the three sections.

    :raises ConfigError: a key is unknown, or its value is out of bounds.
    """
    agent.unknown({"listen", "maxconn"})
    health.unknown({"listen", "load_report", *(f"{state}_status" for state in STATUS_CODE_STATES)})
    return HealthCheckConfig(
        agent=agent.address("listen"),
        maxconn=agent.get("maxconn", False),
        health=health.address("listen"),
        codes=_status_codes(health),
        load_report=health.get("load_report", False),
        policy=_policy(standing),
    )


def _policy(section: Section) -> HealthPolicy:
    section.unknown(set(POLICY_FIGURES))
    policy = HealthPolicy(**section.figures(POLICY_FIGURES, HealthPolicy()))
    values = health_policy_json(policy)
    for lower, upper in ASCENDING_KEYS:
        if not values[lower] < values[upper]:
            raise ConfigError(f"{section.key(lower)}: expected less than {upper}, {values[upper]:g}")
    return policy


def health_policy_json(policy: HealthPolicy) -> dict[str, Any]:
    """The policy by the keys of `[standing]`."""
    return {key: getattr(policy, figure.field) for key, figure in POLICY_FIGURES.items()}


def _status_codes(section: Section) -> StatusCodes:
    defaults = StatusCodes()
    return StatusCodes(
        **{
            state: section.between(f"{state}_status", getattr(defaults, state), *STATUS_CODE_BOUNDS)
            for state in STATUS_CODE_STATES
        }
    )
