"""The backtest: forecasts of each model from earlier times in a route's own history (origins), and their errors.

Histories of other customers have no influence.
"""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np

from .arrays import Bools, Floats
from .models import MODELS
from .time_units import HOURS_PER_WEEK
from .training_window import TrainingWindow

MAX_ORIGINS = 8
ORIGIN_SPACING_H = 60
# Hours from the newest origin to the end of the history.
LAST_ORIGIN_H = 48
# Hours of history required before an origin.
MIN_TRAINING_H = 240
# Weight of an origin, relative to that of the next newer one.
ORIGIN_DECAY = 0.85
# Largest difference of two log levels that are considered equal.
MAX_LEVEL_DIFFERENCE = 0.01
# Lower bound of an error. Keeps the logarithm of an exact forecast's error finite.
MIN_ERROR = 1e-9


@dataclass(frozen=True, slots=True)
class Backtest:
    """Forecasts from earlier origins, newest first.

    Attributes:
        forecasts: Requests, (models, routes, origins, 168).
        actual: Requests, (routes, origins, 168); NaN if unknown, or if no model could have predicted them.
    """

    forecasts: Floats
    actual: Floats

    @property
    def errors(self) -> Floats:
        """Actual minus forecast, (models, routes, origins, 168)."""
        return np.asarray(self.actual[None] - self.forecasts)


def run_backtest(window: TrainingWindow, model_names: tuple[str, ...]) -> Backtest:
    """Forecast from each origin with each model, using only the history before the origin."""
    routes, hours = window.demand.shape
    origins = _origins(hours)
    forecasts = np.full((len(model_names), routes, len(origins), HOURS_PER_WEEK), np.nan)
    actual = np.full((routes, len(origins), HOURS_PER_WEEK), np.nan)
    for origin_index, origin in enumerate(origins):
        training_window = TrainingWindow(
            window.demand[:, :origin], window.hour_of_week[: origin + HOURS_PER_WEEK]
        )
        end = min(hours, origin + HOURS_PER_WEEK)
        usable = _usable_hours(window, origin, end)
        actual[:, origin_index, : end - origin] = np.where(usable, window.demand[:, origin:end], np.nan)
        for model_index, name in enumerate(model_names):
            forecasts[model_index, :, origin_index] = MODELS[name](training_window)
    return Backtest(forecasts, actual)


def _origins(hours: int) -> list[int]:
    """Return the forecast origins as indexes into the history, newest first; none if the history is short."""
    candidates = (hours - LAST_ORIGIN_H - steps_back * ORIGIN_SPACING_H for steps_back in range(MAX_ORIGINS))
    return [origin for origin in candidates if origin >= MIN_TRAINING_H]


def _usable_hours(window: TrainingWindow, origin: int, end: int) -> Bools:
    """Return which hours after an origin are used to evaluate forecasts from it.

    Excludes hours after a level shift, which no model could have predicted. Excludes all hours if, at the origin, the
    route had been known for less than a week and for less than half as long as now.
    """
    known_hours = np.isfinite(window.demand).cumsum(axis=1)
    has_enough_history = known_hours[:, origin - 1 : origin] >= np.minimum(
        HOURS_PER_WEEK, known_hours[:, -1:] / 2
    )
    log_shift = window.adjusted.log_shift
    is_same_level = (
        np.abs(log_shift[:, origin:end] - log_shift[:, origin - 1 : origin]) < MAX_LEVEL_DIFFERENCE
    )
    return np.asarray(has_enough_history & is_same_level)


def relative_errors(errors: Floats, baseline: int) -> Floats:
    """Return each model's mean absolute error divided by the baseline's, (models, routes); NaN if unknown.

    Ratios of the origins are combined by a geometric mean, with larger weights for newer origins. The geometric mean
    limits the influence of an origin just before a level shift, from which all models have large errors.

    :param errors: Absolute errors, (models, routes, origins, 168).
    :param baseline: Index of the baseline model.
    """
    origins = errors.shape[2]
    if not origins:
        return np.full(errors.shape[:2], np.nan)
    with np.errstate(all="ignore"):
        mean_error = np.nanmean(errors, axis=3)
        log_ratio = np.log(np.maximum(mean_error, MIN_ERROR) / np.maximum(mean_error[baseline], MIN_ERROR))
        weight = np.isfinite(errors[baseline]).mean(axis=2) * ORIGIN_DECAY ** np.arange(origins)
        weight = np.where(np.isfinite(log_ratio), weight[None], 0.0)
        total = weight.sum(axis=2)
        mean_log_ratio = np.nansum(log_ratio * weight, axis=2) / np.where(total > 0, total, np.nan)
        return np.asarray(np.exp(mean_log_ratio))
