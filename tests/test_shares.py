"""Tenants past their share beside those within it, and calls to a dependency that has grown slow."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Any

import pytest

from moorusher.scheduling import interface as api
from moorusher.scheduling.interface import Outcome, Tenant

from .helpers import KEYED, SAFE, opened, request

QUICK, PATIENT = replace(SAFE, name="quick", aim_ms=700.0), replace(SAFE, name="patient", aim_ms=3000.0)
GREEDY, MODEST = 0, 1
RUN_MS = 300.0


def flood(*, worth: float = 0.05, again: bool = False, seconds: int = 12, each: int = 1) -> dict[str, Any]:
    """Two cores, runs of 300 ms. The greedy tenant asks `each` requests every 50 ms, the modest one a request every
    500 ms (`again`: each of them a marked retry). What was served, refused and advised from second 3 on."""
    balancer = opened(
        cores=2,
        classes=(QUICK, PATIENT),
        tenants=(Tenant(0.5), Tenant(0.5)),
        over_share_worth=worth,
        retries_marked=True,
        retry_after_max_ms=1000.0,
    )
    asked: dict[int, tuple[int, int]] = {}
    rng = random.Random(1)  # a fixed order would lock step with the runs, and one class always come first
    ends: dict[int, float] = {}
    said: dict[str, Any] = {"ran": [], "refused": [], "asked": [], "advice": {GREEDY: [], MODEST: []}}
    for turn in range(seconds * 100):
        now, events = 10.0 * turn, []  # type: float, list[api.Event]
        events += [api.RunEnded(rid, Outcome.OK) for rid, at in ends.items() if at <= now]
        ends = {rid: at for rid, at in ends.items() if at > now}
        new = [(GREEDY, rng.randrange(2)) for _ in range(each)] if turn % 5 == 0 else []
        new += [(MODEST, (turn // 50) % 2)] if turn % 50 == 25 else []
        for who in new:
            rid = len(asked) + 1
            asked[rid] = who
            events.append(request(rid, who[0], who[1], is_retry=again and who[0] == MODEST))
            said["asked"] += [who] if now > 3000.0 else []
        for a in balancer.step(now, [*events, api.Timer(0, (1.0,))]):
            if isinstance(a, api.Start):
                ends[a.id] = now + RUN_MS
                said["ran"] += [asked[a.id]] if now > 3000.0 else []
            elif isinstance(a, api.Reject) and now > 3000.0:
                said["refused"].append(asked[a.id])
                said["advice"][asked[a.id][0]].append(a.retry_after_ms)
    return said


@pytest.mark.parametrize("again", [False, True])
def test_a_tenant_within_its_share_is_served_beside_one_that_floods(again: bool) -> None:
    """One tenant sent three times its share: the others' further tries met a full server and were turned away."""
    said = flood(again=again)
    modest = [who for who in said["asked"] if who[0] == MODEST]
    assert len([who for who in said["refused"] if who[0] == MODEST]) <= 0.1 * len(modest)
    assert len([who for who in said["ran"] if who[0] == MODEST]) >= 0.9 * len(modest)


def test_no_caller_is_told_to_stay_away_for_a_tenant_past_its_share() -> None:
    """A caller carries all tenants: told to stay away for one, it sent nothing of the others either."""
    said = flood()
    assert len(said["advice"][GREEDY]) > 50
    assert set(said["advice"][GREEDY]) == {0.0}


def test_where_all_traffic_is_worth_the_same_nobody_is_past_a_share() -> None:
    advised = flood(worth=1.0)["advice"][GREEDY]
    assert len(advised) > 50 and min(advised) > 0.0


def test_of_a_tenant_past_its_share_no_class_is_shut_out_by_a_more_patient_one() -> None:
    """The hold filled with what could wait for long; what had to run at once found no place for the whole day."""
    ran = [klass for tenant, klass in flood(each=2)["ran"] if tenant == GREEDY]
    quick, patient = ran.count(0), ran.count(1)
    assert quick >= 0.7 * patient > 10


def slow_below(takes: float) -> dict[str, list[float]]:
    """Keyed work that must call a shared dependency, which takes 30 ms, and `takes` from second 5 to 13. The
    timeouts given, and how many calls ended or were given up, in the slow time."""
    balancer = opened(
        cores=6,
        below=api.Below.SHARED,
        fair_calls=2.0,
        call_window_ms=5000.0,
        abandoned_call_stays_ms=200.0,
        classes=(replace(KEYED, may_call=True, aim_ms=3000.0, deadline_ms=6000.0),),
    )
    ends: list[tuple[float, int, float, bool]] = []
    seen: dict[str, list[float]] = {"timeouts": [], "ended": [], "given up": []}
    later: list[api.Event] = []
    for turn in range(1300):
        now, events = 10.0 * turn, [*later]  # type: float, list[api.Event]
        later, due = [], [e for e in ends if e[0] <= now]
        ends = [e for e in ends if e[0] > now]
        slow = now >= 6500.0  # the first calls of the slow time teach how long calls have become
        for _, rid, took, ok in due:
            events.append(api.CallEnded(rid, Outcome.OK if ok else Outcome.TIMEOUT, took))
            later += [api.RunEnded(rid, Outcome.OK if ok else Outcome.CANCELLED)]
            if slow:
                seen["ended" if ok else "given up"].append(took)
        if turn % 15 == 0:
            events.append(request(turn + 1))
        for a in balancer.step(now, [*events, api.Timer(0, (0.5,))]):
            if isinstance(a, api.Start):
                later.append(api.CallNeeded(a.id))
            elif isinstance(a, api.Call):
                needs = takes if now >= 5000.0 else 30.0
                ends.append(
                    (now + min(needs, a.timeout_ms), a.id, min(needs, a.timeout_ms), needs <= a.timeout_ms)
                )
                seen["timeouts"] += [a.timeout_ms] if slow else []
    return seen


def test_no_call_goes_out_to_a_slow_dependency_that_could_only_be_given_up() -> None:
    """Ten times slower, the budget went into calls of some milliseconds, each given up, and keyed work with them."""
    seen = slow_below(takes=600.0)
    assert min(seen["timeouts"]) >= 300.0
    assert len(seen["ended"]) > 8 > 4 * len(seen["given up"])


def test_a_dependency_slower_than_any_call_may_take_is_tried_again_and_not_shut_out() -> None:
    """Given-up calls lengthen what a call is thought to need; that must never end all calls (stuck)."""
    assert len(slow_below(takes=5000.0)["timeouts"]) >= 3


def crowded_below(servers: int = 4) -> float:
    """Some servers, each a module of its own, before one dependency of 4 slots: a call is 40 ms of work, from second
    3 on 320 ms; those in its hands beyond the slots share them, and slow each other down. The share of the calls that
    ended from second 5 on. All that is asked is far over what the dependency can do then."""
    classes = (replace(KEYED, may_call=True, aim_ms=3000.0, deadline_ms=5000.0),)
    fleet = [
        opened(
            cores=6,
            below=api.Below.SHARED,
            fair_calls=5.0,
            call_window_ms=5000.0,
            classes=classes,
            abandoned_call_stays_ms=200.0,
        )
        for _ in range(servers)
    ]
    later: list[list[api.Event]] = [[] for _ in fleet]
    hands: dict[tuple[int, int], list[float]] = {}  # server and id: work left, since, until
    ended = given_up = 0
    for turn in range(1200):
        now = 10.0 * turn
        crowd = max(1.0, len(hands) / 4)
        for (i, rid), call in list(hands.items()):
            call[0] -= 10.0 / crowd / (1 + 0.4 * (crowd - 1))
            whole = call[0] <= 0
            if whole or call[2] <= now:
                del hands[i, rid]
                later[i].append(api.CallEnded(rid, Outcome.OK if whole else Outcome.TIMEOUT, now - call[1]))
                later[i] += [api.RunEnded(rid, Outcome.OK)] if whole else []
                ended, given_up = ended + (whole and now > 5000.0), given_up + (not whole and now > 5000.0)
        for i, balancer in enumerate(fleet):
            events, later[i] = later[i], []
            if turn % 10 == 0:
                events = [*events, request(turn + 1)]
            for a in balancer.step(now, [*events, api.Timer(0, (0.5,))]):
                if isinstance(a, api.Start):
                    later[i].append(api.CallNeeded(a.id))
                elif isinstance(a, api.Call):
                    hands[i, a.id] = [320.0 if now > 3000.0 else 40.0, now, now + a.timeout_ms]
                elif isinstance(a, api.Fail):
                    later[i].append(api.RunEnded(a.id, Outcome.CANCELLED))
    return ended / max(1, ended + given_up)


def test_before_a_crowded_dependency_fewer_calls_go_out_at_once() -> None:
    """All servers kept as many calls out as their share allows: none of them ended before it was given up."""
    assert crowded_below() >= 0.45
