"""Estimates of the duration and cost of runs."""

from __future__ import annotations

from moorusher.scheduling import interface as api
from moorusher.scheduling.interface import (
    ExecutionOutcome,
)

from ..helpers import done, opened, request, started


def test_early_errors_do_not_change_the_estimates() -> None:
    """Regression: a runner whose runs failed immediately reduced its estimates, and admitted more requests."""
    scheduler = opened()
    scheduler.step(0.0, [request(1)])
    scheduler.step(300.0, done(1))
    cost_ms, run_ms = (
        scheduler.state.service_time.mean_cost_ms,
        scheduler.state.service_time.classes[0].run_ms,
    )
    for i in range(2, 20):
        scheduler.step(300.0 + i, [request(i)])
        scheduler.step(300.5 + i, [api.RunEnded(i, ExecutionOutcome.ERROR, 0.5)])
    assert (scheduler.state.service_time.mean_cost_ms, scheduler.state.service_time.classes[0].run_ms) == (
        cost_ms,
        run_ms,
    )


def test_long_runs_in_an_outage_do_not_stop_admission_for_good() -> None:
    """Regression: runs that waited for calls for seconds raised the expected duration of a run above every objective.
    Then no request was started, so no run showed that the outage was over (incident i194c80: only 9% of the requests
    were served until its end)."""
    scheduler = opened()
    now = 0.0
    for i in range(1, 40):
        scheduler.step(now, [request(i)])
        now += 3500.0
        scheduler.step(now, done(i))
    started_ids = [
        i
        for i in range(100, 110)
        if started(scheduler.step(now + 10.0 * i, [request(i), *done(i - 1)])) == [i]
    ]
    assert len(started_ids) == 10
