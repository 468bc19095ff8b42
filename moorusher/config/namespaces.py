"""`[namespaces]` of the operator's file, read and checked: customers, what is granted to each, what each may cost."""

from __future__ import annotations

from dataclasses import dataclass, field, fields, replace
from typing import Any

from ..namespaces.policy import STATE_OVERHEAD_BYTES, Bounds, Budget, Granted
from ..routing.grants import Grants, Pool
from .section import ConfigError, Section

MAX_CUSTOMERS = 10_000
DEFAULT_MEMORY_MB = 64.0  # for all customers' drafts and tables at a runner
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
ROUNDING = 1e-9  # of a sum of quotas
KEPT: dict[str, tuple[float, float]] = {"keep": (1, 64), "an_hour": (1, 100_000)}


@dataclass(frozen=True, slots=True)
class Customer:
    """What is granted to one tenant, and how much it may publish."""

    granted: Granted = field(default_factory=Granted)
    bounds: Bounds = field(default_factory=Bounds)


@dataclass(frozen=True, slots=True)
class NamespacesConfig:
    """The section `[namespaces]`.

    on: whether customers have namespaces.
    customers: by name.
    grants: which servers and pools customers may use.
    most: deleted namespaces that are remembered.
    start_ms: how long a process that starts waits to learn what the others have.
    """

    on: bool = False
    customers: dict[str, Customer] = field(default_factory=dict)
    grants: Grants = field(default_factory=Grants)
    most: int = 1_000
    start_ms: float = 2_000.0


def _budget(section: Section, default: Customer) -> Customer:
    """Return `default` with the figures that the section has."""
    budget = Budget(
        **{
            figure.name: section.between(
                figure.name, getattr(default.granted.budget, figure.name), *BUDGET[figure.name]
            )
            for figure in fields(Budget)
        }
    )
    bounds = Bounds(
        section.between("keep", default.bounds.keep, *KEPT["keep"]),
        default.bounds.bytes,
        section.between("an_hour", default.bounds.an_hour, *KEPT["an_hour"]),
    )
    return Customer(replace(default.granted, budget=budget), bounds)


def _servers(section: Section, known: set[str]) -> tuple[str, ...]:
    listed: list[Any] = section.get("servers", [])
    for name in listed:
        if not isinstance(name, str) or name not in known:
            raise ConfigError(f"{section.key('servers')}: no such server in tier.server: {name!r}")
    if len(set(listed)) != len(listed):
        raise ConfigError(f"{section.key('servers')}: one is named more than once")
    return tuple(listed)


def read_namespaces(section: Section, servers: set[str], duties: bool, state_bytes: int) -> NamespacesConfig:
    """Read and check the section.

    `servers`: names of all servers of the tier. `duties`: whether there are leases, with states of up to `state_bytes`.

    :raises ConfigError: with the key that is wrong.
    """
    section.unknown({"on", "most", "memory_mb", "start_ms", "customer", "pool", *BUDGET, *KEPT})
    default = NamespacesConfig()
    on = section.get("on", default.on)
    common = _budget(section, Customer(bounds=Bounds(bytes=state_bytes)))
    pools = _pools(section, servers)
    customers = _customers(section, servers, pools, common)
    own = {name: customer.granted.servers for name, customer in customers.items()}
    quotas = {name: dict(customer.granted.pools) for name, customer in customers.items()}
    _check_servers_apart(section, own, pools)
    if len(customers) > MAX_CUSTOMERS:
        raise ConfigError(f"{section.key('customer')}: more than {MAX_CUSTOMERS}")
    _check_quotas(section, pools, quotas)
    grants = Grants(own, quotas, pools)
    if on:
        _check_memory(section, customers)
        _check_needs(section, [common, *customers.values()], servers, duties, state_bytes)
        if not servers - grants.reserved_servers():
            raise ConfigError(
                f"{section.key('customer')}: all servers of the tier are granted to customers or in pools, "
                "and none is left for who has no rules"
            )
    return NamespacesConfig(
        on,
        customers,
        grants,
        section.between("most", default.most, 1, MAX_CUSTOMERS),
        section.between("start_ms", default.start_ms, 0.0, 60_000.0),
    )


def _pools(section: Section, servers: set[str]) -> dict[str, Pool]:
    pools: dict[str, Pool] = {}
    for one in _each(section, "pool", {"name", "servers", "limit"}):
        name = _name(one, pools)
        pools[name] = Pool(name, _servers(one, servers), one.between("limit", 64, 1, 1_000_000))
    return pools


def _customers(
    section: Section, servers: set[str], pools: dict[str, Pool], common: Customer
) -> dict[str, Customer]:
    customers: dict[str, Customer] = {}
    for one in _each(section, "customer", {"name", "servers", "pools", *BUDGET, *KEPT}):
        name = _name(one, customers)
        listed = one.section("pools")
        if unknown := sorted(set(listed.data) - pools.keys()):
            raise ConfigError(f"{listed.key(unknown[0])}: no such pool")
        quotas = {pool: listed.between(pool, 0.0, 0.0, 1.0) for pool in listed.data}
        own = frozenset(_servers(one, servers))
        customer = _budget(one, common)
        customers[name] = replace(customer, granted=Granted(own, quotas, customer.granted.budget))
    return customers


def _check_quotas(section: Section, pools: dict[str, Pool], quotas: dict[str, dict[str, float]]) -> None:
    for pool in pools:
        total = sum(customer.get(pool, 0.0) for customer in quotas.values())
        if total > 1.0 + ROUNDING:
            raise ConfigError(f"{section.key('pool')}: shares of {pool} come to {total:g}, above 1")


def _check_needs(
    section: Section, customers: list[Customer], servers: set[str], duties: bool, state_bytes: int
) -> None:
    """Namespaces need leases, whose states have space for a draft, and servers."""
    if not duties:
        raise ConfigError(
            f"{section.key('on')}: namespaces are published by duties of a fleet: set duties.on"
        )
    largest_bytes = max(customer.granted.budget.bytes for customer in customers)
    if largest_bytes + STATE_OVERHEAD_BYTES > state_bytes:
        raise ConfigError(
            f"{section.key('bytes')}: expected {STATE_OVERHEAD_BYTES} less than duties.state_bytes, {state_bytes}"
        )
    if not servers:
        raise ConfigError(f"{section.key('on')}: there is nothing to route to: set tier.server")


def _check_memory(section: Section, customers: dict[str, Customer]) -> None:
    """All budgets must fit into the memory together: then no publication is rejected because of another customer."""
    most = section.between("memory_mb", DEFAULT_MEMORY_MB, 1.0, 1_048_576.0)
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


def _check_servers_apart(section: Section, own: dict[str, frozenset[str]], pools: dict[str, Pool]) -> None:
    """A server is one customer's, or in pools, or for everybody: no customer reaches another's own."""
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
