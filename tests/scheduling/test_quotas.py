"""Tenants past their quota beside those within it."""

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


def flood(*, worth: float = 0.05, again: bool = False, seconds: int = 12, each: int = 1) -> dict[str, Any]:
    """Two cores, runs of 300 ms. The greedy tenant asks `each` requests every 50 ms, the modest one a request every
    500 ms (`again`: each of them a marked retry). What was served, refused and advised from second 3 on."""
    scheduler = opened(
        cores=2,
        classes=(QUICK, PATIENT),
        tenants=(Tenant(0.5), Tenant(0.5)),
        over_quota_weight=worth,
        retries_marked=True,
        max_retry_after_ms=1000.0,
    )
    asked: dict[int, tuple[int, int]] = {}
    rng = random.Random(1)  # a fixed order would lock step with the runs, and one class always come first
    ends: dict[int, float] = {}
    seen: dict[str, Any] = {"ran": [], "refused": [], "asked": [], "advice": {GREEDY: [], MODEST: []}}
    for turn in range(seconds * 100):
        now, events = 10.0 * turn, []  # type: float, list[api.Event]
        events += [
            api.RunEnded(request_id, ExecutionOutcome.OK) for request_id, at in ends.items() if at <= now
        ]
        ends = {request_id: at for request_id, at in ends.items() if at > now}
        new = [(GREEDY, rng.randrange(2)) for _ in range(each)] if turn % 5 == 0 else []
        new += [(MODEST, (turn // 50) % 2)] if turn % 50 == 25 else []
        for who in new:
            request_id = len(asked) + 1
            asked[request_id] = who
            events.append(request(request_id, who[0], who[1], is_retry=again and who[0] == MODEST))
            seen["asked"] += [who] if now > 3000.0 else []
        for action in scheduler.step(now, [*events, api.Timer(0, (1.0,))]):
            if isinstance(action, api.Start):
                ends[action.id] = now + RUN_MS
                seen["ran"] += [asked[action.id]] if now > 3000.0 else []
            elif isinstance(action, api.Reject) and now > 3000.0:
                seen["refused"].append(asked[action.id])
                seen["advice"][asked[action.id][0]].append(action.retry_after_ms)
    return seen


@pytest.mark.parametrize("again", [False, True])
def test_a_tenant_within_its_quota_is_served_beside_one_that_floods(again: bool) -> None:
    """One tenant sent three times its quota: the others' retries met a full runner and were rejected."""
    seen = flood(again=again)
    modest = [who for who in seen["asked"] if who[0] == MODEST]
    assert len([who for who in seen["refused"] if who[0] == MODEST]) <= 0.1 * len(modest)
    assert len([who for who in seen["ran"] if who[0] == MODEST]) >= 0.9 * len(modest)


def test_no_caller_gets_a_retry_after_for_a_tenant_over_its_quota() -> None:
    """A caller carries all tenants: with a Retry-After for one, it sent nothing of the others either."""
    seen = flood()
    assert len(seen["advice"][GREEDY]) > 50
    assert set(seen["advice"][GREEDY]) == {0.0}


def test_where_all_traffic_counts_alike_nobody_is_over_a_quota() -> None:
    advised = flood(worth=1.0)["advice"][GREEDY]
    assert len(advised) > 50
    assert min(advised) > 0.0


def test_of_a_tenant_over_its_quota_no_class_is_starved_by_a_more_patient_one() -> None:
    """The queue filled with what could wait for long; what had to run at once was rejected for the whole day."""
    ran = [class_index for tenant, class_index in flood(each=2)["ran"] if tenant == GREEDY]
    quick, patient = ran.count(0), ran.count(1)
    assert quick >= 0.7 * patient > 10
