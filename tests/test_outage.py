"""Outages, without sockets: the changes of the roster, what can be spared, the order, every interleaving, seeds."""

from __future__ import annotations

import inspect
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from msgspec import structs

from moorusher.maintenance import errors
from moorusher.maintenance.coordinator import OutageCoordinator, Waited
from moorusher.maintenance.disruption_budget import Spare, View
from moorusher.maintenance.load_report import Gauge
from moorusher.maintenance.local_machine import Doing, Own, decide
from moorusher.maintenance.next_step import Calm, foretold, plan
from moorusher.maintenance.policy import Policy
from moorusher.maintenance.schedule import EMPTY, Ask, Ends, Roster, Stage, Turn, pack, unpack
from moorusher.maintenance.transitions import (
    Accept,
    AskFor,
    Cancel,
    Change,
    GiveBack,
    Go,
    Grant,
    Hold,
    Over,
    Resume,
    Return,
    Warm,
)
from moorusher.model_checking.explorer import explore, replay
from moorusher.model_checking.maintenance_interleavings import Limits, Outages
from moorusher.model_checking.maintenance_simulation import COURSE, OutageSimulation, search

KEPT = 8
POLICY = Policy(on=True, most=2, most_zone=1, least_share=0.5, fill=0.9)
SECOND = 1_000_000


def ask(id: str = "a", *seats: str, **more: Any) -> Ask:
    return Ask(id, "patch", "me", 60.0, 0.0, waiting=seats or ("n0",), **more)


def done(roster: Roster, *changes: Change) -> Roster:
    """What these make of it, one after the other."""
    value: bytes | None = pack(roster)
    for change in changes:
        value = change(value) or value
    return unpack(value)


def asked(*asks: Ask) -> Roster:
    return done(EMPTY, *(AskFor(a, 9) for a in asks))


def granted(roster: Roster, id: str, seat: str) -> Roster:
    return done(roster, Grant(roster.number, [(id, seat)], 9, 1.0))


def turn(roster: Roster, seat: str = "n0") -> Turn:
    found = roster.turn(seat)
    assert found is not None
    return found


def out(roster: Roster, seat: str = "n0", id: str = "a", inc: int = 1) -> Roster:
    roster = granted(roster, id, seat)
    roster = done(roster, Accept(turn(roster, seat), inc))
    return done(roster, Go(turn(roster, seat), inc, 9, 2.0, "start 1", "s"))


# ---- changes ----


def test_a_turn_leads_through_its_stages_and_the_ask_is_over_with_its_last() -> None:
    roster = out(asked(ask()))
    assert turn(roster).at is Stage.OUT
    roster = done(roster, Return(turn(roster), 2, 3.0, "s"))
    assert turn(roster).at is Stage.BACK and turn(roster).inc == 2
    roster = done(roster, Warm(turn(roster), 2, 4.0, KEPT))
    assert not roster.turns and not roster.asks and roster.is_over("a") and roster.number == 6


def test_a_grant_of_a_roster_that_has_gone_on_or_beyond_the_limit_is_none() -> None:
    roster = asked(ask("a", "n0", "n1"))
    stale = Grant(roster.number, [("a", "n0")], 1, 1.0)
    after = done(roster, Grant(roster.number, [("a", "n1")], 1, 1.0))
    assert done(after, stale) == after and not stale.made and not stale.touches()
    assert done(after, Grant(after.number, [("a", "n0")], 1, 1.0)) == after
    held = done(roster, Hold("freeze"))
    assert done(held, Grant(held.number, [("a", "n0")], 1, 1.0)) == held


def test_a_go_counts_for_its_own_grant_process_and_bound_alone() -> None:
    roster = granted(asked(ask()), "a", "n0")
    first = turn(roster)
    roster = done(roster, Accept(first, 1))
    assert done(roster, Go(first, 2, 9, 2.0, "m", "s")) == roster  # another process of it
    assert done(roster, Go(first, 1, 0, 2.0, "m", "s")) == roster  # its own file says fewer
    again = granted(done(roster, GiveBack(first, 1, "later")), "a", "n0")
    again = done(again, Accept(turn(again), 1))
    assert turn(again).number > first.number
    assert done(again, Go(first, 1, 9, 2.0, "m", "s")) == again  # of the grant that it gave back
    assert turn(done(again, Go(turn(again), 1, 9, 2.0, "m", "s"))).at is Stage.OUT


def test_what_was_told_to_go_is_not_withdrawn_and_the_rest_is() -> None:
    roster = out(asked(ask("a", "n0", "n1", "n2")))
    roster = granted(roster, "a", "n1")
    cancel = Cancel("a", [], 5.0, "you", KEPT)
    after = done(roster, cancel)
    assert cancel.late == ["n0"] and isinstance(cancel.error, errors.TooLate)
    assert [t.seat for t in after.turns] == ["n0"] and turn(after).at is not Stage.DRAINING
    assert not list(after.waits()) and cancel.touches() == ["n1"]
    assert after.ask("a") is not None  # until that one is back
    over = done(after, Over("n0", 6.0, "you", KEPT))
    assert over.is_over("a") and not over.turns


def test_an_ask_is_idempotent_by_its_id_and_another_under_it_is_told() -> None:
    roster, more = asked(ask()), AskFor(ask(), 9)
    assert done(roster, more) == roster and more.error is None
    other = AskFor(ask("a", "n0", priority=3), 9)
    assert done(roster, other) == roster and isinstance(other.error, errors.OtherAsk)
    over = done(roster, Cancel("a", [], 1.0, "me", KEPT))
    late = AskFor(ask(), 9)
    assert done(over, late) == over and late.error is None  # it is over: a repeat does not ask anew
    full = AskFor(ask("b"), 1)
    assert done(roster, full) == roster and isinstance(full.error, errors.TooMany)


def test_grants_that_come_to_nothing_twice_and_returns_that_end_twice_want_a_person() -> None:
    roster = asked(ask())
    for _ in range(2):
        roster = granted(roster, "a", "n0")
        roster = done(roster, GiveBack(turn(roster), 1, "not drained"))
    found = roster.ask("a")
    assert found is not None and found.held == (("n0", "not drained"),) and not found.waiting
    assert [s for _, s in done(roster, Resume("n0")).waits()] == ["n0"]
    roster = out(asked(ask()))
    for inc in (2, 3, 4):
        roster = done(roster, Return(turn(roster), inc, 3.0, "s"))
    assert turn(roster).at is Stage.ASIDE and "2 times" in turn(roster).note
    assert not done(roster, Over("n0", 6.0, "me", KEPT)).turns


def test_one_that_comes_back_while_it_is_given_up_serves_and_is_nobodys_turn() -> None:
    roster = out(asked(ask("a", "n0", "n1")))
    given_up = done(roster, Over("n0", 6.0, "me", KEPT))
    assert done(given_up, Return(turn(roster), 2, 7.0, "s")) == given_up
    back = done(roster, Return(turn(roster), 2, 7.0, "s"))
    over = done(back, Over("n0", 8.0, "me", KEPT))
    assert done(over, Warm(turn(back), 2, 9.0, KEPT)) == over and not over.turns
    assert decide(None, own(inc=2), POLICY, 10).doing is Doing.SERVES


def test_a_hold_takes_back_what_drains_and_nothing_that_was_told_to_go() -> None:
    roster = granted(out(asked(ask("a", "n0", "n1"))), "a", "n1")
    held = done(roster, Hold("freeze"))
    assert [t.seat for t in held.turns] == ["n0"] and [s for _, s in held.waits()] == ["n1"]
    assert held.tries("a", "n1") == 0 and done(held, Resume()).hold == ""


def test_one_that_came_back_with_other_settings_is_said_to_have() -> None:
    roster = out(asked(ask()))
    assert turn(done(roster, Return(turn(roster), 2, 3.0, "t"))).note == "came back with other settings"


@pytest.mark.parametrize(
    "change", [Over("n1", 1.0, "me", KEPT), Resume("n1"), Cancel("z", [], 1.0, "me", KEPT)]
)
def test_what_is_asked_of_one_that_is_not_there_is_refused_with_a_type(change: Change) -> None:
    roster = asked(ask())
    assert (
        done(roster, change) == roster
        and isinstance(change.error, errors.OutageError)
        and change.error.remedy
    )


def test_every_error_says_what_an_operator_can_do_and_the_operators_page_has_it() -> None:
    page = (Path(__file__).parent.parent / "docs" / "operate" / "outage.md").read_text()
    kinds = [k for _, k in inspect.getmembers(errors, inspect.isclass) if issubclass(k, errors.OutageError)]
    assert set(errors.ERRORS) == set(kinds) - {errors.OutageError}
    assert all(k.remedy and f"`{k.__name__}`" in page for k in errors.ERRORS)


# ---- what the machine does ----


def own(**more: Any) -> Own:
    return replace(Own("n0", 1, True, "start 1", "s"), **more)


def test_a_machine_takes_its_steps_as_its_turn_and_itself_allow() -> None:
    roster = granted(asked(ask()), "a", "n0")
    assert decide(None, own(), POLICY, 0).doing is Doing.SERVES
    assert isinstance(decide(turn(roster), own(), POLICY, 0).change, Accept)
    roster = done(roster, Accept(turn(roster), 1))
    assert decide(turn(roster), own(), POLICY, 0).change is None  # it drains
    assert isinstance(decide(turn(roster), own(drained=True), POLICY, 0).change, Go)
    assert isinstance(decide(turn(roster), own(drained=True, out=3), POLICY, 0).change, GiveBack)
    assert isinstance(decide(turn(roster), own(draining_us=61 * SECOND), POLICY, 0).change, GiveBack)
    # Its process ended while it drained; one that replaces it goes on.
    assert isinstance(decide(turn(roster), own(inc=2), POLICY, 0).change, GiveBack)
    assert isinstance(decide(turn(roster), own(inc=2, fresh=False), POLICY, 0).change, Accept)


@pytest.mark.parametrize(
    "ends, mark, doing",
    [
        (Ends.BOOT, "start 1", Doing.GONE),
        (Ends.BOOT, "start 2", Doing.RETURNS),
        (Ends.BOOT, "", Doing.GONE),
        (Ends.DONE, "start 2", Doing.GONE),
    ],
)
def test_only_a_later_start_of_the_machine_ends_a_turn_by_itself(ends: Ends, mark: str, doing: Doing) -> None:
    roster = out(asked(ask("a", "n0", ends=ends.value)))
    assert decide(turn(roster), own(inc=2, mark=mark), POLICY, 3).doing is doing


def test_one_that_is_back_is_over_once_it_is_warm_and_knows_what_it_kept_again() -> None:
    roster = out(asked(ask()))
    roster = done(roster, Return(turn(roster), 2, 3.0, "s"))
    assert decide(turn(roster), own(inc=2, warm=True), POLICY, 4).change is None
    assert isinstance(decide(turn(roster), own(inc=2, warm=True, whole=True), POLICY, 4).change, Warm)
    late = decide(turn(roster), own(inc=2, back_us=121 * SECOND, whole=True), POLICY, 4)
    assert late.change is None and "still cold" in late.late
    assert "still" not in decide(turn(roster), own(inc=2), POLICY, 4).late


# ---- what can be spared, and who goes ----


def views(**more: Any) -> list[View]:
    base = {"up": True, "cores": 4.0, "weight": 100, "load": 1.0, "peak": 1.0} | more
    return [View(f"n{i}", zone=f"z{i % 2}", **base) for i in range(6)]


def why(
    seen: list[View], roster: Roster, seat: str, policy: Policy = POLICY, keepers: tuple[str, ...] = ()
) -> str:
    found, _ = next((a, s) for a, s in roster.waits() if s == seat)
    return Spare(seen, roster, keepers, policy).why_not(found, seat) or ""


def test_nobody_goes_that_what_stays_could_not_do_without() -> None:
    roster = asked(ask("a", "n0", "n1"))
    assert why(views(), roster, "n0") == ""
    assert "cores are needed" in why(views(peak=3.1), roster, "n0")  # 18.6 of 90% of 20
    assert "cores are needed" in why(views(load=3.1), roster, "n0")
    assert "must" in why(views(), roster, "n0", Policy(most=9, least_share=0.9))
    crowded = [replace(v, weight=50) for v in views(load=2.0)]
    assert "cores are needed" in why(crowded, roster, "n0")


def test_what_is_lost_unasked_counts_as_out_and_a_zone_and_a_group_have_bounds_of_their_own() -> None:
    roster, seen = asked(ask("a", "n0", "n1", "n3")), views()
    seen[2] = replace(seen[2], up=False)
    assert why(seen, roster, "n0") == "zone z0 has 1 out, at most 1 may be"
    assert why(seen, roster, "n1") == ""
    seen[5] = replace(seen[5], up=False)
    assert why(seen, roster, "n1") == "n2, n5 are out, at most 2 may be"
    grouped = [replace(v, group="rack" if v.seat in ("n0", "n1") else "") for v in views()]
    after = granted(roster, "a", "n0")
    assert "group rack has 1 out" in why(grouped, after, "n1") and why(views(), after, "n1") == ""


def test_two_of_a_zone_go_only_where_both_may_be_done_with_others() -> None:
    policy = Policy(most=3, most_zone=2, fill=1.0)
    for together, expected in (
        (True, ""),
        (False, "zone z0 has one out, and not both may be done with others"),
    ):
        roster = granted(asked(ask("a", "n0", "n2", together=together)), "a", "n0")
        assert why(views(), roster, "n2", policy) == expected


def test_the_seats_that_keep_the_order_are_spared_so_that_a_further_loss_does_not_lose_it() -> None:
    roster, keepers = asked(ask("a", "n0", "n1")), ("n0", "n1", "n2", "n3", "n4")
    policy = Policy(most=3, most_zone=3, fill=1.0)
    after = granted(roster, "a", "n0")
    assert "without a journal" in why(views(), after, "n1", policy, keepers)
    assert why(views(lasting=True), after, "n1", policy, keepers) == ""
    forgot = [replace(v, whole=v.seat in ("n0", "n1", "n2")) for v in views(lasting=True)]
    assert "2 of 5 could" in why(forgot, roster, "n1", policy, keepers)


def test_who_goes_first_is_due_soon_then_by_priority_and_age_then_the_sick() -> None:
    def first(*asks: Ask, now: float = 100.0, seen: list[View] | None = None) -> str:
        step = plan(asked(*asks), seen or views(), (), Policy(most=1), now)
        return step.grants[0][1]

    low, high = ask("a", "n0"), ask("b", "n1", priority=2)
    assert first(low, high) == "n1"
    assert first(structs.replace(low, due_s=200.0), high) == "n0"  # its work takes 60 s
    assert first(structs.replace(low, due_s=2000.0), high) == "n1"
    assert first(low, structs.replace(high, asked_s=10_000.0), now=10_900.0) == "n0"  # three hours
    sick = views()
    sick[3] = replace(sick[3], weight=20)
    assert first(ask("a", "n0", "n3"), seen=sick) == "n3"


def test_all_that_stay_have_a_reason_and_nobody_goes_before_its_time_or_during_a_hold() -> None:
    roster = asked(ask("a", "n0", "n1", "n2", "n3"), ask("b", "n4", not_before_s=500.0))
    step = plan(roster, views(), (), POLICY, 100.0, explain=True)
    assert step.grants == [("a", "n0"), ("a", "n1")]
    assert all(step.why[a.id, s] for a, s in roster.waits()) and "not before 400 s" in step.why["b", "n4"]
    held = plan(done(roster, Hold("freeze")), views(), (), POLICY, 100.0, explain=True)
    assert not held.grants and set(held.why.values()) == {"held: freeze"}
    unsettled = plan(roster, views(), (), POLICY, 100.0, calm_in_s=2.0, explain=True)
    assert not unsettled.grants and "settled" in unsettled.why["a", "n0"]


def test_what_stays_has_settled_once_it_has_not_shrunk_for_a_while() -> None:
    calm, roster = Calm(3.0), asked(ask("a", "n0"))

    def left(now: float, seen: list[View], r: Roster = roster) -> float:
        return calm.look(Spare(seen, r, (), POLICY), now)

    assert left(0, views()) == 3 and left(2, views()) == 1 and left(4, views()) == 0
    assert (
        left(5, views(weight=50)) == 3 and left(9, views(weight=50)) == 0
    )  # crowded, and no worse than that
    assert left(10, views(), granted(roster, "a", "n0")) == 3


def test_the_time_for_all_is_foretold_by_the_bounds() -> None:
    roster = asked(ask("a", "n0", "n1", "n2", "n3"))
    zones = {v.seat: v.zone for v in views()}
    told = foretold(roster, list(roster.waits()), zones, Policy(most=2, most_zone=1), 0.0)
    assert [told["a", f"n{i}"] for i in range(4)] == [0, 0, 70, 70]
    one = foretold(roster, list(roster.waits()), zones, Policy(most=1, most_zone=1), 0.0)
    assert [one["a", f"n{i}"] for i in range(4)] == [0, 70, 140, 210]


def test_load_is_told_coarsely_and_its_peak_is_remembered_for_its_while() -> None:
    gauge = Gauge(4, 10 * SECOND)
    told = [gauge.sample(i * 100_000, 2.0 + 0.1 * (i % 2)) for i in range(100)]
    assert len(set(told[50:])) == 1 and 190 <= told[-1][0] <= 225
    later = [gauge.sample((100 + i) * 100_000, 0.0) for i in range(300)]
    assert later[0][1] == told[-1][1] and later[-1] == (0, 0) and later[60][1] > 0


# ---- every interleaving ----


def test_every_interleaving_of_two_asks_and_a_withdrawal_keeps_the_limit() -> None:
    found = explore(Outages.begun(Limits(crashes=0, given_up=0)), 60_000)
    assert found.complete and found.violation is None, found


def test_with_a_crash_or_a_change_that_comes_late_none_is_found_either() -> None:
    for limits in (Limits(crashes=1, given_up=0), Limits(crashes=0, given_up=1)):
        found = explore(Outages.begun(limits), 25_000, deep=True)
        assert found.violation is None, found


class Unlimited(Grant):
    """A grant counted as it is sent, and not as it is settled."""

    def make(self, old: Roster) -> Roster | None:
        self.number, self.most = old.number, 9
        return super().make(old)


class OverdueForgotten(Spare):
    """One that is out is not counted."""

    def __init__(self, seen: Any, roster: Roster, keepers: Any, policy: Policy) -> None:
        kept = tuple(t for t in roster.turns if t.at is not Stage.OUT)
        super().__init__(seen, structs.replace(roster, turns=kept), keepers, policy)


class WinsAfterGo(Cancel):
    def make(self, old: Roster) -> Roster | None:
        made = super().make(old) or old
        self.error = None
        return structs.replace(made, turns=tuple(t for t in made.turns if t.ask != self.id))


@pytest.mark.parametrize(
    "limits, how",
    [
        (Limits(crashes=0), {"hasty": True}),
        (Limits(crashes=0, given_up=0, withdrawn=False), {"grant": Unlimited, "own": Policy(most=9)}),
        (
            Limits(crashes=0, given_up=0, withdrawn=False),
            {"spare": OverdueForgotten, "grant": Unlimited, "own": Policy(most=9)},
        ),
        (Limits(crashes=0, given_up=0), {"cancel": WinsAfterGo}),
        (
            Limits(crashes=1, given_up=0, withdrawn=False, asks=("b", "a"), planners=("c",)),
            {"any_process": True},
        ),
    ],
)
def test_every_interleaving_finds_the_seeded_mistakes(limits: Limits, how: dict[str, Any]) -> None:
    found = explore(Outages.begun(limits, **how), 200_000)
    assert found.violation is not None, found
    assert replay(Outages.begun(limits, **how), found.path) == found.violation


# ---- seeds in virtual time ----


def test_no_course_in_virtual_time_has_too_many_out_or_forgets_what_was_asked_for() -> None:
    found = search(range(40))
    assert found is None, f"OutageSimulation({found[0]}).play(): {found[1]}" if found else ""


def test_a_seed_plays_the_same_course_each_time() -> None:
    first, second = OutageSimulation(7), OutageSimulation(7)
    assert first.play() == second.play() and first.events == second.events
    assert first.history.messages == second.history.messages


class Eager(OutageCoordinator):
    """A seeded mistake: one that waits on a later start of the machine is told what an earlier one was granted."""

    def _word(self, waiter: Any) -> Any:
        held = self.roster.turn(waiter.seat)
        if held is not None and held.ask == waiter.id and held.at is Stage.OUT:
            return Waited("granted")
        return super()._word(waiter)


def test_the_seeds_find_who_is_told_by_a_later_start_of_the_machine() -> None:
    assert search(range(120), coordinator=Eager) is not None


def test_without_faults_all_of_it_is_over_soon() -> None:
    sim = OutageSimulation(1, replace(COURSE, faults=0))
    assert sim.play() is None and sim.most_told >= 1 and not sim.forgot
