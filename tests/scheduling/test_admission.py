"""Admission of arriving requests to the queue."""

from __future__ import annotations

from dataclasses import replace

from moorusher.scheduling import interface as api
from moorusher.scheduling.interface import (
    Tenant,
)

from ..helpers import KEYED, SAFE, only, opened, request, started


def test_a_marked_retry_waits_less_than_a_first_attempt() -> None:
    """Regression: after a burst, retries that were already late for their client displaced first attempts."""
    queued = {}
    for is_retry in (False, True):
        scheduler = opened(cores=1, tenants=(Tenant(1.0),))
        scheduler.step(0.0, [request(1)])
        actions = scheduler.step(1.0, [request(i, is_retry=is_retry) for i in range(2, 30)])
        queued[is_retry] = 28 - len(only(actions, api.Reject))
    assert 0 <= queued[True] < queued[False]


def test_a_tenant_of_small_weight_is_not_rejected_for_a_short_wait() -> None:
    """Regression: a request of a tenant with a small weight was rejected although the queue was short.

    The expected wait was computed from the weight alone. It must be at most the time for all queued requests.
    """
    scheduler = opened(cores=1, tenants=(Tenant(0.05), Tenant(0.95)))
    scheduler.step(0.0, [request(1, 1), request(2, 1), request(3, 0)])
    actions = scheduler.step(1.0, [request(4, 0)])
    assert only(actions, api.Reject) == []


def test_a_request_that_would_end_late_is_not_started() -> None:
    """Regression: a runner that read requests late ran only old attempts, which were worth a fifth of their value.

    It then had no time to run new requests, which were still worth their full value.
    """
    late = replace(SAFE, late_value_fraction=0.2)
    scheduler = opened(classes=(late, KEYED))
    assert only(scheduler.step(0.0, [request(1, waited_ms=950.0)]), api.Reject)
    assert started(scheduler.step(1.0, [request(2)])) == [2]
