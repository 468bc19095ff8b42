"""`[namespaces]` of the operator's file, read and checked: customers, what is granted to each, what each may cost."""

from __future__ import annotations

from dataclasses import dataclass, field, fields, replace
from typing import Any

from ..namespaces.policy import STATE_OVERHEAD_BYTES, Bounds, Budget, Granted
from ..routing.grants import Grants, Pool
from .section import ConfigError, Section

MOST_CUSTOMERS = 10_000
MEMORY_MB = 64.0  # for all customers' drafts and tables at a runner
# What each figure of a customer's budget may be, and the revisions that are kept of it.
BUDGET: dict[str, tuple[float, float]] = {
    "bytes": (1 << 10, 768 << 10),
    "rules": (1, 100_000),
    "routes": (1, 1_000),
    "route_servers": (1, 10_000),
    "words": (1, 1_000_000),
    "steps": (1_000, 100_000_000),
    "table_bytes": (1 << 16, 64 << 20),
}
KEPT: dict[str, tuple[float, float]] = {"keep": (1, 64), "an_hour": (1, 100_000)}


@dataclass(frozen=True, slots=True)
class Customer:
    """A tenant with servers of its own, and its shares of pools."""

    granted: Granted = field(default_factory=Granted)
    bounds: Bounds = field(default_factory=Bounds)


@dataclass(frozen=True, slots=True)
class NamespacesConfig:
    """`start_ms`: a process that begins asks others for so long what they have, before it serves without."""

    on: bool = False
    customers: dict[str, Customer] = field(default_factory=dict)
    grants: Grants = field(default_factory=Grants)
    most: int = 1_000
    start_ms: float = 2_000.0


def _budget(section: Section, d: Customer) -> Customer:
    """The figures of this section over those of `d`."""
    budget = Budget(
        **{
            f.name: section.between(f.name, getattr(d.granted.budget, f.name), *BUDGET[f.name])
            for f in fields(Budget)
        }
    )
    bounds = Bounds(
        section.between("keep", d.bounds.keep, *KEPT["keep"]),
        d.bounds.bytes,
        section.between("an_hour", d.bounds.an_hour, *KEPT["an_hour"]),
    )
    return Customer(replace(d.granted, budget=budget), bounds)


def _servers(section: Section, known: set[str]) -> tuple[str, ...]:
    listed: list[Any] = section.get("servers", [])
    for name in listed:
        if not isinstance(name, str) or name not in known:
            raise ConfigError(f"{section.key('servers')}: no such server in tier.server: {name!r}")
    if len(set(listed)) != len(listed):
        raise ConfigError(f"{section.key('servers')}: one is named more than once")
    return tuple(listed)


def read_namespaces(section: Section, servers: set[str], duties: bool, state_bytes: int) -> NamespacesConfig:
    """`servers`: of the tier; `duties`: there are some, with states of up to `state_bytes`."""
    section.unknown({"on", "most", "memory_mb", "start_ms", "customer", "pool", *BUDGET, *KEPT})
    d = NamespacesConfig()
    on = section.get("on", d.on)
    common = _budget(section, Customer(bounds=Bounds(bytes=state_bytes)))
    pools: dict[str, Pool] = {}
    for one in _each(section, "pool", {"name", "servers", "limit"}):
        name = _name(one, pools)
        pools[name] = Pool(name, _servers(one, servers), one.between("limit", 64, 1, 1_000_000))
    customers: dict[str, Customer] = {}
    own: dict[str, frozenset[str]] = {}
    shares: dict[str, dict[str, float]] = {}
    for one in _each(section, "customer", {"name", "servers", "pools", *BUDGET, *KEPT}):
        name = _name(one, customers)
        share = one.section("pools")
        if odd := sorted(set(share.data) - pools.keys()):
            raise ConfigError(f"{share.key(odd[0])}: no such pool")
        shares[name] = {pool: share.between(pool, 0.0, 0.0, 1.0) for pool in share.data}
        own[name] = frozenset(_servers(one, servers))
        made = _budget(one, common)
        customers[name] = replace(made, granted=Granted(own[name], shares[name], made.granted.budget))
    _apart(section, own, pools)
    if len(customers) > MOST_CUSTOMERS:
        raise ConfigError(f"{section.key('customer')}: more than {MOST_CUSTOMERS}")
    for pool in pools:
        if (total := sum(s.get(pool, 0.0) for s in shares.values())) > 1.0 + 1e-9:
            raise ConfigError(f"{section.key('pool')}: shares of {pool} come to {total:g}, above 1")
    if on:
        _fits(section, customers)
        if not duties:
            raise ConfigError(
                f"{section.key('on')}: namespaces are published by duties of a fleet: set duties.on"
            )
        if common.granted.budget.bytes + STATE_OVERHEAD_BYTES > state_bytes or any(
            c.granted.budget.bytes + STATE_OVERHEAD_BYTES > state_bytes for c in customers.values()
        ):
            raise ConfigError(
                f"{section.key('bytes')}: expected {STATE_OVERHEAD_BYTES} less than duties.state_bytes, {state_bytes}"
            )
        if not servers:
            raise ConfigError(f"{section.key('on')}: there is nothing to route to: set tier.server")
    grants = Grants(own, shares, pools)
    if on and not servers - grants.reserved_servers():
        raise ConfigError(
            f"{section.key('customer')}: all servers of the tier are granted to customers or in pools, "
            "and none is left for who has no rules"
        )
    return NamespacesConfig(
        on,
        customers,
        grants,
        section.between("most", d.most, 1, MOST_CUSTOMERS),
        section.between("start_ms", d.start_ms, 0.0, 60_000.0),
    )


def _fits(section: Section, customers: dict[str, Customer]) -> None:
    """What is granted is there for each, whatever the others use of theirs: so it must all fit, and none is refused at
    publishing because of another."""
    most = section.between("memory_mb", MEMORY_MB, 1.0, 1_048_576.0)
    granted = sum(c.granted.budget.table_bytes + c.granted.budget.bytes for c in customers.values()) / 2**20
    if granted > most:
        raise ConfigError(
            f"{section.key('memory_mb')}: {len(customers)} customers may take {granted:.0f} MB together, "
            f"and {most:g} are set; set a lower table_bytes, or more"
        )


def _each(section: Section, name: str, known: set[str]) -> list[Section]:
    listed: list[Any] = section.get(name, [])
    made = [Section(raw, f"{section.key(name)}[{i}]") for i, raw in enumerate(listed)]
    for one in made:
        one.unknown(known)
    return made


def _name(one: Section, others: dict[str, Any]) -> str:
    from ..namespaces.names import MAX_LENGTH, is_normal  # where there are some: the platform has none

    name = one.get("name", "")
    if not is_normal(name) or name in others:
        raise ConfigError(
            f"{one.key('name')}: expected 1 to {MAX_LENGTH} characters in Unicode's form NFC, without spaces, "
            f"that no other has, got {name!r}"
        )
    return name


def _apart(section: Section, own: dict[str, frozenset[str]], pools: dict[str, Pool]) -> None:
    """A server is one customer's, or in pools, or for everybody: nobody's own is reached by another."""
    whose: dict[str, str] = {}
    for name, servers in own.items():
        for server in servers:
            if server in whose:
                raise ConfigError(
                    f"{section.key('customer')}: server {server!r} is granted to {whose[server]} and to "
                    f"{name}; make a pool of it"
                )
            whose[server] = name
    for pool in pools.values():
        for server in pool.servers:
            if server in whose:
                raise ConfigError(f"{section.key('pool')}: server {server!r} is {whose[server]}'s own")
