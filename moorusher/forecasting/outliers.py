"""Outlier detection: hours with an outage or a traffic spike, which do not represent the usual demand.

An hour is compared with the same hour of the route's other weeks, after each week is scaled to the same level. An
anomaly that lasts longer than two days is a level shift and not an outlier.
"""

from __future__ import annotations

import numpy as np

from .arrays import Bools, Floats, Ints, nan_median
from .seasonality import by_week, weeks_before_end

# Ratio of actual to expected demand below which an hour may be an outage.
LOW_RATIO = 0.25
# Ratio of actual to expected demand above which an hour may be a traffic spike.
HIGH_RATIO = 2.5
# An outlier differs from the expected count by more than this many standard deviations plus `MIN_REQUESTS`.
MIN_SIGMAS = 6.0
MIN_REQUESTS = 2
# Maximum length of an anomalous period. A longer one is a level shift.
MAX_OUTLIER_HOURS = 48
# Maximum gap between two anomalous hours of the same period.
MAX_GAP_HOURS = 14
# Minimum share of anomalous hours in a long period that is treated as a level shift.
MIN_PERIOD_DENSITY = 0.3


def outlier_hours(history: Floats, hour_of_week: Ints) -> Bools:
    """Return which hours are outliers.

    :param history: Hourly demand, (routes, hours); NaN if unknown.
    """
    weeks = by_week(history, hour_of_week)
    if weeks.shape[1] < 2:
        return np.zeros(history.shape, bool)
    expected = _expected_by_week(weeks)[
        :, weeks.shape[1] - 1 - weeks_before_end(history.shape[1]), hour_of_week
    ]
    with np.errstate(all="ignore"):
        noise = np.sqrt(np.maximum(expected, 1.0))
        is_significant = np.abs(history - expected) > MIN_SIGMAS * noise + MIN_REQUESTS
        is_low = history < LOW_RATIO * expected
        is_high = history > HIGH_RATIO * np.maximum(expected, 1.0)
        anomalous = is_significant & (is_low | is_high)
    return _exclude_long_periods(np.where(np.isfinite(history) & np.isfinite(expected), anomalous, False))


def _expected_by_week(weeks: Floats) -> Floats:
    """Return the median of each hour over the other weeks, at the level of its own week."""
    with np.errstate(all="ignore"):
        level = nan_median(np.where(weeks > 0, weeks, np.nan), 2)[:, :, None]
        level = np.where(np.isfinite(level) & (level > 0), level, 1.0)
        return np.asarray(_median_of_other_weeks(weeks / level) * level)


def _median_of_other_weeks(weeks: Floats) -> Floats:
    medians = np.empty_like(weeks)
    for week in range(weeks.shape[1]):
        medians[:, week] = nan_median(np.delete(weeks, week, axis=1), 1)
    return medians


def _exclude_long_periods(anomalous: Bools) -> Bools:
    """Exclude level shifts: long periods without a wide gap and with a sufficient share of anomalous hours.

    Not every hour after a level shift is anomalous, since counts at night are too small to be significant.
    """
    outliers = anomalous.copy()
    for route in np.flatnonzero(anomalous.any(axis=1)):
        hours = np.flatnonzero(anomalous[route])
        for period in np.split(hours, np.flatnonzero(np.diff(hours) > MAX_GAP_HOURS) + 1):
            length = period[-1] - period[0] + 1
            if length > MAX_OUTLIER_HOURS and len(period) >= MIN_PERIOD_DENSITY * length:
                outliers[route, period] = False
    return outliers
