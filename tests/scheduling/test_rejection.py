"""How requests are rejected: whether another runner may be tried, and when to come back."""

from __future__ import annotations

from moorusher.scheduling import interface as api
from moorusher.scheduling.interface import (
    Tenant,
)

from ..helpers import done, only, opened, request


def test_a_rejection_is_final_and_the_queue_is_short() -> None:
    """What was queued for long and then rejected came back like a first attempt, late already: a retry loop."""
    scheduler = opened(cores=1, tenants=(Tenant(1.0),), max_retry_after_ms=1000.0)
    actions = scheduler.step(0.0, [request(i) for i in range(1, 30)])
    refused = only(actions, api.Reject)
    assert len(refused) > 20
    assert all(action.final and 0.0 < action.retry_after_ms <= 1000.0 for action in refused)


def test_a_rejected_first_attempt_may_be_retried_elsewhere_while_marked_retries_are_few() -> None:
    """In a large fleet others have capacity; once a fifth of the arrivals are retries, it is a retry storm."""

    def refusals(retry: bool, marked: bool) -> set[bool]:
        scheduler = opened(cores=1, tenants=(Tenant(1.0),), retries_marked=marked)
        scheduler.step(0.0, [request(i, is_retry=retry) for i in range(1, 60)])
        actions = scheduler.step(1.0, [request(100 + i) for i in range(10)])
        return {action.final for action in only(actions, api.Reject)}

    assert refusals(False, True) == {False}
    assert refusals(True, True) == {True}
    assert refusals(False, False) == {True}


def test_a_rejection_carries_a_short_retry_after() -> None:
    """A client that paused for as long as allowed came back past its objective; one slot time is enough."""
    scheduler = opened(cores=1, tenants=(Tenant(1.0),), max_retry_after_ms=1000.0)
    scheduler.step(0.0, [request(1)])
    refused = only(scheduler.step(300.0, [*done(1), *[request(i) for i in range(2, 40)]]), api.Reject)
    assert len(refused) > 20
    assert all(0.0 < action.retry_after_ms < 500.0 for action in refused)
