"""Forecast models: each takes a training window and returns the next 168 hours of all its routes, (routes, 168)."""

from __future__ import annotations

from collections.abc import Callable

import numpy as np

from .arrays import Floats, nan_median, ratio_or
from .seasonality import by_week
from .time_units import HOURS_PER_DAY, HOURS_PER_WEEK
from .training_window import TrainingWindow

# Ratio of the trend of a forecast week to that of the week before it (damped trend).
TREND_DAMPING = 0.7
MEDIAN_WEEKS = 4

Model = Callable[[TrainingWindow], Floats]


def seasonal_naive(window: TrainingWindow) -> Floats:
    """Return the demand of the same hour in the last week in which it is known; 0 if it is never known."""
    return _seasonal_naive(window.demand, window)


def _seasonal_naive(demand: Floats, window: TrainingWindow) -> Floats:
    weeks = by_week(demand, window.past_hour_of_week)
    latest = weeks[:, -1].copy()
    for week in range(weeks.shape[1] - 2, -1, -1):
        latest = np.where(np.isfinite(latest), latest, weeks[:, week])
    return np.nan_to_num(latest)[:, window.horizon_hour_of_week]


def seasonal_median(window: TrainingWindow) -> Floats:
    """Return the median of the same hour over the last four weeks, at the current level."""
    demand = window.adjusted.demand
    with np.errstate(all="ignore"):
        median = nan_median(by_week(demand, window.past_hour_of_week)[:, -MEDIAN_WEEKS:], 1)
    forecast = median[:, window.horizon_hour_of_week]
    return np.where(np.isfinite(forecast), forecast, _seasonal_naive(demand, window))


def profile_and_level(window: TrainingWindow, half_life_days: float, with_trend: bool = True) -> Floats:
    """Return the seasonal profile times the current level, with a damped trend.

    :param half_life_days: Age at which a day has half weight in the level (exponential smoothing).
    """
    level = _current_level(window, half_life_days)
    forecast = level * window.profile[:, window.horizon_hour_of_week]
    if not with_trend:
        return forecast
    weeks_ahead = (np.arange(HOURS_PER_WEEK) + 1) / HOURS_PER_WEEK
    damped_weeks = window.adjusted.trend * (1 - TREND_DAMPING**weeks_ahead) / -np.log(TREND_DAMPING)
    return np.asarray(forecast * np.exp(damped_weeks))


def _current_level(window: TrainingWindow, half_life_days: float) -> Floats:
    """Return the ratio of counted to expected requests, weighted by age, (routes, 1); 0 if nothing is known."""
    demand = window.adjusted.demand
    hours_back = np.arange(demand.shape[1] - 1, -1, -1)
    decay = 0.5 ** (hours_back / (HOURS_PER_DAY * half_life_days))
    known = np.isfinite(demand)
    expected = window.profile[:, window.past_hour_of_week]
    counted = np.sum(np.where(known, demand, 0.0) * decay, axis=1, keepdims=True)
    expected_count = np.sum(np.where(known, expected, 0.0) * decay, axis=1, keepdims=True)
    return ratio_or(counted, expected_count, 0.0)


def _profile_model(half_life_days: float, with_trend: bool = True) -> Model:
    return lambda window: profile_and_level(window, half_life_days, with_trend)


# Name of the seasonal naive model, which the combination of models has to beat.
BASELINE = "same hour last week"
# Models by name. The administration API shows these names.
MODELS: dict[str, Model] = {
    BASELINE: seasonal_naive,
    "usual hour of four weeks": seasonal_median,
    "shape, level of the last day": _profile_model(0.7),
    "shape, level of some days": _profile_model(2.0),
    "shape, level of a week": _profile_model(5.0),
    "shape, level of weeks": _profile_model(14.0),
    "shape, level of some days, no growth": _profile_model(2.0, with_trend=False),
}
