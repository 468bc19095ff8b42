"""`[tier]` of the operator's file, read and checked."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ..core.requests import is_identifier
from ..load_balancing.policy import MOST_SERVERS, Policy, Server, Speaks
from .section import ConfigError, Section


@dataclass(frozen=True, slots=True)
class TierConfig:
    """Servers below, in place of the one address of `db` or `uwsgi.below`."""

    servers: tuple[Server, ...] = ()
    policy: Policy = field(default_factory=Policy)
    knowledge: Path | None = None  # the file in which what was learnt of them lasts


# Bounds of `[tier]`.
TIER_BOUNDS: dict[str, tuple[float, float]] = {
    "subset": (0, MOST_SERVERS),
    "spill": (1, 100),
    "least_limit": (1, 1000),
    "most_limit": (1, 10_000),
    "queue": (0, 10_000),
    "consecutive": (1, 1000),
    "failure_share": (0.01, 1),
    "outlier": (1.5, 1000),
    "eject_s": (0.1, 600),
    "most_eject_s": (0.1, 3600),
    "most_ejected": (0, 1),
    "panic": (0, 1),
    "retry_share": (0, 1),
    "retry_floor_per_s": (0, 100),
    "backoff_ms": (0, 10_000),
    "most_backoff_ms": (0, 60_000),
    "slow_start_s": (0, 600),
    "slow_start_calls": (0, 1_000_000),
    "slow_start_window_ms": (10, 600_000),
    "runners": (1, 10_000),
}


def server_of(section: Section) -> Server:
    """One server below. Raises ConfigError with the faulty key."""
    section.unknown({"name", "address", "weight", "zone", "protocol"})
    name, address = section.get("name", ""), section.address("address")
    if not is_identifier(name, 64):
        raise ConfigError(f"{section.key('name')}: expected letters, digits and -_.:, got {name!r}")
    if address is None:
        raise ConfigError(f"{section.key('address')}: required, as HOST:PORT")
    speaks = section.get("protocol", Speaks.HTTP.value)
    if speaks not in {s.value for s in Speaks}:
        raise ConfigError(f"{section.key('protocol')}: expected one of http, uwsgi, got {speaks!r}")
    return Server(
        name, address, section.between("weight", 1.0, 0.01, 1000), section.get("zone", ""), Speaks(speaks)
    )


def read_tier(section: Section, folder: Path, runners: int = 1) -> TierConfig:
    """`[tier]` with its servers, read and checked; `runners`: how many call them where the file does not say. Raises
    ConfigError."""
    section.unknown({*TIER_BOUNDS, "zone", "hedge", "server", "knowledge_file"})
    listed: list[Any] = section.get("server", [])
    servers = tuple(server_of(Section(one, f"{section.key('server')}[{i}]")) for i, one in enumerate(listed))
    names = [s.name for s in servers]
    if twice := sorted({n for n in names if names.count(n) > 1}):
        raise ConfigError(f"{section.key('server')}: the name {twice[0]} is used more than once")
    if len(servers) > MOST_SERVERS:
        raise ConfigError(f"{section.key('server')}: more than {MOST_SERVERS}")
    d = Policy(runners=runners)
    figures = {name: section.between(name, getattr(d, name), *bounds) for name, bounds in TIER_BOUNDS.items()}
    policy = Policy(zone=section.get("zone", ""), hedge=section.get("hedge", True), **figures)
    if policy.least_limit > policy.most_limit:
        raise ConfigError(f"{section.key('least_limit')}: expected at most most_limit, {policy.most_limit}")
    kept = section.get("knowledge_file", "")
    if kept and not (folder / kept).parent.is_dir():
        raise ConfigError(f"{section.key('knowledge_file')}: there is no folder {(folder / kept).parent}")
    return TierConfig(servers, policy, folder / kept if kept else None)
