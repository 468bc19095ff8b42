"""Detection of level shifts: abrupt, lasting changes of a route's demand (changepoint detection on daily levels).

A shift is a large and statistically significant difference between the medians of the days before and after it. Of
several candidates, the day whose split removes the most scatter is selected.
"""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np

from .arrays import Bools, Floats, Ints, nan_median
from .daily_levels import daily_levels
from .time_units import HOURS_PER_DAY

# Days on each side of a shift that are compared.
WINDOW_DAYS = 10
MIN_KNOWN_DAYS_IN_WINDOW_BEFORE = 7
MIN_KNOWN_DAYS_IN_WINDOW_AFTER = 2
# Known days required in the whole history before a shift. In a single week, a weekend looks like a shift.
MIN_KNOWN_DAYS_BEFORE = 14
# Minimum absolute size of a shift, as a logarithm.
MIN_SHIFT = 0.3
# Minimum of the difference of the medians divided by its standard error.
MIN_Z_SCORE = 5.0
# Maximum number of shifts per route.
MAX_SHIFTS = 2
# Lower bound of the standard deviation of a daily log level.
MIN_NOISE = 0.03
# Standard deviation of a daily log level if it can't be estimated.
DEFAULT_NOISE = 0.1
# Converts the median absolute deviation of normal noise to its standard deviation.
MAD_TO_SIGMA = 1.4826
# Variance of the median of n days, in units of the variance of one day divided by n.
MEDIAN_VARIANCE = 1.6


@dataclass(frozen=True, slots=True)
class UnshiftedHistory:
    """A history at the level after its last shift.

    Attributes:
        demand: Hourly demand, (routes, hours); NaN if unknown.
        log_shift: Logarithm of the factor that each hour was multiplied by, (routes, hours).
    """

    demand: Floats
    log_shift: Floats


@dataclass(slots=True)
class _BestShift:
    """Most significant shift of each route so far; `scatter_removed` is 0 if there is none."""

    scatter_removed: Floats
    log_size: Floats
    day: Ints


@dataclass(frozen=True, slots=True)
class _Candidate:
    """Split at one day, for all routes. `valid`: whether the split qualifies as a shift, by route."""

    log_size: Floats
    scatter_removed: Floats
    valid: Bools


def remove_level_shifts(history: Floats, hour_of_week: Ints) -> UnshiftedHistory:
    """Return the history at the level after its last shift.

    :param history: Hourly demand, (routes, hours); NaN if unknown.
    """
    demand = history.copy()
    log_shift = np.zeros_like(history)
    for _ in range(MAX_SHIFTS):
        if not _remove_most_significant_shift(demand, log_shift, hour_of_week):
            break
    return UnshiftedHistory(demand, log_shift)


def _remove_most_significant_shift(demand: Floats, log_shift: Floats, hour_of_week: Ints) -> bool:
    """Scale, in place, the hours before the most significant shift of each route.

    Return False if no route has a shift.
    """
    levels = daily_levels(demand, hour_of_week)
    days = levels.log_level.shape[1]
    if days < MIN_KNOWN_DAYS_BEFORE + MIN_KNOWN_DAYS_IN_WINDOW_AFTER:
        return False
    best = _most_significant_shifts(levels.log_level, levels.requests)
    routes = np.flatnonzero(best.scatter_removed > 0)
    for route in routes:
        until = levels.first_hour + HOURS_PER_DAY * best.day[route]
        demand[route, :until] *= np.exp(best.log_size[route])
        log_shift[route, :until] += best.log_size[route]
    return bool(len(routes))


def _most_significant_shifts(log_level: Floats, requests: Floats) -> _BestShift:
    routes, days = log_level.shape
    best = _BestShift(np.zeros(routes), np.zeros(routes), np.zeros(routes, int))
    with np.errstate(all="ignore"):
        noise = _daily_noise(log_level, requests)
        for day in range(MIN_KNOWN_DAYS_BEFORE, days - MIN_KNOWN_DAYS_IN_WINDOW_AFTER + 1):
            candidate = _split_at(day, log_level, noise)
            better = candidate.valid & (candidate.scatter_removed > best.scatter_removed)
            best.scatter_removed = np.where(better, candidate.scatter_removed, best.scatter_removed)
            best.log_size = np.where(better, candidate.log_size, best.log_size)
            best.day = np.where(better, day, best.day)
    return best


def _daily_noise(log_level: Floats, requests: Floats) -> Floats:
    """Return the standard deviation of each route's daily log level: day-to-day noise plus counting noise."""
    steps = np.diff(log_level, axis=1)
    deviation = nan_median(np.abs(steps - nan_median(steps, 1)[:, None]), 1)
    observed = np.maximum(MAD_TO_SIGMA * deviation / np.sqrt(2), MIN_NOISE)
    counting = 1 / np.maximum(np.nanmean(requests, axis=1), 1.0)
    return np.asarray(np.sqrt(np.nan_to_num(observed, nan=DEFAULT_NOISE) ** 2 + counting))


def _split_at(day: int, log_level: Floats, noise: Floats) -> _Candidate:
    window_start = max(0, day - WINDOW_DAYS)
    before = log_level[:, window_start:day]
    after = log_level[:, day : day + WINDOW_DAYS]
    days_before = np.isfinite(before).sum(axis=1)
    days_after = np.isfinite(after).sum(axis=1)
    log_size = nan_median(after, 1) - nan_median(before, 1)
    variance = MEDIAN_VARIANCE / np.maximum(days_before, 1) + MEDIAN_VARIANCE / np.maximum(days_after, 1)
    z_score = np.abs(log_size) / (noise * np.sqrt(variance))
    known_days = np.isfinite(log_level[:, :day]).sum(axis=1)
    enough_days = (
        (days_before >= MIN_KNOWN_DAYS_IN_WINDOW_BEFORE)
        & (known_days >= MIN_KNOWN_DAYS_BEFORE)
        & (days_after >= MIN_KNOWN_DAYS_IN_WINDOW_AFTER)
    )
    unsplit_scatter = _scatter(log_level[:, window_start : day + WINDOW_DAYS])
    return _Candidate(
        log_size,
        unsplit_scatter - _scatter(before) - _scatter(after),
        enough_days & (np.abs(log_size) > MIN_SHIFT) & (z_score > MIN_Z_SCORE),
    )


def _scatter(log_level: Floats) -> Floats:
    """Return the sum of the absolute deviations from the median."""
    return np.asarray(np.nansum(np.abs(log_level - nan_median(log_level, 1)[:, None]), axis=1))
