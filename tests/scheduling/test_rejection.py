"""Rejections: whether the caller may try another runner, and the Retry-After."""

from __future__ import annotations

from moorusher.scheduling import interface as api
from moorusher.scheduling.interface import (
    Tenant,
)

from ..helpers import done, only, opened, request


def test_excess_requests_are_rejected_on_arrival_and_finally() -> None:
    """Regression: requests were queued for a long time before they were rejected. Their retries looked like first
    attempts but were already late, which caused a retry loop."""
    scheduler = opened(cores=1, tenants=(Tenant(1.0),), max_retry_after_ms=1000.0)
    actions = scheduler.step(0.0, [request(i) for i in range(1, 30)])
    rejections = only(actions, api.Reject)
    assert len(rejections) > 20
    assert all(action.final and 0.0 < action.retry_after_ms <= 1000.0 for action in rejections)


def test_a_rejection_of_a_first_attempt_is_not_final_if_marked_retries_are_few() -> None:
    """After a rejection that is not final, the caller tries another runner, which may have capacity in a large fleet.
    If more than a fifth of the arrivals are retries, this is a retry storm, in which more attempts only add load."""

    def rejections_final(is_retry: bool, retries_marked: bool) -> set[bool]:
        scheduler = opened(cores=1, tenants=(Tenant(1.0),), retries_marked=retries_marked)
        scheduler.step(0.0, [request(i, is_retry=is_retry) for i in range(1, 60)])
        actions = scheduler.step(1.0, [request(100 + i) for i in range(10)])
        return {action.final for action in only(actions, api.Reject)}

    assert rejections_final(False, True) == {False}
    assert rejections_final(True, True) == {True}
    assert rejections_final(False, False) == {True}


def test_a_rejection_has_a_short_retry_after() -> None:
    """Regression: clients paused for the maximum Retry-After, and retried when their objective had passed. A pause of
    one slot time is sufficient."""
    scheduler = opened(cores=1, tenants=(Tenant(1.0),), max_retry_after_ms=1000.0)
    scheduler.step(0.0, [request(1)])
    rejections = only(scheduler.step(300.0, [*done(1), *[request(i) for i in range(2, 40)]]), api.Reject)
    assert len(rejections) > 20
    assert all(0.0 < action.retry_after_ms < 500.0 for action in rejections)
