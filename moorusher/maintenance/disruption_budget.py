"""Whether the fleet can do without a machine now, from what its members report of themselves.

A machine counts as out of service from its grant until it serves as before; one that is not heard of counts, too,
whether or not somebody asked for that. What stays must be able to take the load that there is, and its recent peak.

So `MaintenancePolicy.max_out` bounds lost machines and slots together here. The schedule knows its slots alone:
`slot_changes.py` checks these against the same number again, as `max_slots`.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from ..membership.placement import majority
from .policy import MaintenancePolicy
from .schedule import MaintenanceRequest, Schedule

UNHEALTHY_WEIGHT = 50  # percent, under which a machine goes before healthy ones
FULL_WEIGHT = 100  # percent
MAX_NAMED_SEATS = 3  # in a reason


@dataclass(frozen=True, slots=True)
class SeatView:
    """A machine, as one member knows it.

    seat, zone, group: str.
    is_up: bool.
    cores: float.
    weight: int, percent of its capacity that it offers.
    load, peak_load: float, cores.
    recovered: bool, as a replica of the schedule it has forgotten nothing.
    durable: bool, its next process will have forgotten nothing, either.
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
        """Cores that it offers now."""
        return self.cores * self.weight / FULL_WEIGHT if self.is_up else 0.0

    @property
    def is_unhealthy(self) -> bool:
        """It is up, and offers little of its capacity."""
        return self.is_up and self.weight < UNHEALTHY_WEIGHT


class DisruptionBudget:
    """The budget that one schedule leaves.

    views: by seat.
    lost: seats that are not heard of and have no slot.
    out: seats that are out of service: lost, or with a slot.
    capacity, cores: float, of those that stay.
    total_cores: float, of all.
    needed_cores: float, load or recent peak, whichever is higher.
    zones, groups: how many are out, by zone and group.
    replicas: seats that replicate the schedule.
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
        every = list(self.views.values())
        staying = [view for view in every if view.seat not in self.out]
        serving = [view for view in every if view.is_up]
        self.total_cores = sum(view.cores for view in every)
        self.capacity = sum(view.capacity for view in staying)
        self.cores = sum(view.cores for view in staying)
        load = sum(view.load for view in serving)
        peak_load = sum(view.peak_load for view in serving)
        self.needed_cores = max(load, peak_load)

    def _count_zones(self) -> None:
        out = [self.views[seat] for seat in self.out if seat in self.views]
        self.zones = Counter(view.zone for view in out)
        self.groups = Counter(view.group for view in out if view.group)
        # Zones in which a machine is out that does not share its zone, or is lost.
        self._exclusive_zones = {self.views[seat].zone for seat in self.lost}
        for slot in self.schedule.slots:
            if slot.seat in self.views and not self._shares_zone(slot.request_id):
                self._exclusive_zones.add(self.views[slot.seat].zone)

    def _shares_zone(self, request_id: str) -> bool:
        request = self.schedule.request(request_id)
        return request is not None and request.shares_zone

    def _count_replicas(self, granted: set[str]) -> None:
        # One more replica that is lost unasked, and forgets, must not lose the schedule.
        self._forgetful_out = sum(
            seat in self.views and not self.views[seat].durable for seat in self.replicas & granted
        )
        self._voting = {
            seat
            for seat in self.replicas
            if seat in self.views and seat not in self.out and self.views[seat].recovered
        }

    # ---- the rules ----

    def blocking_reason(self, request: MaintenanceRequest, seat: str) -> str | None:
        """Return why the machine stays for now, in words for operators; None if it may go."""
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
        max_forgetful = max(1, len(self.replicas) - needed - 1)
        if not view.durable and self._forgetful_out + 1 > max_forgetful:
            return (
                "it keeps the order itself, without a journal, and so do "
                f"{self._forgetful_out} of those that are out"
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
        """Count a machine as out, for those that are considered after it."""
        view = self.views[seat]
        self.out.add(seat)
        self._voting.discard(seat)
        self._forgetful_out += seat in self.replicas and not view.durable
        self.capacity -= view.capacity
        self.cores -= view.cores
        self.zones[view.zone] += 1
        if view.group:
            self.groups[view.group] += 1
        if not request.shares_zone:
            self._exclusive_zones.add(view.zone)
