"""Planned maintenance without sockets: changes of the schedule, the local machine, budget, order and plan."""

from __future__ import annotations

import inspect
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from msgspec import structs

from moorusher.maintenance import errors
from moorusher.maintenance.disruption_budget import DisruptionBudget, SeatView
from moorusher.maintenance.load_report import LoadGauge
from moorusher.maintenance.local_machine import MachineMode, MachineState, decide
from moorusher.maintenance.next_step import CapacitySettling, plan
from moorusher.maintenance.operator_changes import (
    FinishSlot,
    PauseAll,
    Resume,
    SubmitRequest,
    WithdrawRequest,
)
from moorusher.maintenance.policy import MaintenancePolicy
from moorusher.maintenance.schedule import (
    EMPTY,
    CompletionProof,
    MaintenanceRequest,
    Schedule,
    Slot,
    SlotStage,
    decode_schedule,
    encode_schedule,
)
from moorusher.maintenance.slot_changes import (
    AcceptSlot,
    ClearMachine,
    CompleteSlot,
    GrantSlots,
    MarkReturned,
    ReturnSlot,
)
from moorusher.maintenance.start_estimate import estimate_starts
from moorusher.maintenance.transitions import Change
from moorusher.time_units import SECOND

MAX_HISTORY = 8
POLICY = MaintenancePolicy(
    enabled=True, max_out=2, max_out_per_zone=1, min_capacity_share=0.5, max_utilization=0.9
)


def request(id: str = "a", *seats: str, **fields: Any) -> MaintenanceRequest:
    return MaintenanceRequest(id, "patch", "me", 60.0, 0.0, queued=seats or ("n0",), **fields)


def apply_changes(schedule: Schedule, *changes: Change) -> Schedule:
    """Return the schedule after these changes, applied in order."""
    value: bytes | None = encode_schedule(schedule)
    for change in changes:
        value = change(value) or value
    return decode_schedule(value)


def schedule_with(*requests: MaintenanceRequest) -> Schedule:
    return apply_changes(EMPTY, *(SubmitRequest(entry, 9) for entry in requests))


def with_granted_slot(schedule: Schedule, id: str, seat: str) -> Schedule:
    return apply_changes(schedule, GrantSlots(schedule.revision, [(id, seat)], 9, 1.0))


def slot(schedule: Schedule, seat: str = "n0") -> Slot:
    found = schedule.slot(seat)
    assert found is not None
    return found


def with_cleared_slot(schedule: Schedule, seat: str = "n0", id: str = "a", incarnation: int = 1) -> Schedule:
    schedule = with_granted_slot(schedule, id, seat)
    schedule = apply_changes(schedule, AcceptSlot(slot(schedule, seat), incarnation))
    return apply_changes(schedule, ClearMachine(slot(schedule, seat), incarnation, 9, 2.0, "start 1", "s"))


# ---- changes ----


def test_a_slot_goes_through_its_stages_and_its_request_is_finished_with_the_last_one() -> None:
    schedule = with_cleared_slot(schedule_with(request()))
    assert slot(schedule).stage is SlotStage.CLEARED
    schedule = apply_changes(schedule, MarkReturned(slot(schedule), 2, 3.0, "s"))
    assert slot(schedule).stage is SlotStage.RETURNED and slot(schedule).incarnation == 2
    schedule = apply_changes(schedule, CompleteSlot(slot(schedule), 2, 4.0, MAX_HISTORY))
    assert (
        not schedule.slots and not schedule.requests and schedule.is_finished("a") and schedule.revision == 6
    )


def test_a_grant_planned_on_another_revision_or_beyond_the_limit_is_not_applied() -> None:
    """Two replicas plan on the same revision, and one of them is suspended and writes its grant later."""
    schedule = schedule_with(request("a", "n0", "n1"))
    stale = GrantSlots(schedule.revision, [("a", "n0")], 1, 1.0)
    after = apply_changes(schedule, GrantSlots(schedule.revision, [("a", "n1")], 1, 1.0))
    assert apply_changes(after, stale) == after and not stale.is_applied and not stale.affected_seats()
    assert apply_changes(after, GrantSlots(after.revision, [("a", "n0")], 1, 1.0)) == after
    paused = apply_changes(schedule, PauseAll("freeze"))
    assert apply_changes(paused, GrantSlots(paused.revision, [("a", "n0")], 1, 1.0)) == paused


def test_a_clearance_is_valid_only_for_its_own_grant_process_and_limit() -> None:
    """A suspended machine resumes and clears itself for a grant that has since been revoked and granted again."""
    schedule = with_granted_slot(schedule_with(request()), "a", "n0")
    first = slot(schedule)
    schedule = apply_changes(schedule, AcceptSlot(first, 1))
    assert (
        apply_changes(schedule, ClearMachine(first, 2, 9, 2.0, "m", "s")) == schedule
    )  # another process of the machine
    assert (
        apply_changes(schedule, ClearMachine(first, 1, 0, 2.0, "m", "s")) == schedule
    )  # the machine's own limit is lower
    regranted = with_granted_slot(apply_changes(schedule, ReturnSlot(first, 1, "later")), "a", "n0")
    regranted = apply_changes(regranted, AcceptSlot(slot(regranted), 1))
    assert slot(regranted).granted_revision > first.granted_revision
    assert (
        apply_changes(regranted, ClearMachine(first, 1, 9, 2.0, "m", "s")) == regranted
    )  # for the returned grant
    assert (
        slot(apply_changes(regranted, ClearMachine(slot(regranted), 1, 9, 2.0, "m", "s"))).stage
        is SlotStage.CLEARED
    )


def test_a_withdrawal_excludes_a_cleared_machine_and_includes_the_others() -> None:
    """An operator withdraws a request, but one of its machines has been cleared and may be worked on."""
    schedule = with_cleared_slot(schedule_with(request("a", "n0", "n1", "n2")))
    schedule = with_granted_slot(schedule, "a", "n1")
    cancel = WithdrawRequest("a", [], 5.0, "you", MAX_HISTORY)
    after = apply_changes(schedule, cancel)
    assert cancel.too_late == ["n0"] and isinstance(cancel.error, errors.AlreadyClearedError)
    assert [t.seat for t in after.slots] == ["n0"] and slot(after).stage is not SlotStage.DRAINING
    assert not list(after.queue()) and cancel.affected_seats() == ["n1"]
    assert after.request("a") is not None  # open until the cleared machine has returned
    finished = apply_changes(after, FinishSlot("n0", 6.0, "you", MAX_HISTORY))
    assert finished.is_finished("a") and not finished.slots


def test_a_request_is_idempotent_by_its_id_and_another_of_that_id_is_rejected() -> None:
    schedule, repeat = schedule_with(request()), SubmitRequest(request(), 9)
    assert apply_changes(schedule, repeat) == schedule and repeat.error is None
    other = SubmitRequest(request("a", "n0", priority=3), 9)
    assert apply_changes(schedule, other) == schedule and isinstance(
        other.error, errors.RequestIdConflictError
    )
    finished = apply_changes(schedule, WithdrawRequest("a", [], 1.0, "me", MAX_HISTORY))
    late = SubmitRequest(request(), 9)
    # A repeat of a finished request does not open it again.
    assert apply_changes(finished, late) == finished and late.error is None
    full = SubmitRequest(request("b"), 1)
    assert apply_changes(schedule, full) == schedule and isinstance(full.error, errors.TooManyRequestsError)


def test_two_failed_grants_or_two_failed_returns_wait_for_an_operator() -> None:
    """A machine fails to drain twice, or its process ends again each time after it has returned."""
    schedule = schedule_with(request())
    for _ in range(2):
        schedule = with_granted_slot(schedule, "a", "n0")
        schedule = apply_changes(schedule, ReturnSlot(slot(schedule), 1, "not drained"))
    found = schedule.request("a")
    assert found is not None and found.suspended == (("n0", "not drained"),) and not found.queued
    assert [s for _, s in apply_changes(schedule, Resume("n0")).queue()] == ["n0"]
    schedule = with_cleared_slot(schedule_with(request()))
    for incarnation in (2, 3, 4):
        schedule = apply_changes(schedule, MarkReturned(slot(schedule), incarnation, 3.0, "s"))
    assert slot(schedule).stage is SlotStage.SUSPENDED and "2 times" in slot(schedule).note
    assert not apply_changes(schedule, FinishSlot("n0", 6.0, "me", MAX_HISTORY)).slots


def test_a_machine_that_returns_while_it_is_abandoned_serves_without_a_slot() -> None:
    """An operator finishes the slot of a machine at the moment at which the machine returns."""
    schedule = with_cleared_slot(schedule_with(request("a", "n0", "n1")))
    abandoned = apply_changes(schedule, FinishSlot("n0", 6.0, "me", MAX_HISTORY))
    assert apply_changes(abandoned, MarkReturned(slot(schedule), 2, 7.0, "s")) == abandoned
    returned = apply_changes(schedule, MarkReturned(slot(schedule), 2, 7.0, "s"))
    finished = apply_changes(returned, FinishSlot("n0", 8.0, "me", MAX_HISTORY))
    assert apply_changes(finished, CompleteSlot(slot(returned), 2, 9.0, MAX_HISTORY)) == finished
    assert not finished.slots
    assert decide(None, machine(incarnation=2), POLICY, 10).mode is MachineMode.SERVING


def test_a_pause_revokes_draining_slots_and_keeps_cleared_ones() -> None:
    """An operator pauses maintenance while one machine drains and another is being worked on."""
    schedule = with_granted_slot(with_cleared_slot(schedule_with(request("a", "n0", "n1"))), "a", "n1")
    paused = apply_changes(schedule, PauseAll("freeze"))
    assert [t.seat for t in paused.slots] == ["n0"] and [s for _, s in paused.queue()] == ["n1"]
    assert paused.failed_grants_of("a", "n1") == 0 and apply_changes(paused, Resume()).pause_reason == ""


def test_a_return_with_other_settings_is_noted() -> None:
    schedule = with_cleared_slot(schedule_with(request()))
    assert (
        slot(apply_changes(schedule, MarkReturned(slot(schedule), 2, 3.0, "t"))).note
        == "came back with other settings"
    )


@pytest.mark.parametrize(
    "change",
    [
        FinishSlot("n1", 1.0, "me", MAX_HISTORY),
        Resume("n1"),
        WithdrawRequest("z", [], 1.0, "me", MAX_HISTORY),
    ],
)
def test_operations_on_unknown_machines_or_requests_are_rejected_with_a_typed_error(change: Change) -> None:
    schedule = schedule_with(request())
    assert (
        apply_changes(schedule, change) == schedule
        and isinstance(change.error, errors.MaintenanceError)
        and change.error.remedy
    )


def test_every_error_has_a_remedy_and_is_listed_in_the_documentation() -> None:
    page = (Path(__file__).parent.parent / "docs" / "operate" / "outage.md").read_text()
    kinds = [
        k for _, k in inspect.getmembers(errors, inspect.isclass) if issubclass(k, errors.MaintenanceError)
    ]
    assert set(errors.ERRORS) == set(kinds) - {errors.MaintenanceError}
    assert all(k.remedy and f"`{k.kind}`" in page for k in errors.ERRORS)


# ---- the local machine ----


def machine(**fields: Any) -> MachineState:
    return replace(MachineState("n0", 1, True, "start 1", "s"), **fields)


def test_a_machine_takes_the_steps_that_its_slot_and_its_state_allow() -> None:
    schedule = with_granted_slot(schedule_with(request()), "a", "n0")
    assert decide(None, machine(), POLICY, 0).mode is MachineMode.SERVING
    assert isinstance(decide(slot(schedule), machine(), POLICY, 0).change, AcceptSlot)
    schedule = apply_changes(schedule, AcceptSlot(slot(schedule), 1))
    assert decide(slot(schedule), machine(), POLICY, 0).change is None  # it drains
    assert isinstance(decide(slot(schedule), machine(is_drained=True), POLICY, 0).change, ClearMachine)
    assert isinstance(
        decide(slot(schedule), machine(is_drained=True, machines_out=3), POLICY, 0).change, ReturnSlot
    )
    assert isinstance(decide(slot(schedule), machine(draining_us=61 * SECOND), POLICY, 0).change, ReturnSlot)
    # A process that starts after the draining process has ended returns the slot. A process that takes over from the
    # draining process in a hot restart keeps the slot.
    assert isinstance(decide(slot(schedule), machine(incarnation=2), POLICY, 0).change, ReturnSlot)
    assert isinstance(
        decide(slot(schedule), machine(incarnation=2, is_first_process=False), POLICY, 0).change, AcceptSlot
    )


@pytest.mark.parametrize(
    "proof, boot_id, mode",
    [
        (CompletionProof.REBOOT, "start 1", MachineMode.CLEARED),
        (CompletionProof.REBOOT, "start 2", MachineMode.RETURNING),
        (CompletionProof.REBOOT, "", MachineMode.CLEARED),
        (CompletionProof.OPERATOR, "start 2", MachineMode.CLEARED),
    ],
)
def test_only_a_later_boot_of_the_machine_proves_that_the_work_is_over(
    proof: CompletionProof, boot_id: str, mode: MachineMode
) -> None:
    """The process of a cleared machine restarts before the work has begun, which does not prove that it is over."""
    schedule = with_cleared_slot(schedule_with(request("a", "n0", completion=proof.value)))
    assert decide(slot(schedule), machine(incarnation=2, boot_id=boot_id), POLICY, 3).mode is mode


def test_a_returned_machine_is_finished_once_it_is_warm_and_has_recovered() -> None:
    schedule = with_cleared_slot(schedule_with(request()))
    schedule = apply_changes(schedule, MarkReturned(slot(schedule), 2, 3.0, "s"))
    assert decide(slot(schedule), machine(incarnation=2, is_warm=True), POLICY, 4).change is None
    assert isinstance(
        decide(slot(schedule), machine(incarnation=2, is_warm=True, recovered=True), POLICY, 4).change,
        CompleteSlot,
    )
    late = decide(slot(schedule), machine(incarnation=2, returned_us=121 * SECOND, recovered=True), POLICY, 4)
    assert late.change is None and "still cold" in late.alert
    assert "still" not in decide(slot(schedule), machine(incarnation=2), POLICY, 4).alert


# ---- budget, order, plan ----


def views(**fields: Any) -> list[SeatView]:
    base = {"is_up": True, "cores": 4.0, "weight": 100, "load": 1.0, "peak_load": 1.0} | fields
    return [SeatView(f"n{i}", zone=f"z{i % 2}", **base) for i in range(6)]


def blocking_reason(
    seat_views: list[SeatView],
    schedule: Schedule,
    seat: str,
    policy: MaintenancePolicy = POLICY,
    replicas: tuple[str, ...] = (),
) -> str:
    found, _ = next((a, s) for a, s in schedule.queue() if s == seat)
    return DisruptionBudget(seat_views, schedule, replicas, policy).blocking_reason(found, seat) or ""


def test_a_machine_stays_in_service_if_the_others_could_not_carry_the_load() -> None:
    schedule = schedule_with(request("a", "n0", "n1"))
    assert blocking_reason(views(), schedule, "n0") == ""
    assert "cores are needed" in blocking_reason(views(peak_load=3.1), schedule, "n0")  # 18.6 > 90% of 20
    assert "cores are needed" in blocking_reason(views(load=3.1), schedule, "n0")
    assert "must" in blocking_reason(
        views(), schedule, "n0", MaintenancePolicy(max_out=9, min_capacity_share=0.9)
    )
    half_weight = [replace(v, weight=50) for v in views(load=2.0)]
    assert "cores are needed" in blocking_reason(half_weight, schedule, "n0")


def test_a_lost_machine_counts_as_out_and_zones_and_groups_have_bounds_of_their_own() -> None:
    """A machine is lost without a request for its maintenance."""
    schedule, seat_views = schedule_with(request("a", "n0", "n1", "n3")), views()
    seat_views[2] = replace(seat_views[2], is_up=False)
    assert blocking_reason(seat_views, schedule, "n0") == "zone z0 has 1 out, at most 1 may be"
    assert blocking_reason(seat_views, schedule, "n1") == ""
    seat_views[5] = replace(seat_views[5], is_up=False)
    assert blocking_reason(seat_views, schedule, "n1") == "n2, n5 are out, at most 2 may be"
    grouped = [replace(v, group="rack" if v.seat in ("n0", "n1") else "") for v in views()]
    after = with_granted_slot(schedule, "a", "n0")
    assert "group rack has 1 out" in blocking_reason(grouped, after, "n1")
    assert blocking_reason(views(), after, "n1") == ""


def test_two_machines_of_a_zone_go_together_only_if_both_requests_allow_it() -> None:
    policy = MaintenancePolicy(max_out=3, max_out_per_zone=2, max_utilization=1.0)
    for together, expected in (
        (True, ""),
        (False, "zone z0 has one out, and not both may be done with others"),
    ):
        schedule = with_granted_slot(schedule_with(request("a", "n0", "n2", shares_zone=together)), "a", "n0")
        assert blocking_reason(views(), schedule, "n2", policy) == expected


def test_enough_replicas_stay_that_an_unexpected_loss_does_not_lose_the_schedule() -> None:
    """A replica is lost unexpectedly while replicas without a journal are out.

    A majority of the replicas must still have the schedule.
    """
    schedule, replicas = schedule_with(request("a", "n0", "n1")), ("n0", "n1", "n2", "n3", "n4")
    policy = MaintenancePolicy(max_out=3, max_out_per_zone=3, max_utilization=1.0)
    after = with_granted_slot(schedule, "a", "n0")
    assert "without a journal" in blocking_reason(views(), after, "n1", policy, replicas)
    assert blocking_reason(views(durable=True), after, "n1", policy, replicas) == ""
    not_recovered = [replace(v, recovered=v.seat in ("n0", "n1", "n2")) for v in views(durable=True)]
    assert "2 of 5 could" in blocking_reason(not_recovered, schedule, "n1", policy, replicas)


def test_urgent_requests_go_first_then_by_priority_and_age_then_unhealthy_machines() -> None:
    def first(
        *requests: MaintenanceRequest, now: float = 100.0, seat_views: list[SeatView] | None = None
    ) -> str:
        step = plan(schedule_with(*requests), seat_views or views(), (), MaintenancePolicy(max_out=1), now)
        return step.grants[0][1]

    low, high = request("a", "n0"), request("b", "n1", priority=2)
    assert first(low, high) == "n1"
    assert first(structs.replace(low, due_at_s=200.0), high) == "n0"  # urgent: 60 s of work, due in 100 s
    assert first(structs.replace(low, due_at_s=2000.0), high) == "n1"
    assert first(low, structs.replace(high, requested_at_s=10_000.0), now=10_900.0) == "n0"  # aged 3 h
    unhealthy = views()
    unhealthy[3] = replace(unhealthy[3], weight=20)
    assert first(request("a", "n0", "n3"), seat_views=unhealthy) == "n3"


def test_every_queued_machine_has_a_reason_and_none_goes_before_its_time_or_during_a_pause() -> None:
    schedule = schedule_with(request("a", "n0", "n1", "n2", "n3"), request("b", "n4", not_before_s=500.0))
    step = plan(schedule, views(), (), POLICY, 100.0, explain=True)
    assert step.grants == [("a", "n0"), ("a", "n1")]
    assert (
        all(step.reasons[a.id, s] for a, s in schedule.queue())
        and "not before 400 s" in step.reasons["b", "n4"]
    )
    paused = plan(apply_changes(schedule, PauseAll("freeze")), views(), (), POLICY, 100.0, explain=True)
    assert not paused.grants and set(paused.reasons.values()) == {"held: freeze"}
    unsettled = plan(schedule, views(), (), POLICY, 100.0, settles_in_s=2.0, explain=True)
    assert not unsettled.grants and "settled" in unsettled.reasons["a", "n0"]


def test_the_remaining_capacity_is_stable_once_it_has_not_shrunk_for_a_while() -> None:
    settling, schedule = CapacitySettling(3.0), schedule_with(request("a", "n0"))

    def remaining_s(now: float, seat_views: list[SeatView], r: Schedule = schedule) -> float:
        return settling.remaining_s(DisruptionBudget(seat_views, r, (), POLICY), now)

    assert remaining_s(0, views()) == 3 and remaining_s(2, views()) == 1 and remaining_s(4, views()) == 0
    assert (
        remaining_s(5, views(weight=50)) == 3 and remaining_s(9, views(weight=50)) == 0
    )  # the capacity has shrunk once and is stable since
    assert remaining_s(10, views(), with_granted_slot(schedule, "a", "n0")) == 3


def test_start_estimates_respect_the_limits() -> None:
    schedule = schedule_with(request("a", "n0", "n1", "n2", "n3"))
    zones = {v.seat: v.zone for v in views()}
    two_at_a_time = estimate_starts(
        schedule, list(schedule.queue()), zones, MaintenancePolicy(max_out=2, max_out_per_zone=1), 0.0
    )
    assert [two_at_a_time["a", f"n{i}"] for i in range(4)] == [0, 0, 70, 70]
    one_at_a_time = estimate_starts(
        schedule, list(schedule.queue()), zones, MaintenancePolicy(max_out=1, max_out_per_zone=1), 0.0
    )
    assert [one_at_a_time["a", f"n{i}"] for i in range(4)] == [0, 70, 140, 210]


def test_load_is_reported_in_steps_and_its_peak_is_retained_for_a_while() -> None:
    gauge = LoadGauge(4, 10 * SECOND)
    reports = [gauge.sample(i * 100_000, 2.0 + 0.1 * (i % 2)) for i in range(100)]
    assert len(set(reports[50:])) == 1 and 190 <= reports[-1][0] <= 225
    later = [gauge.sample((100 + i) * 100_000, 0.0) for i in range(300)]
    assert later[0][1] == reports[-1][1] and later[-1] == (0, 0) and later[60][1] > 0
