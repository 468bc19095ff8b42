"""`[agent]`, `[health]` and `[standing]` of the operator's file, read and checked."""

from __future__ import annotations

from typing import Any

from ..health.formatting import StatusCodes
from ..health.policy import HealthPolicy
from .model import HealthCheckConfig
from .section import ConfigError, Section

# Bounds of `[standing]`, by key: outside them a report can't do what it is for.
POLICY_BOUNDS: dict[str, tuple[float, float]] = {
    "probe_ms": (10, 10_000),
    "reaction_ms": (0, 10_000),
    "tip_per_core": (0, 1_000),
    "crowded_at": (0.1, 0.79),
    "full_at": (0.81, 1),
    "calm_at": (0.05, 1),
    "crowded_weight": (1, 100),
    "hold_share": (0.01, 10),
    "refused_share": (0.01, 1),
    "climb_s": (0, 600),
    "gauge_fresh_ms": (50, 60_000),
    "gauge_unknown_ms": (100, 600_000),
    "link_trust_ms": (500, 60_000),
    "settle_ms": (0, 60_000),
}
# The attributes of the policy, by key.
POLICY_ATTRIBUTES = {
    "probe_ms": "max_probe_interval_ms",
    "reaction_ms": "balancer_reaction_ms",
    "tip_per_core": "survivable_runs_per_core",
    "crowded_at": "overloaded_above",
    "full_at": "no_traffic_above",
    "calm_at": "recovered_below",
    "crowded_weight": "min_overloaded_weight",
    "hold_share": "max_queue_wait_fraction",
    "refused_share": "max_rejected_fraction",
    "climb_s": "ramp_s",
    "gauge_fresh_ms": "gauges_fresh_ms",
    "gauge_unknown_ms": "gauges_expired_ms",
    "link_trust_ms": "link_down_grace_ms",
    "settle_ms": "link_settle_ms",
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
    section.unknown(set(POLICY_BOUNDS))
    defaults = HealthPolicy()
    values: dict[str, Any] = {
        key: section.between(key, getattr(defaults, POLICY_ATTRIBUTES[key]), *bounds)
        for key, bounds in POLICY_BOUNDS.items()
    }
    for lower, upper in ASCENDING_KEYS:
        if not values[lower] < values[upper]:
            raise ConfigError(f"{section.key(lower)}: expected less than {upper}, {values[upper]:g}")
    return HealthPolicy(**{POLICY_ATTRIBUTES[key]: value for key, value in values.items()})


def health_policy_json(policy: HealthPolicy) -> dict[str, Any]:
    """The policy by the keys of `[standing]`."""
    return {key: getattr(policy, attribute) for key, attribute in POLICY_ATTRIBUTES.items()}


def _status_codes(section: Section) -> StatusCodes:
    defaults = StatusCodes()
    return StatusCodes(
        **{
            state: section.between(f"{state}_status", getattr(defaults, state), *STATUS_CODE_BOUNDS)
            for state in STATUS_CODE_STATES
        }
    )
