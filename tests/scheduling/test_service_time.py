"""What is learnt of the length and cost of runs."""

from __future__ import annotations

from moorusher.scheduling import interface as api
from moorusher.scheduling.interface import (
    ExecutionOutcome,
)

from ..helpers import done, opened, request, started


def test_an_early_error_changes_no_estimate_of_cost() -> None:
    """A runner whose runs failed at once took itself for faster than before, and admitted more."""
    scheduler = opened()
    scheduler.step(0.0, [request(1)])
    scheduler.step(300.0, done(1))
    cost, wall = scheduler.state.service_time.mean_cost_ms, scheduler.state.service_time.classes[0].run_ms
    for i in range(2, 20):
        scheduler.step(300.0 + i, [request(i)])
        scheduler.step(300.5 + i, [api.RunEnded(i, ExecutionOutcome.ERROR, 0.5)])
    assert (scheduler.state.service_time.mean_cost_ms, scheduler.state.service_time.classes[0].run_ms) == (
        cost,
        wall,
    )


def test_long_runs_in_an_outage_do_not_stop_admission_for_good() -> None:
    """Runs that waited at calls for seconds lifted the expected run over every objective. Nothing was started any
    more, so that nothing showed that the outage was over (incident i194c80: 9% served to the end of it)."""
    scheduler = opened()
    now = 0.0
    for i in range(1, 40):
        scheduler.step(now, [request(i)])
        now += 3500.0
        scheduler.step(now, done(i))
    taken = [
        i
        for i in range(100, 110)
        if started(scheduler.step(now + 10.0 * i, [request(i), *done(i - 1)])) == [i]
    ]
    assert len(taken) == 10
