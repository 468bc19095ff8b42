"""Simulates a week of a service whose number of runners follows a plan; counts lost requests and runner-hours.

Runners start cold: a started runner serves nothing until it is warm.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil

from ..forecasting.policy import ScalingPolicy
from ..forecasting.scaling_hints import required_runners
from ..forecasting.time_units import HOURS_PER_WEEK
from .demand_series import WEEKS, DemandSeries, Floats

HISTORY_H = WEEKS * HOURS_PER_WEEK
STEPS_PER_HOUR = 12
_SECONDS_PER_HOUR = 3600
_SECONDS_PER_STEP = _SECONDS_PER_HOUR / STEPS_PER_HOUR
_BISECTIONS = 14
_LOWEST_UTILIZATION = 0.02
_HIGHEST_UTILIZATION = 2.0


@dataclass(frozen=True, slots=True)
class ScalingOutcome:
    """Outcome of a plan: the share of requests lost, and the runner-hours used."""

    lost_share: float
    runner_hours: float


class _Pool:
    """Runners of a service: a started runner serves nothing until it is warm; a stopped one exits at once."""

    def __init__(self, warm: int, cold_start_steps: int) -> None:
        self.warm = float(warm)
        self._cold_start_steps = cold_start_steps
        self._steps_until_warm: list[int] = []

    @property
    def size(self) -> float:
        """Number of warm and starting runners."""
        return self.warm + len(self._steps_until_warm)

    def advance(self) -> None:
        """Advance the time by one step."""
        remaining = [steps - 1 for steps in self._steps_until_warm]
        self.warm += sum(steps <= 0 for steps in remaining)
        self._steps_until_warm = [steps for steps in remaining if steps > 0]

    def scale_to(self, wanted: int) -> None:
        """Start or stop runners; cold runners are stopped first."""
        size = self.size
        if wanted > size:
            self._steps_until_warm += [self._cold_start_steps] * round(wanted - size)
            return
        excess = size - wanted
        while excess and self._steps_until_warm:
            self._steps_until_warm.pop()
            excess -= 1
        self.warm -= excess


def simulate_scaling(
    requests: Floats, core_s: float, plan: list[int], scaling: ScalingPolicy
) -> ScalingOutcome:
    """Simulate a week in steps of five minutes; requests beyond the capacity of the warm runners are lost.

    :param requests: Requests of each hour.
    :param core_s: Core seconds of one request.
    :param plan: Wanted number of runners, for each hour.
    """
    cold_start_steps = max(1, round(scaling.startup_min / 60 * STEPS_PER_HOUR))
    pool = _Pool(plan[0], cold_start_steps)
    lost_requests = 0.0
    runner_hours = 0.0
    for step in range(len(requests) * STEPS_PER_HOUR):
        hour = step // STEPS_PER_HOUR
        pool.advance()
        pool.scale_to(plan[hour])
        runner_hours += pool.size / STEPS_PER_HOUR
        demand_cores = requests[hour] / STEPS_PER_HOUR * core_s / _SECONDS_PER_STEP
        missing_cores = max(0.0, demand_cores - pool.warm * scaling.cores_per_runner)
        lost_requests += missing_cores * _SECONDS_PER_HOUR / STEPS_PER_HOUR / core_s
    return ScalingOutcome(lost_requests / max(1.0, float(requests.sum())), runner_hours)


def compare_plans(
    series: DemandSeries, quantiles: Floats, scaling: ScalingPolicy, core_s: float
) -> dict[str, ScalingOutcome]:
    """Compare the hints with two rules, which expect the demand of the previous hour or of the same hour last week.

    The headroom of each rule is chosen so that the rule uses as many runner-hours as the hints.

    :param quantiles: Forecast quantiles; hints use the second one, 0.9.
    """
    requests = series.requests
    week = requests[HISTORY_H:]
    plan = required_runners([float(count) * core_s / _SECONDS_PER_HOUR for count in quantiles[1]], scaling)
    by_hints = simulate_scaling(week, core_s, plan, scaling)
    rules = {
        "last hour": requests[HISTORY_H - 1 : HISTORY_H + HOURS_PER_WEEK - 1],
        "same hour last week": requests[HISTORY_H - HOURS_PER_WEEK : HISTORY_H],
    }
    outcomes = {"hints": by_hints}
    for name, expected in rules.items():
        outcomes[name] = _rule_at_same_cost(week, expected, core_s, scaling, by_hints.runner_hours)
    return outcomes


def _rule_at_same_cost(
    week: Floats, expected: Floats, core_s: float, scaling: ScalingPolicy, runner_hours: float
) -> ScalingOutcome:
    # Finds the target utilization at which the rule uses `runner_hours`, by bisection.
    low = _LOWEST_UTILIZATION
    high = _HIGHEST_UTILIZATION
    outcome = ScalingOutcome(0.0, 0.0)
    for _ in range(_BISECTIONS):
        utilization = (low + high) / 2
        plan = [_runners_needed(rate, core_s, utilization, scaling) for rate in expected]
        outcome = simulate_scaling(week, core_s, plan, scaling)
        if outcome.runner_hours > runner_hours:
            low = utilization
        else:
            high = utilization
    return outcome


def _runners_needed(
    requests_per_hour: float, core_s: float, utilization: float, scaling: ScalingPolicy
) -> int:
    needed = ceil(requests_per_hour * core_s / _SECONDS_PER_HOUR / scaling.cores_per_runner / utilization)
    return min(scaling.max_runners, max(scaling.min_runners, needed))
