"""Decides whether the fleet can spare a machine now, from the status that its members report."""

# A machine counts as out of service from its grant until its slot is finished. A lost machine, which is not up and has
# no slot, counts as well. The remaining machines must be able to carry the present load and its recent peak.
#
# `MaintenancePolicy.max_out` limits lost machines and slots together here. The schedule has a record of slots only, so
# `slot_changes.py` checks the number of slots alone against the same limit, as `max_slots`.

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from ..membership.placement import majority
from .policy import MaintenancePolicy
from .schedule import MaintenanceRequest, Schedule

UNHEALTHY_WEIGHT = 50  # percent; a machine with a lower weight counts as unhealthy
FULL_WEIGHT = 100  # percent
MAX_NAMED_SEATS = 3  # seats that one reason lists by name


@dataclass(frozen=True, slots=True)
class SeatView:
    """One member's view of a machine.

    Attributes:
        seat, zone, group: The machine, and the zone and the group that it belongs to.
        is_up: Whether the failure detector considers it alive.
        cores: Its cores.
        weight: Share of its capacity that it offers, in percent.
        load, peak_load: Busy cores, now and at the recent peak.
        recovered: Whether it has all of its replicated state.
        durable: Whether its replicated state survives a restart of its process.
    """

    seat: str
    zone: str = ""
    group: str = ""
    is_up: bool = False
    cores: float = 0.0
    weight: int = 0
    load: float = 0.0
    peak_load: float = 0.0
    recovered: bool = True
    durable: bool = False

    @property
    def capacity(self) -> float:
        """Number of cores that it offers now."""
        return self.cores * self.weight / FULL_WEIGHT if self.is_up else 0.0

    @property
    def is_unhealthy(self) -> bool:
        """Whether it is up but offers less than half of its capacity."""
        return self.is_up and self.weight < UNHEALTHY_WEIGHT


class DisruptionBudget:
    """The machines that may still be taken out of service, given one schedule and one member's view of the fleet.

    Attributes:
        views: View of each machine, by seat.
        policy: The settings.
        schedule: The schedule.
        lost: Seats that are not up and have no slot.
        out: Seats that are out of service: lost, or with a slot.
        capacity: Number of cores that the machines not in `out` offer.
        cores: Number of cores that the machines not in `out` have.
        total_cores: Number of cores of all machines.
        needed_cores: Load of the fleet or its recent peak, whichever is higher.
        zones, groups: Number of machines that are out, by zone and by group.
        replicas: Seats that replicate the schedule.
    """

    def __init__(
        self,
        views: Iterable[SeatView],
        schedule: Schedule,
        replicas: Sequence[str],
        policy: MaintenancePolicy,
    ) -> None:
        self.views = {view.seat: view for view in views}
        self.policy = policy
        self.schedule = schedule
        granted = {slot.seat for slot in schedule.slots}
        self.lost = {view.seat for view in self.views.values() if not view.is_up and view.seat not in granted}
        self.out = granted | self.lost
        self.replicas = set(replicas)
        self._count_capacity()
        self._count_zones()
        self._count_replicas(granted)

    def _count_capacity(self) -> None:
        all_views = list(self.views.values())
        remaining_views = [view for view in all_views if view.seat not in self.out]
        live_views = [view for view in all_views if view.is_up]
        self.total_cores = sum(view.cores for view in all_views)
        self.capacity = sum(view.capacity for view in remaining_views)
        self.cores = sum(view.cores for view in remaining_views)
        load = sum(view.load for view in live_views)
        peak_load = sum(view.peak_load for view in live_views)
        self.needed_cores = max(load, peak_load)

    def _count_zones(self) -> None:
        out = [self.views[seat] for seat in self.out if seat in self.views]
        self.zones = Counter(view.zone for view in out)
        self.groups = Counter(view.group for view in out if view.group)
        # Zones in which no other machine may be taken out of service: a machine there is lost, or its request does not
        # allow sharing the zone.
        self._exclusive_zones = {self.views[seat].zone for seat in self.lost}
        for slot in self.schedule.slots:
            if slot.seat in self.views and not self._shares_zone(slot.request_id):
                self._exclusive_zones.add(self.views[slot.seat].zone)

    def _shares_zone(self, request_id: str) -> bool:
        request = self.schedule.request(request_id)
        return request is not None and request.shares_zone

    def _count_replicas(self, granted: set[str]) -> None:
        # A replica without a journal forgets the schedule when it restarts. The number of such replicas that are out
        # is limited, so that the unexpected loss of one more replica does not lose the schedule.
        self._non_durable_out = sum(
            seat in self.views and not self.views[seat].durable for seat in self.replicas & granted
        )
        self._voting = {
            seat
            for seat in self.replicas
            if seat in self.views and seat not in self.out and self.views[seat].recovered
        }

    # ---- the rules ----

    def blocking_reason(self, request: MaintenanceRequest, seat: str) -> str | None:
        """Return why the machine may not be taken out of service now, as a text for operators; None if it may."""
        view = self.views.get(seat)
        if view is None:
            return "no such seat in this runner's file"
        if seat in self.lost:
            return "not heard of; it counts as out already"
        if seat in self.out:
            return "it is out for another ask"
        return (
            self._over_bounds(request, view)
            or self._needed_as_replica(view)
            or self._needed_for_capacity(view)
        )

    def _over_bounds(self, request: MaintenanceRequest, view: SeatView) -> str | None:
        policy = self.policy
        if len(self.out) + 1 > policy.max_out:
            return f"{self._names_of_out()} out, at most {policy.max_out} may be"
        zone = f"zone {view.zone or 'none'}"
        out_of_zone = self.zones[view.zone]
        if out_of_zone + 1 > policy.max_out_per_zone:
            return f"{zone} has {out_of_zone} out, at most {policy.max_out_per_zone} may be"
        if out_of_zone and (not request.shares_zone or view.zone in self._exclusive_zones):
            return f"{zone} has one out, and not both may be done with others"
        if view.group and self.groups[view.group] + 1 > policy.max_out_per_group:
            return f"group {view.group} has {self.groups[view.group]} out, at most {policy.max_out_per_group} may be"
        return None

    def _needed_as_replica(self, view: SeatView) -> str | None:
        if view.seat not in self.replicas:
            return None
        needed = majority(len(self.replicas))
        remaining = len(self._voting - {view.seat})
        if remaining < needed:
            return f"it keeps the order itself, and without it {remaining} of {len(self.replicas)} could"
        max_non_durable_out = max(1, len(self.replicas) - needed - 1)
        if not view.durable and self._non_durable_out + 1 > max_non_durable_out:
            return (
                "it keeps the order itself, without a journal, and so do "
                f"{self._non_durable_out} of those that are out"
            )
        return None

    def _needed_for_capacity(self, view: SeatView) -> str | None:
        policy = self.policy
        cores = self.cores - view.cores
        if cores < policy.min_capacity_share * self.total_cores:
            return f"{cores:g} of {self.total_cores:g} cores would stay, {policy.min_capacity_share:.0%} must"
        capacity = self.capacity - view.capacity
        if self.needed_cores > policy.max_utilization * capacity:
            available = f"{policy.max_utilization:.0%} of {capacity:.1f}"
            return f"{self.needed_cores:.1f} cores are needed, and {available} would be there"
        return None

    def _names_of_out(self) -> str:
        seats = sorted(self.out)
        names = ", ".join(seats[:MAX_NAMED_SEATS])
        if len(seats) > MAX_NAMED_SEATS:
            return f"{names} and {len(seats) - MAX_NAMED_SEATS} more are"
        return f"{names} is" if len(seats) == 1 else f"{names} are"

    def reserve(self, request: MaintenanceRequest, seat: str) -> None:
        """Count a machine as out when the machines after it in the queue are considered."""
        view = self.views[seat]
        self.out.add(seat)
        self._voting.discard(seat)
        self._non_durable_out += seat in self.replicas and not view.durable
        self.capacity -= view.capacity
        self.cores -= view.cores
        self.zones[view.zone] += 1
        if view.group:
            self.groups[view.group] += 1
        if not request.shares_zone:
            self._exclusive_zones.add(view.zone)
