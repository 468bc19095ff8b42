"""The seasonal profile of a week: which share of a week's demand falls on which hour.

The profile changes slowly and the level quickly, so profiles are estimated from weeks at their own levels. As there are
few weeks, estimates are shrunk (James and Stein): each hour towards what the days of its kind have in common, as far as
the weeks differ by no more than noise.
"""

from __future__ import annotations

import numpy as np

from .arrays import Floats, Ints, ratio_or, weighted_nan_mean
from .daily_levels import weekly_levels
from .seasonality import by_week
from .time_units import DAYS_PER_WEEK, HOURS_PER_DAY, HOURS_PER_WEEK

WEEKLY_DECAY = 0.88  # weight of a week, over that of the week after it
# Share of an hour's noise that the hours of its day have in common: hours of a day rise and fall together, so the noise
# of a day's level is not a 24th of theirs.
SHARED_DAY_NOISE = 0.5
WORKING_DAYS = slice(0, 5)  # from Monday on
WEEKEND = slice(5, 7)
MIN_HOUR = 0.2  # of a profile with a mean of 1, for the variance of an hour that is hardly known
MIN_COMMON_HOUR = 0.05  # of such a profile, where something is divided by it
TINY = 1e-12  # keeps a variance in a denominator above 0
MIN_DAY_LEVEL = 1e-9


def seasonal_profile(history: Floats, hour_of_week: Ints) -> Floats:
    """Return the weekly profile of each route, (routes, 168) with a mean of 1.

    :param history: (routes, hours) at one level, NaN where unknown.
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
    """The variance of each hour's mean over the weeks; pooled with its neighbours, as weeks are few."""
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
    """Keep of the difference from the common profile as much as exceeds noise."""
    scale = np.maximum(common, MIN_COMMON_HOUR)
    difference = (((observed - common) / scale) ** 2).mean(axis=1, keepdims=True)
    noise = (variance / scale**2).mean(axis=1, keepdims=True)
    return np.asarray(np.maximum(0.0, common + _signal_share(difference, noise) * (observed - common)))


def _signal_share(variance: Floats, noise: Floats) -> Floats:
    """The share of a variance that is not noise."""
    return np.asarray(np.maximum(0.0, variance - noise) / np.maximum(variance, TINY))


def _common_profile(observed: Floats, variance: Floats) -> Floats:
    """The profile if all working days, and both days of the weekend, had the same course at levels of their own."""
    routes = observed.shape[0]
    days = observed.reshape(routes, DAYS_PER_WEEK, HOURS_PER_DAY)
    day_variance = variance.reshape(routes, DAYS_PER_WEEK, HOURS_PER_DAY)
    common = np.empty_like(days)
    for kind in (WORKING_DAYS, WEEKEND):
        common[:, kind] = _common_days(days[:, kind], day_variance[:, kind])
    return common.reshape(routes, HOURS_PER_WEEK)


def _common_days(days: Floats, variance: Floats) -> Floats:
    """The days' levels, shrunk towards each other, times their common course, shrunk to a smooth one."""
    level = days.mean(axis=2, keepdims=True)
    mean_level = level.mean(axis=1, keepdims=True)
    level_variance = ((level - mean_level) ** 2).mean(axis=1, keepdims=True)
    mean_variance = variance.mean(axis=(1, 2), keepdims=True)
    level_trust = _signal_share(level_variance, mean_variance * SHARED_DAY_NOISE)
    course = days.mean(axis=1, keepdims=True) / np.maximum(mean_level, MIN_DAY_LEVEL)
    smooth = (np.roll(course, 1, axis=2) + 2 * course + np.roll(course, -1, axis=2)) / 4
    roughness = ((course - smooth) ** 2).mean(axis=2, keepdims=True)
    course_noise = mean_variance / days.shape[1] / np.maximum(mean_level, MIN_DAY_LEVEL) ** 2
    course_trust = _signal_share(roughness, course_noise)
    shrunk_level = mean_level + level_trust * (level - mean_level)
    return np.asarray(shrunk_level * (smooth + course_trust * (course - smooth)))
