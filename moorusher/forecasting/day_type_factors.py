"""Demand factors of special days: demand on days of a type, such as holidays, relative to ordinary days."""

from __future__ import annotations

import numpy as np

from .arrays import Floats, Ints, nan_median
from .daily_levels import median_profile, weekly_levels
from .seasonality import ORDINARY_DAY, DayTypes, by_week, weeks_before_end
from .time_units import HOURS_PER_DAY

MAX_FACTOR = 20.0
# Pseudo-counts of requests and days with ordinary demand. They shrink a factor towards 1 if it is estimated from few
# requests or hours.
PRIOR_REQUESTS = 5.0
PRIOR_DAYS = 0.5


def day_type_factors(history: Floats, hour_of_week: Ints, types: DayTypes) -> Floats:
    """Return the ratio of actual to expected demand on days of each type, (routes, types); 1 without such a day.

    :param history: Hourly demand including special days, (routes, hours).
    :param types: Types of the days of the history.
    """
    expected = _expected_demand(
        np.where(types.by_hour[None, :] == ORDINARY_DAY, history, np.nan), hour_of_week
    )
    factors = np.ones((len(history), len(types.names)))
    for day_type in range(ORDINARY_DAY + 1, len(types.names)):
        is_of_type = (types.by_hour[None, :] == day_type) & np.isfinite(history)
        requests = np.where(is_of_type, history, 0.0).sum(axis=1)
        expected_requests = np.where(is_of_type, expected, 0.0).sum(axis=1)
        days = is_of_type.sum(axis=1) / HOURS_PER_DAY
        log_ratio = np.log((requests + PRIOR_REQUESTS) / (expected_requests + PRIOR_REQUESTS))
        factors[:, day_type] = np.exp(log_ratio * days / (days + PRIOR_DAYS))
    return np.clip(factors, 1 / MAX_FACTOR, MAX_FACTOR)


def _expected_demand(ordinary: Floats, hour_of_week: Ints) -> Floats:
    """Return the demand of each hour that the weekly profile predicts at the level of the hour's week."""
    weeks = by_week(ordinary, hour_of_week)
    level = weekly_levels(weeks)[:, :, 0]
    with np.errstate(all="ignore"):
        median_level = nan_median(level, 1)[:, None]
    level = np.where(np.isfinite(level), level, np.nan_to_num(median_level))
    week = weeks.shape[1] - 1 - weeks_before_end(ordinary.shape[1])
    return np.asarray(median_profile(ordinary, hour_of_week)[:, hour_of_week] * level[:, week])
