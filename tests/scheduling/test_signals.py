"""What callers are notified of: their allowance, and when idle connections close."""

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


def busy_since(took: float, held: dict[int, int], **changes: Any) -> tuple[Scheduler, list[float]]:
    """One run that took so long, then as many requests of each caller; the signals that follow."""
    scheduler = opened(
        cores=2,
        callers=3,
        classes=(PATIENT, RequestClass(latency_objective_ms=1000, deadline_ms=4000)),
        **{"signal": SignalKind.ALLOWANCE} | changes,
    )
    scheduler.step(0.0, [request(1)])
    scheduler.step(took, done(1))
    ids = iter(range(2, 1000))
    scheduler.step(
        1000.0, [request(next(ids), caller=caller) for caller, count in held.items() for _ in range(count)]
    )
    return scheduler, [action.value for action in only(scheduler.step(1010.0, [Timer(0, (0.9,))]), Signal)]


def test_callers_are_notified_how_many_requests_they_may_have_outstanding() -> None:
    _, (even,) = busy_since(100.0, {1: 9, 2: 9, 3: 9})
    _, (skewed,) = busy_since(100.0, {1: 1, 2: 1, 3: 25})
    assert even < 3 < skewed < 25  # who sends most gives way, and has what the others leave
    _, (slow,) = busy_since(900.0, {1: 9, 2: 9, 3: 9})
    assert slow < even  # a slow server holds less: what it would keep waiting goes elsewhere
    scheduler, told = busy_since(100.0, {1: 9}, signal=SignalKind.OFF)
    assert told == []
    scheduler, _ = busy_since(100.0, {1: 9})
    assert only(scheduler.step(1015.0, [Timer(0, (0.9,))]), Signal) == []  # nothing new to say


def test_rejections_make_the_allowance_smaller_for_a_while() -> None:
    scheduler, (roomy,) = busy_since(100.0, {1: 9, 2: 9, 3: 9})
    scheduler.rejection.recent_rejections = 20.0
    (pressed,) = only(scheduler.step(1520.0, [Timer(0, (0.9,))]), Signal)
    assert pressed.value < roomy


def test_a_draining_runner_lets_callers_send_until_it_closes() -> None:
    scheduler, _ = busy_since(100.0, {1: 9, 2: 9, 3: 9}, drain_grace_ms=2000.0)
    assert only(scheduler.step(1600.0, [DrainNotice(4000.0)]), Signal) == []
    closing = 1600.0 + SERVE_FRACTION * 4000.0
    assert all(action.value > 0 for action in only(scheduler.step(closing - 1, [Timer(0, (0.9,))]), Signal))
    assert [action.value for action in only(scheduler.step(closing, [Timer(0, (0.9,))]), Signal)] == [0.0]
    assert (
        only(scheduler.step(closing + 600, [Timer(0, (0.9,))]), Signal) == []
    )  # nothing more is allowed from here


@pytest.mark.parametrize(("callers", "closes"), [(5, False), (900, True)])
def test_idle_connections_close_at_once_only_with_a_surplus_of_callers(callers: int, closes: bool) -> None:
    """Hundreds of callers left connections open that none used again: they took a third of the cores."""
    scheduler = opened(callers=callers, max_idle_connection_ms=30_000.0)
    kept = [30_000.0]
    for i in range(1, 100):
        actions = scheduler.step(150.0 * i, [api.Timer(0, (0.9,)), request(i, caller=i % callers)])
        kept += [action.idle_ms for action in only(actions, api.CloseIdleConnections)]
        scheduler.step(150.0 * i + 50.0, done(*started(actions)))
    assert (kept[-1] < 1000.0) is closes
    assert all(10.0 <= idle_ms <= 30_000.0 for idle_ms in kept)
