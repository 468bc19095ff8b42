"""Maintenance without sockets: changes of the schedule, the disruption budget, the order, interleavings, seeds."""

from __future__ import annotations

import inspect
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from msgspec import structs

from moorusher.maintenance import errors
from moorusher.maintenance.coordinator import MaintenanceCoordinator
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
from moorusher.maintenance.policy import Policy
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
from moorusher.maintenance.waiters import Waiters, WaitResult, WaitStatus
from moorusher.model_checking.explorer import explore, replay
from moorusher.model_checking.maintenance_interleavings import Limits, MaintenanceCase
from moorusher.model_checking.maintenance_simulation import COURSE, MaintenanceSimulation, search

KEPT = 8
POLICY = Policy(on=True, most=2, most_zone=1, least_share=0.5, fill=0.9)
SECOND = 1_000_000


def ask(id: str = "a", *seats: str, **more: Any) -> MaintenanceRequest:
    return MaintenanceRequest(id, "patch", "me", 60.0, 0.0, queued=seats or ("n0",), **more)


def done(schedule: Schedule, *changes: Change) -> Schedule:
    """What these make of it, one after the other."""
    value: bytes | None = encode_schedule(schedule)
    for change in changes:
        value = change(value) or value
    return decode_schedule(value)


def asked(*asks: MaintenanceRequest) -> Schedule:
    return done(EMPTY, *(SubmitRequest(a, 9) for a in asks))


def granted(schedule: Schedule, id: str, seat: str) -> Schedule:
    return done(schedule, GrantSlots(schedule.revision, [(id, seat)], 9, 1.0))


def slot(schedule: Schedule, seat: str = "n0") -> Slot:
    found = schedule.slot(seat)
    assert found is not None
    return found


def out(schedule: Schedule, seat: str = "n0", id: str = "a", inc: int = 1) -> Schedule:
    schedule = granted(schedule, id, seat)
    schedule = done(schedule, AcceptSlot(slot(schedule, seat), inc))
    return done(schedule, ClearMachine(slot(schedule, seat), inc, 9, 2.0, "start 1", "s"))


# ---- changes ----


def test_a_turn_leads_through_its_stages_and_the_ask_is_over_with_its_last() -> None:
    schedule = out(asked(ask()))
    assert slot(schedule).stage is SlotStage.CLEARED
    schedule = done(schedule, MarkReturned(slot(schedule), 2, 3.0, "s"))
    assert slot(schedule).stage is SlotStage.RETURNED and slot(schedule).incarnation == 2
    schedule = done(schedule, CompleteSlot(slot(schedule), 2, 4.0, KEPT))
    assert (
        not schedule.slots and not schedule.requests and schedule.is_finished("a") and schedule.revision == 6
    )


def test_a_grant_of_a_roster_that_has_gone_on_or_beyond_the_limit_is_none() -> None:
    schedule = asked(ask("a", "n0", "n1"))
    stale = GrantSlots(schedule.revision, [("a", "n0")], 1, 1.0)
    after = done(schedule, GrantSlots(schedule.revision, [("a", "n1")], 1, 1.0))
    assert done(after, stale) == after and not stale.is_applied and not stale.affected_seats()
    assert done(after, GrantSlots(after.revision, [("a", "n0")], 1, 1.0)) == after
    held = done(schedule, PauseAll("freeze"))
    assert done(held, GrantSlots(held.revision, [("a", "n0")], 1, 1.0)) == held


def test_a_go_counts_for_its_own_grant_process_and_bound_alone() -> None:
    schedule = granted(asked(ask()), "a", "n0")
    first = slot(schedule)
    schedule = done(schedule, AcceptSlot(first, 1))
    assert done(schedule, ClearMachine(first, 2, 9, 2.0, "m", "s")) == schedule  # another process of it
    assert done(schedule, ClearMachine(first, 1, 0, 2.0, "m", "s")) == schedule  # its own file says fewer
    again = granted(done(schedule, ReturnSlot(first, 1, "later")), "a", "n0")
    again = done(again, AcceptSlot(slot(again), 1))
    assert slot(again).granted_revision > first.granted_revision
    assert done(again, ClearMachine(first, 1, 9, 2.0, "m", "s")) == again  # of the grant that it gave back
    assert slot(done(again, ClearMachine(slot(again), 1, 9, 2.0, "m", "s"))).stage is SlotStage.CLEARED


def test_what_was_told_to_go_is_not_withdrawn_and_the_rest_is() -> None:
    schedule = out(asked(ask("a", "n0", "n1", "n2")))
    schedule = granted(schedule, "a", "n1")
    cancel = WithdrawRequest("a", [], 5.0, "you", KEPT)
    after = done(schedule, cancel)
    assert cancel.too_late == ["n0"] and isinstance(cancel.error, errors.TooLate)
    assert [t.seat for t in after.slots] == ["n0"] and slot(after).stage is not SlotStage.DRAINING
    assert not list(after.queue()) and cancel.affected_seats() == ["n1"]
    assert after.request("a") is not None  # until that one is back
    over = done(after, FinishSlot("n0", 6.0, "you", KEPT))
    assert over.is_finished("a") and not over.slots


def test_an_ask_is_idempotent_by_its_id_and_another_under_it_is_told() -> None:
    schedule, more = asked(ask()), SubmitRequest(ask(), 9)
    assert done(schedule, more) == schedule and more.error is None
    other = SubmitRequest(ask("a", "n0", priority=3), 9)
    assert done(schedule, other) == schedule and isinstance(other.error, errors.OtherAsk)
    over = done(schedule, WithdrawRequest("a", [], 1.0, "me", KEPT))
    late = SubmitRequest(ask(), 9)
    assert done(over, late) == over and late.error is None  # it is over: a repeat does not ask anew
    full = SubmitRequest(ask("b"), 1)
    assert done(schedule, full) == schedule and isinstance(full.error, errors.TooMany)


def test_grants_that_come_to_nothing_twice_and_returns_that_end_twice_want_a_person() -> None:
    schedule = asked(ask())
    for _ in range(2):
        schedule = granted(schedule, "a", "n0")
        schedule = done(schedule, ReturnSlot(slot(schedule), 1, "not drained"))
    found = schedule.request("a")
    assert found is not None and found.suspended == (("n0", "not drained"),) and not found.queued
    assert [s for _, s in done(schedule, Resume("n0")).queue()] == ["n0"]
    schedule = out(asked(ask()))
    for inc in (2, 3, 4):
        schedule = done(schedule, MarkReturned(slot(schedule), inc, 3.0, "s"))
    assert slot(schedule).stage is SlotStage.SUSPENDED and "2 times" in slot(schedule).note
    assert not done(schedule, FinishSlot("n0", 6.0, "me", KEPT)).slots


def test_one_that_comes_back_while_it_is_given_up_serves_and_is_nobodys_turn() -> None:
    schedule = out(asked(ask("a", "n0", "n1")))
    given_up = done(schedule, FinishSlot("n0", 6.0, "me", KEPT))
    assert done(given_up, MarkReturned(slot(schedule), 2, 7.0, "s")) == given_up
    back = done(schedule, MarkReturned(slot(schedule), 2, 7.0, "s"))
    over = done(back, FinishSlot("n0", 8.0, "me", KEPT))
    assert done(over, CompleteSlot(slot(back), 2, 9.0, KEPT)) == over and not over.slots
    assert decide(None, own(incarnation=2), POLICY, 10).mode is MachineMode.SERVING


def test_a_hold_takes_back_what_drains_and_nothing_that_was_told_to_go() -> None:
    schedule = granted(out(asked(ask("a", "n0", "n1"))), "a", "n1")
    held = done(schedule, PauseAll("freeze"))
    assert [t.seat for t in held.slots] == ["n0"] and [s for _, s in held.queue()] == ["n1"]
    assert held.failed_grants_of("a", "n1") == 0 and done(held, Resume()).pause_reason == ""


def test_one_that_came_back_with_other_settings_is_said_to_have() -> None:
    schedule = out(asked(ask()))
    assert (
        slot(done(schedule, MarkReturned(slot(schedule), 2, 3.0, "t"))).note
        == "came back with other settings"
    )


@pytest.mark.parametrize(
    "change", [FinishSlot("n1", 1.0, "me", KEPT), Resume("n1"), WithdrawRequest("z", [], 1.0, "me", KEPT)]
)
def test_what_is_asked_of_one_that_is_not_there_is_refused_with_a_type(change: Change) -> None:
    schedule = asked(ask())
    assert (
        done(schedule, change) == schedule
        and isinstance(change.error, errors.OutageError)
        and change.error.remedy
    )


def test_every_error_says_what_an_operator_can_do_and_the_operators_page_has_it() -> None:
    page = (Path(__file__).parent.parent / "docs" / "operate" / "outage.md").read_text()
    kinds = [k for _, k in inspect.getmembers(errors, inspect.isclass) if issubclass(k, errors.OutageError)]
    assert set(errors.ERRORS) == set(kinds) - {errors.OutageError}
    assert all(k.remedy and f"`{k.__name__}`" in page for k in errors.ERRORS)


# ---- what the machine does ----


def own(**more: Any) -> MachineState:
    return replace(MachineState("n0", 1, True, "start 1", "s"), **more)


def test_a_machine_takes_its_steps_as_its_turn_and_itself_allow() -> None:
    schedule = granted(asked(ask()), "a", "n0")
    assert decide(None, own(), POLICY, 0).mode is MachineMode.SERVING
    assert isinstance(decide(slot(schedule), own(), POLICY, 0).change, AcceptSlot)
    schedule = done(schedule, AcceptSlot(slot(schedule), 1))
    assert decide(slot(schedule), own(), POLICY, 0).change is None  # it drains
    assert isinstance(decide(slot(schedule), own(is_drained=True), POLICY, 0).change, ClearMachine)
    assert isinstance(
        decide(slot(schedule), own(is_drained=True, machines_out=3), POLICY, 0).change, ReturnSlot
    )
    assert isinstance(decide(slot(schedule), own(draining_us=61 * SECOND), POLICY, 0).change, ReturnSlot)
    # Its process ended while it drained; one that replaces it goes on.
    assert isinstance(decide(slot(schedule), own(incarnation=2), POLICY, 0).change, ReturnSlot)
    assert isinstance(
        decide(slot(schedule), own(incarnation=2, is_first_process=False), POLICY, 0).change, AcceptSlot
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
def test_only_a_later_start_of_the_machine_ends_a_turn_by_itself(
    proof: CompletionProof, boot_id: str, mode: MachineMode
) -> None:
    schedule = out(asked(ask("a", "n0", completion=proof.value)))
    assert decide(slot(schedule), own(incarnation=2, boot_id=boot_id), POLICY, 3).mode is mode


def test_one_that_is_back_is_over_once_it_is_warm_and_knows_what_it_kept_again() -> None:
    schedule = out(asked(ask()))
    schedule = done(schedule, MarkReturned(slot(schedule), 2, 3.0, "s"))
    assert decide(slot(schedule), own(incarnation=2, is_warm=True), POLICY, 4).change is None
    assert isinstance(
        decide(slot(schedule), own(incarnation=2, is_warm=True, recovered=True), POLICY, 4).change,
        CompleteSlot,
    )
    late = decide(slot(schedule), own(incarnation=2, returned_us=121 * SECOND, recovered=True), POLICY, 4)
    assert late.change is None and "still cold" in late.alert
    assert "still" not in decide(slot(schedule), own(incarnation=2), POLICY, 4).alert


# ---- what can be spared, and who goes ----


def views(**more: Any) -> list[SeatView]:
    base = {"is_up": True, "cores": 4.0, "weight": 100, "load": 1.0, "peak_load": 1.0} | more
    return [SeatView(f"n{i}", zone=f"z{i % 2}", **base) for i in range(6)]


def why(
    seen: list[SeatView],
    schedule: Schedule,
    seat: str,
    policy: Policy = POLICY,
    keepers: tuple[str, ...] = (),
) -> str:
    found, _ = next((a, s) for a, s in schedule.queue() if s == seat)
    return DisruptionBudget(seen, schedule, keepers, policy).blocking_reason(found, seat) or ""


def test_nobody_goes_that_what_stays_could_not_do_without() -> None:
    schedule = asked(ask("a", "n0", "n1"))
    assert why(views(), schedule, "n0") == ""
    assert "cores are needed" in why(views(peak_load=3.1), schedule, "n0")  # 18.6 of 90% of 20
    assert "cores are needed" in why(views(load=3.1), schedule, "n0")
    assert "must" in why(views(), schedule, "n0", Policy(most=9, least_share=0.9))
    crowded = [replace(v, weight=50) for v in views(load=2.0)]
    assert "cores are needed" in why(crowded, schedule, "n0")


def test_what_is_lost_unasked_counts_as_out_and_a_zone_and_a_group_have_bounds_of_their_own() -> None:
    schedule, seen = asked(ask("a", "n0", "n1", "n3")), views()
    seen[2] = replace(seen[2], is_up=False)
    assert why(seen, schedule, "n0") == "zone z0 has 1 out, at most 1 may be"
    assert why(seen, schedule, "n1") == ""
    seen[5] = replace(seen[5], is_up=False)
    assert why(seen, schedule, "n1") == "n2, n5 are out, at most 2 may be"
    grouped = [replace(v, group="rack" if v.seat in ("n0", "n1") else "") for v in views()]
    after = granted(schedule, "a", "n0")
    assert "group rack has 1 out" in why(grouped, after, "n1") and why(views(), after, "n1") == ""


def test_two_of_a_zone_go_only_where_both_may_be_done_with_others() -> None:
    policy = Policy(most=3, most_zone=2, fill=1.0)
    for together, expected in (
        (True, ""),
        (False, "zone z0 has one out, and not both may be done with others"),
    ):
        schedule = granted(asked(ask("a", "n0", "n2", shares_zone=together)), "a", "n0")
        assert why(views(), schedule, "n2", policy) == expected


def test_the_seats_that_keep_the_order_are_spared_so_that_a_further_loss_does_not_lose_it() -> None:
    schedule, keepers = asked(ask("a", "n0", "n1")), ("n0", "n1", "n2", "n3", "n4")
    policy = Policy(most=3, most_zone=3, fill=1.0)
    after = granted(schedule, "a", "n0")
    assert "without a journal" in why(views(), after, "n1", policy, keepers)
    assert why(views(durable=True), after, "n1", policy, keepers) == ""
    forgot = [replace(v, recovered=v.seat in ("n0", "n1", "n2")) for v in views(durable=True)]
    assert "2 of 5 could" in why(forgot, schedule, "n1", policy, keepers)


def test_who_goes_first_is_due_soon_then_by_priority_and_age_then_the_sick() -> None:
    def first(*asks: MaintenanceRequest, now: float = 100.0, seen: list[SeatView] | None = None) -> str:
        step = plan(asked(*asks), seen or views(), (), Policy(most=1), now)
        return step.grants[0][1]

    low, high = ask("a", "n0"), ask("b", "n1", priority=2)
    assert first(low, high) == "n1"
    assert first(structs.replace(low, due_at_s=200.0), high) == "n0"  # its work takes 60 s
    assert first(structs.replace(low, due_at_s=2000.0), high) == "n1"
    assert first(low, structs.replace(high, requested_at_s=10_000.0), now=10_900.0) == "n0"  # three hours
    sick = views()
    sick[3] = replace(sick[3], weight=20)
    assert first(ask("a", "n0", "n3"), seen=sick) == "n3"


def test_all_that_stay_have_a_reason_and_nobody_goes_before_its_time_or_during_a_hold() -> None:
    schedule = asked(ask("a", "n0", "n1", "n2", "n3"), ask("b", "n4", not_before_s=500.0))
    step = plan(schedule, views(), (), POLICY, 100.0, explain=True)
    assert step.grants == [("a", "n0"), ("a", "n1")]
    assert (
        all(step.reasons[a.id, s] for a, s in schedule.queue())
        and "not before 400 s" in step.reasons["b", "n4"]
    )
    held = plan(done(schedule, PauseAll("freeze")), views(), (), POLICY, 100.0, explain=True)
    assert not held.grants and set(held.reasons.values()) == {"held: freeze"}
    unsettled = plan(schedule, views(), (), POLICY, 100.0, settles_in_s=2.0, explain=True)
    assert not unsettled.grants and "settled" in unsettled.reasons["a", "n0"]


def test_what_stays_has_settled_once_it_has_not_shrunk_for_a_while() -> None:
    settling, schedule = CapacitySettling(3.0), asked(ask("a", "n0"))

    def left(now: float, seen: list[SeatView], r: Schedule = schedule) -> float:
        return settling.remaining_s(DisruptionBudget(seen, r, (), POLICY), now)

    assert left(0, views()) == 3 and left(2, views()) == 1 and left(4, views()) == 0
    assert (
        left(5, views(weight=50)) == 3 and left(9, views(weight=50)) == 0
    )  # crowded, and no worse than that
    assert left(10, views(), granted(schedule, "a", "n0")) == 3


def test_the_time_for_all_is_foretold_by_the_bounds() -> None:
    schedule = asked(ask("a", "n0", "n1", "n2", "n3"))
    zones = {v.seat: v.zone for v in views()}
    told = estimate_starts(schedule, list(schedule.queue()), zones, Policy(most=2, most_zone=1), 0.0)
    assert [told["a", f"n{i}"] for i in range(4)] == [0, 0, 70, 70]
    one = estimate_starts(schedule, list(schedule.queue()), zones, Policy(most=1, most_zone=1), 0.0)
    assert [one["a", f"n{i}"] for i in range(4)] == [0, 70, 140, 210]


def test_load_is_told_coarsely_and_its_peak_is_remembered_for_its_while() -> None:
    gauge = LoadGauge(4, 10 * SECOND)
    told = [gauge.sample(i * 100_000, 2.0 + 0.1 * (i % 2)) for i in range(100)]
    assert len(set(told[50:])) == 1 and 190 <= told[-1][0] <= 225
    later = [gauge.sample((100 + i) * 100_000, 0.0) for i in range(300)]
    assert later[0][1] == told[-1][1] and later[-1] == (0, 0) and later[60][1] > 0


# ---- every interleaving ----


def test_every_interleaving_of_two_asks_and_a_withdrawal_keeps_the_limit() -> None:
    found = explore(MaintenanceCase.begun(Limits(crashes=0, abandoned=0)), 60_000)
    assert found.whole and found.broken is None, found


def test_with_a_crash_or_a_change_that_comes_late_none_is_found_either() -> None:
    for limits in (Limits(crashes=1, abandoned=0), Limits(crashes=0, abandoned=1)):
        found = explore(MaintenanceCase.begun(limits), 25_000, deep=True)
        assert found.broken is None, found


class Unlimited(GrantSlots):
    """A grant counted as it is sent, and not as it is settled."""

    def apply(self, schedule: Schedule) -> Schedule | None:
        self.revision = schedule.revision
        self.max_slots = 9
        return super().apply(schedule)


class OverdueForgotten(DisruptionBudget):
    """One that is out is not counted."""

    def __init__(self, seen: Any, schedule: Schedule, keepers: Any, policy: Policy) -> None:
        kept = tuple(t for t in schedule.slots if t.stage is not SlotStage.CLEARED)
        super().__init__(seen, structs.replace(schedule, slots=kept), keepers, policy)


class WinsAfterGo(WithdrawRequest):
    def apply(self, schedule: Schedule) -> Schedule | None:
        made = super().apply(schedule) or schedule
        self.error = None
        return structs.replace(made, slots=tuple(t for t in made.slots if t.request_id != self.request_id))


@pytest.mark.parametrize(
    "limits, how",
    [
        (Limits(crashes=0), {"clears_early": True}),
        (
            Limits(crashes=0, abandoned=0, is_withdrawn=False),
            {"grant_change": Unlimited, "machine_policy": Policy(most=9)},
        ),
        (
            Limits(crashes=0, abandoned=0, is_withdrawn=False),
            {"budget_class": OverdueForgotten, "grant_change": Unlimited, "machine_policy": Policy(most=9)},
        ),
        (Limits(crashes=0, abandoned=0), {"withdraw_change": WinsAfterGo}),
        (
            Limits(crashes=1, abandoned=0, is_withdrawn=False, seats=("b", "a"), planners=("c",)),
            {"any_process": True},
        ),
    ],
)
def test_every_interleaving_finds_the_seeded_mistakes(limits: Limits, how: dict[str, Any]) -> None:
    found = explore(MaintenanceCase.begun(limits, **how), 200_000)
    assert found.broken is not None, found
    assert replay(MaintenanceCase.begun(limits, **how), found.way) == found.broken


# ---- seeds in virtual time ----


def test_no_course_in_virtual_time_has_too_many_out_or_forgets_what_was_asked_for() -> None:
    found = search(range(40))
    assert found is None, f"MaintenanceSimulation({found[0]}).play(): {found[1]}" if found else ""


def test_a_seed_plays_the_same_course_each_time() -> None:
    first, second = MaintenanceSimulation(7), MaintenanceSimulation(7)
    assert first.play() == second.play() and first.events == second.events
    assert first.history.messages == second.history.messages


class EagerWaiters(Waiters):
    """A seeded mistake: one that waits on a later boot of the machine is told what an earlier one was granted."""

    def result_for(self, waiter: Any, schedule: Schedule, is_known: bool) -> WaitResult | None:
        held = schedule.slot(waiter.seat)
        if held is not None and held.request_id == waiter.request_id and held.stage is SlotStage.CLEARED:
            return WaitResult(WaitStatus.GRANTED)
        return super().result_for(waiter, schedule, is_known)


class Eager(MaintenanceCoordinator):
    """With those waiters."""

    waiters_class = EagerWaiters


def test_the_seeds_find_who_is_told_by_a_later_start_of_the_machine() -> None:
    assert search(range(120), coordinator=Eager) is not None


def test_without_faults_all_of_it_is_over_soon() -> None:
    sim = MaintenanceSimulation(1, replace(COURSE, faults=0))
    assert sim.play() is None and sim.most_cleared >= 1 and not sim.operators.majority_losses
