"""Answers to repeated requests with an idempotency key."""

from __future__ import annotations

from moorusher.scheduling import interface as api

from ..helpers import done, only, opened, request, started


def test_a_repeat_gets_the_result_of_the_attempt_that_ran() -> None:
    scheduler = opened()
    actions = scheduler.step(0.0, [request(1, class_index=1)])
    assert only(actions, api.StoreKey)
    assert started(actions) == [1]
    scheduler.step(100.0, done(1))
    actions = scheduler.step(200.0, [request(2, class_index=1, repeat_of=1)])
    assert only(actions, api.ShareResult) == [api.ShareResult(2)]
    assert started(actions) == []
