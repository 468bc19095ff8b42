"""What holds over all event sequences: generated ones with fixed seeds, bad input, bare settings."""

from __future__ import annotations

import os
import random
import subprocess
import sys
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from moorusher.scheduling import Balancer
from moorusher.scheduling import interface as api
from moorusher.scheduling.interface import (
    Outcome,
    Tenant,
)

from ..helpers import KEYED, SAFE, only, opened, request, settings, started

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


def drive(seed: int, changes: dict[str, Any]) -> list[tuple[float, api.Action]]:
    """Feed a random day to one instance and check every rule on the way."""
    rng = random.Random(seed)
    config = settings(**changes)
    balancer = Balancer(config)
    log: list[tuple[float, api.Action]] = [(0.0, action) for action in balancer.open(0.0)]
    now, next_id, drain_at, stop_at = 0.0, 1, 1e9, 1e9
    requests: dict[int, tuple[api.Request, float, float]] = {}
    owed: dict[int, float] = {}
    ran: set[int] = set()
    running: dict[int, float] = {}
    standing: set[int] = set()
    calling: dict[int, float] = {}
    sharing: set[int] = set()
    entries: dict[int, float] = {}
    first: dict[int, int] = {}
    timers: list[float] = []
    later: list[api.Event] = []
    slowness = 1.0
    while now < 17_000.0:
        now += (
            rng.choice([2.0, 5.0, 5.0, 10.0, 30.0]) if rng.random() > 0.01 or now > stop_at - 400.0 else 300.0
        )
        if now > stop_at:
            break
        events, later = later, []
        slowness = rng.choice([0.5, 1.0, 6.0]) if rng.random() < 0.01 else slowness
        for request_id in [other for other, end in running.items() if end <= now]:
            del running[request_id]
            request_class = config.classes[requests[request_id][0].class_index]
            if request_class.may_call and request_id in owed and rng.random() < 0.5:
                standing.add(request_id)
                events.append(api.CallNeeded(request_id))
            else:
                events.append(
                    api.RunEnded(request_id, rng.choice([api.Outcome.OK] * 9 + [api.Outcome.ERROR]))
                )
                owed.pop(request_id, None)
        for request_id in [other for other, end in calling.items() if end <= now]:
            del calling[request_id]
            outcome = rng.choice([api.Outcome.OK] * 3 + [api.Outcome.FULL, api.Outcome.TIMEOUT])
            events.append(api.CallEnded(request_id, outcome, 40.0))
            if outcome is api.Outcome.OK:
                running[request_id] = now + 20.0
            else:
                standing.add(request_id)
        for request_id in sorted(sharing):
            if rng.random() < 0.1:
                sharing.discard(request_id)
                owed.pop(request_id, None)
                events.append(api.RunEnded(request_id, api.Outcome.OK))
        if any(due <= now for due in timers):
            timers = [due for due in timers if due > now]
            events.append(api.Timer(0, (rng.random(),)))
        for _ in range(rng.choice([0, 0, 1, 1, 3]) if now < 12_000.0 else 0):
            waited = rng.choice([0.0, 5.0, 400.0])
            class_index, subject = rng.randrange(len(config.classes)), rng.randrange(40)
            request_class = config.classes[class_index]
            new_request = request(
                next_id,
                rng.randrange(2),
                class_index,
                waited_ms=waited,
                caller=rng.randrange(3),
                cost_hint_ms=rng.choice([None, 30.0]),
                ttl_ms=rng.choice([None, 900.0]),
            )
            prior = first.get(subject)
            if request_class.effect is api.Effect.IDEMPOTENT_WITH_KEY:
                if prior is not None and (prior in owed or entries.get(prior, 0.0) > now):
                    new_request.repeat_of = prior
                else:
                    first[subject] = next_id
            requests[next_id] = (new_request, now - waited, float(subject))
            if new_request.ttl_ms:
                owed[next_id] = now + new_request.ttl_ms
            else:
                owed[next_id] = max(now, now - waited + request_class.deadline_ms)
            events.append(new_request)
            next_id += 1
        if drain_at == 1e9 and now > 9000.0 and seed % 2:
            drain_at, stop_at = now, now + 4000.0
            events.append(api.DrainNotice(4000.0))
        actions = balancer.step(now, events)
        for action in actions:
            log.append((now, action))
            if isinstance(action, api.SetTimer):
                timers.append(now + action.delay_ms)
                continue
            request_id = getattr(action, "id", 0)
            if request_id and request_id not in requests:
                raise AssertionError(f"names an unknown request: {action}")
            request_class = config.classes[requests[request_id][0].class_index] if request_id else SAFE
            if isinstance(action, api.Start):
                assert (
                    request_id in owed
                    and request_id not in ran
                    and requests[request_id][0].repeat_of not in ran
                )
                assert requests[request_id][1] <= drain_at + config.drain_grace_ms
                ran.add(request_id)
                running[request_id] = now + rng.expovariate(1 / 120.0) * slowness
            elif isinstance(action, (api.Reject, api.Fail)):
                assert owed.pop(request_id, None) is not None, f"second answer {action}"
                if isinstance(action, api.Reject) and request_class.effect is not api.Effect.IDEMPOTENT:
                    assert request_id not in ran and requests[request_id][0].repeat_of is None
                sharing.discard(request_id)
                if request_id in standing or request_id in calling:
                    standing.discard(request_id)
                    calling.pop(request_id, None)
                    later.append(api.RunEnded(request_id, api.Outcome.CANCELLED))
            elif isinstance(action, api.Stop):
                assert config.preemption is not api.Preemption.OFF
                assert request_id not in owed
                running.pop(request_id, None)
                later.append(api.RunEnded(request_id, api.Outcome.CANCELLED))
            elif isinstance(action, api.Call):
                assert request_id in standing
                standing.discard(request_id)
                calling[request_id] = now + rng.expovariate(1 / 60.0)
            elif isinstance(action, api.SkipCall):
                assert (
                    request_id in standing or request_id in calling
                ) and request_class.value_fraction_without_call > 0
                standing.discard(request_id)
                calling.pop(request_id, None)
                running[request_id] = now + 20.0
            elif isinstance(action, api.StoreKey):
                entries[request_id] = now + action.ttl_ms
                assert now + action.ttl_ms >= requests[request_id][1] + request_class.idempotency_window_ms
            elif isinstance(action, api.DropKey):
                entries.pop(request_id, None)
            elif isinstance(action, api.ShareResult):
                sharing.add(request_id)
            elif isinstance(action, api.Signal):
                assert config.signal is not api.SignalKind.OFF and action.value >= 0
        late = [other for other, due in owed.items() if now > due + config.answer_slack_ms + 300.0]
        assert not late
        inside = len(running) + len(standing) + len(calling)
        held = sum(requests[other][0].memory_kb for other in owed)
        taken = held + 30.0 * inside + config.key_entry_kb * sum(1 for end in entries.values() if end > now)
        assert taken <= config.memory_kb
        assert len(running) <= config.cores * config.survivable_runs_per_core
    if drain_at == 1e9:
        assert not owed
    else:
        assert not owed, "unanswered at the stop"
    return log


@pytest.mark.parametrize("variant", range(len(VARIANTS)))
@pytest.mark.parametrize("seed", range(6))
def test_the_invariants_hold_over_generated_events(seed: int, variant: int) -> None:
    assert len(drive(seed, VARIANTS[variant])) > 100


@pytest.mark.parametrize("variant", range(len(VARIANTS)))
def test_equal_events_give_equal_actions(variant: int) -> None:
    assert drive(3, VARIANTS[variant]) == drive(3, VARIANTS[variant])


def test_equal_events_give_equal_actions_in_processes_with_other_hash_seeds() -> None:
    """The order of a set or a table of names must not reach the actions: each server is a process of its own."""
    code = (
        "from tests.scheduling.test_invariants import VARIANTS, drive; print([drive(3, v) for v in VARIANTS])"
    )
    seen = {
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
    assert len(seen) == 1
    assert len(seen.pop()) > 10_000


def test_events_about_unknown_requests_are_ignored_and_the_clock_does_not_step_back() -> None:
    balancer = opened()
    unknown: list[api.Event] = [
        api.RunEnded(9, api.Outcome.OK),
        api.CallNeeded(9),
        api.CallEnded(9, api.Outcome.OK),
        api.RequestAbandoned(9),
    ]
    assert balancer.step(5.0, unknown) == []
    with pytest.raises(ValueError, match="clock"):
        balancer.step(4.0, [])


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
def test_bare_settings_and_unknown_callers_leave_nothing_unanswered(changes: dict[str, Any]) -> None:
    """Absent gauges, tenants or callers never seen, thousands of them: every request gets its one answer."""
    balancer = opened(**changes)
    owed: dict[int, float] = {}
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
            owed[request_id] = now + balancer.state.settings.classes[request_id % 2].deadline_ms
        ends = []
        for action in balancer.step(now, events):
            if isinstance(action, (api.Reject, api.Fail)):
                del owed[action.id]
            elif isinstance(action, api.Start):
                calls = balancer.state.settings.downstream is not api.Downstream.OFF
                ends.append(api.CallNeeded(action.id) if calls else api.RunEnded(action.id, api.Outcome.OK))
            elif isinstance(action, api.SkipCall):
                ends.append(api.RunEnded(action.id, api.Outcome.OK))
            assert not isinstance(action, api.Call)
        for event in ends:
            if isinstance(event, api.RunEnded):
                del owed[event.id]
        assert all(due >= now - 60.0 for due in owed.values())
    assert request_id > 400 and owed == {}
    assert len(balancer.state.queue.tenants) <= len(balancer.state.settings.tenants) + 50


def test_a_class_outside_the_settings_is_an_error_that_names_it() -> None:
    with pytest.raises(ValueError, match="class_index 9"):
        opened().step(0.0, [request(1, class_index=9)])


NAN, INF = float("nan"), float("inf")


@pytest.mark.parametrize("hint", [0.0, -5.0, NAN, INF, 1e9])
@pytest.mark.parametrize("ttl", [None, 0.0, -1.0, NAN, 900.0])
@pytest.mark.parametrize("passes", [False, True])
def test_bad_hints_and_waits_leave_nothing_unanswered(hint: float, ttl: float | None, passes: bool) -> None:
    """A hint of no number went into the tags as it was; a wait of no number made every comparison false."""
    balancer = opened(propagates_deadline=passes, max_retry_after_ms=1000.0)
    owed = set(range(1, 41))
    ends: list[api.Event] = []
    for i in range(1, 400):
        batch: list[api.Event] = [*ends, api.Timer(0, (0.5,))]
        if i in owed:
            batch.append(request(i, i % 2, cost_hint_ms=hint, ttl_ms=ttl))
        actions = balancer.step(20.0 * i, batch)
        ends = [
            api.RunEnded(started_id, Outcome.ERROR if started_id % 5 == 0 else Outcome.OK, 0.0)
            for started_id in started(actions)
        ]
        owed -= {action.id for action in actions if isinstance(action, (api.Reject, api.Fail))} | set(
            started(actions)
        )
        assert all(0.0 <= action.retry_after_ms <= 1000.0 for action in only(actions, api.Reject))
    assert owed == set()
    assert all(
        0.0 < estimate < INF
        for estimate in (
            balancer.state.service_time.mean_cost_ms,
            balancer.state.service_time.slot_ms,
            *(class_state.expected_run_ms() for class_state in balancer.state.service_time.classes),
        )
    )
    assert all(-1e12 < tenant.start_tag < 1e12 for tenant in balancer.state.queue.tenants.values())
