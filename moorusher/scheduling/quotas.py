"""Which tenants are past their quota."""

from __future__ import annotations

from collections.abc import Iterable

from moorusher.scheduling.fair_queue import TenantQueue

ARRIVALS_LEARNING_RATE = 0.2  # weight of the newest window in a tenant's arrivals
OVER_QUOTA_RATIO = 1.25  # times its part of all arrivals from which a tenant is past its quota
MIN_ARRIVALS_PER_WINDOW = 0.05  # a tenant with fewer does not count as active


def update_over_quota(tenants: Iterable[TenantQueue], over_quota_weight: float) -> None:
    """At the end of a window, mark the tenants that ask for clearly more than their part of what all ask for.

    Args:
        tenants: all queues; their `arrivals`, `arrivals_per_window` and `over_quota` change.
        over_quota_weight: what requests past the quota are worth, relative to those within. At 1 nobody is
            marked.
    """
    tenants = list(tenants)
    for tenant in tenants:
        tenant.arrivals_per_window += ARRIVALS_LEARNING_RATE * (tenant.arrivals - tenant.arrivals_per_window)
        tenant.arrivals = 0
    active = [tenant for tenant in tenants if tenant.arrivals_per_window > MIN_ARRIVALS_PER_WINDOW]
    total_weight = sum(tenant.weight for tenant in active)
    fair_arrivals = sum(tenant.arrivals_per_window for tenant in active) / max(1e-9, total_weight)
    for tenant in tenants:
        quota = OVER_QUOTA_RATIO * tenant.weight * fair_arrivals
        tenant.over_quota = over_quota_weight < 1 and tenant.arrivals_per_window > quota
