"""Counters of the runner, in total and by tenant."""

from __future__ import annotations

from collections import Counter


class Counters:
    """Counts by name.

    Attributes:
        total: over all tenants.
        tenants: by the tenant's name; only what was counted for a tenant.
    """

    def __init__(self) -> None:
        self.total: Counter[str] = Counter()
        self.tenants: dict[str, Counter[str]] = {}

    def add(self, name: str, tenant: str | None = None, by: int = 1) -> None:
        """Increase a counter, and the tenant's own one where a tenant is given."""
        self.total[name] += by
        if tenant is not None:
            self.tenants.setdefault(tenant, Counter())[name] += by

    def lines(self) -> list[str]:
        """The totals as lines of name and value, sorted by name."""
        return [f"{name} {value}" for name, value in sorted(self.total.items())]
