"""Forecasts of drawn weeks against the same hour of last week and a seasonal reference; levels held against what came;
hints in a simulated week with cold starts against two plain rules.
"""

from __future__ import annotations

import json
import statistics
import subprocess
import sys
import time
from array import array
from collections.abc import Callable
from math import ceil
from typing import Any

import numpy as np
from twisted.internet.threads import deferToThread

from ..forecasting.ensemble import forecast_ensemble
from ..forecasting.hourly_series import FULL_COVERAGE, HourlySeries
from ..forecasting.models import seasonal_naive
from ..forecasting.policy import Calendar, ScalingPolicy
from ..forecasting.preprocessing import training_history
from ..forecasting.quantiles import forecast_quantiles
from ..forecasting.scaling_hints import required_runners
from ..forecasting.seasonality import hours_of_week
from ..forecasting.time_units import HOURS_PER_WEEK as WEEK
from ..forecasting.training_window import TrainingWindow
from ..forecasting.weekly_forecast import forecast_week
from .courses import FIRST, KINDS, WEEKS, Drawn, Floats, draw
from .experiment import Experiment, Plot, Result

PAST = WEEKS * WEEK
BY_FIVE = 12  # steps of an hour, of the simulated week


def said(drawn: Drawn) -> tuple[Floats, Floats, Floats]:
    """(levels, 168), the same hour of last week as it was counted, and what came."""
    hour_of_week = hours_of_week(drawn.first, PAST + WEEK, drawn.calendar.time_zone)
    y, counted = drawn.y[None, :PAST], drawn.counted[None, :PAST]
    levels = forecast_quantiles(
        forecast_ensemble(training_history(y, counted, hour_of_week[:PAST]), hour_of_week)
    )[:, 0]
    plain = seasonal_naive(TrainingWindow(y, hour_of_week))[0]
    return levels, plain, drawn.y[PAST:]


def reference(drawn: Drawn) -> Floats | None:
    """Of statsmodels: level, damped trend and a week's season, smoothed exponentially; None where that is missing."""
    try:
        from statsmodels.tsa.holtwinters import ExponentialSmoothing
    except ModuleNotFoundError:
        return None
    import warnings

    with warnings.catch_warnings():
        warnings.simplefilter("ignore")
        y = drawn.y[:PAST]
        fitted = ExponentialSmoothing(
            y,
            trend="add",
            damped_trend=True,
            seasonal="add",
            seasonal_periods=WEEK,
            initialization_method="heuristic",
        ).fit(optimized=True, use_brute=False)
        return np.asarray(np.maximum(0.0, np.asarray(fitted.forecast(WEEK))))


# ---- hints ----


def simulate(asked: Floats, core_s: float, plan: list[int], scaling: ScalingPolicy) -> tuple[float, float]:
    """(share of worth lost, runner-hours) of a week in steps of five minutes: a runner that is started is of no use for
    `startup_min`, one that is ended is gone at once; what the warm ones can't do is lost."""
    cold = max(1, round(scaling.startup_min / 60 * BY_FIVE))
    warm, starting = float(plan[0]), list[int]()
    lost = hours = 0.0
    for step in range(len(asked) * BY_FIVE):
        wanted = plan[step // BY_FIVE]
        starting = [s - 1 for s in starting]
        warm += sum(s <= 0 for s in starting)
        starting = [s for s in starting if s > 0]
        there = warm + len(starting)
        if wanted > there:
            starting += [cold] * round(wanted - there)
        elif wanted < there:
            away = there - wanted
            while away and starting:
                starting.pop()
                away -= 1
            warm -= away
        hours += (warm + len(starting)) / BY_FIVE
        demand = asked[step // BY_FIVE] / BY_FIVE * core_s / (3600 / BY_FIVE)
        lost += max(0.0, demand - warm * scaling.cores_per_runner) * 3600 / BY_FIVE / core_s
    return lost / max(1.0, float(asked.sum())), hours


def plans(
    drawn: Drawn, levels: Floats, scaling: ScalingPolicy, core_s: float
) -> dict[str, tuple[float, float]]:
    """(share of worth lost, runner-hours) by hints; and by what the last hour needed, and the same hour of last week,
    each with as much to spare as makes its runner-hours those of the hints."""
    came = drawn.y[PAST - 1 : PAST + WEEK]
    ahead = drawn.y[PAST:]
    by_hints = simulate(
        ahead, core_s, required_runners([float(v) * core_s / 3600 for v in levels[1]], scaling), scaling
    )
    made = {"hints": by_hints}
    for name, rate in (("last hour", came[:WEEK]), ("same hour last week", drawn.y[PAST - WEEK : PAST])):
        low, high = 0.02, 2.0  # shares of the cores that are to be used
        for _ in range(14):
            fill = (low + high) / 2
            plan = [
                min(
                    scaling.max_runners,
                    max(scaling.min_runners, ceil(r * core_s / 3600 / scaling.cores_per_runner / fill)),
                )
                for r in rate
            ]
            got = simulate(ahead, core_s, plan, scaling)
            low, high = (fill, high) if got[1] > by_hints[1] else (low, fill)
        made[name] = got
    return made


# ---- the whole ----


def many(seeds: range, with_reference: bool, say: Callable[[str], None]) -> dict[str, Any]:
    """Forecasts over many seeds and kinds of course."""
    ratios: dict[str, list[float]] = {kind: [] for kind in KINDS}
    against: list[float] = []
    under: dict[str, list[float]] = {kind: [] for kind in KINDS}
    highest: list[float] = []
    lost: dict[str, list[float]] = {}
    hours: dict[str, list[float]] = {}
    scaling = ScalingPolicy(cores_per_runner=2.0, startup_min=15.0)
    for kind in KINDS:
        for seed in seeds:
            drawn = draw(seed, kind)
            levels, plain, came = said(drawn)
            off = float(np.abs(levels[0] - came).mean())
            ratios[kind].append(off / float(np.abs(plain - came).mean()))
            under[kind].append(float((came <= levels[1]).mean()))
            highest.append(float((came <= levels[2]).mean()))
            if with_reference and (other := reference(drawn)) is not None:
                against.append(off / float(np.abs(other - came).mean()))
            core_s = 40 * 3600 / max(1.0, float(drawn.y[:PAST].max()))  # at its highest it needs 40 cores
            for name, (share, spent) in plans(drawn, levels, scaling, core_s).items():
                lost.setdefault(name, []).append(share)
                hours.setdefault(name, []).append(spent)
        say(
            f"{kind}: error over last week's {statistics.fmean(ratios[kind]):.3f}, under the 90 "
            f"{statistics.fmean(under[kind]):.3f}"
        )
    return {
        "ratios": ratios,
        "against": against,
        "under": under,
        "highest": highest,
        "lost": lost,
        "hours": hours,
    }


SIZE = """
import json, time, tracemalloc
from moorusher.lab.forecast import thousand
from moorusher.forecasting.weekly_forecast import forecast_week
from moorusher.lab.courses import FIRST, WEEKS
series, customers = thousand({seed})
began = time.process_time()
forecast_week(series, customers, FIRST + WEEKS * 168, {{}})
took = time.process_time() - began
tracemalloc.start()
forecast_week(series, customers, FIRST + WEEKS * 168, {{}})
print(json.dumps([took, tracemalloc.get_traced_memory()[1] / 2**20]))
"""


def thousand(seed: int, routes: int = 1_000) -> tuple[dict[str, HourlySeries], dict[str, str]]:
    """A thousand routes of all kinds, for the time and memory that they take."""
    kinds, series, customers = list(KINDS), dict[str, HourlySeries](), dict[str, str]()
    for i in range(routes):
        drawn = draw(seed * 1_000 + i // len(kinds), kinds[i % len(kinds)])
        one = HourlySeries(FIRST)
        one.requests = array("I", [int(v) for v in drawn.y[:PAST]])
        one.coverage = array("B", [round(c * FULL_COVERAGE) for c in drawn.counted[:PAST]])
        series[f"r{i:04}"], customers[f"r{i:04}"] = one, f"c{i // 50}"
    return series, customers


def size(seed: int) -> tuple[float, float]:
    """s of one core, and MB more than the history takes, for a thousand routes; in a process of its own."""
    got = subprocess.run(
        [sys.executable, "-W", "ignore", "-c", SIZE.format(seed=seed)],
        capture_output=True,
        text=True,
        check=True,
        timeout=600,
    )
    took, mb = json.loads(got.stdout)
    return float(took), float(mb)


def the_same_bit_by_bit(seed: int) -> bool:
    """What another owner works out of the same state."""
    series, customers = thousand(seed, 60)
    weeks = [
        forecast_week(
            dict(reversed(list(series.items())) if i else series),
            customers,
            FIRST + PAST,
            {"c0": Calendar("Europe/Copenhagen")},
        )
        for i in range(2)
    ]
    return weeks[0].routes == weeks[1].routes and weeks[0].quantiles.tobytes() == weeks[1].quantiles.tobytes()


async def play(reactor: Any, quick: bool, seed: int, say: Callable[[str], None]) -> Result:
    """The experiment on the forecast."""
    result = Result()
    began = time.perf_counter()
    got = await deferToThread(many, range(seed * 100, seed * 100 + (4 if quick else 20)), True, say)
    by_kind = {kind: statistics.fmean(found) for kind, found in got["ratios"].items()}
    overall = statistics.fmean(by_kind.values())
    result.figures["error over that of the same hour of last week"] = by_kind
    result.hold(
        "error over that of the same hour of last week, all kinds",
        f"{overall:.3f}",
        "at most 0.75",
        overall <= 0.75,
    )
    worst = max(by_kind, key=lambda kind: by_kind[kind])
    result.hold(
        f"the same, of the worst kind ({worst})",
        f"{by_kind[worst]:.3f}",
        "at most 1.02",
        by_kind[worst] <= 1.02,
    )
    if got["against"]:
        median = statistics.median(got["against"])
        result.hold(
            "error over that of exponential smoothing with a week's season, median",
            f"{median:.3f}",
            "under 1",
            median < 1,
        )
    covered = 100 * statistics.fmean(v for found in got["under"].values() for v in found)
    result.hold("hours under the level of 90 of 100", f"{covered:.1f}", "87 to 93", 87 <= covered <= 93)
    result.figures["under the 90, by kind"] = {k: statistics.fmean(v) for k, v in got["under"].items()}
    result.figures["under the 99"] = statistics.fmean(got["highest"])
    lost = {name: statistics.fmean(found) for name, found in got["lost"].items()}
    hours = {name: statistics.fmean(found) for name, found in got["hours"].items()}
    result.figures["hints"] = {"worth lost": lost, "runner-hours": hours}
    say(
        "  ".join(
            f"{name}: lost {100 * lost[name]:.3f} of 100, {hours[name]:.0f} runner-hours" for name in lost
        )
    )
    for other in ("last hour", "same hour last week"):
        result.hold(
            f"worth lost by hints, to that by the {other}",
            f"{100 * lost['hints']:.3f} to {100 * lost[other]:.3f} of 100, with {hours['hints']:.0f} to "
            f"{hours[other]:.0f} runner-hours",
            "less, at as many runner-hours",
            lost["hints"] < lost[other] and hours["hints"] <= 1.02 * hours[other],
        )
    took, mb = await deferToThread(size, seed)
    result.hold("1,000 routes", f"{took:.1f} s of one core", "under 20 s", took < 20)
    result.hold("the same, in memory", f"{mb:.0f} MB", "under 64 MB", mb < 64)
    same = the_same_bit_by_bit(seed)
    result.hold("another owner's figures", "the same" if same else "others", "the same, bit by bit", same)
    drawn = draw(seed * 100, "jump")
    levels, plain, came = said(drawn)
    result.plots.append(
        Plot(
            "A week after a jump",
            "hour",
            "requests",
            {
                "came": list(enumerate(came.tolist())),
                "50": list(enumerate(levels[0].tolist())),
                "90": list(enumerate(levels[1].tolist())),
                "last week": list(enumerate(plain.tolist())),
            },
        )
    )
    result.figures["took s"] = time.perf_counter() - began
    return result


FORECAST = Experiment("forecast", "Demand a week ahead, its levels, and hints.", play)
