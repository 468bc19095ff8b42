"""Order of the queued machines. Requests age, so that a long wait outweighs priority and no request starves."""

from __future__ import annotations

from .disruption_budget import DisruptionBudget
from .policy import MaintenancePolicy
from .schedule import MaintenanceRequest, Schedule

# A request is urgent if at most this multiple of its expected duration is left until it is due.
URGENT_DURATIONS = 2.0

SortKey = tuple[bool, float, bool, float, int, float, str]


def sort_key(
    request: MaintenanceRequest, seat: str, budget: DisruptionBudget, policy: MaintenancePolicy, now_s: float
) -> SortKey:
    """Return the sort key of a queued machine; the machine with the lowest key is first in the queue.

    Machines are sorted by: urgency; priority plus age; poor health, since losing an unhealthy machine costs least; due
    time; the number of machines that are out in the zone; time of the request; name.

    :param now_s: Unix time.
    """
    view = budget.views.get(seat)
    urgent_s = URGENT_DURATIONS * request.duration_s
    is_urgent = bool(request.due_at_s) and now_s >= request.due_at_s - urgent_s
    age = max(0.0, now_s - request.requested_at_s) / policy.aging_step_s
    # The sum is rounded down. Otherwise hardly any two requests would have equal weights, and the rest of the key would
    # have no effect.
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
    """Return the request and the seat of each queued machine, in the order in which slots should be granted.

    :param now_s: Unix time.
    """
    return sorted(schedule.queue(), key=lambda queued: sort_key(queued[0], queued[1], budget, policy, now_s))
