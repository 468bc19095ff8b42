"""Weeks of hourly demand, generated from a seed: twelve kinds of typical customers, some of them with incidents."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

import numpy as np
import numpy.typing as npt

from ..forecasting.policy import Calendar
from ..forecasting.seasonality import hours_of_week
from ..forecasting.time_units import HOURS_PER_WEEK

Floats = npt.NDArray[np.float64]
WEEKS = 8
"""Weeks of history of a series."""
FIRST_HOUR = 491_000
"""First hour of a series, in hours since 1970: in January 2026."""
_HOURS_PER_DAY = 24
_BASE_DEMAND = 0.08
"""Demand of an hour without a peak, relative to a highest peak of about 1."""
_ZONES = ["UTC", "Europe/Copenhagen", "America/New_York"]
_MIN_INCIDENT_LEAD_H = 30
"""Minimum number of hours from the start of an incident to the end of the history."""


@dataclass(frozen=True, slots=True)
class DemandSeries:
    """A generated hourly series.

    Attributes:
        kind: A key of `KINDS`.
        requests: Requests of each hour, including the week after the history.
        counted: Share of each hour in which requests were counted.
        first_hour: Hours since 1970.
    """

    kind: str
    requests: Floats
    counted: Floats
    calendar: Calendar
    first_hour: int = FIRST_HOUR


class Peak(NamedTuple):
    """A daily peak: the hour of its middle, its width in hours, and its height."""

    hour: float
    width_h: float
    height: float


Trend = Callable[[np.random.Generator, Floats, int], Floats]
"""Function that changes the mean demand of each hour. Its last argument is the number of hours of history."""


class DemandKind(NamedTuple):
    """Parameters of a kind of demand.

    Attributes:
        requests_per_hour: Mean requests per hour.
        peaks: Peaks of each day.
        weekend: Demand of a Saturday, relative to a Monday.
        trend: Change over the weeks.
    """

    requests_per_hour: float
    peaks: list[Peak]
    weekend: float
    trend: Trend


def _day_profile(peaks: list[Peak]) -> Floats:
    hours = np.arange(_HOURS_PER_DAY)
    profile = np.full(_HOURS_PER_DAY, _BASE_DEMAND)
    for peak in peaks:
        distance = (hours - peak.hour + 12) % _HOURS_PER_DAY - 12
        profile += peak.height * np.exp(-0.5 * (distance / peak.width_h) ** 2)
    return profile


def _week_profile(rng: np.random.Generator, peaks: list[Peak], weekend: float) -> Floats:
    """Return the relative demand of the hours of a week, with a mean of 1."""
    day = _day_profile(peaks)
    days = np.array([1.0, 1.05, 1.0, 0.97, 0.9, weekend, weekend * 0.9]) * rng.normal(1.0, 0.05, 7)
    week = np.concatenate([day * factor for factor in days])
    return np.asarray(week / week.mean())


def _steady(rng: np.random.Generator, mean: Floats, history_h: int) -> Floats:
    return mean


def _growing(rng: np.random.Generator, mean: Floats, history_h: int) -> Floats:
    return np.asarray(mean * np.exp(rng.uniform(0.05, 0.12) * np.arange(len(mean)) / HOURS_PER_WEEK))


def _shrinking(rng: np.random.Generator, mean: Floats, history_h: int) -> Floats:
    return np.asarray(mean * np.exp(-rng.uniform(0.05, 0.1) * np.arange(len(mean)) / HOURS_PER_WEEK))


def _level_shift(rng: np.random.Generator, mean: Floats, history_h: int) -> Floats:
    changed = mean.copy()
    shift_at = history_h - int(rng.integers(2 * _HOURS_PER_DAY, 10 * _HOURS_PER_DAY))
    changed[shift_at:] *= rng.choice([0.45, 1.9, 2.6])
    return changed


def _recently_started(rng: np.random.Generator, mean: Floats, history_h: int) -> Floats:
    changed = mean.copy()
    changed[: history_h - int(rng.integers(9, 20)) * _HOURS_PER_DAY] = 0.0
    return changed


OFFICE = [Peak(10.0, 1.8, 1.0), Peak(14.5, 2.0, 0.9)]
EVENING = [Peak(20.0, 2.5, 1.0), Peak(13.0, 3.0, 0.4)]
BATCH = [Peak(2.0, 0.6, 2.0)]
ROUND_THE_CLOCK = [Peak(12.0, 8.0, 0.4)]

KINDS: dict[str, DemandKind] = {
    "office": DemandKind(300.0, OFFICE, 0.15, _steady),
    "evening": DemandKind(120.0, EVENING, 1.2, _steady),
    "round the clock": DemandKind(900.0, ROUND_THE_CLOCK, 0.95, _steady),
    "night batch": DemandKind(60.0, BATCH, 1.0, _steady),
    "growing": DemandKind(150.0, OFFICE, 0.4, _growing),
    "shrinking": DemandKind(250.0, EVENING, 0.9, _shrinking),
    "jump": DemandKind(200.0, OFFICE, 0.3, _level_shift),
    "rare": DemandKind(0.8, EVENING, 1.0, _steady),
    "new": DemandKind(80.0, OFFICE, 0.3, _recently_started),
    "outages": DemandKind(200.0, OFFICE, 0.5, _steady),
    "floods": DemandKind(100.0, EVENING, 1.0, _steady),
    "gaps": DemandKind(150.0, OFFICE, 0.3, _steady),
}


def draw_series(seed: int, kind: str, weeks: int = WEEKS) -> DemandSeries:
    """Generate weeks of history and the week after it, which has random variation but no incidents.

    :param kind: A key of `KINDS`.
    """
    rng = np.random.default_rng([seed, sorted(KINDS).index(kind)])
    demand = KINDS[kind]
    zone = str(rng.choice(_ZONES))
    history_h = weeks * HOURS_PER_WEEK
    hours = history_h + HOURS_PER_WEEK
    first_hour = FIRST_HOUR + int(rng.integers(0, 26)) * HOURS_PER_WEEK
    profile = _week_profile(rng, demand.peaks, demand.weekend)
    week = profile[hours_of_week(first_hour, hours, zone)]
    mean = demand.requests_per_hour * rng.lognormal(0.0, 0.5) * week
    day_count = -(-hours // _HOURS_PER_DAY)
    days = np.repeat(rng.lognormal(0.0, 0.08, day_count), _HOURS_PER_DAY)[:hours]
    drift = np.exp(np.cumsum(rng.normal(0.0, 0.006, hours)))
    mean = demand.trend(rng, mean * days * drift, history_h)
    requests = rng.poisson(mean * rng.lognormal(0.0, 0.06, hours)).astype(float)
    counted = np.ones(hours)
    if kind == "outages":
        _add_outages(rng, requests, mean, history_h)
    elif kind == "floods":
        _add_floods(rng, requests, mean, history_h)
    elif kind == "gaps":
        _add_gaps(rng, requests, counted, history_h)
    return DemandSeries(kind, requests, counted, Calendar(zone), first_hour)


def _draw_hours(rng: np.random.Generator, history_h: int, shortest: int, longest: int) -> slice:
    """Draw a range of at least `shortest` and fewer than `longest` hours of the history."""
    start = int(rng.integers(0, history_h - _MIN_INCIDENT_LEAD_H))
    length = int(rng.integers(shortest, longest))
    return slice(start, start + length)


def _add_outages(rng: np.random.Generator, requests: Floats, mean: Floats, history_h: int) -> None:
    """Add hours in which almost no requests arrived."""
    for _ in range(4):
        hours = _draw_hours(rng, history_h, 2, 20)
        requests[hours] = rng.poisson(0.02 * mean[hours])


def _add_floods(rng: np.random.Generator, requests: Floats, mean: Floats, history_h: int) -> None:
    """Add hours with several times the usual number of requests."""
    for _ in range(4):
        hours = _draw_hours(rng, history_h, 1, 12)
        flood = rng.uniform(4, 12) * mean[hours].mean() + 30
        requests[hours] += rng.poisson(flood, len(requests[hours]))


def _add_gaps(rng: np.random.Generator, requests: Floats, counted: Floats, history_h: int) -> None:
    """Add hours in which requests were counted for only a part of the time, or not at all."""
    for _ in range(5):
        hours = _draw_hours(rng, history_h, 2, 30)
        share = rng.choice([0.0, 0.3, 0.7])
        counted[hours] = share
        requests[hours] = np.floor(requests[hours] * share)
