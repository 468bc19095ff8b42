"""Detection of tenants that are over their quota."""

from __future__ import annotations

from collections.abc import Iterable

from moorusher.scheduling.fair_queue import TenantQueue

ARRIVALS_LEARNING_RATE = 0.2  # weight of the newest window in a tenant's mean number of arrivals
OVER_QUOTA_RATIO = 1.25  # multiple of its share of all arrivals above which a tenant is over its quota
MIN_ARRIVALS_PER_WINDOW = 0.05  # mean number of arrivals; a tenant up to this does not count as active


def update_over_quota(tenants: Iterable[TenantQueue], over_quota_weight: float) -> None:
    """Mark the tenants whose demand clearly exceeds their share of the total demand, at the end of a window.

    :param tenants: All queues. Their `arrivals`, `arrivals_per_window` and `over_quota` are updated.
    :param over_quota_weight: Value of requests over the quota, relative to those within it. At 1, no tenant
        is marked.
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
