"""Estimation of the trend: the logarithm of the weekly growth factor of a route's demand."""

from __future__ import annotations

import numpy as np

from .arrays import Floats, Ints
from .daily_levels import daily_levels
from .time_units import DAYS_PER_WEEK

# Maximum absolute trend, as a logarithm of the weekly growth factor.
MAX_TREND = 0.25
# Known days that are required to estimate a trend.
MIN_TREND_DAYS = 21
# Errors of consecutive days are correlated if the level drifts, so the variance of the slope is larger by this factor
# than with independent errors.
VARIANCE_INFLATION = 10.0


def weekly_trend(history: Floats, hour_of_week: Ints) -> Floats:
    """Return the trend of each route, (routes, 1): the slope of a line fitted to its daily levels.

    The slope is shrunk towards 0 according to its variance (James-Stein), and is 0 if too few days are known.
    """
    log_level = daily_levels(history, hour_of_week).log_level
    weeks = np.arange(log_level.shape[1]) / DAYS_PER_WEEK
    known = np.isfinite(log_level)
    days = known.sum(axis=1)
    with np.errstate(all="ignore"):
        mean_week = np.where(known, weeks, 0).sum(axis=1) / days
        mean_level = np.nansum(log_level, axis=1) / days
        from_mean = np.where(known, weeks[None, :] - mean_week[:, None], 0.0)
        spread = (from_mean**2).sum(axis=1)
        slope = np.nansum(from_mean * np.nan_to_num(log_level - mean_level[:, None]), axis=1) / spread
        residual = np.where(known, log_level - mean_level[:, None] - slope[:, None] * from_mean, 0.0)
        variance = VARIANCE_INFLATION * (residual**2).sum(axis=1) / np.maximum(days - 2, 1) / spread
        trend = slope * np.maximum(0.0, 1 - variance / np.maximum(slope**2, 1e-12))
    trend = np.where(days >= MIN_TREND_DAYS, np.nan_to_num(trend), 0.0)
    return np.asarray(np.clip(trend, -MAX_TREND, MAX_TREND)[:, None])
