"""Levels of weeks and days: counted requests divided by the requests that the weekly profile predicts."""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np

from .arrays import Floats, Ints, nan_median
from .seasonality import by_week
from .time_units import HOURS_PER_DAY

# Days of history for which levels are computed.
MAX_DAYS = 42
# Share of a day's hours that must be known for the day to have a level.
MIN_DAY_COVERAGE = 0.5
# Minimum number of requests in a day for the day to have a level; the level is not reliable with fewer requests.
MIN_DAY_REQUESTS = 10.0
# Lower bound of each hour's value in the profile (mean about 1). Keeps ratios to the profile finite.
MIN_PROFILE = 0.02


@dataclass(frozen=True, slots=True)
class DailyLevels:
    """Levels of the last days; each day is 24 hours, and the last one ends with the history.

    Attributes:
        log_level: Logarithm of counted divided by expected requests, (routes, days); NaN if too little is known.
        requests: Counted requests, (routes, days).
        first_hour: Index into the history at which the first day begins.
    """

    log_level: Floats
    requests: Floats
    first_hour: int


def weekly_levels(weeks: Floats) -> Floats:
    """Return the mean hourly demand of each week, (routes, weeks, 1); NaN if unknown.

    The mean of a partly known week is corrected by the weekly profile at its known hours.

    :param weeks: Hourly demand, (routes, weeks, 168).
    """
    with np.errstate(all="ignore"):
        level = np.nanmean(weeks, axis=2, keepdims=True)
        profile = np.nanmean(weeks / np.where(level > 0, level, np.nan), axis=1)
        profile = np.where(np.isfinite(profile), profile, 1.0)
        known_profile = np.where(np.isfinite(weeks), profile[:, None, :], np.nan)
        level = level / np.nanmean(known_profile, axis=2, keepdims=True)
    return np.asarray(np.where(level > 0, level, np.nan))


def median_profile(history: Floats, hour_of_week: Ints) -> Floats:
    """Return a simple weekly profile with a mean of about 1, (routes, 168).

    It is the median over the weeks, each divided by its own level.
    """
    weeks = by_week(history, hour_of_week)
    with np.errstate(all="ignore"):
        profile = nan_median(weeks / weekly_levels(weeks), 1)
        mean = np.nanmean(profile, axis=1, keepdims=True)
    profile = np.where(np.isfinite(profile), profile, 1.0) / np.where(mean > 0, mean, 1.0)
    return np.asarray(np.maximum(profile, MIN_PROFILE))


def daily_levels(history: Floats, hour_of_week: Ints) -> DailyLevels:
    """Return the levels of the last days.

    :param history: Hourly demand, (routes, hours); NaN if unknown.
    """
    days = min(MAX_DAYS, history.shape[1] // HOURS_PER_DAY)
    first_hour = history.shape[1] - HOURS_PER_DAY * days
    expected = median_profile(history, hour_of_week)[:, hour_of_week[first_hour:]]
    known = np.isfinite(history[:, first_hour:])

    def by_day(hours: Floats) -> Floats:
        return hours.reshape(len(history), days, HOURS_PER_DAY)

    requests = by_day(np.where(known, history[:, first_hour:], 0.0)).sum(axis=2)
    expected_requests = by_day(np.where(known, expected, 0.0)).sum(axis=2)
    coverage = known.reshape(len(history), days, HOURS_PER_DAY).mean(axis=2)
    with np.errstate(all="ignore"):
        is_known = (coverage >= MIN_DAY_COVERAGE) & (requests >= MIN_DAY_REQUESTS)
        log_level = np.log(np.where(is_known, requests / expected_requests, np.nan))
    return DailyLevels(log_level, requests, first_hour)
