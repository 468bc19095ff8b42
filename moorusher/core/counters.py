"""What was taken in, sent and answered, in all and by tenant."""

from __future__ import annotations

from collections import Counter


class Counters:
    """Counts by name, in all and for each tenant."""

    def __init__(self) -> None:
        self.total: Counter[str] = Counter()
        self.tenants: dict[str, Counter[str]] = {}

    def add(self, name: str, tenant: str | None = None, by: int = 1) -> None:
        self.total[name] += by
        if tenant is not None:
            self.tenants.setdefault(tenant, Counter())[name] += by

    def lines(self) -> list[str]:
        return [f"{name} {value}" for name, value in sorted(self.total.items())]
