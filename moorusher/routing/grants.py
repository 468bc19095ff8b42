"""What the platform's settings grant to whom. Imports nothing: it is read where there are no customers, too."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Pool:
    """Of the platform, for several customers. `limit`: calls at a time from this runner, all customers together; each
    has its share of that and no more, whatever the others use."""

    name: str
    servers: tuple[str, ...]
    limit: int = 64


@dataclass(frozen=True, slots=True)
class Grants:
    """Of the platform's settings: servers by customer, shares of pools by customer."""

    own: Mapping[str, frozenset[str]] = field(default_factory=dict)
    shares: Mapping[str, Mapping[str, float]] = field(default_factory=dict)
    pools: Mapping[str, Pool] = field(default_factory=dict)

    def taken(self) -> set[str]:
        """Servers that are not for everybody."""
        return {s for servers in self.own.values() for s in servers} | {
            s for pool in self.pools.values() for s in pool.servers
        }

    def share(self, customer: str, pool: str) -> int:
        """Calls at a time; at least one where there is a share at all."""
        share, there = self.shares.get(customer, {}).get(pool, 0.0), self.pools.get(pool)
        return 0 if not share or there is None else max(1, int(share * there.limit))
