"""Who goes first among the machines that are queued. No starvation: waiting outweighs priority in the end."""

from __future__ import annotations

from .disruption_budget import DisruptionBudget
from .policy import MaintenancePolicy
from .schedule import MaintenanceRequest, Schedule

URGENT_DURATIONS = 2.0  # times the expected duration before its due time, a request goes before all others

SortKey = tuple[bool, float, bool, float, int, float, str]


def sort_key(
    request: MaintenanceRequest, seat: str, budget: DisruptionBudget, policy: MaintenancePolicy, now_s: float
) -> SortKey:
    """Return the sort key of a queued machine; the lowest goes first. `now_s`: Unix time.

    In this order: urgent requests; priority and age; unhealthy machines, whose loss costs least; requests with a due
    time; the zone with the fewest out; the earliest request; the name.
    """
    view = budget.views.get(seat)
    urgent_s = URGENT_DURATIONS * request.duration_s
    is_urgent = bool(request.due_at_s) and now_s >= request.due_at_s - urgent_s
    age = max(0.0, now_s - request.requested_at_s) / policy.aging_step_s
    # Rounded down, or no two requests would ever be alike and the rest of the key would never decide.
    weight = float(int(request.priority + age))
    return (
        not is_urgent,
        -weight,
        not (view is not None and view.is_unhealthy),
        request.due_at_s or float("inf"),
        0 if view is None else budget.zones[view.zone],
        request.requested_at_s,
        seat,
    )


def ordered_queue(
    schedule: Schedule, budget: DisruptionBudget, policy: MaintenancePolicy, now_s: float
) -> list[tuple[MaintenanceRequest, str]]:
    """Return every request and seat that is queued, the first one first. `now_s`: Unix time."""
    return sorted(schedule.queue(), key=lambda queued: sort_key(queued[0], queued[1], budget, policy, now_s))
