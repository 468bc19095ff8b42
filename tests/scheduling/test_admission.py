"""Which arriving requests are queued."""

from __future__ import annotations

from dataclasses import replace

from moorusher.scheduling import interface as api
from moorusher.scheduling.interface import (
    Tenant,
)

from ..helpers import KEYED, SAFE, only, opened, request, started


def test_a_marked_retry_waits_less_than_a_first_attempt() -> None:
    """After a burst, retries that were late at their client already crowded out first attempts."""
    held = {}
    for retry in (False, True):
        scheduler = opened(cores=1, tenants=(Tenant(1.0),))
        scheduler.step(0.0, [request(1)])
        actions = scheduler.step(1.0, [request(i, is_retry=retry) for i in range(2, 30)])
        held[retry] = 28 - len(only(actions, api.Reject))
    assert 0 <= held[True] < held[False]


def test_a_tenant_of_small_weight_is_not_rejected_for_a_short_wait() -> None:
    """A tenant of small weight was rejected for the long wait that its weight alone suggests, beside a short
    queue. It waits at most for all that is queued."""
    scheduler = opened(cores=1, tenants=(Tenant(0.05), Tenant(0.95)))
    scheduler.step(0.0, [request(1, 1), request(2, 1), request(3, 0)])
    actions = scheduler.step(1.0, [request(4, 0)])
    assert only(actions, api.Reject) == []


def test_nothing_is_started_that_would_be_late() -> None:
    """A runner that read requests late ran old attempts, for a fifth of their value, and left fresh ones unread."""
    late = replace(SAFE, late_value_fraction=0.2)
    scheduler = opened(classes=(late, KEYED))
    assert only(scheduler.step(0.0, [request(1, waited_ms=950.0)]), api.Reject)
    assert started(scheduler.step(1.0, [request(2)])) == [2]
