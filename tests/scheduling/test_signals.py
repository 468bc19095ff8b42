"""Signals to callers: their allowance, and the idle timeout of connections."""

from __future__ import annotations

from typing import Any

import pytest

from moorusher.scheduling import Scheduler
from moorusher.scheduling import interface as api
from moorusher.scheduling.draining import SERVE_FRACTION
from moorusher.scheduling.interface import (
    DrainNotice,
    RequestClass,
    Signal,
    SignalKind,
    Timer,
)

from ..helpers import done, only, opened, request, started

PATIENT = RequestClass(latency_objective_ms=1e6, deadline_ms=2e6)


def scheduler_with_load(
    run_ms: float, requests_by_caller: dict[int, int], **changes: Any
) -> tuple[Scheduler, list[float]]:
    """Return a scheduler after one run of `run_ms` and these arrivals, and the signals that it then sends."""
    scheduler = opened(
        cores=2,
        callers=3,
        classes=(PATIENT, RequestClass(latency_objective_ms=1000, deadline_ms=4000)),
        **{"signal": SignalKind.ALLOWANCE} | changes,
    )
    scheduler.step(0.0, [request(1)])
    scheduler.step(run_ms, done(1))
    ids = iter(range(2, 1000))
    scheduler.step(
        1000.0,
        [
            request(next(ids), caller=caller)
            for caller, count in requests_by_caller.items()
            for _ in range(count)
        ],
    )
    return scheduler, [action.value for action in only(scheduler.step(1010.0, [Timer(0, (0.9,))]), Signal)]


def test_callers_are_notified_how_many_requests_they_may_have_outstanding() -> None:
    _, (even,) = scheduler_with_load(100.0, {1: 9, 2: 9, 3: 9})
    _, (skewed,) = scheduler_with_load(100.0, {1: 1, 2: 1, 3: 25})
    # The caller with most requests must reduce them, but gets the capacity that the others leave.
    assert even < 3 < skewed < 25
    _, (slow,) = scheduler_with_load(900.0, {1: 9, 2: 9, 3: 9})
    # A slow runner allows fewer requests, so that callers send the rest to other runners instead of waiting.
    assert slow < even
    scheduler, signals = scheduler_with_load(100.0, {1: 9}, signal=SignalKind.OFF)
    assert signals == []
    scheduler, _ = scheduler_with_load(100.0, {1: 9})
    # An unchanged allowance is not sent again.
    assert only(scheduler.step(1015.0, [Timer(0, (0.9,))]), Signal) == []


def test_recent_rejections_reduce_the_allowance() -> None:
    scheduler, (normal,) = scheduler_with_load(100.0, {1: 9, 2: 9, 3: 9})
    scheduler.rejection.recent_rejections = 20.0
    (reduced,) = only(scheduler.step(1520.0, [Timer(0, (0.9,))]), Signal)
    assert reduced.value < normal


def test_callers_may_send_to_a_draining_runner_until_it_stops_serving() -> None:
    scheduler, _ = scheduler_with_load(100.0, {1: 9, 2: 9, 3: 9}, drain_grace_ms=2000.0)
    assert only(scheduler.step(1600.0, [DrainNotice(4000.0)]), Signal) == []
    serve_until = 1600.0 + SERVE_FRACTION * 4000.0
    assert all(
        action.value > 0 for action in only(scheduler.step(serve_until - 1, [Timer(0, (0.9,))]), Signal)
    )
    assert [action.value for action in only(scheduler.step(serve_until, [Timer(0, (0.9,))]), Signal)] == [0.0]
    # The allowance remains 0 and is not sent again.
    assert only(scheduler.step(serve_until + 600, [Timer(0, (0.9,))]), Signal) == []


@pytest.mark.parametrize(("callers", "closes_early"), [(5, False), (900, True)])
def test_idle_connections_close_early_only_with_a_surplus_of_callers(
    callers: int, closes_early: bool
) -> None:
    """Regression: idle connections that hundreds of callers did not reuse used a third of the core time."""
    scheduler = opened(callers=callers, max_idle_connection_ms=30_000.0)
    idle_timeouts_ms = [30_000.0]
    for i in range(1, 100):
        actions = scheduler.step(150.0 * i, [api.Timer(0, (0.9,)), request(i, caller=i % callers)])
        idle_timeouts_ms += [action.idle_ms for action in only(actions, api.CloseIdleConnections)]
        scheduler.step(150.0 * i + 50.0, done(*started(actions)))
    assert (idle_timeouts_ms[-1] < 1000.0) is closes_early
    assert all(10.0 <= idle_ms <= 30_000.0 for idle_ms in idle_timeouts_ms)
