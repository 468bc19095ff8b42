"""Counters of the runner, in total and per tenant."""

from __future__ import annotations

from collections import Counter


class Counters:
    """Named counters.

    Attributes:
        total: Counters of the whole runner.
        tenants: Counters per tenant, by the tenant's name.
    """

    def __init__(self) -> None:
        self.total: Counter[str] = Counter()
        self.tenants: dict[str, Counter[str]] = {}

    def add(self, name: str, tenant: str | None = None, by: int = 1) -> None:
        """Increase a counter of the runner, and also that of the tenant if one is given."""
        self.total[name] += by
        if tenant is not None:
            self.tenants.setdefault(tenant, Counter())[name] += by

    def lines(self) -> list[str]:
        """Return the totals as lines of name and value, sorted by name."""
        return [f"{name} {value}" for name, value in sorted(self.total.items())]
