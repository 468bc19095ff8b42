"""Levels of weeks and of days: what was counted, over what the weekly profile expects."""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np

from .arrays import Floats, Ints, nan_median
from .seasonality import by_week
from .time_units import HOURS_PER_DAY

MAX_DAYS = 42  # looked back upon
MIN_DAY_COVERAGE = 0.5  # share of a day's hours that are known
MIN_DAY_REQUESTS = 10.0  # of a day; fewer say nothing of its level
MIN_PROFILE = 0.02  # of an hour, so that ratios stay finite


@dataclass(frozen=True, slots=True)
class DailyLevels:
    """Levels of the last days, each of 24 hours, counted back from the end of the history.

    log_level: (routes, days), log of counted over expected; NaN where too little is known.
    requests: (routes, days), counted.
    first_hour: int, index in the history where the first day begins.
    """

    log_level: Floats
    requests: Floats
    first_hour: int


def weekly_levels(weeks: Floats) -> Floats:
    """Return the mean demand of an hour of each week, (routes, weeks, 1), NaN where unknown.

    A week that is known in part is corrected for which of its hours are.

    :param weeks: (routes, weeks, 168).
    """
    with np.errstate(all="ignore"):
        level = np.nanmean(weeks, axis=2, keepdims=True)
        profile = np.nanmean(weeks / np.where(level > 0, level, np.nan), axis=1)
        profile = np.where(np.isfinite(profile), profile, 1.0)
        known_profile = np.where(np.isfinite(weeks), profile[:, None, :], np.nan)
        level = level / np.nanmean(known_profile, axis=2, keepdims=True)
    return np.asarray(np.where(level > 0, level, np.nan))


def median_profile(history: Floats, hour_of_week: Ints) -> Floats:
    """Return a simple weekly profile, (routes, 168) with a mean of about 1: the median of weeks at their own levels."""
    weeks = by_week(history, hour_of_week)
    with np.errstate(all="ignore"):
        profile = nan_median(weeks / weekly_levels(weeks), 1)
        mean = np.nanmean(profile, axis=1, keepdims=True)
    profile = np.where(np.isfinite(profile), profile, 1.0) / np.where(mean > 0, mean, 1.0)
    return np.asarray(np.maximum(profile, MIN_PROFILE))


def daily_levels(history: Floats, hour_of_week: Ints) -> DailyLevels:
    """Return the levels of the last days. `history`: (routes, hours), NaN where unknown."""
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
