"""Reconfiguration at run time: transfers the state of classes and tenants to new settings."""

from __future__ import annotations

from moorusher.scheduling.fair_queue import FairQueue, TenantQueue, scaled_weights
from moorusher.scheduling.interface import Reconfiguration
from moorusher.scheduling.service_time import ClassState, ServiceTime
from moorusher.scheduling.state import SchedulerState

# Removed tenants get numbers below this one. The queues of callers are numbered from -1 down. There are far
# too few callers to reach this number.
REMOVED_TENANT_NUMBER_BASE = -(1 << 40)


def reconfigure(state: SchedulerState, change: Reconfiguration) -> None:
    """Apply new settings. Classes and tenants that remain keep their estimates; jobs keep their class."""
    state.use_settings(change.settings)
    _reconfigure_classes(state.service_time, change)
    _reconfigure_tenants(state.queue, change)
    classes = state.service_time.classes
    for tenant in state.queue.tenants.values():
        tenant.max_cost_ratios = {c: ratio for c, ratio in tenant.max_cost_ratios.items() if c in classes}


def _reconfigure_classes(service_time: ServiceTime, change: Reconfiguration) -> None:
    former = service_time.classes
    service_time.classes = [
        ClassState(request_class, service_time.mean_cost_ms, windows=0)
        if former_index < 0
        else former[former_index].redefine(request_class)
        for request_class, former_index in zip(change.settings.classes, change.former_classes, strict=True)
    ]


def _reconfigure_tenants(queue: FairQueue, change: Reconfiguration) -> None:
    former = queue.tenants
    weights = scaled_weights(change.settings.tenants)
    queue.tenants = {}
    for number, (former_number, weight) in enumerate(zip(change.former_tenants, weights, strict=True)):
        tenant = TenantQueue(weight) if former_number < 0 else former.pop(former_number)
        queue.tenants[number] = tenant
        queue.active_weight += (weight - tenant.weight) * tenant.active
        tenant.weight = weight
    # Removed tenants remain until their queues are empty, under numbers that no caller has.
    lowest = min([REMOVED_TENANT_NUMBER_BASE, *former])
    for number, tenant in former.items():
        queue.tenants[number if number < 0 else lowest - 1 - number] = tenant
