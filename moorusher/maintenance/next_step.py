"""Planning of the slots to grant next, from the schedule and from one member's view of the fleet."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from .disruption_budget import DisruptionBudget, SeatView
from .policy import MaintenancePolicy
from .queue_order import ordered_queue
from .schedule import MaintenanceRequest, Schedule

# The remaining capacity counts as shrunk if it is below this share of its highest value since it last shrank or a
# machine last left or returned.
STABLE_CAPACITY_SHARE = 0.98


@dataclass(slots=True)
class NextStep:
    """The slots to grant next, and why each of the other machines has to wait.

    Attributes:
        grants: (request id, seat) of each slot.
        reasons: Why each queued machine waits, by request id and seat.
        order: Part of the queue that was considered.
    """

    grants: list[tuple[str, str]] = field(default_factory=list)
    reasons: dict[tuple[str, str], str] = field(default_factory=dict)
    order: list[tuple[MaintenanceRequest, str]] = field(default_factory=list)


@dataclass(slots=True)
class CapacitySettling:
    """Tracks whether the remaining capacity is stable: it has not shrunk, and no machine left or returned.

    Attributes:
        settling_time_s: Time without such a change after which the capacity is stable.
        unsettled_at_s: Time of the last such change, of the caller's monotonic clock.
    """

    settling_time_s: float
    unsettled_at_s: float = 0.0
    _capacity: float = -1.0
    _out: frozenset[str] = frozenset()

    def remaining_s(self, budget: DisruptionBudget, now_s: float) -> float:
        """Return the seconds until the capacity is stable.

        :param now_s: Time of a monotonic clock.
        """
        out = frozenset(budget.out)
        is_first = self._capacity < 0
        # A return counts as a change, too: load moves back to the returned machine from the others.
        if out != self._out or is_first or budget.capacity < STABLE_CAPACITY_SHARE * self._capacity:
            self.unsettled_at_s = now_s
            self._capacity = budget.capacity
        self._out = out
        self._capacity = max(self._capacity, budget.capacity)
        return max(0.0, self.settling_time_s - (now_s - self.unsettled_at_s))


def plan(
    schedule: Schedule,
    views: Iterable[SeatView],
    replicas: Sequence[str],
    policy: MaintenancePolicy,
    now_s: float,
    settles_in_s: float = 0.0,
    explain: bool = False,
) -> NextStep:
    """Return the next step.

    :param now_s: Unix time.
    :param settles_in_s: Seconds until the capacity is stable; nothing is granted before.
    :param explain: Whether to go through the whole queue and fill in the reasons.
    """
    step = NextStep()
    if not schedule.requests:
        return step
    budget = DisruptionBudget(views, schedule, replicas, policy)
    for request, seat in ordered_queue(schedule, budget, policy, now_s):
        step.order.append((request, seat))
        reason = _waiting_reason(schedule, request, seat, budget, now_s)
        if reason is None:
            budget.reserve(request, seat)
            if settles_in_s > 0:
                reason = f"next, once what stays has settled: {settles_in_s:.1f} s at least"
            else:
                step.grants.append((request.id, seat))
                reason = "next"
        if explain:
            step.reasons[request.id, seat] = reason
        elif len(budget.out) >= policy.max_out:
            break
    return step


def _waiting_reason(
    schedule: Schedule, request: MaintenanceRequest, seat: str, budget: DisruptionBudget, now_s: float
) -> str | None:
    if schedule.pause_reason:
        return f"held: {schedule.pause_reason}"
    if request.not_before_s > now_s:
        return f"not before {request.not_before_s - now_s:.0f} s from now"
    return budget.blocking_reason(request, seat)
