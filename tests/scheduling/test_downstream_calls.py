"""Downstream calls: budget, concurrency limit, order and skipped calls."""

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


def test_a_call_and_its_run_that_end_in_one_batch_leave_no_call_in_flight() -> None:
    """Regression: a slow runner gets both ends in one batch. When the end of the run was processed first, the call
    seemed to be abandoned and its charge was not refunded."""
    scheduler = opened(**SHARED_DEPENDENCY)
    scheduler.step(0.0, [request(1), request(2)])
    assert only(scheduler.step(10.0, [api.CallNeeded(1)]), api.StartCall)
    scheduler.step(300.0, [api.CallEnded(1, api.ExecutionOutcome.OK, 3.0), *done(1)])
    assert only(scheduler.step(305.0, [api.CallNeeded(2)]), api.StartCall) != []


def test_downstream_calls_stay_within_the_quota_over_a_window_even_if_they_hang() -> None:
    """300 runners have a quota of 0.3 calls each, so the calls of one runner may take at most 0.3 of a window."""
    scheduler = opened(**SHARED_DEPENDENCY)
    spent_ms, ends, timeouts_at = 0.0, [], {}  # type: float, list[api.Event], dict[int, float]
    for i in range(1000):
        now = 5.0 * i
        batch: list[api.Event] = [*ends, api.Timer(0, (1.0,))]
        if i % 20 == 0:
            batch.append(request(i + 1, i % 2))
        actions = scheduler.step(now, batch)
        ends = [api.CallNeeded(other) for other in started(actions)]
        for call in only(actions, api.StartCall):
            timeouts_at[call.id] = now + call.timeout_ms
            spent_ms += call.timeout_ms + 200.0
        for request_id in [other for other, timeout_at in timeouts_at.items() if timeout_at <= now]:
            del timeouts_at[request_id]
            ends.append(api.CallEnded(request_id, api.ExecutionOutcome.TIMEOUT, 750.0))
    assert 0.0 < spent_ms <= 0.3 * 5000.0


def test_scarce_calls_go_to_requests_that_have_no_value_without_them() -> None:
    """Regression: at an overloaded dependency, optional calls of reads used the budget for required calls of writes."""
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


@pytest.mark.parametrize(("value_fraction_without_call", "is_skipped"), [(0.5, True), (0.0, False)])
def test_a_long_optional_call_is_skipped_early_enough_to_answer_in_time(
    value_fraction_without_call: float, is_skipped: bool
) -> None:
    """Regression: a request waited for a missing reply until its answer was late and had no value."""
    scheduler = opened(
        downstream=api.Downstream.TIER,
        classes=(replace(CALLING, value_fraction_without_call=value_fraction_without_call),),
    )
    scheduler.step(0.0, [request(1)])
    assert only(scheduler.step(10.0, [api.CallNeeded(1)]), api.StartCall)
    now, skip_times = 10.0, list[float]()
    while now < 1_000.0:  # the latency objective
        now += 25.0
        skip_times += [now for _ in only(scheduler.step(now, [api.Timer(0, (0.5,))]), api.SkipCall)]
    assert [
        ABANDON_SLOT_TIMES * scheduler.state.service_time.slot_ms <= 1_050.0 - skipped_at
        for skipped_at in skip_times
    ] == [True] * is_skipped
    assert scheduler.calls.in_flight == (not is_skipped)


def call_slow_dependency(slow_call_ms: float) -> dict[str, list[float]]:
    """Run requests with idempotency keys that require a call to a shared dependency.

    A call takes 30 ms until second 5, and then `slow_call_ms` until the end at second 13. Return, for the slow period,
    the timeouts of the calls, and the durations of the calls that ended and of those that timed out.
    """
    scheduler = opened(
        cores=6,
        downstream=api.Downstream.SHARED,
        call_quota=2.0,
        call_quota_window_ms=5000.0,
        abandoned_call_ms=200.0,
        classes=(replace(KEYED, may_call=True, latency_objective_ms=3000.0, deadline_ms=6000.0),),
    )
    ends: list[tuple[float, int, float, bool]] = []
    results: dict[str, list[float]] = {"timeouts": [], "ended": [], "timed out": []}
    next_events: list[api.Event] = []
    for step in range(1300):
        now, events = 10.0 * step, [*next_events]  # type: float, list[api.Event]
        next_events, due = [], [event for event in ends if event[0] <= now]
        ends = [event for event in ends if event[0] > now]
        is_slow = now >= 6500.0  # the scheduler learns the new call duration from the first slow calls
        for _, request_id, duration_ms, succeeded in due:
            events.append(
                api.CallEnded(
                    request_id, ExecutionOutcome.OK if succeeded else ExecutionOutcome.TIMEOUT, duration_ms
                )
            )
            next_events += [
                api.RunEnded(request_id, ExecutionOutcome.OK if succeeded else ExecutionOutcome.CANCELLED)
            ]
            if is_slow:
                results["ended" if succeeded else "timed out"].append(duration_ms)
        if step % 15 == 0:
            events.append(request(step + 1))
        for action in scheduler.step(now, [*events, api.Timer(0, (0.5,))]):
            if isinstance(action, api.Start):
                next_events.append(api.CallNeeded(action.id))
            elif isinstance(action, api.StartCall):
                call_ms = slow_call_ms if now >= 5000.0 else 30.0
                ends.append(
                    (
                        now + min(call_ms, action.timeout_ms),
                        action.id,
                        min(call_ms, action.timeout_ms),
                        call_ms <= action.timeout_ms,
                    )
                )
                results["timeouts"] += [action.timeout_ms] if is_slow else []
    return results


def test_a_call_to_a_slow_dependency_is_not_sent_if_it_would_time_out() -> None:
    """Regression: when a dependency became ten times slower, the budget was used for calls with timeouts of a few
    milliseconds, which all timed out, and the requests with idempotency keys failed."""
    results = call_slow_dependency(slow_call_ms=600.0)
    assert min(results["timeouts"]) >= 300.0
    assert len(results["ended"]) > 8 > 4 * len(results["timed out"])


def test_a_dependency_slower_than_any_timeout_is_still_called_occasionally() -> None:
    """Calls that time out increase the expected duration of a call. This must not stop all calls, because then
    no call would show that the dependency has recovered."""
    assert len(call_slow_dependency(slow_call_ms=5000.0)["timeouts"]) >= 3


def success_share_at_overloaded_dependency(runner_count: int = 4) -> float:
    """Run several runners, each with its own scheduler, with one dependency that has 4 slots.

    A call is 40 ms of work until second 3, and then 320 ms, so that the load is far above the capacity of the
    dependency. If there are more concurrent calls than slots, they share the slots and slow each other down. Return the
    share of calls that succeeded from second 5 on.
    """
    classes = (replace(KEYED, may_call=True, latency_objective_ms=3000.0, deadline_ms=5000.0),)
    schedulers = [
        opened(
            cores=6,
            downstream=api.Downstream.SHARED,
            call_quota=5.0,
            call_quota_window_ms=5000.0,
            classes=classes,
            abandoned_call_ms=200.0,
        )
        for _ in range(runner_count)
    ]
    next_events: list[list[api.Event]] = [[] for _ in schedulers]
    # For each runner and request id: remaining work in ms, time of the start, time of the timeout.
    calls: dict[tuple[int, int], list[float]] = {}
    succeeded = timed_out = 0
    for step in range(1200):
        now = 10.0 * step
        load = max(1.0, len(calls) / 4)
        for (i, request_id), call in list(calls.items()):
            call[0] -= 10.0 / load / (1 + 0.4 * (load - 1))
            is_complete = call[0] <= 0
            if is_complete or call[2] <= now:
                del calls[i, request_id]
                next_events[i].append(
                    api.CallEnded(
                        request_id,
                        ExecutionOutcome.OK if is_complete else ExecutionOutcome.TIMEOUT,
                        now - call[1],
                    )
                )
                next_events[i] += [api.RunEnded(request_id, ExecutionOutcome.OK)] if is_complete else []
                succeeded, timed_out = (
                    succeeded + (is_complete and now > 5000.0),
                    timed_out + (not is_complete and now > 5000.0),
                )
        for i, scheduler in enumerate(schedulers):
            events, next_events[i] = next_events[i], []
            if step % 10 == 0:
                events = [*events, request(step + 1)]
            for action in scheduler.step(now, [*events, api.Timer(0, (0.5,))]):
                if isinstance(action, api.Start):
                    next_events[i].append(api.CallNeeded(action.id))
                elif isinstance(action, api.StartCall):
                    calls[i, action.id] = [320.0 if now > 3000.0 else 40.0, now, now + action.timeout_ms]
                elif isinstance(action, api.Fail):
                    next_events[i].append(api.RunEnded(action.id, ExecutionOutcome.CANCELLED))
    return succeeded / max(1, succeeded + timed_out)


def test_an_overloaded_dependency_gets_fewer_concurrent_calls() -> None:
    """Regression: all runners had as many calls in flight as their quota allowed, and each of these calls timed out."""
    assert success_share_at_overloaded_dependency() >= 0.45
