"""Simulation of health reports in virtual time: a large fleet of runners, some of which slow down, behind balancers.

A simulated runner starts every request immediately. It has no scheduler that limits its load, so only its health
reports keep it below the number of runs at which it collapses. Work is modelled as a fluid: the runs of a machine share
its cores, and each step completes a fractional number of runs. Arrivals are Poisson.
"""

from __future__ import annotations

import sys
from dataclasses import dataclass
from typing import Any

import msgspec
import numpy as np
import numpy.typing as npt

from ..health.observation import Observation
from ..health.policy import HealthPolicy
from ..health.tracker import HealthTracker, RunnerFacts
from .experiment import Points

STEP_S = 0.1
REPORT_LIFETIME_S = 0.5
"""Shortest interval between two reports of a runner. Real runners reuse a report for 10 ms."""
COLLAPSE_WINDOW_S = 3
"""Window of the mean runs per core that decides whether a machine collapses."""
FINAL_PERIOD_S = 10
"""Length of the last part of the simulation. Weight changes in that part are also counted separately."""
FULL_WEIGHT = 100
_NEVER_S = -1.0
_DEGRADATION_RUNS_PER_CORE = 3
"""Runs per core above which the total throughput falls."""
_DEGRADATION_PER_RUN = 0.08
_RECOVERY_DELAY_S = 2
"""Time after the slowdown until weights are expected to rise."""

Floats = npt.NDArray[np.float64]


@dataclass(frozen=True, slots=True)
class FleetScenario:
    """A fleet of runners behind balancers.

    Attributes:
        service_time_s: Core time of each request.
        load: Share of the fleet's capacity.
        collapse_runs_per_core: Mean runs per core above which a machine collapses.
        slowed_share: Share of the runners that slow down.
        slow_factor: Relative speed of the slowed runners.
        probe_interval_s: Probe interval of half of the balancers; the other balancers probe twice as often.
        max_runs_per_core: Connections per core that a machine accepts; further requests are lost.
    """

    runners: int = 1000
    balancers: int = 50
    cores: int = 4
    service_time_s: float = 0.4
    load: float = 0.7
    collapse_runs_per_core: float = 5.0
    slowed_share: float = 0.05
    slow_factor: float = 0.25
    slow_at_s: float = 8.0
    slow_until_s: float = 20.0
    seconds: float = 40.0
    probe_interval_s: float = 2.0
    max_runs_per_core: float = 30.0


class FleetResult(msgspec.Struct, frozen=True):
    """Result of a simulated fleet. Fields are serialized under the names that the experiment's report uses.

    Attributes:
        collapsed: Number of runners that collapsed.
        worst_runs_per_core: Highest mean runs per core of any runner.
        lost_share: Share of requests lost.
        changes_slowed: Mean number of weight changes per minute of the slowed runners.
        changes_others: Mean number of weight changes per minute of the other runners.
        collapsed_slowed: Number of slowed runners that collapsed.
        largest_fallback: Largest drop of the slowed runners' mean weight below its highest value during recovery.
        final_weight: Mean weight of the slowed runners at the end.
        changes_at_end: Mean number of weight changes per minute of all runners in the last 10 s.
        runs_lines: Mean runs per core of the slowed and of the other runners over time.
        weights: Mean weight of the slowed runners over time.
    """

    collapsed: int = msgspec.field(name="fell")
    worst_runs_per_core: float = msgspec.field(name="worst")
    lost_share: float
    changes_slowed: float
    changes_others: float
    collapsed_slowed: int = msgspec.field(name="fell_slowed")
    largest_fallback: float = msgspec.field(name="swing")
    final_weight: float = msgspec.field(name="back_to")
    changes_at_end: float
    runs_lines: dict[str, Points] = msgspec.field(name="lines")
    weights: Points

    def figures(self) -> dict[str, Any]:
        """Return the figures under their names in the report, without the lines of its plots."""
        figures: dict[str, Any] = msgspec.to_builtins(self)
        del figures["lines"]
        del figures["weights"]
        return figures


class FleetSimulation:
    """One simulation of a scenario, with or without health reports."""

    def __init__(self, scenario: FleetScenario, seed: int, with_report: bool) -> None:
        self.scenario = scenario
        self.with_report = with_report
        self._rng = np.random.default_rng(seed)
        runners = scenario.runners
        self._trackers = self._create_trackers()
        self._reported = np.full(runners, FULL_WEIGHT)
        self._reported_at_s = np.full(runners, _NEVER_S)
        self._last_read_weight = np.full((scenario.balancers, runners), float(FULL_WEIGHT))
        """Weight that each balancer (row) last read for each runner (column)."""
        probes_slowly = np.arange(scenario.balancers) % 2 == 0
        self._interval_s = np.where(probes_slowly, scenario.probe_interval_s, scenario.probe_interval_s / 2)
        self._next_probe_s = self._rng.random((scenario.balancers, runners)) * self._interval_s[:, None]
        self._balancer_names = [f"b{index}" for index in range(scenario.balancers)]
        self._running = np.full(runners, scenario.load * scenario.cores)
        self._alive = np.ones(runners, bool)
        self._slowed = np.zeros(runners, bool)
        self._slowed[: round(runners * scenario.slowed_share)] = True
        self._recent_runs = np.repeat(self._running[:, None], round(COLLAPSE_WINDOW_S / STEP_S), axis=1)
        self._requests_per_s = scenario.load * runners * scenario.cores / scenario.service_time_s
        """Requests per second to the whole fleet."""
        self._changes = np.zeros(runners, int)
        self._final_changes = np.zeros(runners, int)
        self._lost_requests = 0.0
        self._sent_requests = 0.0
        self._collapsed = 0
        self._highest_runs_per_core = np.zeros(runners)
        self._runs_lines: dict[str, Points] = {"slowed": [], "others": []}
        self._weights: Points = []
        # Starts as if the runners had been in service for a long time.
        for tracker in self._trackers:
            tracker.runs_on_cores(0, round(scenario.load * scenario.cores))
            tracker._weight.level = FULL_WEIGHT

    def _create_trackers(self) -> list[HealthTracker]:
        scenario = self.scenario
        policy = HealthPolicy(
            max_probe_interval_ms=1000, balancer_reaction_ms=500 + REPORT_LIFETIME_S * 1000, ramp_s=10
        )
        window_us = COLLAPSE_WINDOW_S * 1_000_000
        guard = scenario.max_runs_per_core / scenario.collapse_runs_per_core
        return [
            HealthTracker(
                RunnerFacts(
                    scenario.cores,
                    scenario.collapse_runs_per_core,
                    window_us,
                    3_000_000,
                    guard,
                    float(phase),
                ),
                policy,
                0,
            )
            for phase in self._rng.random(scenario.runners)
        ]

    def run(self) -> FleetResult:
        """Simulate the whole scenario."""
        for step in range(round(self.scenario.seconds / STEP_S)):
            now_s = step * STEP_S
            now_us = round(now_s * 1e6)
            if self.with_report:
                self._probe(now_s, now_us)
            self._receive_requests(now_us)
            self._reject_excess()
            self._execute_runs(now_s, now_us)
            self._collapse_and_record(step, now_s)
        return self._result()

    # ---- one step ----

    def _probe(self, now_s: float, now_us: int) -> None:
        probing = self._next_probe_s <= now_s
        for runner in np.flatnonzero(probing.any(axis=0) & self._alive):
            for balancer in np.flatnonzero(probing[:, runner]):
                self._trackers[runner].probes.probed(now_us, self._balancer_names[balancer])
            if now_s - self._reported_at_s[runner] >= REPORT_LIFETIME_S:
                self._renew_report(runner, now_s, now_us)
            self._last_read_weight[probing[:, runner], runner] = self._reported[runner]
        self._next_probe_s = np.where(
            probing, self._next_probe_s + self._interval_s[:, None], self._next_probe_s
        )

    def _renew_report(self, runner: Any, now_s: float, now_us: int) -> None:
        self._reported_at_s[runner] = now_s
        running = round(float(self._running[runner]))
        observation = Observation(now_us, True, 1.0, True, running, 0, 0, 0, running, True, False)
        weight = self._trackers[runner].report(observation).weight
        if weight != self._reported[runner]:
            self._changes[runner] += 1
            if now_s >= self.scenario.seconds - FINAL_PERIOD_S:
                self._final_changes[runner] += 1
        self._reported[runner] = weight

    def _receive_requests(self, now_us: int) -> None:
        """Route the requests of one step by the weights that each balancer read last.

        Each balancer gets an equal part of the requests. If all weights that it read are 0, its part is lost.
        """
        weights = self._last_read_weight * self._alive
        total = weights.sum(axis=1, keepdims=True)
        shares = (weights / np.maximum(total, 1e-9)).sum(axis=0)
        arrivals = self._rng.poisson(shares * self._requests_per_s / self.scenario.balancers * STEP_S)
        self._sent_requests += self._requests_per_s * STEP_S
        balancers_without_server = float((total[:, 0] <= 0).mean())
        self._lost_requests += self._requests_per_s * STEP_S * balancers_without_server
        self._running += arrivals
        for runner in np.flatnonzero(arrivals):
            tracker = self._trackers[runner]
            tracker.runs_on_cores(now_us, round(float(self._running[runner])))
            for _ in range(int(arrivals[runner])):
                tracker.request_arrived(now_us)

    def _reject_excess(self) -> None:
        limit = self.scenario.max_runs_per_core * self.scenario.cores
        excess = np.maximum(0.0, self._running - limit)
        self._lost_requests += float(excess.sum())
        self._running -= excess

    def _execute_runs(self, now_s: float, now_us: int) -> None:
        scenario = self.scenario
        in_slowdown = scenario.slow_at_s <= now_s < scenario.slow_until_s
        speed = np.where(self._slowed & in_slowdown, scenario.slow_factor, 1.0)
        excess = np.maximum(0.0, self._running / scenario.cores - _DEGRADATION_RUNS_PER_CORE)
        degradation = 1 + _DEGRADATION_PER_RUN * excess
        busy = np.minimum(self._running, scenario.cores)
        completed = np.minimum(self._running, busy * speed / degradation / scenario.service_time_s * STEP_S)
        self._running = (self._running - completed) * self._alive
        for tracker, running in zip(self._trackers, self._running.tolist(), strict=True):
            count = round(running)
            if count < tracker.on_cores.value:
                tracker.run_ended(now_us, tracker.on_cores.value - count)
            tracker.runs_on_cores(now_us, count)

    def _collapse_and_record(self, step: int, now_s: float) -> None:
        self._recent_runs[:, step % self._recent_runs.shape[1]] = self._running
        mean = self._recent_runs.mean(axis=1) / self.scenario.cores
        self._highest_runs_per_core = np.maximum(self._highest_runs_per_core, mean * self._alive)
        collapses = self._alive & (mean > self.scenario.collapse_runs_per_core)
        self._lost_requests += float(self._running[collapses].sum())
        self._collapsed += int(collapses.sum())
        self._alive &= ~collapses
        self._running = self._running * self._alive
        self._runs_lines["slowed"].append((now_s, float(mean[self._slowed].mean())))
        self._runs_lines["others"].append((now_s, float(mean[~self._slowed].mean())))
        self._weights.append((now_s, float(self._reported[self._slowed].mean())))

    # ---- the result ----

    def _result(self) -> FleetResult:
        minutes = self.scenario.seconds / 60
        recovering_since_s = self.scenario.slow_until_s + _RECOVERY_DELAY_S
        recovery = [weight for at_s, weight in self._weights if at_s >= recovering_since_s]
        return FleetResult(
            collapsed=self._collapsed,
            worst_runs_per_core=float(self._highest_runs_per_core.max()),
            lost_share=self._lost_requests / self._sent_requests,
            changes_slowed=float(self._changes[self._slowed].mean() / minutes),
            changes_others=float(self._changes[~self._slowed].mean() / minutes),
            collapsed_slowed=int((self._slowed & ~self._alive).sum()),
            largest_fallback=_largest_fallback(recovery),
            final_weight=recovery[-1] if recovery else 0.0,
            changes_at_end=float(self._final_changes.mean() * (60 / FINAL_PERIOD_S)),
            runs_lines=self._runs_lines,
            weights=self._weights,
        )


def _largest_fallback(values: list[float]) -> float:
    """Return the largest drop below the highest value so far."""
    # All balancers see the recovery at the same time, so a large drop shows that recovered runners oscillate together.
    highest = float("-inf")
    largest = 0.0
    for value in values:
        highest = max(highest, value)
        largest = max(largest, highest - value)
    return largest


def simulate_fleet(scenario: FleetScenario, seed: int, with_report: bool) -> FleetResult:
    """Simulate a scenario; the result depends only on the arguments."""
    return FleetSimulation(scenario, seed, with_report).run()


# The experiment runs this module in a separate process, since the simulation would block the experiment's event loop.
if __name__ == "__main__":
    seed = int(sys.argv[1])
    with_report = sys.argv[2] == "report"
    load = float(sys.argv[3])
    print(msgspec.json.encode(simulate_fleet(FleetScenario(load=load), seed, with_report)).decode())
