"""Deadlines, latency objectives, and the requests that are ended because of them."""

from __future__ import annotations

from dataclasses import replace

from moorusher.scheduling import interface as api
from moorusher.scheduling.interface import (
    Tenant,
)

from ..helpers import SAFE, done, only, opened, request, started

CALLED = replace(SAFE, may_call=True)


def test_running_work_fails_at_its_deadline() -> None:
    scheduler = opened()
    scheduler.step(0.0, [request(1)])
    answers: list[api.Action] = []
    for now in range(25, 4100, 25):
        answers += only(scheduler.step(float(now), [api.Timer(0, (1.0,))]), api.Fail)
    assert answers == [api.Fail(1)]


def test_a_request_with_a_stated_wait_of_zero_is_due_at_once_if_deadlines_are_propagated() -> None:
    """Regression: a stated wait of 0 was treated as not stated, so that the full deadline of the class applied."""
    scheduler = opened(propagates_deadline=True, cores=1, tenants=(Tenant(1.0),))
    scheduler.step(0.0, [request(1, ttl_ms=5000.0)])
    actions = scheduler.step(1.0, [request(2, ttl_ms=0.0), request(3, ttl_ms=-4.0)])
    assert {action.id for action in only(actions, api.Reject)} == {2, 3}
    # Without deadline propagation, 0 means that no wait is stated.
    assert started(opened().step(0.0, [request(1, ttl_ms=0.0)])) == [1]


def test_a_stated_wait_shorter_than_usual_counts_as_age() -> None:
    """Regression: unmarked retries were treated as first attempts, and ran although their objective had passed."""
    scheduler = opened(propagates_deadline=True)
    for i in range(1, 9):
        scheduler.step(200.0 * i, [request(i, ttl_ms=2700.0)])
        scheduler.step(200.0 * i + 50.0, done(i))
    actions = scheduler.step(3000.0, [request(20, ttl_ms=1600.0), request(21, ttl_ms=2650.0)])
    assert [action.id for action in only(actions, api.Reject)] == [20]
    assert started(actions) == [21]


def test_a_request_without_remaining_value_is_answered_at_once_in_any_position() -> None:
    """Regression: a late request without value was answered only at its deadline if it was queued behind another
    request or waited for a downstream call."""
    scheduler = opened(
        cores=1,
        tenants=(Tenant(1.0),),
        downstream=api.Downstream.SHARED,
        call_quota=0.0,
        classes=(CALLED,),
        preemption=api.Preemption.DISCARD,
    )
    scheduler.step(0.0, [request(1), request(2)])
    actions = scheduler.step(5.0, [api.CallNeeded(1)])  # the call quota is 0, so the request waits
    assert started(actions) == [2]
    scheduler.step(10.0, [request(3), request(4, waited_ms=200.0)])
    answers: dict[int, float] = {}
    for now in range(15, 2000, 5):
        for action in scheduler.step(float(now), [api.Timer(0, (1.0,))]):
            if isinstance(action, (api.Reject, api.Fail)):
                answers.setdefault(action.id, float(now))
    assert answers[1] <= 1000.0 + 5.0
    assert 10.0 < answers[4] < 700.0 < answers[3] < 1000.0
