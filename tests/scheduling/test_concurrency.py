"""Number of concurrent runs, and how they share the cores."""

from __future__ import annotations

from moorusher.scheduling import interface as api
from moorusher.scheduling.interface import (
    Timer,
)

from ..helpers import done, opened, request


def test_core_time_is_divided_evenly_among_more_runs_than_cores() -> None:
    scheduler = opened(cores=2)
    scheduler.state.concurrency.limit, scheduler.state.concurrency.slots = 4, [None] * 4
    scheduler.step(0.0, [request(i) for i in range(1, 5)])
    scheduler.step(20.0, done(1))
    assert abs(scheduler.state.concurrency.service_ms - 10.0) < 1e-6


def test_the_slot_count_rises_with_idle_cores_and_falls_to_the_number_of_cores() -> None:
    scheduler = opened(cores=2)
    scheduler.step(0.0, [request(i) for i in range(1, 5)])
    scheduler.step(600.0, [Timer(0, (0.3,))])
    assert scheduler.state.concurrency.limit == 3
    scheduler.step(1200.0, done(1, 2, 3, 4))
    scheduler.step(1300.0, [Timer(0, (0.95,))])
    scheduler.step(1900.0, [Timer(0, (0.95,))])
    assert scheduler.state.concurrency.limit == 2
    scheduler.step(2500.0, [Timer(0, (0.95,))])
    assert scheduler.state.concurrency.limit == 2


def test_a_short_queue_with_idle_cores_does_not_raise_the_slot_count() -> None:
    """Regression: the slot count rose after a short queue, and more runs than cores made every run longer."""
    scheduler = opened(cores=2)
    scheduler.step(0.0, [request(i) for i in range(1, 5)])
    scheduler.step(50.0, done(1, 2))
    scheduler.step(100.0, done(3, 4))
    scheduler.step(600.0, [request(9), api.Timer(0, (0.3,))])
    assert scheduler.state.concurrency.limit == 2
