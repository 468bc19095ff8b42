"""Reads and validates `[namespaces]` of the operator's file: customers with their grants and budgets."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from ..namespaces.policy import STATE_OVERHEAD_BYTES, Grant, PublishingLimits
from ..routing.grants import Grants, Pool
from .section import ConfigError, NumericSetting, Section

MAX_CUSTOMERS = 10_000
MAX_STARTUP_WAIT_MS = 60_000.0
DEFAULT_MEMORY_MB = 64.0  # Memory for all customers' drafts and tables in one runner.
MAX_MEMORY_MB = 1_048_576.0
MAX_POOL_LIMIT = 1_000_000
# Limit of the sum of all customers' shares of a pool, with a tolerance for rounding.
MAX_QUOTA_SUM = 1.0 + 1e-9
MB = 1 << 20


# Numeric settings of a customer's budget by key.
BUDGET_SETTINGS = {
    "bytes": NumericSetting("max_draft_bytes", 1 << 10, 768 << 10),
    "rules": NumericSetting("max_rules", 1, 100_000),
    "routes": NumericSetting("max_routes", 1, 1_000),
    "route_servers": NumericSetting("max_route_servers", 1, 10_000),
    "words": NumericSetting("max_set_members", 1, 1_000_000),
    "steps": NumericSetting("max_check_steps", 1_000, 100_000_000),
    "table_bytes": NumericSetting("max_table_bytes", 1 << 16, 64 << 20),
}
# Numeric settings that limit how many revisions are published and retained, by key.
PUBLISHING_SETTINGS = {
    "keep": NumericSetting("max_revisions", 1, 64),
    "an_hour": NumericSetting("max_per_hour", 1, 100_000),
}
CUSTOMER_KEYS = BUDGET_SETTINGS.keys() | PUBLISHING_SETTINGS.keys()


@dataclass(frozen=True, slots=True)
class Customer:
    """One customer's grant and limits on publishing."""

    grant: Grant = field(default_factory=Grant)
    publishing_limits: PublishingLimits = field(default_factory=PublishingLimits)


@dataclass(frozen=True, slots=True)
class NamespacesConfig:
    """Section `[namespaces]`.

    Attributes:
        on: Whether customers have namespaces.
        customers: Customers by name.
        grants: Servers and pools that customers may use.
        max_tombstones: Maximum number of retained records of deleted namespaces (`most`).
        startup_wait_ms: Time that a starting process waits for other runners' revisions (`start_ms`).
    """

    on: bool = False
    customers: dict[str, Customer] = field(default_factory=dict)
    grants: Grants = field(default_factory=Grants)
    max_tombstones: int = 1_000
    startup_wait_ms: float = 2_000.0


def read_namespaces(section: Section, servers: set[str], duties: bool, state_bytes: int) -> NamespacesConfig:
    """Read and validate `[namespaces]`.

    :param servers: names of all servers of the tier.
    :param duties: whether the cluster has duties.
    :param state_bytes: maximum size of a duty's state.
    :raises ConfigError: a key or value is invalid.
    """
    section.reject_unknown_keys({"on", "most", "memory_mb", "start_ms", "customer", "pool", *CUSTOMER_KEYS})
    defaults = NamespacesConfig()
    on = section.get("on", defaults.on)
    common = _read_numbers(section, Customer(publishing_limits=PublishingLimits(max_state_bytes=state_bytes)))
    pools = _read_pools(section, servers)
    customers = _read_customers(section, servers, pools, common)
    grants = _build_grants(section, customers, pools)
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


def _read_numbers(section: Section, defaults: Customer) -> Customer:
    """Return `defaults` with the numbers of the section applied."""
    budget = replace(defaults.grant.budget, **section.numbers(BUDGET_SETTINGS, defaults.grant.budget))
    limits = replace(
        defaults.publishing_limits,
        **section.numbers(PUBLISHING_SETTINGS, defaults.publishing_limits),
    )
    return Customer(replace(defaults.grant, budget=budget), limits)


def _read_pools(section: Section, servers: set[str]) -> dict[str, Pool]:
    pools: dict[str, Pool] = {}
    for entry in _entries(section, "pool", {"name", "servers", "limit"}):
        name = _read_name(entry, pools)
        pools[name] = Pool(name, _read_servers(entry, servers), entry.between("limit", 64, 1, MAX_POOL_LIMIT))
    return pools


def _read_customers(
    section: Section, servers: set[str], pools: dict[str, Pool], common: Customer
) -> dict[str, Customer]:
    customers: dict[str, Customer] = {}
    for entry in _entries(section, "customer", {"name", "servers", "pools", *CUSTOMER_KEYS}):
        name = _read_name(entry, customers)
        quota_section = entry.section("pools")
        if unknown := sorted(set(quota_section.data) - pools.keys()):
            raise ConfigError(f"{quota_section.key(unknown[0])}: no such pool")
        quotas = {pool: quota_section.between(pool, 0.0, 0.0, 1.0) for pool in quota_section.data}
        own_servers = frozenset(_read_servers(entry, servers))
        customer = _read_numbers(entry, common)
        customers[name] = replace(customer, grant=Grant(own_servers, quotas, customer.grant.budget))
    return customers


def _entries(section: Section, name: str, known_keys: set[str]) -> list[Section]:
    listed: list[Any] = section.get(name, [])
    entries = [Section(raw, f"{section.key(name)}[{index}]") for index, raw in enumerate(listed)]
    for entry in entries:
        entry.reject_unknown_keys(known_keys)
    return entries


def _read_name(entry: Section, existing: Mapping[str, object]) -> str:
    # Imported only if there are names to check: the platform's configuration has none.
    from ..namespaces.names import MAX_LENGTH, is_valid_name

    name = entry.get("name", "")
    if not is_valid_name(name) or name in existing:
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


def _build_grants(section: Section, customers: Mapping[str, Customer], pools: dict[str, Pool]) -> Grants:
    """Return the grants of all customers, after checking that they don't conflict."""
    own_servers = {name: customer.grant.servers for name, customer in customers.items()}
    quotas = {name: dict(customer.grant.pools) for name, customer in customers.items()}
    _check_servers_disjoint(section, own_servers, pools)
    if len(customers) > MAX_CUSTOMERS:
        raise ConfigError(f"{section.key('customer')}: more than {MAX_CUSTOMERS}")
    _check_quotas(section, pools, quotas)
    return Grants(own_servers, quotas, pools)


def _check_servers_disjoint(
    section: Section, own_servers: Mapping[str, frozenset[str]], pools: Mapping[str, Pool]
) -> None:
    """Check that a server granted to one customer is granted to no other customer and is in no pool."""
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
    """Check that all budgets together fit into the memory, so that no customer's use causes another's rejection."""
    max_mb = section.between("memory_mb", DEFAULT_MEMORY_MB, 1.0, MAX_MEMORY_MB)
    budgets = [customer.grant.budget for customer in customers]
    granted_mb = sum(budget.max_table_bytes + budget.max_draft_bytes for budget in budgets) / MB
    if granted_mb > max_mb:
        raise ConfigError(
            f"{section.key('memory_mb')}: {len(budgets)} customers may take {granted_mb:.0f} MB together, "
            f"and {max_mb:g} are set; set a lower table_bytes, or more"
        )


def _check_leases(section: Section, customers: Iterable[Customer], duties: bool, state_bytes: int) -> None:
    """Check that the cluster has duties, and that their states have space for the largest draft."""
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
    """Check that some servers remain for requests to which no customer's rules apply."""
    if not servers:
        raise ConfigError(f"{section.key('on')}: there is nothing to route to: set tier.server")
    if not servers - grants.reserved_servers():
        raise ConfigError(
            f"{section.key('customer')}: all servers of the tier are granted to customers or in pools, "
            "and none is left for who has no rules"
        )
