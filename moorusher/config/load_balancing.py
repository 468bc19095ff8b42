"""Reads and validates `[tier]` of the operator's file, and maps its keys to the fields of the policy."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ..core.requests import is_identifier
from ..load_balancing.policy import MAX_ENDPOINTS, EndpointConfig, EndpointProtocol, LoadBalancingPolicy
from .section import ConfigError, NumericSetting, Section


@dataclass(frozen=True, slots=True)
class TierConfig:
    """Several downstream servers, in place of the single address of `db` or `uwsgi.below`.

    Attributes:
        servers: Downstream servers; empty if the tier is disabled.
        policy: Settings of the load balancing over the servers.
        warm_start_file: File with a snapshot of learned state, read after a restart; None for no snapshot.
    """

    servers: tuple[EndpointConfig, ...] = ()
    policy: LoadBalancingPolicy = field(default_factory=LoadBalancingPolicy)
    warm_start_file: Path | None = None


MAX_NAME_LENGTH = 64
WEIGHT_BOUNDS = (0.01, 1000.0)

# Numeric settings of `[tier]` by key.
TIER_SETTINGS = {
    "subset": NumericSetting("subset_size", 0, MAX_ENDPOINTS),
    "spill": NumericSetting("zone_spill_ratio", 1, 100),
    "least_limit": NumericSetting("min_concurrency", 1, 1000),
    "most_limit": NumericSetting("max_concurrency", 1, 10_000),
    "queue": NumericSetting("max_queued_calls", 0, 10_000),
    "consecutive": NumericSetting("consecutive_failures", 1, 1000),
    "failure_share": NumericSetting("max_failure_rate", 0.01, 1),
    "outlier": NumericSetting("outlier_latency_ratio", 1.5, 1000),
    "eject_s": NumericSetting("base_ejection_s", 0.1, 600),
    "most_eject_s": NumericSetting("max_ejection_s", 0.1, 3600),
    "most_ejected": NumericSetting("max_ejected_fraction", 0, 1),
    "panic": NumericSetting("panic_threshold", 0, 1),
    "retry_share": NumericSetting("retry_budget_ratio", 0, 1),
    "retry_floor_per_s": NumericSetting("min_retries_per_s", 0, 100),
    "backoff_ms": NumericSetting("base_backoff_ms", 0, 10_000),
    "most_backoff_ms": NumericSetting("max_backoff_ms", 0, 60_000),
    "slow_start_s": NumericSetting("slow_start_s", 0, 600),
    "slow_start_calls": NumericSetting("slow_start_calls", 0, 1_000_000),
    "slow_start_window_ms": NumericSetting("slow_start_window_ms", 10, 600_000),
    "runners": NumericSetting("runners", 1, 10_000),
}


def read_endpoint(section: Section) -> EndpointConfig:
    """Read and validate one server of `[[tier.server]]` or of the administration API.

    :raises ConfigError: a key or value is invalid.
    """
    section.reject_unknown_keys({"name", "address", "weight", "zone", "protocol"})
    name = section.get("name", "")
    address = section.address("address")
    if not is_identifier(name, MAX_NAME_LENGTH):
        raise ConfigError(f"{section.key('name')}: expected letters, digits and -_.:, got {name!r}")
    if address is None:
        raise ConfigError(f"{section.key('address')}: required, as HOST:PORT")
    protocol = section.get("protocol", EndpointProtocol.HTTP.value)
    if protocol not in {known.value for known in EndpointProtocol}:
        raise ConfigError(f"{section.key('protocol')}: expected one of http, uwsgi, got {protocol!r}")
    weight = section.between("weight", 1.0, *WEIGHT_BOUNDS)
    return EndpointConfig(name, address, weight, section.get("zone", ""), EndpointProtocol(protocol))


def read_tier(section: Section, folder: Path, runners: int = 1) -> TierConfig:
    """Read and validate `[tier]` with its servers.

    :param folder: base of relative paths.
    :param runners: default for the number of runners that call the servers.
    :raises ConfigError: a key or value is invalid.
    """
    section.reject_unknown_keys({*TIER_SETTINGS, "zone", "hedge", "server", "knowledge_file"})
    endpoints = _read_endpoints(section)
    policy = _read_policy(section, runners)
    file_name = section.get("knowledge_file", "")
    if not file_name:
        return TierConfig(endpoints, policy)
    path = folder / file_name
    if not path.parent.is_dir():
        raise ConfigError(f"{section.key('knowledge_file')}: there is no folder {path.parent}")
    return TierConfig(endpoints, policy, path)


def _read_endpoints(section: Section) -> tuple[EndpointConfig, ...]:
    listed: list[Any] = section.get("server", [])
    endpoints = tuple(
        read_endpoint(Section(table, f"{section.key('server')}[{index}]"))
        for index, table in enumerate(listed)
    )
    names = [endpoint.name for endpoint in endpoints]
    if duplicates := sorted({name for name in names if names.count(name) > 1}):
        raise ConfigError(f"{section.key('server')}: the name {duplicates[0]} is used more than once")
    if len(endpoints) > MAX_ENDPOINTS:
        raise ConfigError(f"{section.key('server')}: expected at most {MAX_ENDPOINTS} servers")
    return endpoints


def _read_policy(section: Section, runners: int) -> LoadBalancingPolicy:
    defaults = LoadBalancingPolicy(runners=runners)
    numbers = section.numbers(TIER_SETTINGS, defaults)
    policy = LoadBalancingPolicy(
        zone=section.get("zone", ""), hedging_enabled=section.get("hedge", True), **numbers
    )
    if policy.min_concurrency > policy.max_concurrency:
        raise ConfigError(
            f"{section.key('least_limit')}: expected at most most_limit, {policy.max_concurrency}"
        )
    return policy
