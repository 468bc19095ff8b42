"""`[agent]`, `[health]` and `[standing]` of the operator's file, read and checked."""

from __future__ import annotations

from ..health.formatting import Codes
from ..health.policy import Policy
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


def _policy(section: Section) -> Policy:
    section.unknown(set(POLICY_BOUNDS))
    defaults = Policy()
    policy = Policy(
        **{
            name: section.between(name, getattr(defaults, name), *bounds)
            for name, bounds in POLICY_BOUNDS.items()
        }
    )
    for lower, upper in ASCENDING_KEYS:
        if not getattr(policy, lower) < getattr(policy, upper):
            raise ConfigError(f"{section.key(lower)}: expected less than {upper}, {getattr(policy, upper):g}")
    return policy


def _status_codes(section: Section) -> Codes:
    defaults = Codes()
    return Codes(
        **{
            state: section.between(f"{state}_status", getattr(defaults, state), *STATUS_CODE_BOUNDS)
            for state in STATUS_CODE_STATES
        }
    )
