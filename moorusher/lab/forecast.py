"""The experiment "forecast": forecasts of generated demand, compared with naive and seasonal references.

It also compares quantiles with the actual demand and hints with two simple scaling rules, and measures the time and
memory that the forecasts of many routes take.
"""

from __future__ import annotations

import json
import statistics
import subprocess
import sys
import time
import warnings
from array import array
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import numpy as np
from twisted.internet.threads import deferToThread

from ..forecasting import weekly_forecast
from ..forecasting.ensemble import forecast_ensemble
from ..forecasting.hourly_series import FULL_COVERAGE, HourlySeries
from ..forecasting.models import seasonal_naive
from ..forecasting.policy import Calendar, ScalingPolicy
from ..forecasting.preprocessing import training_history
from ..forecasting.quantiles import forecast_quantiles
from ..forecasting.seasonality import hours_of_week
from ..forecasting.time_units import HOURS_PER_WEEK
from ..forecasting.training_window import TrainingWindow
from .demand_series import FIRST_HOUR, KINDS, DemandSeries, Floats, draw_series
from .experiment import Experiment, Log, Plot, Result
from .hint_simulation import HISTORY_H, compare_plans

SEEDS_PER_EXPERIMENT_SEED = 100
ROUTES_PER_CUSTOMER = 50
PEAK_CORES = 40
"""Cores that a series needs at its highest demand."""
_SCALING = ScalingPolicy(cores_per_runner=2.0, startup_min=15.0)
_MEASUREMENT_TIMEOUT_S = 600


# Used only for backtests. Unlike `weekly_forecast.WeeklyForecast`, it also contains the actual demand.
class DrawnWeekForecast(NamedTuple):
    """Forecast and actual demand of the last week of a generated series.

    Attributes:
        quantiles: The quantiles 0.5, 0.9 and 0.99, each for 168 hours.
        last_week: Naive forecast: the demand of the same hours in the week before.
        actual: Actual demand of the last week.
    """

    quantiles: Floats
    last_week: Floats
    actual: Floats


def backtest_last_week(series: DemandSeries) -> DrawnWeekForecast:
    """Forecast the last week of a series from the weeks before it."""
    hour_of_week = hours_of_week(series.first_hour, HISTORY_H + HOURS_PER_WEEK, series.calendar.time_zone)
    history = series.requests[None, :HISTORY_H]
    counted = series.counted[None, :HISTORY_H]
    known = training_history(history, counted, hour_of_week[:HISTORY_H])
    quantiles = forecast_quantiles(forecast_ensemble(known, hour_of_week))[:, 0]
    plain = seasonal_naive(TrainingWindow(history, hour_of_week))[0]
    return DrawnWeekForecast(quantiles, plain, series.requests[HISTORY_H:])


def smoothed_week(series: DemandSeries) -> Floats | None:
    """Forecast with the exponential smoothing of statsmodels: level, damped trend and a weekly season.

    :returns: None if statsmodels is not installed.
    """
    try:
        from statsmodels.tsa.holtwinters import ExponentialSmoothing
    except ModuleNotFoundError:
        return None
    with warnings.catch_warnings():
        warnings.simplefilter("ignore")
        model = ExponentialSmoothing(
            series.requests[:HISTORY_H],
            trend="add",
            damped_trend=True,
            seasonal="add",
            seasonal_periods=HOURS_PER_WEEK,
            initialization_method="heuristic",
        )
        fitted = model.fit(optimized=True, use_brute=False)
        return np.asarray(np.maximum(0.0, np.asarray(fitted.forecast(HOURS_PER_WEEK))))


def _mean_error(forecast: Floats, actual: Floats) -> float:
    return float(np.abs(forecast - actual).mean())


# ---- accuracy over many series ----


@dataclass(slots=True)
class Accuracy:
    """Accuracy of forecasts over many series.

    Attributes:
        error_ratios: Mean error divided by that of the naive forecast, which repeats the last week, by kind.
        smoothing_ratios: Mean error divided by that of exponential smoothing.
        under_90: Share of hours with demand up to the quantile 0.9, by kind.
        under_99: Share of hours with demand up to the quantile 0.99.
        lost_shares: Share of lost requests, by plan.
        runner_hours: Runner-hours, by plan.
    """

    error_ratios: dict[str, list[float]] = field(default_factory=dict)
    smoothing_ratios: list[float] = field(default_factory=list)
    under_90: dict[str, list[float]] = field(default_factory=dict)
    under_99: list[float] = field(default_factory=list)
    lost_shares: dict[str, list[float]] = field(default_factory=dict)
    runner_hours: dict[str, list[float]] = field(default_factory=dict)

    def add(self, series: DemandSeries, with_reference: bool) -> None:
        """Forecast one series and record the accuracy.

        :param with_reference: whether to compare the forecast with exponential smoothing as well.
        """
        forecast = backtest_last_week(series)
        quantiles = forecast.quantiles
        actual = forecast.actual
        error = _mean_error(quantiles[0], actual)
        ratio = error / _mean_error(forecast.last_week, actual)
        self.error_ratios.setdefault(series.kind, []).append(ratio)
        self.under_90.setdefault(series.kind, []).append(float((actual <= quantiles[1]).mean()))
        self.under_99.append(float((actual <= quantiles[2]).mean()))
        if with_reference and (smoothed := smoothed_week(series)) is not None:
            self.smoothing_ratios.append(error / _mean_error(smoothed, actual))
        core_s = PEAK_CORES * 3600 / max(1.0, float(series.requests[:HISTORY_H].max()))
        for plan, outcome in compare_plans(series, quantiles, _SCALING, core_s).items():
            self.lost_shares.setdefault(plan, []).append(outcome.lost_share)
            self.runner_hours.setdefault(plan, []).append(outcome.runner_hours)


def measure_accuracy(seeds: range, with_reference: bool, log: Log) -> Accuracy:
    """Measure the accuracy over many seeds and all kinds of demand."""
    accuracy = Accuracy()
    for kind in KINDS:
        for seed in seeds:
            accuracy.add(draw_series(seed, kind), with_reference)
        log(
            f"{kind}: error relative to last week's {statistics.fmean(accuracy.error_ratios[kind]):.3f}, "
            f"share of hours under quantile 0.9 {statistics.fmean(accuracy.under_90[kind]):.3f}"
        )
    return accuracy


# ---- many routes ----


@dataclass(slots=True)
class RouteHistories:
    """Histories of routes, and the customer of each route."""

    series: dict[str, HourlySeries] = field(default_factory=dict)
    customers: dict[str, str] = field(default_factory=dict)


def draw_routes(seed: int, routes: int = 1_000) -> RouteHistories:
    """Generate routes with all kinds of demand, to measure the cost of forecasts."""
    kinds = list(KINDS)
    histories = RouteHistories()
    for index in range(routes):
        drawn = draw_series(seed * 1_000 + index // len(kinds), kinds[index % len(kinds)])
        series = HourlySeries(FIRST_HOUR)
        series.requests = array("I", [int(count) for count in drawn.requests[:HISTORY_H]])
        series.coverage = array("B", [round(share * FULL_COVERAGE) for share in drawn.counted[:HISTORY_H]])
        route = f"r{index:04}"
        histories.series[route] = series
        histories.customers[route] = f"c{index // ROUTES_PER_CUSTOMER}"
    return histories


_MEASUREMENT = """
import json, time, tracemalloc
from moorusher.lab.forecast import draw_routes
from moorusher.forecasting.weekly_forecast import forecast_week
from moorusher.lab.demand_series import FIRST_HOUR, WEEKS
routes = draw_routes({seed}, {routes})
hour = FIRST_HOUR + WEEKS * 168
began = time.process_time()
forecast_week(routes.series, routes.customers, hour, {{}})
seconds = time.process_time() - began
tracemalloc.start()
forecast_week(routes.series, routes.customers, hour, {{}})
print(json.dumps([seconds, tracemalloc.get_traced_memory()[1] / 2**20]))
"""


class ForecastCost(NamedTuple):
    """Cost of forecasts of many routes: seconds of one core, and peak MiB in addition to the routes' histories."""

    seconds: float
    megabytes: float


def measure_cost(seed: int, routes: int = 1_000) -> ForecastCost:
    """Measure the cost of a forecast in a separate process.

    :raises subprocess.SubprocessError: The process failed or timed out.
    """
    process = subprocess.run(
        [sys.executable, "-W", "ignore", "-c", _MEASUREMENT.format(seed=seed, routes=routes)],
        capture_output=True,
        text=True,
        check=True,
        timeout=_MEASUREMENT_TIMEOUT_S,
    )
    seconds, megabytes = json.loads(process.stdout)
    return ForecastCost(float(seconds), float(megabytes))


def is_reproducible(seed: int) -> bool:
    """Return whether forecasts are equal bit for bit when only the order of the routes differs.

    Two leaders can have the same routes in different orders.
    """
    routes = draw_routes(seed, 60)
    calendars = {"c0": Calendar("Europe/Copenhagen")}
    hour = FIRST_HOUR + HISTORY_H
    in_other_order = dict(reversed(list(routes.series.items())))
    first = weekly_forecast.forecast_week(routes.series, routes.customers, hour, calendars)
    second = weekly_forecast.forecast_week(in_other_order, routes.customers, hour, calendars)
    return first.routes == second.routes and first.quantiles.tobytes() == second.quantiles.tobytes()


# ---- the experiment ----


async def _play(reactor: Any, quick: bool, seed: int, log: Log) -> Result:
    result = Result()
    began = time.perf_counter()
    first_seed = seed * SEEDS_PER_EXPERIMENT_SEED
    seeds = range(first_seed, first_seed + (4 if quick else 20))
    accuracy = await deferToThread(measure_accuracy, seeds, True, log)
    _judge_errors(result, accuracy)
    _judge_quantiles(result, accuracy)
    _judge_hints(result, accuracy, log)
    cost = await deferToThread(measure_cost, seed)
    result.add_criterion("1,000 routes", f"{cost.seconds:.1f} s of one core", "under 20 s", cost.seconds < 20)
    result.add_criterion(
        "the same, in memory", f"{cost.megabytes:.0f} MB", "under 64 MB", cost.megabytes < 64
    )
    same = is_reproducible(seed)
    result.add_criterion(
        "another owner's figures", "the same" if same else "others", "the same, bit by bit", same
    )
    result.plots.append(_plot_after_jump(first_seed))
    result.figures["took s"] = time.perf_counter() - began
    return result


def _judge_errors(result: Result, accuracy: Accuracy) -> None:
    by_kind = {kind: statistics.fmean(ratios) for kind, ratios in accuracy.error_ratios.items()}
    overall = statistics.fmean(by_kind.values())
    result.figures["error over that of the same hour of last week"] = by_kind
    result.add_criterion(
        "error over that of the same hour of last week, all kinds",
        f"{overall:.3f}",
        "at most 0.75",
        overall <= 0.75,
    )
    worst = max(by_kind, key=lambda kind: by_kind[kind])
    result.add_criterion(
        f"the same, of the worst kind ({worst})",
        f"{by_kind[worst]:.3f}",
        "at most 1.02",
        by_kind[worst] <= 1.02,
    )
    if accuracy.smoothing_ratios:
        median = statistics.median(accuracy.smoothing_ratios)
        result.add_criterion(
            "error over that of exponential smoothing with a week's season, median",
            f"{median:.3f}",
            "under 1",
            median < 1,
        )


def _judge_quantiles(result: Result, accuracy: Accuracy) -> None:
    under_90 = accuracy.under_90
    percent = 100 * statistics.fmean(share for shares in under_90.values() for share in shares)
    result.add_criterion(
        "hours under the level of 90 of 100", f"{percent:.1f}", "87 to 93", 87 <= percent <= 93
    )
    result.figures["under the 90, by kind"] = {
        kind: statistics.fmean(shares) for kind, shares in under_90.items()
    }
    result.figures["under the 99"] = statistics.fmean(accuracy.under_99)


def _judge_hints(result: Result, accuracy: Accuracy, log: Log) -> None:
    lost = {plan: statistics.fmean(shares) for plan, shares in accuracy.lost_shares.items()}
    hours = {plan: statistics.fmean(values) for plan, values in accuracy.runner_hours.items()}
    result.figures["hints"] = {"worth lost": lost, "runner-hours": hours}
    log("  ".join(f"{plan}: lost {100 * lost[plan]:.3f}%, {hours[plan]:.0f} runner-hours" for plan in lost))
    for rule in ("last hour", "same hour last week"):
        result.add_criterion(
            f"worth lost by hints, to that by the {rule}",
            f"{100 * lost['hints']:.3f} to {100 * lost[rule]:.3f} of 100, with {hours['hints']:.0f} to "
            f"{hours[rule]:.0f} runner-hours",
            "less, at as many runner-hours",
            lost["hints"] < lost[rule] and hours["hints"] <= 1.02 * hours[rule],
        )


def _plot_after_jump(seed: int) -> Plot:
    forecast = backtest_last_week(draw_series(seed, "jump"))
    lines = {
        "came": forecast.actual,
        "50": forecast.quantiles[0],
        "90": forecast.quantiles[1],
        "last week": forecast.last_week,
    }
    points = {
        label: [(float(hour), float(value)) for hour, value in enumerate(line)]
        for label, line in lines.items()
    }
    return Plot("A week after a jump", "hour", "requests", points)


FORECAST = Experiment("forecast", "Demand a week ahead, its levels, and hints.", _play)
