"""Which servers the platform's settings grant to which customer. Imports nothing: it is read without customers, too."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Pool:
    """Servers of the platform for several customers.

    name: the pool's.
    servers: by name.
    limit: calls in flight from this runner, all customers together; each has its quota of that and no more, whatever
        the others use.
    """

    name: str
    servers: tuple[str, ...]
    limit: int = 64


@dataclass(frozen=True, slots=True)
class Grants:
    """What customers may use.

    dedicated: the servers of each customer, by its name.
    pool_shares: of each customer's name, the fraction of each pool's limit, by the pool's name.
    pools: by name.
    """

    dedicated: Mapping[str, frozenset[str]] = field(default_factory=dict)
    pool_shares: Mapping[str, Mapping[str, float]] = field(default_factory=dict)
    pools: Mapping[str, Pool] = field(default_factory=dict)

    def reserved_servers(self) -> set[str]:
        """Return the servers that requests without rules do not go to."""
        dedicated = {name for servers in self.dedicated.values() for name in servers}
        pooled = {name for pool in self.pools.values() for name in pool.servers}
        return dedicated | pooled

    def pool_quota(self, customer: str, pool_name: str) -> int:
        """Return the calls a customer may have in flight in a pool; at least one where it has any share of it."""
        share = self.pool_shares.get(customer, {}).get(pool_name, 0.0)
        pool = self.pools.get(pool_name)
        if not share or pool is None:
            return 0
        return max(1, int(share * pool.limit))
