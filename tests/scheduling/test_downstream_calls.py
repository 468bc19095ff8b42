"""Calls to a dependency: budget, limit, order, and going on without."""

from __future__ import annotations

from dataclasses import replace

import pytest

from moorusher.scheduling import interface as api
from moorusher.scheduling.downstream_calls import ABANDON_SLOT_TIMES
from moorusher.scheduling.interface import (
    ExecutionOutcome,
)

from ..helpers import KEYED, SAFE, done, only, opened, request, started

CALLING = replace(SAFE, may_call=True, value_fraction_without_call=0.5)


SHARED_DEPENDENCY = {
    "downstream": api.Downstream.SHARED,
    "classes": (CALLING,),
    "call_quota": 0.3,
    "call_quota_window_ms": 5000.0,
    "abandoned_call_ms": 200.0,
}


def test_a_call_and_its_run_that_end_together_leave_no_call_in_flight() -> None:
    """A slow runner hears of both in one batch. Taken in the wrong order, the call seemed abandoned, and its
    charge lingered."""
    scheduler = opened(**SHARED_DEPENDENCY)
    scheduler.step(0.0, [request(1), request(2)])
    assert only(scheduler.step(10.0, [api.CallNeeded(1)]), api.StartCall)
    scheduler.step(300.0, [api.CallEnded(1, api.ExecutionOutcome.OK, 3.0), *done(1)])
    assert only(scheduler.step(305.0, [api.CallNeeded(2)]), api.StartCall) != []


def test_downstream_calls_keep_to_the_quota_over_a_window_even_when_they_hang() -> None:
    """300 runners have a quota of 0.3 calls each: what one spends over a window stays under 0.3 of it."""
    scheduler = opened(**SHARED_DEPENDENCY)
    spent, ends, at = 0.0, [], {}  # type: float, list[api.Event], dict[int, float]
    for i in range(1000):
        now = 5.0 * i
        batch: list[api.Event] = [*ends, api.Timer(0, (1.0,))]
        if i % 20 == 0:
            batch.append(request(i + 1, i % 2))
        actions = scheduler.step(now, batch)
        ends = [api.CallNeeded(other) for other in started(actions)]
        for call in only(actions, api.StartCall):
            at[call.id] = now + call.timeout_ms
            spent += call.timeout_ms + 200.0
        for request_id in [other for other, due in at.items() if due <= now]:
            del at[request_id]
            ends.append(api.CallEnded(request_id, api.ExecutionOutcome.TIMEOUT, 750.0))
    assert 0.0 < spent <= 0.3 * 5000.0


def test_scarce_calls_go_to_requests_that_are_worth_nothing_without() -> None:
    """Before an overloaded dependency, reads that could do without it took the calls that writes needed."""
    scheduler = opened(
        downstream=api.Downstream.SHARED,
        classes=(CALLING, replace(KEYED, may_call=True)),
        call_quota=1.0,
        cores=3,
    )
    scheduler.step(0.0, [request(1), request(2), request(3, class_index=1)])
    assert only(scheduler.step(10.0, [api.CallNeeded(1)]), api.StartCall)
    scheduler.step(20.0, [api.CallNeeded(2), api.CallNeeded(3)])
    actions = scheduler.step(60.0, [api.CallEnded(1, api.ExecutionOutcome.OK, 50.0)])
    assert [c.id for c in only(actions, api.StartCall)] == [3]
    assert only(scheduler.step(400.0, [api.Timer(0, (0.5,))]), api.SkipCall) == [api.SkipCall(2)]


@pytest.mark.parametrize(("without", "left_out"), [(0.5, True), (0.0, False)])
def test_a_call_that_takes_too_long_is_skipped_while_the_rest_can_still_be_in_time(
    without: float, left_out: bool
) -> None:
    """A request waited for a reply that never came until it was late as a whole, and worth nothing."""
    scheduler = opened(
        downstream=api.Downstream.TIER, classes=(replace(CALLING, value_fraction_without_call=without),)
    )
    scheduler.step(0.0, [request(1)])
    assert only(scheduler.step(10.0, [api.CallNeeded(1)]), api.StartCall)
    now, skips = 10.0, list[float]()
    while now < 1_000.0:  # its aim
        now += 25.0
        skips += [now for _ in only(scheduler.step(now, [api.Timer(0, (0.5,))]), api.SkipCall)]
    assert [ABANDON_SLOT_TIMES * scheduler.state.service_time.slot_ms <= 1_050.0 - at for at in skips] == [
        True
    ] * left_out
    assert scheduler.calls.in_flight == (not left_out)


def calls_to_a_slow_dependency(takes: float) -> dict[str, list[float]]:
    """Keyed work that must call a shared dependency, which takes 30 ms, and `takes` from second 5 to 13. The
    timeouts given, and how many calls ended or were given up, in the slow time."""
    scheduler = opened(
        cores=6,
        downstream=api.Downstream.SHARED,
        call_quota=2.0,
        call_quota_window_ms=5000.0,
        abandoned_call_ms=200.0,
        classes=(replace(KEYED, may_call=True, latency_objective_ms=3000.0, deadline_ms=6000.0),),
    )
    ends: list[tuple[float, int, float, bool]] = []
    seen: dict[str, list[float]] = {"timeouts": [], "ended": [], "given up": []}
    later: list[api.Event] = []
    for turn in range(1300):
        now, events = 10.0 * turn, [*later]  # type: float, list[api.Event]
        later, due = [], [event for event in ends if event[0] <= now]
        ends = [event for event in ends if event[0] > now]
        slow = now >= 6500.0  # the first calls of the slow time teach how long calls have become
        for _, request_id, took, ok in due:
            events.append(
                api.CallEnded(request_id, ExecutionOutcome.OK if ok else ExecutionOutcome.TIMEOUT, took)
            )
            later += [api.RunEnded(request_id, ExecutionOutcome.OK if ok else ExecutionOutcome.CANCELLED)]
            if slow:
                seen["ended" if ok else "given up"].append(took)
        if turn % 15 == 0:
            events.append(request(turn + 1))
        for action in scheduler.step(now, [*events, api.Timer(0, (0.5,))]):
            if isinstance(action, api.Start):
                later.append(api.CallNeeded(action.id))
            elif isinstance(action, api.StartCall):
                needs = takes if now >= 5000.0 else 30.0
                ends.append(
                    (
                        now + min(needs, action.timeout_ms),
                        action.id,
                        min(needs, action.timeout_ms),
                        needs <= action.timeout_ms,
                    )
                )
                seen["timeouts"] += [action.timeout_ms] if slow else []
    return seen


def test_no_call_is_sent_to_a_slow_dependency_that_could_only_time_out() -> None:
    """A dependency was ten times slower. The budget went into calls with timeouts of some milliseconds, which all
    timed out, and requests with idempotency keys failed with them."""
    seen = calls_to_a_slow_dependency(takes=600.0)
    assert min(seen["timeouts"]) >= 300.0
    assert len(seen["ended"]) > 8 > 4 * len(seen["given up"])


def test_a_dependency_slower_than_any_timeout_is_still_called_now_and_then() -> None:
    """Calls that time out lengthen what a call is expected to need. That must never end all calls: none would
    show that the dependency has recovered."""
    assert len(calls_to_a_slow_dependency(takes=5000.0)["timeouts"]) >= 3


def share_of_calls_ended_by_an_overloaded_dependency(servers: int = 4) -> float:
    """Some servers, each a module of its own, before one dependency of 4 slots: a call is 40 ms of work, from second
    3 on 320 ms; those in its hands beyond the slots share them, and slow each other down. The share of the calls that
    ended from second 5 on. All that is asked is far over what the dependency can do then."""
    classes = (replace(KEYED, may_call=True, latency_objective_ms=3000.0, deadline_ms=5000.0),)
    fleet = [
        opened(
            cores=6,
            downstream=api.Downstream.SHARED,
            call_quota=5.0,
            call_quota_window_ms=5000.0,
            classes=classes,
            abandoned_call_ms=200.0,
        )
        for _ in range(servers)
    ]
    later: list[list[api.Event]] = [[] for _ in fleet]
    hands: dict[tuple[int, int], list[float]] = {}  # server and id: work left, since, until
    ended = given_up = 0
    for turn in range(1200):
        now = 10.0 * turn
        crowd = max(1.0, len(hands) / 4)
        for (i, request_id), call in list(hands.items()):
            call[0] -= 10.0 / crowd / (1 + 0.4 * (crowd - 1))
            whole = call[0] <= 0
            if whole or call[2] <= now:
                del hands[i, request_id]
                later[i].append(
                    api.CallEnded(
                        request_id, ExecutionOutcome.OK if whole else ExecutionOutcome.TIMEOUT, now - call[1]
                    )
                )
                later[i] += [api.RunEnded(request_id, ExecutionOutcome.OK)] if whole else []
                ended, given_up = ended + (whole and now > 5000.0), given_up + (not whole and now > 5000.0)
        for i, scheduler in enumerate(fleet):
            events, later[i] = later[i], []
            if turn % 10 == 0:
                events = [*events, request(turn + 1)]
            for action in scheduler.step(now, [*events, api.Timer(0, (0.5,))]):
                if isinstance(action, api.Start):
                    later[i].append(api.CallNeeded(action.id))
                elif isinstance(action, api.StartCall):
                    hands[i, action.id] = [320.0 if now > 3000.0 else 40.0, now, now + action.timeout_ms]
                elif isinstance(action, api.Fail):
                    later[i].append(api.RunEnded(action.id, ExecutionOutcome.CANCELLED))
    return ended / max(1, ended + given_up)


def test_fewer_calls_at_once_go_to_an_overloaded_dependency() -> None:
    """All runners kept as many calls in flight as their quota allows: none of them ended before its timeout."""
    assert share_of_calls_ended_by_an_overloaded_dependency() >= 0.45
