"""Decides when a replica writes the next step: the first live one at once, the others after delays by their rank."""

# No single replica is required. If two replicas grant slots at the same time, the second grant is rejected, since the
# revision of the schedule on which it was planned is outdated by then.

from __future__ import annotations

from collections.abc import Sequence

from ..membership.failure_detector import FailureDetector
from ..membership.placement import Placement
from ..time_units import MS, SECOND
from .disruption_budget import DisruptionBudget, SeatView
from .next_step import CapacitySettling, NextStep, plan
from .policy import MaintenancePolicy
from .schedule import Schedule, SlotStage
from .slot_changes import GrantSlots

# Time without a change of the schedule after which the replica with the next rank plans the grants.
REPLICA_RANK_DELAY_US = 1_500 * MS
RENOTIFY_INTERVAL_US = 1_000 * MS  # between notifications of a grant that the machine has not accepted
HUNDREDTHS_PER_CORE = 100  # members report loads in hundredths of a core


def seat_views(placement: Placement, detector: FailureDetector) -> list[SeatView]:
    """Return this member's view of every machine."""
    views = []
    for name in placement.names:
        seat = placement.by_name[name]
        member = detector.by_seat[name]
        status = member.status
        views.append(
            SeatView(
                seat=name,
                zone=seat.zone,
                group=seat.group,
                is_up=member.is_alive,
                cores=status.cores,
                weight=status.weight,
                load=status.load / HUNDREDTHS_PER_CORE,
                peak_load=status.peak_load / HUNDREDTHS_PER_CORE,
                recovered=status.recovered,
                durable=status.durable,
            )
        )
    return views


class MaintenancePlanner:
    """Plans the next step from one member's view of the fleet.

    Attributes:
        replicas: Seats that replicate the schedule.
        settling: Tracks whether the remaining capacity is stable.
    """

    def __init__(
        self,
        me: str,
        placement: Placement,
        detector: FailureDetector,
        replicas: Sequence[str],
        policy: MaintenancePolicy,
    ) -> None:
        self.replicas = tuple(replicas)
        self.settling = CapacitySettling(policy.capacity_stable_s)
        self._me = me
        self._placement = placement
        self._detector = detector
        self._policy = policy
        self._revision = -1
        self._unchanged_since_us = 0
        self._notified_at_us = 0

    def reconfigure(self, policy: MaintenancePolicy) -> None:
        """Apply changed settings."""
        self._policy = policy
        self.settling.settling_time_s = policy.capacity_stable_s

    def _rank(self, schedule: Schedule) -> int:
        """Return the number of live replicas without a slot that come before this one."""
        out = {slot.seat for slot in schedule.slots}
        members = self._detector.by_seat
        eligible = [
            seat for seat in self.replicas if seat == self._me or (members[seat].is_alive and seat not in out)
        ]
        return eligible.index(self._me)

    def _settles_in_s(self, views: list[SeatView], schedule: Schedule, now_us: int) -> float:
        budget = DisruptionBudget(views, schedule, self.replicas, self._policy)
        return self.settling.remaining_s(budget, now_us / SECOND)

    def next_grants(self, schedule: Schedule, now_us: int, unix_s: float) -> GrantSlots | None:
        """Return the grants that this replica should write now, or None.

        :param now_us: Time of a monotonic clock.
        :param unix_s: Unix time.
        """
        if schedule.revision != self._revision:
            self._revision = schedule.revision
            self._unchanged_since_us = now_us
        views = seat_views(self._placement, self._detector)
        settles_in_s = self._settles_in_s(views, schedule, now_us)
        if settles_in_s > 0:
            self._unchanged_since_us = max(self._unchanged_since_us, now_us)
            return None
        if schedule.pause_reason or not schedule.requests or len(schedule.slots) >= self._policy.max_out:
            return None
        if now_us - self._unchanged_since_us < REPLICA_RANK_DELAY_US * self._rank(schedule):
            return None
        step = plan(schedule, views, self.replicas, self._policy, unix_s)
        if not step.grants:
            return None
        return GrantSlots(schedule.revision, step.grants, self._policy.max_out, unix_s)

    def explain(self, schedule: Schedule, now_us: int, unix_s: float) -> NextStep:
        """Return the next step, with the reason why each queued machine waits."""
        views = seat_views(self._placement, self._detector)
        settles_in_s = self._settles_in_s(views, schedule, now_us)
        return plan(schedule, views, self.replicas, self._policy, unix_s, settles_in_s, explain=True)

    def seats_to_notify(self, schedule: Schedule, now_us: int) -> list[str]:
        """Return the other machines to notify of a grant that they have not accepted.

        :returns: Nothing if this is not the first live replica, or the last notification was recent.
        """
        if now_us - self._notified_at_us < RENOTIFY_INTERVAL_US or not schedule.slots or self._rank(schedule):
            return []
        self._notified_at_us = now_us
        return [
            slot.seat
            for slot in schedule.slots
            if slot.stage is SlotStage.DRAINING and not slot.incarnation and slot.seat != self._me
        ]
