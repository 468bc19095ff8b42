"""Maintenance of many machines in virtual time: the same decisions as those of real runners, step by step."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from statistics import mean
from time import perf_counter

from ..maintenance.disruption_budget import SeatView
from ..maintenance.next_step import plan
from ..maintenance.operator_changes import SubmitRequest
from ..maintenance.policy import MaintenancePolicy
from ..maintenance.schedule import (
    EMPTY,
    MaintenanceRequest,
    Schedule,
    SlotStage,
    decode_schedule,
    encode_schedule,
)
from ..maintenance.slot_changes import AcceptSlot, ClearMachine, CompleteSlot, GrantSlots, MarkReturned
from ..model_checking.maintenance_simulation import MaintenanceSimulation
from ..model_checking.scenario import Scenario

CORES = 4.0
ZONES = 4
GROUPS = 20
ACCEPTORS = 7
"""Machines that keep the schedule."""
MAX_FILL = 0.95
"""Of the cores that are up."""
LOST_PART = 100
"""One in so many is lost unasked."""
LOSS_WITHIN_S = 2_000
LOST_FOR_S = 600
STEP_S = 5.0
LONGEST_S = 50_000
"""A simulation ends then."""
_NEVER_S = 1e9
_MESSAGES_FROM_US = 3_000_000
_MESSAGES_UNTIL_US = 13_000_000

ScheduleChange = Callable[[bytes], bytes | None]


@dataclass(frozen=True, slots=True)
class LargeMaintenanceResult:
    """Of the maintenance of many machines.

    Attributes:
        duration_s: of virtual time.
        bound_ratio: the duration over the shortest that the limit allows.
        min_free_share: the least share of the cores that was free.
        max_machines_down: at a time.
        mean_step_ms: of the processor, for one plan.
        longest_step_ms: the same.
        max_schedule_bytes: of the encoded schedule.
    """

    duration_s: float
    bound_ratio: float
    min_free_share: float
    max_machines_down: int
    mean_step_ms: float
    longest_step_ms: float
    max_schedule_bytes: int

    def figures(self) -> dict[str, float]:
        """As they stand in a report."""
        return {
            "seconds": self.duration_s,
            "over the bound": self.bound_ratio,
            "worst free": self.min_free_share,
            "most out": self.max_machines_down,
            "step ms": self.mean_step_ms,
            "longest step ms": self.longest_step_ms,
            "roster bytes": self.max_schedule_bytes,
        }


class LargeMaintenance:
    """All machines are to be worked on, and one in a hundred is lost unasked meanwhile.

    :param load: share of all cores.
    :param max_down: machines at a time.
    """

    def __init__(self, load: float, seed: int, machines: int, max_down: int) -> None:
        rng = random.Random(seed)
        self._load = load
        self._max_down = max_down
        self._policy = MaintenancePolicy(
            enabled=True,
            max_out=max_down,
            max_out_per_zone=max_down // 4,
            max_out_per_group=4,
            max_utilization=MAX_FILL,
            capacity_stable_s=0,
        )
        self._names = [f"m{index:04}" for index in range(machines)]
        lost_names = rng.sample(self._names, machines // LOST_PART)
        self._lost_at = {name: rng.uniform(0, LOSS_WITHIN_S) for name in lost_names}
        self._work_s = {name: rng.uniform(150, 210) for name in self._names}
        """Of drain, work, start and warming, in all."""
        request = MaintenanceRequest(
            "all", "patch", "me", 120.0, 0.0, shares_zone=True, queued=tuple(self._names)
        )
        self._schedule: Schedule = decode_schedule(SubmitRequest(request, 9)(encode_schedule(EMPTY)))
        self._now = 0.0
        self._work_ends: dict[str, float] = {}
        self._step_ms: list[float] = []
        self._schedule_bytes: list[int] = []
        self._min_free = 1.0
        self._most_down = 0

    def run(self) -> LargeMaintenanceResult:
        """Until all machines were worked on."""
        while (self._schedule.requests or self._schedule.slots) and self._now < LONGEST_S:
            seats = [self._view(index, name) for index, name in enumerate(self._names)]
            self._grant(seats)
            self._record(seats)
            self._now += STEP_S
            self._end_work()
        by_load = int(len(self._names) * (1 - self._load / MAX_FILL)) or 1
        shortest_s = sum(self._work_s.values()) / min(self._max_down, by_load)
        return LargeMaintenanceResult(
            duration_s=self._now,
            bound_ratio=self._now / shortest_s,
            min_free_share=self._min_free,
            max_machines_down=self._most_down,
            mean_step_ms=mean(self._step_ms),
            longest_step_ms=max(self._step_ms),
            max_schedule_bytes=max(self._schedule_bytes),
        )

    def _view(self, index: int, name: str) -> SeatView:
        lost_at = self._lost_at.get(name, _NEVER_S)
        is_up = lost_at > self._now or self._now > lost_at + LOST_FOR_S
        used_cores = self._load * CORES
        return SeatView(
            name, f"z{index % ZONES}", f"g{index % GROUPS}", is_up, CORES, 100, used_cores, used_cores
        )

    def _apply(self, change: ScheduleChange) -> None:
        encoded = encode_schedule(self._schedule)
        self._schedule = decode_schedule(change(encoded) or encoded)

    def _grant(self, seats: list[SeatView]) -> None:
        began = perf_counter()
        step = plan(self._schedule, seats, self._names[:ACCEPTORS], self._policy, self._now)
        self._step_ms.append(1000 * (perf_counter() - began))
        if not step.grants:
            return
        most = self._policy.max_out
        self._apply(GrantSlots(self._schedule.revision, step.grants, most, self._now))
        for _, seat in step.grants:
            slot = self._schedule.slot(seat)
            assert slot is not None
            self._apply(AcceptSlot(slot, 1))
            self._apply(ClearMachine(slot, 1, most, self._now, "1", "s"))
            self._work_ends[seat] = self._now + self._work_s[seat]

    def _record(self, seats: list[SeatView]) -> None:
        self._schedule_bytes.append(len(encode_schedule(self._schedule)))
        lost = {seat.seat for seat in seats if not seat.is_up}
        cores_up = sum(seat.cores for seat in seats if seat.is_up and self._schedule.slot(seat.seat) is None)
        used = self._load * 4 * (len(self._names) - len(lost))
        self._min_free = min(self._min_free, 1 - used / cores_up)
        self._most_down = max(self._most_down, len(self._schedule.slots))

    def _end_work(self) -> None:
        for slot in self._schedule.slots:
            if slot.stage is SlotStage.CLEARED and self._work_ends[slot.seat] <= self._now:
                self._apply(MarkReturned(slot, 2, self._now, "s"))
                returned = self._schedule.slot(slot.seat)
                assert returned is not None
                self._apply(CompleteSlot(returned, 2, self._now, self._policy.max_history))


def simulate_large_maintenance(
    load: float, seed: int, machines: int = 1_000, max_down: int = 40
) -> LargeMaintenanceResult:
    """Maintenance of all machines; the same seed plays the same, but for the processor's time."""
    return LargeMaintenance(load, seed, machines, max_down).run()


def messages_per_member(seats: int) -> float:
    """A second, while the maintenance of a whole fleet goes on."""
    scenario = Scenario(seats=seats, keys=0, faults=0, loss=0, duplication=0, seconds=20)
    simulation = MaintenanceSimulation(1, scenario, requests=0)
    simulation.run(_MESSAGES_FROM_US)
    names = tuple(f"n{index}" for index in range(seats))
    request = MaintenanceRequest("all", "patch", "me", 1.0, 0.0, shares_zone=True, queued=names)
    simulation.operators.requested["all"] = set(request.queued)
    process = simulation.processes[0]
    coordinator = process.coordinator  # type: ignore[attr-defined]
    simulation.at(simulation.now, process, lambda: coordinator.submit(request, lambda reply: None))
    before = simulation.history.messages
    simulation.run(_MESSAGES_UNTIL_US)
    seconds = (_MESSAGES_UNTIL_US - _MESSAGES_FROM_US) / 1e6
    return (simulation.history.messages - before) / seconds / seats
