"""Factors of special days: what days of a type, such as holidays, have over an ordinary day's demand."""

from __future__ import annotations

import numpy as np

from .arrays import Floats, Ints, nan_median
from .daily_levels import median_profile, weekly_levels
from .seasonality import ORDINARY_DAY, DayTypes, by_week, weeks_before_end
from .time_units import HOURS_PER_DAY

MAX_FACTOR = 20.0
# Requests that a type of day is taken to have had as expected, and half a day on which it had them: a few requests, or
# hours, say little.
PRIOR_REQUESTS = 5.0
PRIOR_DAYS = 0.5


def day_type_factors(history: Floats, hour_of_week: Ints, types: DayTypes) -> Floats:
    """Return (routes, types): the demand of days of a type over the expected one; 1 where there was no such day.

    :param history: (routes, hours), special days included.
    :param types: of the days of the history.
    """
    expected = _expected_demand(
        np.where(types.by_hour[None, :] == ORDINARY_DAY, history, np.nan), hour_of_week
    )
    factors = np.ones((len(history), len(types.names)))
    for day_type in range(ORDINARY_DAY + 1, len(types.names)):
        of_type = (types.by_hour[None, :] == day_type) & np.isfinite(history)
        requests = np.where(of_type, history, 0.0).sum(axis=1)
        expected_requests = np.where(of_type, expected, 0.0).sum(axis=1)
        days = of_type.sum(axis=1) / HOURS_PER_DAY
        log_ratio = np.log((requests + PRIOR_REQUESTS) / (expected_requests + PRIOR_REQUESTS))
        factors[:, day_type] = np.exp(log_ratio * days / (days + PRIOR_DAYS))
    return np.clip(factors, 1 / MAX_FACTOR, MAX_FACTOR)


def _expected_demand(ordinary: Floats, hour_of_week: Ints) -> Floats:
    """What the weekly profile expects of each hour, at the level of its week."""
    weeks = by_week(ordinary, hour_of_week)
    level = weekly_levels(weeks)[:, :, 0]
    with np.errstate(all="ignore"):
        median_level = nan_median(level, 1)[:, None]
    level = np.where(np.isfinite(level), level, np.nan_to_num(median_level))
    week = weeks.shape[1] - 1 - weeks_before_end(ordinary.shape[1])
    return np.asarray(median_profile(ordinary, hour_of_week)[:, hour_of_week] * level[:, week])
