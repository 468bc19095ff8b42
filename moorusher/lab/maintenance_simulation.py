"""Simulation of the maintenance of many machines in virtual time, with the planning code of real runners."""

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
"""Number of machines that store the schedule."""
MAX_UTILIZATION = 0.95
"""Largest share of the available cores that may be in use."""
MACHINES_PER_FAILURE = 100
"""One of this many machines fails unexpectedly."""
FAILURES_WITHIN_S = 2_000  # All failures begin within this time from the start of the simulation.
FAILURE_DURATION_S = 600  # How long a failed machine is down.
STEP_S = 5.0
MAX_DURATION_S = 50_000
"""Virtual time after which a simulation ends."""
_NEVER_S = 1e9  # A time after the end of every simulation.
_MESSAGES_FROM_US = 3_000_000
_MESSAGES_UNTIL_US = 13_000_000

ScheduleChange = Callable[[bytes], bytes | None]


@dataclass(frozen=True, slots=True)
class LargeMaintenanceResult:
    """Figures of the maintenance of many machines.

    Attributes:
        duration_s: Duration in virtual time.
        bound_ratio: Duration divided by the shortest one that the limits allow.
        min_free_share: Smallest share of the available cores that was not in use.
        max_machines_down: Largest number of machines with a slot at the same time.
        mean_step_ms: Mean real time of a planning step.
        longest_step_ms: Longest real time of a planning step.
        max_schedule_bytes: Largest size of the encoded schedule.
    """

    duration_s: float
    bound_ratio: float
    min_free_share: float
    max_machines_down: int
    mean_step_ms: float
    longest_step_ms: float
    max_schedule_bytes: int

    def figures(self) -> dict[str, float]:
        """Return the figures under their names in the report."""
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
    """Maintenance of all machines, while one in a hundred fails unexpectedly.

    :param load: Share of all cores in use.
    :param max_down: Limit of machines that are down for maintenance at the same time.
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
            max_utilization=MAX_UTILIZATION,
            capacity_stable_s=0,
        )
        self._names = [f"m{index:04}" for index in range(machines)]
        failing_names = rng.sample(self._names, machines // MACHINES_PER_FAILURE)
        self._fails_at = {name: rng.uniform(0, FAILURES_WITHIN_S) for name in failing_names}
        self._work_s = {name: rng.uniform(150, 210) for name in self._names}
        """Seconds of drain, maintenance, start and warm-up together, by machine."""
        request = MaintenanceRequest(
            "all", "patch", "me", 120.0, 0.0, shares_zone=True, queued=tuple(self._names)
        )
        self._schedule: Schedule = decode_schedule(SubmitRequest(request, 9)(encode_schedule(EMPTY)))
        self._now = 0.0
        self._work_ends: dict[str, float] = {}
        self._step_ms: list[float] = []
        self._schedule_bytes: list[int] = []
        self._min_free_share = 1.0
        self._max_machines_down = 0

    def run(self) -> LargeMaintenanceResult:
        """Simulate until the maintenance is complete."""
        while (self._schedule.requests or self._schedule.slots) and self._now < MAX_DURATION_S:
            seats = [self._view(index, name) for index, name in enumerate(self._names)]
            self._grant(seats)
            self._record(seats)
            self._now += STEP_S
            self._end_work()
        max_down_at_load = int(len(self._names) * (1 - self._load / MAX_UTILIZATION)) or 1
        shortest_s = sum(self._work_s.values()) / min(self._max_down, max_down_at_load)
        return LargeMaintenanceResult(
            duration_s=self._now,
            bound_ratio=self._now / shortest_s,
            min_free_share=self._min_free_share,
            max_machines_down=self._max_machines_down,
            mean_step_ms=mean(self._step_ms),
            longest_step_ms=max(self._step_ms),
            max_schedule_bytes=max(self._schedule_bytes),
        )

    def _view(self, index: int, name: str) -> SeatView:
        fails_at = self._fails_at.get(name, _NEVER_S)
        is_up = fails_at > self._now or self._now > fails_at + FAILURE_DURATION_S
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
        max_out = self._policy.max_out
        self._apply(GrantSlots(self._schedule.revision, step.grants, max_out, self._now))
        for _, seat in step.grants:
            slot = self._schedule.slot(seat)
            assert slot is not None
            self._apply(AcceptSlot(slot, 1))
            self._apply(ClearMachine(slot, 1, max_out, self._now, "1", "s"))
            self._work_ends[seat] = self._now + self._work_s[seat]

    def _record(self, seats: list[SeatView]) -> None:
        self._schedule_bytes.append(len(encode_schedule(self._schedule)))
        failed = {seat.seat for seat in seats if not seat.is_up}
        cores_up = sum(seat.cores for seat in seats if seat.is_up and self._schedule.slot(seat.seat) is None)
        used_cores = self._load * 4 * (len(self._names) - len(failed))
        self._min_free_share = min(self._min_free_share, 1 - used_cores / cores_up)
        self._max_machines_down = max(self._max_machines_down, len(self._schedule.slots))

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
    """Simulate the maintenance of all machines. The result is deterministic except for the measured planning times."""
    return LargeMaintenance(load, seed, machines, max_down).run()


def messages_per_member(seats: int) -> float:
    """Return the messages per member and second during the maintenance of a whole fleet."""
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
