"""Weekly seasonal profile: the distribution of a week's demand over its hours.

The profile changes slowly and the level quickly, so the profile is estimated from weeks that are divided by their own
levels. There are few weeks, so the estimates are shrunk (James-Stein): each hour towards the common profile of working
days or of the weekend, unless the difference exceeds noise.
"""

from __future__ import annotations

import numpy as np

from .arrays import Floats, Ints, ratio_or, weighted_nan_mean
from .daily_levels import weekly_levels
from .seasonality import by_week
from .time_units import DAYS_PER_WEEK, HOURS_PER_DAY, HOURS_PER_WEEK

# Weight of a week, relative to that of the week after it.
WEEKLY_DECAY = 0.88
# Share of an hour's noise variance that all hours of a day have in common. The hours of a day rise and fall together,
# so the noise variance of a day's level is more than 1/24 of an hour's.
SHARED_DAY_NOISE = 0.5
# Days of the week, where 0 is Monday.
WORKING_DAYS = slice(0, 5)
WEEKEND = slice(5, 7)
# Lower bound of an hour's value in the profile (mean 1). The variance of an hour that is known in too few weeks is
# assumed to be the square of its value.
MIN_HOUR = 0.2
# Lower bound of an hour's value in the common profile (mean 1) where differences are divided by this value.
MIN_COMMON_HOUR = 0.05
# Lower bound of a variance in a denominator.
MIN_VARIANCE = 1e-12
# Lower bound of a day's level in a denominator.
MIN_DAY_LEVEL = 1e-9


def seasonal_profile(history: Floats, hour_of_week: Ints) -> Floats:
    """Return the weekly profile of each route with a mean of 1, (routes, 168).

    :param history: Hourly demand at one level, (routes, hours); NaN if unknown.
    """
    weeks = by_week(history, hour_of_week)
    weeks_back = np.arange(weeks.shape[1] - 1, -1, -1)
    decay = np.broadcast_to((WEEKLY_DECAY**weeks_back)[None, :, None], weeks.shape)
    level = weekly_levels(weeks)
    weights = decay * np.nan_to_num(level) ** 0.5
    relative = weeks / level
    observed = weighted_nan_mean(relative, weights, 1)
    observed = np.where(np.isfinite(observed), observed, 1.0)
    variance = _variance_of_mean(relative, observed, weights)
    profile = _shrink(observed, _common_profile(observed, variance), variance)
    return ratio_or(profile, profile.mean(axis=1, keepdims=True), 1.0)


def _variance_of_mean(relative: Floats, mean: Floats, weights: Floats) -> Floats:
    """Return the variance of each hour's mean over the weeks, pooled with adjacent hours because weeks are few."""
    known_weights = np.where(np.isfinite(relative), weights, 0.0)
    total = known_weights.sum(axis=1)
    effective_weeks = ratio_or(total**2, (known_weights**2).sum(axis=1), 0.0)
    squares = known_weights * (np.nan_to_num(relative) - mean[:, None, :]) ** 2
    variance = ratio_or(np.nansum(squares, axis=1), total, 1.0)
    pooled = (np.roll(variance, -1, axis=1) + variance + np.roll(variance, 1, axis=1)) / 3
    return np.where(
        effective_weeks > 1.5,
        pooled / np.maximum(effective_weeks - 1, 0.5),
        np.maximum(mean, MIN_HOUR) ** 2,
    )


def _shrink(observed: Floats, common: Floats, variance: Floats) -> Floats:
    """Shrink the observed profile towards the common one, retaining the part of the difference that exceeds noise."""
    scale = np.maximum(common, MIN_COMMON_HOUR)
    difference = (((observed - common) / scale) ** 2).mean(axis=1, keepdims=True)
    noise = (variance / scale**2).mean(axis=1, keepdims=True)
    return np.asarray(np.maximum(0.0, common + _signal_share(difference, noise) * (observed - common)))


def _signal_share(variance: Floats, noise: Floats) -> Floats:
    """Return the share of a variance that is not noise."""
    return np.asarray(np.maximum(0.0, variance - noise) / np.maximum(variance, MIN_VARIANCE))


def _common_profile(observed: Floats, variance: Floats) -> Floats:
    """Return a profile in which all working days, and both days of the weekend, differ only in their levels."""
    routes = observed.shape[0]
    days = observed.reshape(routes, DAYS_PER_WEEK, HOURS_PER_DAY)
    day_variance = variance.reshape(routes, DAYS_PER_WEEK, HOURS_PER_DAY)
    common = np.empty_like(days)
    for day_group in (WORKING_DAYS, WEEKEND):
        common[:, day_group] = _common_day_profile(days[:, day_group], day_variance[:, day_group])
    return common.reshape(routes, HOURS_PER_WEEK)


def _common_day_profile(days: Floats, variance: Floats) -> Floats:
    """Return the days' levels, shrunk towards their mean, times the days' common shape, shrunk to a smoothed one."""
    level = days.mean(axis=2, keepdims=True)
    mean_level = level.mean(axis=1, keepdims=True)
    level_variance = ((level - mean_level) ** 2).mean(axis=1, keepdims=True)
    mean_variance = variance.mean(axis=(1, 2), keepdims=True)
    level_weight = _signal_share(level_variance, mean_variance * SHARED_DAY_NOISE)
    daily_shape = days.mean(axis=1, keepdims=True) / np.maximum(mean_level, MIN_DAY_LEVEL)
    smooth_shape = (np.roll(daily_shape, 1, axis=2) + 2 * daily_shape + np.roll(daily_shape, -1, axis=2)) / 4
    roughness = ((daily_shape - smooth_shape) ** 2).mean(axis=2, keepdims=True)
    shape_noise = mean_variance / days.shape[1] / np.maximum(mean_level, MIN_DAY_LEVEL) ** 2
    shape_weight = _signal_share(roughness, shape_noise)
    shrunk_level = mean_level + level_weight * (level - mean_level)
    return np.asarray(shrunk_level * (smooth_shape + shape_weight * (daily_shape - smooth_shape)))
