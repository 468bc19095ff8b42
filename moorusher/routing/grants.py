"""Servers that the platform's settings grant to customers.

Imports no other module of this package, since it is also loaded by runners without customers.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Pool:
    """Servers of the platform that several customers share.

    Attributes:
        name: Name of the pool.
        servers: Names of the servers.
        limit: Maximum calls in flight from this runner, for all customers together. Each customer has a fixed quota of
            the limit, and cannot use what other customers leave unused.
    """

    name: str
    servers: tuple[str, ...]
    limit: int = 64


@dataclass(frozen=True, slots=True)
class Grants:
    """Servers and pools that customers may use.

    Attributes:
        dedicated: Names of each customer's own servers, by customer name.
        pool_shares: Each customer's fraction of a pool's limit, by customer name and pool name.
        pools: Pools by name.
    """

    dedicated: Mapping[str, frozenset[str]] = field(default_factory=dict)
    pool_shares: Mapping[str, Mapping[str, float]] = field(default_factory=dict)
    pools: Mapping[str, Pool] = field(default_factory=dict)

    def reserved_servers(self) -> set[str]:
        """Return the names of granted servers, which requests without rules must not use."""
        dedicated = {name for servers in self.dedicated.values() for name in servers}
        pooled = {name for pool in self.pools.values() for name in pool.servers}
        return dedicated | pooled

    def pool_quota(self, customer: str, pool_name: str) -> int:
        """Return the number of calls a customer may have in flight in a pool; at least 1 if it has a share, else 0."""
        share = self.pool_shares.get(customer, {}).get(pool_name, 0.0)
        pool = self.pools.get(pool_name)
        if not share or pool is None:
            return 0
        return max(1, int(share * pool.limit))
