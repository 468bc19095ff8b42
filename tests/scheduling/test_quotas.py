"""Tenants over their quota together with tenants within it."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Any

import pytest

from moorusher.scheduling import interface as api
from moorusher.scheduling.interface import (
    ExecutionOutcome,
    Tenant,
)

from ..helpers import SAFE, opened, request

QUICK, PATIENT = (
    replace(SAFE, name="quick", latency_objective_ms=700.0),
    replace(SAFE, name="patient", latency_objective_ms=3000.0),
)


GREEDY, MODEST = 0, 1


RUN_MS = 300.0


def run_flood(
    *, over_quota_weight: float = 0.05, modest_retries: bool = False, seconds: int = 12, greedy_batch: int = 1
) -> dict[str, Any]:
    """Simulate a greedy tenant that floods the runner and a modest one that does not, on two cores with 300 ms runs.

    The greedy tenant sends `greedy_batch` requests every 50 ms, the modest tenant one every 500 ms. Return the
    requests that arrived, were started and were rejected, and the Retry-After times, from second 3 on.

    :param modest_retries: Whether the requests of the modest tenant are marked retries.
    """
    scheduler = opened(
        cores=2,
        classes=(QUICK, PATIENT),
        tenants=(Tenant(0.5), Tenant(0.5)),
        over_quota_weight=over_quota_weight,
        retries_marked=True,
        max_retry_after_ms=1000.0,
    )
    sent: dict[int, tuple[int, int]] = {}
    # The classes are random. In a fixed order in step with the runs, the same class would always be first.
    rng = random.Random(1)
    ends: dict[int, float] = {}
    results: dict[str, Any] = {
        "started": [],
        "rejected": [],
        "sent": [],
        "retry_after": {GREEDY: [], MODEST: []},
    }
    for step in range(seconds * 100):
        now, events = 10.0 * step, []  # type: float, list[api.Event]
        events += [
            api.RunEnded(request_id, ExecutionOutcome.OK) for request_id, end in ends.items() if end <= now
        ]
        ends = {request_id: end for request_id, end in ends.items() if end > now}
        new = [(GREEDY, rng.randrange(2)) for _ in range(greedy_batch)] if step % 5 == 0 else []
        new += [(MODEST, (step // 50) % 2)] if step % 50 == 25 else []
        for tenant_and_class in new:
            request_id = len(sent) + 1
            sent[request_id] = tenant_and_class
            events.append(
                request(
                    request_id,
                    tenant_and_class[0],
                    tenant_and_class[1],
                    is_retry=modest_retries and tenant_and_class[0] == MODEST,
                )
            )
            results["sent"] += [tenant_and_class] if now > 3000.0 else []
        for action in scheduler.step(now, [*events, api.Timer(0, (1.0,))]):
            if isinstance(action, api.Start):
                ends[action.id] = now + RUN_MS
                results["started"] += [sent[action.id]] if now > 3000.0 else []
            elif isinstance(action, api.Reject) and now > 3000.0:
                results["rejected"].append(sent[action.id])
                results["retry_after"][sent[action.id][0]].append(action.retry_after_ms)
    return results


@pytest.mark.parametrize("modest_retries", [False, True])
def test_a_tenant_within_its_quota_is_served_while_another_floods_the_runner(modest_retries: bool) -> None:
    """Regression: when one tenant sent three times its quota, the runner was full and rejected the others' retries."""
    results = run_flood(modest_retries=modest_retries)
    modest = [pair for pair in results["sent"] if pair[0] == MODEST]
    assert len([pair for pair in results["rejected"] if pair[0] == MODEST]) <= 0.1 * len(modest)
    assert len([pair for pair in results["started"] if pair[0] == MODEST]) >= 0.9 * len(modest)


def test_a_rejection_for_a_tenant_over_its_quota_has_no_retry_after() -> None:
    """Regression: after a Retry-After for one tenant, a caller paused the requests of all its tenants."""
    results = run_flood()
    assert len(results["retry_after"][GREEDY]) > 50
    assert set(results["retry_after"][GREEDY]) == {0.0}


def test_no_tenant_is_over_its_quota_if_all_requests_have_equal_weight() -> None:
    retry_after = run_flood(over_quota_weight=1.0)["retry_after"][GREEDY]
    assert len(retry_after) > 50
    assert min(retry_after) > 0.0


def test_a_class_with_a_short_objective_is_not_starved_for_a_tenant_over_its_quota() -> None:
    """Regression: the queue filled with requests that could wait long, and urgent requests were always rejected."""
    classes = [
        class_index for tenant, class_index in run_flood(greedy_batch=2)["started"] if tenant == GREEDY
    ]
    quick, patient = classes.count(0), classes.count(1)
    assert quick >= 0.7 * patient > 10
