"""Reads and validates `[agent]`, `[health]` and `[standing]` of the operator's file."""

from __future__ import annotations

from typing import Any

from ..health.formatting import StatusCodes
from ..health.policy import HealthPolicy
from .model import HealthCheckConfig
from .section import ConfigError, NumericSetting, Section

# Numeric settings of `[standing]` by key. With values outside these bounds, load balancers can't use the reports to
# prevent an overload.
HEALTH_SETTINGS = {
    "probe_ms": NumericSetting("max_probe_interval_ms", 10, 10_000),
    "reaction_ms": NumericSetting("balancer_reaction_ms", 0, 10_000),
    "tip_per_core": NumericSetting("survivable_runs_per_core", 0, 1_000),
    "crowded_at": NumericSetting("overloaded_threshold", 0.1, 0.79),
    "full_at": NumericSetting("no_traffic_threshold", 0.81, 1),
    "calm_at": NumericSetting("recovery_threshold", 0.05, 1),
    "crowded_weight": NumericSetting("min_overloaded_weight", 1, 100),
    "hold_share": NumericSetting("max_queue_wait_fraction", 0.01, 10),
    "refused_share": NumericSetting("max_rejected_fraction", 0.01, 1),
    "climb_s": NumericSetting("ramp_s", 0, 600),
    "gauge_fresh_ms": NumericSetting("gauges_fresh_ms", 50, 60_000),
    "gauge_unknown_ms": NumericSetting("gauges_expired_ms", 100, 600_000),
    "link_trust_ms": NumericSetting("link_down_grace_ms", 500, 60_000),
    "settle_ms": NumericSetting("link_stabilization_ms", 0, 60_000),
}
ASCENDING_KEYS = (("calm_at", "crowded_at"), ("gauge_fresh_ms", "gauge_unknown_ms"))
STATUS_CODE_STATES = ("crowded", "full", "draining", "maintenance")
STATUS_CODE_BOUNDS = (200, 599)


def read_health_checks(agent: Section, health: Section, standing: Section) -> HealthCheckConfig:
    """Read and validate the three sections.

    :raises ConfigError: a key or value is invalid.
    """
    agent.reject_unknown_keys({"listen", "maxconn"})
    health.reject_unknown_keys(
        {"listen", "load_report", *(f"{state}_status" for state in STATUS_CODE_STATES)}
    )
    return HealthCheckConfig(
        agent=agent.address("listen"),
        maxconn=agent.get("maxconn", False),
        health=health.address("listen"),
        codes=_read_status_codes(health),
        load_report=health.get("load_report", False),
        policy=_read_policy(standing),
    )


def _read_policy(section: Section) -> HealthPolicy:
    section.reject_unknown_keys(set(HEALTH_SETTINGS))
    policy = HealthPolicy(**section.numbers(HEALTH_SETTINGS, HealthPolicy()))
    values = health_policy_json(policy)
    for lower, upper in ASCENDING_KEYS:
        if not values[lower] < values[upper]:
            raise ConfigError(f"{section.key(lower)}: expected less than {upper} ({values[upper]:g})")
    return policy


def health_policy_json(policy: HealthPolicy) -> dict[str, Any]:
    """Return the policy's values by the keys of `[standing]`."""
    return {key: getattr(policy, setting.field) for key, setting in HEALTH_SETTINGS.items()}


def _read_status_codes(section: Section) -> StatusCodes:
    defaults = StatusCodes()
    return StatusCodes(
        **{
            state: section.between(f"{state}_status", getattr(defaults, state), *STATUS_CODE_BOUNDS)
            for state in STATUS_CODE_STATES
        }
    )
