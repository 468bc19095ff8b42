"""Invariants over all event sequences: generated ones with fixed seeds, invalid input, and minimal settings."""

from __future__ import annotations

import os
import subprocess
import sys
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from moorusher.scheduling import interface as api
from moorusher.scheduling.interface import (
    ExecutionOutcome,
    Tenant,
)

from ..helpers import KEYED, SAFE, only, opened, request, started
from .generated_day import GeneratedDay

ROOT = Path(__file__).resolve().parents[2]


CALLING = replace(SAFE, may_call=True, value_fraction_without_call=0.5)


UNSAFE = replace(KEYED, effect=api.Effect.NOT_IDEMPOTENT)


VARIANTS: list[dict[str, Any]] = [
    {},
    {"preemption": api.Preemption.DISCARD, "signal": api.SignalKind.WEIGHT, "tenants": ()},
    {"preemption": api.Preemption.FREEZE, "signal": api.SignalKind.FLOOR, "reports_disconnects": True},
    {
        "downstream": api.Downstream.SHARED,
        "call_quota": 1.5,
        "classes": (CALLING, replace(KEYED, may_call=True)),
        "signal": api.SignalKind.ALLOWANCE,
    },
    {
        "downstream": api.Downstream.SHARED,
        "call_quota": 0.4,
        "classes": (CALLING, UNSAFE),
        "answer_cache_ms": 200.0,
    },
    {
        "downstream": api.Downstream.TIER,
        "classes": (CALLING, KEYED),
        "warming_up": True,
        "warm_up_initial_speed": 0.2,
        "warm_up_ms": 9000.0,
    },
    {"memory_kb": 400.0, "key_entry_kb": 30.0},
]


def run_each_variant(seed: int) -> list[list[tuple[float, api.Action]]]:
    return [GeneratedDay(seed, changes).run() for changes in VARIANTS]


@pytest.mark.parametrize("variant", range(len(VARIANTS)))
@pytest.mark.parametrize("seed", range(6))
def test_the_invariants_hold_over_generated_events(seed: int, variant: int) -> None:
    assert len(GeneratedDay(seed, VARIANTS[variant]).run()) > 100


@pytest.mark.parametrize("variant", range(len(VARIANTS)))
def test_equal_events_give_equal_actions(variant: int) -> None:
    assert GeneratedDay(3, VARIANTS[variant]).run() == GeneratedDay(3, VARIANTS[variant]).run()


def test_equal_events_give_equal_actions_in_processes_with_different_hash_seeds() -> None:
    """Each runner is a process with its own hash seed, so the order of a set must not affect the actions."""
    code = "from tests.scheduling import test_invariants; print(test_invariants.run_each_variant(3))"
    outputs = {
        subprocess.run(
            [sys.executable, "-c", code],
            env={**os.environ, "PYTHONHASHSEED": seed},
            cwd=ROOT,
            check=True,
            capture_output=True,
            text=True,
        ).stdout
        for seed in ("1", "2")
    }
    assert len(outputs) == 1
    assert len(outputs.pop()) > 10_000


def test_events_about_unknown_requests_are_ignored_and_the_clock_must_not_go_backwards() -> None:
    scheduler = opened()
    unknown: list[api.Event] = [
        api.RunEnded(9, api.ExecutionOutcome.OK),
        api.CallNeeded(9),
        api.CallEnded(9, api.ExecutionOutcome.OK),
        api.RequestAbandoned(9),
    ]
    assert scheduler.step(5.0, unknown) == []
    with pytest.raises(ValueError, match="clock"):
        scheduler.step(4.0, [])


@pytest.mark.parametrize(
    "changes",
    [
        {"gauges": ()},
        {"tenants": ()},
        {"cores": 1},
        {"peers": 1, "callers": 0},
        {"tenants": (Tenant(0.0, "", 0.0),) * 2},
        {"max_retry_after_ms": 0.0, "signal_ttl_ms": 0.0, "signal": api.SignalKind.ALLOWANCE},
        {
            "downstream": api.Downstream.SHARED,
            "call_quota": 0.0,
            "classes": (CALLING, replace(KEYED, may_call=True)),
        },
        {"callers": 5000, "max_idle_connection_ms": 0.0},
    ],
)
def test_every_request_is_answered_with_minimal_settings_and_unknown_callers(changes: dict[str, Any]) -> None:
    """Every request gets exactly one answer without gauges, and with unknown tenants or thousands of callers."""
    scheduler = opened(**changes)
    deadlines: dict[int, float] = {}
    ends: list[api.Event] = []
    request_id = 0
    for step in range(1400):
        now = 5.0 * step
        events: list[api.Event] = [*ends, api.Timer(0)]
        if now < 2500.0:
            request_id += 1
            tenant = None if request_id % 3 == 0 else request_id * 7919
            events.append(
                api.Request(request_id, request_id % 2, 10.0, caller=request_id * 31, tenant=tenant)
            )
            deadlines[request_id] = now + scheduler.state.settings.classes[request_id % 2].deadline_ms
        ends = []
        for action in scheduler.step(now, events):
            if isinstance(action, (api.Reject, api.Fail)):
                del deadlines[action.id]
            elif isinstance(action, api.Start):
                needs_call = scheduler.state.settings.downstream is not api.Downstream.OFF
                ends.append(
                    api.CallNeeded(action.id)
                    if needs_call
                    else api.RunEnded(action.id, api.ExecutionOutcome.OK)
                )
            elif isinstance(action, api.SkipCall):
                ends.append(api.RunEnded(action.id, api.ExecutionOutcome.OK))
            assert not isinstance(action, api.StartCall)
        for event in ends:
            if isinstance(event, api.RunEnded):
                del deadlines[event.id]
        assert all(deadline >= now - 60.0 for deadline in deadlines.values())
    assert request_id > 400
    assert deadlines == {}
    assert len(scheduler.state.queue.tenants) <= len(scheduler.state.settings.tenants) + 50


def test_a_class_index_outside_the_settings_raises_an_error_that_names_it() -> None:
    with pytest.raises(ValueError, match="class_index 9"):
        opened().step(0.0, [request(1, class_index=9)])


NAN, INF = float("nan"), float("inf")


@pytest.mark.parametrize("cost_hint_ms", [0.0, -5.0, NAN, INF, 1e9])
@pytest.mark.parametrize("ttl_ms", [None, 0.0, -1.0, NAN, 900.0])
@pytest.mark.parametrize("propagates_deadline", [False, True])
def test_every_request_is_answered_with_invalid_hints_and_waits(
    cost_hint_ms: float, ttl_ms: float | None, propagates_deadline: bool
) -> None:
    """Regression: requests were never answered after a cost hint of NaN was added to the start tags, or because a
    stated wait of NaN made every comparison false."""
    scheduler = opened(propagates_deadline=propagates_deadline, max_retry_after_ms=1000.0)
    unanswered = set(range(1, 41))
    ends: list[api.Event] = []
    for i in range(1, 400):
        batch: list[api.Event] = [*ends, api.Timer(0, (0.5,))]
        if i in unanswered:
            batch.append(request(i, i % 2, cost_hint_ms=cost_hint_ms, ttl_ms=ttl_ms))
        actions = scheduler.step(20.0 * i, batch)
        ends = [
            api.RunEnded(
                started_id, ExecutionOutcome.ERROR if started_id % 5 == 0 else ExecutionOutcome.OK, 0.0
            )
            for started_id in started(actions)
        ]
        unanswered -= {action.id for action in actions if isinstance(action, (api.Reject, api.Fail))} | set(
            started(actions)
        )
        assert all(0.0 <= action.retry_after_ms <= 1000.0 for action in only(actions, api.Reject))
    assert unanswered == set()
    assert all(
        0.0 < estimate < INF
        for estimate in (
            scheduler.state.service_time.mean_cost_ms,
            scheduler.state.service_time.slot_ms,
            *(class_state.expected_run_ms() for class_state in scheduler.state.service_time.classes),
        )
    )
    assert all(-1e12 < tenant.start_tag < 1e12 for tenant in scheduler.state.queue.tenants.values())
