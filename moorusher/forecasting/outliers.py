"""Outlier detection: hours of outages and of floods, which say nothing of the usual demand.

An hour is compared with the same hour of the customer's other weeks, each scaled to the level of its own week. An
anomaly that lasts longer than two days is no outlier: the level has shifted.
"""

from __future__ import annotations

import numpy as np

from .arrays import Bools, Floats, Ints, nan_median
from .seasonality import by_week, weeks_before_end

LOW_RATIO = 0.25  # of the expected demand, below which an hour may be an outage
HIGH_RATIO = 2.5  # of the expected demand, above which an hour may be a flood
MIN_SIGMAS = 6.0  # standard deviations of a count; a smaller difference may be chance
MIN_REQUESTS = 2  # difference beyond those deviations
MAX_OUTLIER_HOURS = 48  # of a run; a longer one is a shift of the level
MAX_GAP_HOURS = 14  # between two anomalous hours of one run
MIN_RUN_DENSITY = 0.3  # share of the hours of a long run that are anomalous


def outlier_hours(history: Floats, hour_of_week: Ints) -> Bools:
    """Return which hours are outliers. `history`: (routes, hours), NaN where unknown."""
    weeks = by_week(history, hour_of_week)
    if weeks.shape[1] < 2:
        return np.zeros(history.shape, bool)
    expected = _expected_by_week(weeks)[
        :, weeks.shape[1] - 1 - weeks_before_end(history.shape[1]), hour_of_week
    ]
    with np.errstate(all="ignore"):
        noise = np.sqrt(np.maximum(expected, 1.0))
        is_far = np.abs(history - expected) > MIN_SIGMAS * noise + MIN_REQUESTS
        is_low = history < LOW_RATIO * expected
        is_high = history > HIGH_RATIO * np.maximum(expected, 1.0)
        anomalous = is_far & (is_low | is_high)
    return _without_long_runs(np.where(np.isfinite(history) & np.isfinite(expected), anomalous, False))


def _expected_by_week(weeks: Floats) -> Floats:
    """Each hour's median over the other weeks, at the level of its own week."""
    with np.errstate(all="ignore"):
        level = nan_median(np.where(weeks > 0, weeks, np.nan), 2)[:, :, None]
        level = np.where(np.isfinite(level) & (level > 0), level, 1.0)
        return np.asarray(_median_of_other_weeks(weeks / level) * level)


def _median_of_other_weeks(weeks: Floats) -> Floats:
    medians = np.empty_like(weeks)
    for week in range(weeks.shape[1]):
        medians[:, week] = nan_median(np.delete(weeks, week, axis=1), 1)
    return medians


def _without_long_runs(anomalous: Bools) -> Bools:
    """Leave out shifts of the level: long runs without a wide gap, of which a good share of the hours is anomalous.

    Not each hour of a shifted level is anomalous: at night the counts are too small to tell.
    """
    outliers = anomalous.copy()
    for route in np.flatnonzero(anomalous.any(axis=1)):
        hours = np.flatnonzero(anomalous[route])
        for run in np.split(hours, np.flatnonzero(np.diff(hours) > MAX_GAP_HOURS) + 1):
            length = run[-1] - run[0] + 1
            if length > MAX_OUTLIER_HOURS and len(run) >= MIN_RUN_DENSITY * length:
                outliers[route, run] = False
    return outliers
