"""Model checks of planned maintenance: all interleavings, and simulations of random seeds in virtual time.

Each search must also find deliberate faults.
"""

from __future__ import annotations

from dataclasses import replace
from functools import partial
from typing import Any

import pytest
from msgspec import structs

from moorusher.maintenance.coordinator import MaintenanceCoordinator
from moorusher.maintenance.disruption_budget import DisruptionBudget
from moorusher.maintenance.operator_changes import (
    WithdrawRequest,
)
from moorusher.maintenance.policy import MaintenancePolicy
from moorusher.maintenance.schedule import (
    Schedule,
    SlotStage,
)
from moorusher.maintenance.slot_changes import (
    GrantSlots,
)
from moorusher.maintenance.waiters import Waiters, WaitResult, WaitStatus
from moorusher.model_checking.cluster_simulation import find_counterexample
from moorusher.model_checking.explorer import explore, replay
from moorusher.model_checking.maintenance_interleavings import MaintenanceModel, MaintenanceModelLimits
from moorusher.model_checking.maintenance_simulation import SCENARIO, MaintenanceSimulation

# ---- every interleaving ----


def test_every_interleaving_of_two_requests_and_a_withdrawal_keeps_the_limit() -> None:
    found = explore(MaintenanceModel.initial(MaintenanceModelLimits(crashes=0, abandoned=0)), 60_000)
    assert found.complete and found.violation is None, found


def test_interleavings_with_a_crash_or_a_late_change_keep_the_limit() -> None:
    for limits in (
        MaintenanceModelLimits(crashes=1, abandoned=0),
        MaintenanceModelLimits(crashes=0, abandoned=1),
    ):
        found = explore(MaintenanceModel.initial(limits), 25_000, depth_first=True)
        assert found.violation is None, found


class IgnoresRevision(GrantSlots):
    """A deliberate fault: the limit is checked when a grant is sent, and not when it is applied."""

    def apply(self, schedule: Schedule) -> Schedule | None:
        self.revision = schedule.revision
        self.max_slots = 9
        return super().apply(schedule)


class IgnoresClearedMachines(DisruptionBudget):
    """A deliberate fault: cleared machines are not counted as out."""

    def __init__(self, views: Any, schedule: Schedule, replicas: Any, policy: MaintenancePolicy) -> None:
        slots = tuple(t for t in schedule.slots if t.stage is not SlotStage.CLEARED)
        super().__init__(views, structs.replace(schedule, slots=slots), replicas, policy)


class WithdrawsClearedSlots(WithdrawRequest):
    """A deliberate fault: a withdrawal succeeds although its machine has been cleared and may be worked on."""

    def apply(self, schedule: Schedule) -> Schedule | None:
        model = super().apply(schedule) or schedule
        self.error = None
        return structs.replace(model, slots=tuple(t for t in model.slots if t.request_id != self.request_id))


@pytest.mark.parametrize(
    "limits, faults",
    [
        (MaintenanceModelLimits(crashes=0), {"clears_early": True}),
        (
            MaintenanceModelLimits(crashes=0, abandoned=0, allows_withdrawal=False),
            {"grant_change": IgnoresRevision, "machine_policy": MaintenancePolicy(max_out=9)},
        ),
        (
            MaintenanceModelLimits(crashes=0, abandoned=0, allows_withdrawal=False),
            {
                "budget_class": IgnoresClearedMachines,
                "grant_change": IgnoresRevision,
                "machine_policy": MaintenancePolicy(max_out=9),
            },
        ),
        (MaintenanceModelLimits(crashes=0, abandoned=0), {"withdraw_change": WithdrawsClearedSlots}),
        (
            MaintenanceModelLimits(
                crashes=1, abandoned=0, allows_withdrawal=False, seats=("b", "a"), planners=("c",)
            ),
            {"process_proves_reboot": True},
        ),
    ],
)
def test_the_interleavings_find_each_seeded_fault(
    limits: MaintenanceModelLimits, faults: dict[str, Any]
) -> None:
    found = explore(MaintenanceModel.initial(limits, **faults), 200_000)
    assert found.violation is not None, found
    assert replay(MaintenanceModel.initial(limits, **faults), found.path) == found.violation


# ---- seeds in virtual time ----


def test_no_seed_has_too_many_machines_out_or_loses_a_request() -> None:
    found = find_counterexample(range(40), MaintenanceSimulation)
    assert found is None, f"MaintenanceSimulation({found.seed}).play(): {found.violation}" if found else ""


def test_a_seed_replays_the_same_simulation() -> None:
    first, second = MaintenanceSimulation(7), MaintenanceSimulation(7)
    assert first.play() == second.play() and first.faults.log == second.faults.log
    assert first.history.messages == second.history.messages


class IgnoresLaterBoot(Waiters):
    """A deliberate fault: a caller on a later boot of the machine gets the clearance for an earlier boot."""

    def result_for(self, waiter: Any, schedule: Schedule, is_known: bool) -> WaitResult | None:
        slot = schedule.slot(waiter.seat)
        if slot is not None and slot.request_id == waiter.request_id and slot.stage is SlotStage.CLEARED:
            return WaitResult(WaitStatus.GRANTED)
        return super().result_for(waiter, schedule, is_known)


class CoordinatorIgnoringLaterBoot(MaintenanceCoordinator):
    """A coordinator with the faulty waiters."""

    waiters_class = IgnoresLaterBoot


def test_seeds_find_a_clearance_that_is_reported_on_a_later_boot() -> None:
    assert (
        find_counterexample(
            range(120), partial(MaintenanceSimulation, coordinator_class=CoordinatorIgnoringLaterBoot)
        )
        is not None
    )


def test_without_faults_every_request_is_finished() -> None:
    sim = MaintenanceSimulation(1, replace(SCENARIO, faults=0))
    assert sim.play() is None and sim.max_cleared >= 1 and not sim.operators.majority_losses
