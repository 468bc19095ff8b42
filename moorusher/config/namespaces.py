"""`[namespaces]` of the operator's file, read and checked: customers, what is granted to each, what each may cost."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from ..namespaces.policy import STATE_OVERHEAD_BYTES, Grant, PublishingLimits
from ..routing.grants import Grants, Pool
from .section import ConfigError, Figure, Section

MAX_CUSTOMERS = 10_000
MAX_STARTUP_WAIT_MS = 60_000.0
DEFAULT_MEMORY_MB = 64.0  # for all customers' drafts and tables at a runner
MAX_MEMORY_MB = 1_048_576.0
MAX_POOL_LIMIT = 1_000_000
MAX_QUOTA_SUM = 1.0 + 1e-9  # of a pool; with what adding up rounds
MB = 1 << 20


# By key of the settings.
BUDGET_FIGURES = {
    "bytes": Figure("max_draft_bytes", 1 << 10, 768 << 10),
    "rules": Figure("max_rules", 1, 100_000),
    "routes": Figure("max_routes", 1, 1_000),
    "route_servers": Figure("max_route_servers", 1, 10_000),
    "words": Figure("max_set_members", 1, 1_000_000),
    "steps": Figure("max_check_steps", 1_000, 100_000_000),
    "table_bytes": Figure("max_table_bytes", 1 << 16, 64 << 20),
}
PUBLISHING_FIGURES = {
    "keep": Figure("max_revisions", 1, 64),
    "an_hour": Figure("max_per_hour", 1, 100_000),
}
CUSTOMER_KEYS = BUDGET_FIGURES.keys() | PUBLISHING_FIGURES.keys()


@dataclass(frozen=True, slots=True)
class Customer:
    """What is granted to one tenant, and how much it may publish."""

    grant: Grant = field(default_factory=Grant)
    publishing_limits: PublishingLimits = field(default_factory=PublishingLimits)


@dataclass(frozen=True, slots=True)
class NamespacesConfig:
    """The section `[namespaces]`.

    on: whether customers have namespaces.
    customers: by name.
    grants: which servers and pools customers may use.
    max_tombstones: deleted namespaces that are remembered (`most`).
    startup_wait_ms: how long a process that starts waits to learn what the others have (`start_ms`).
    """

    on: bool = False
    customers: dict[str, Customer] = field(default_factory=dict)
    grants: Grants = field(default_factory=Grants)
    max_tombstones: int = 1_000
    startup_wait_ms: float = 2_000.0


def read_namespaces(section: Section, servers: set[str], duties: bool, state_bytes: int) -> NamespacesConfig:
    """Read and check the section.

    `servers`: names of all servers of the tier. `duties`: whether there are leases, with states of up to `state_bytes`.

    :raises ConfigError: with the key that is wrong.
    """
    section.unknown({"on", "most", "memory_mb", "start_ms", "customer", "pool", *CUSTOMER_KEYS})
    defaults = NamespacesConfig()
    on = section.get("on", defaults.on)
    common = _read_figures(section, Customer(publishing_limits=PublishingLimits(max_state_bytes=state_bytes)))
    pools = _read_pools(section, servers)
    customers = _read_customers(section, servers, pools, common)
    grants = _grants(section, customers, pools)
    if on:
        _check_memory(section, customers.values())
        _check_leases(section, [common, *customers.values()], duties, state_bytes)
        _check_free_servers(section, servers, grants)
    return NamespacesConfig(
        on,
        customers,
        grants,
        section.between("most", defaults.max_tombstones, 1, MAX_CUSTOMERS),
        section.between("start_ms", defaults.startup_wait_ms, 0.0, MAX_STARTUP_WAIT_MS),
    )


def _read_figures(section: Section, defaults: Customer) -> Customer:
    """Return `defaults` with the figures that the section has."""
    budget = replace(defaults.grant.budget, **section.figures(BUDGET_FIGURES, defaults.grant.budget))
    limits = replace(
        defaults.publishing_limits,
        **section.figures(PUBLISHING_FIGURES, defaults.publishing_limits),
    )
    return Customer(replace(defaults.grant, budget=budget), limits)


def _read_pools(section: Section, servers: set[str]) -> dict[str, Pool]:
    pools: dict[str, Pool] = {}
    for entry in _listed(section, "pool", {"name", "servers", "limit"}):
        name = _read_name(entry, pools)
        pools[name] = Pool(name, _read_servers(entry, servers), entry.between("limit", 64, 1, MAX_POOL_LIMIT))
    return pools


def _read_customers(
    section: Section, servers: set[str], pools: dict[str, Pool], common: Customer
) -> dict[str, Customer]:
    customers: dict[str, Customer] = {}
    for entry in _listed(section, "customer", {"name", "servers", "pools", *CUSTOMER_KEYS}):
        name = _read_name(entry, customers)
        listed = entry.section("pools")
        if unknown := sorted(set(listed.data) - pools.keys()):
            raise ConfigError(f"{listed.key(unknown[0])}: no such pool")
        quotas = {pool: listed.between(pool, 0.0, 0.0, 1.0) for pool in listed.data}
        own_servers = frozenset(_read_servers(entry, servers))
        customer = _read_figures(entry, common)
        customers[name] = replace(customer, grant=Grant(own_servers, quotas, customer.grant.budget))
    return customers


def _listed(section: Section, name: str, known_keys: set[str]) -> list[Section]:
    listed: list[Any] = section.get(name, [])
    entries = [Section(raw, f"{section.key(name)}[{index}]") for index, raw in enumerate(listed)]
    for entry in entries:
        entry.unknown(known_keys)
    return entries


def _read_name(entry: Section, taken: Mapping[str, object]) -> str:
    from ..namespaces.names import (  # only where there are some: the platform has none
        MAX_LENGTH,
        is_valid_name,
    )

    name = entry.get("name", "")
    if not is_valid_name(name) or name in taken:
        raise ConfigError(
            f"{entry.key('name')}: expected 1 to {MAX_LENGTH} characters in Unicode's form NFC, without spaces, "
            f"that no other has, got {name!r}"
        )
    return name


def _read_servers(entry: Section, known: set[str]) -> tuple[str, ...]:
    listed: list[Any] = entry.get("servers", [])
    for name in listed:
        if not isinstance(name, str) or name not in known:
            raise ConfigError(f"{entry.key('servers')}: no such server in tier.server: {name!r}")
    if len(set(listed)) != len(listed):
        raise ConfigError(f"{entry.key('servers')}: one is named more than once")
    return tuple(listed)


def _grants(section: Section, customers: Mapping[str, Customer], pools: dict[str, Pool]) -> Grants:
    """Return what all customers may use, and check that it is theirs to use."""
    own_servers = {name: customer.grant.servers for name, customer in customers.items()}
    quotas = {name: dict(customer.grant.pools) for name, customer in customers.items()}
    _check_servers_apart(section, own_servers, pools)
    if len(customers) > MAX_CUSTOMERS:
        raise ConfigError(f"{section.key('customer')}: more than {MAX_CUSTOMERS}")
    _check_quotas(section, pools, quotas)
    return Grants(own_servers, quotas, pools)


def _check_servers_apart(
    section: Section, own_servers: Mapping[str, frozenset[str]], pools: Mapping[str, Pool]
) -> None:
    """A server is one customer's, or in pools, or for everybody: no customer reaches another's own."""
    owners: dict[str, str] = {}
    for customer, servers in own_servers.items():
        for server in servers:
            if server in owners:
                raise ConfigError(
                    f"{section.key('customer')}: server {server!r} is granted to {owners[server]} and to "
                    f"{customer}; make a pool of it"
                )
            owners[server] = customer
    for pool in pools.values():
        for server in pool.servers:
            if server in owners:
                raise ConfigError(f"{section.key('pool')}: server {server!r} is {owners[server]}'s own")


def _check_quotas(section: Section, pools: Iterable[str], quotas: Mapping[str, Mapping[str, float]]) -> None:
    for pool in pools:
        total = sum(customer.get(pool, 0.0) for customer in quotas.values())
        if total > MAX_QUOTA_SUM:
            raise ConfigError(f"{section.key('pool')}: shares of {pool} come to {total:g}, above 1")


def _check_memory(section: Section, customers: Iterable[Customer]) -> None:
    """All budgets must fit into the memory together: then no publication is rejected because of another customer."""
    max_mb = section.between("memory_mb", DEFAULT_MEMORY_MB, 1.0, MAX_MEMORY_MB)
    budgets = [customer.grant.budget for customer in customers]
    granted_mb = sum(budget.max_table_bytes + budget.max_draft_bytes for budget in budgets) / MB
    if granted_mb > max_mb:
        raise ConfigError(
            f"{section.key('memory_mb')}: {len(budgets)} customers may take {granted_mb:.0f} MB together, "
            f"and {max_mb:g} are set; set a lower table_bytes, or more"
        )


def _check_leases(section: Section, customers: Iterable[Customer], duties: bool, state_bytes: int) -> None:
    """Namespaces need leases, whose states have space for a draft."""
    if not duties:
        raise ConfigError(
            f"{section.key('on')}: namespaces are published by duties of a fleet: set duties.on"
        )
    largest_bytes = max(customer.grant.budget.max_draft_bytes for customer in customers)
    if largest_bytes + STATE_OVERHEAD_BYTES > state_bytes:
        raise ConfigError(
            f"{section.key('bytes')}: expected {STATE_OVERHEAD_BYTES} less than duties.state_bytes, {state_bytes}"
        )


def _check_free_servers(section: Section, servers: set[str], grants: Grants) -> None:
    """Some servers must be left for requests that no customer's rules are for."""
    if not servers:
        raise ConfigError(f"{section.key('on')}: there is nothing to route to: set tier.server")
    if not servers - grants.reserved_servers():
        raise ConfigError(
            f"{section.key('customer')}: all servers of the tier are granted to customers or in pools, "
            "and none is left for who has no rules"
        )
