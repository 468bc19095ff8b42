"""The backtest: what each model would have forecast at earlier origins of a route's own history, and how far off.

Other customers' histories count for nothing.
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
LAST_ORIGIN_H = 48  # before the end of the history
MIN_TRAINING_H = 240  # before an origin
ORIGIN_DECAY = 0.85  # weight of an origin, over that of the next newer one
SAME_LEVEL = 0.01  # difference of log levels that is no shift
MIN_ERROR = 1e-9  # keeps the logarithm of an exact forecast's error finite


@dataclass(frozen=True, slots=True)
class Backtest:
    """Forecasts at earlier origins, the newest one first.

    forecasts: (models, routes, origins, 168).
    actual: (routes, origins, 168), requests; NaN where unknown, or where nobody could have forecast it.
    """

    forecasts: Floats
    actual: Floats

    @property
    def errors(self) -> Floats:
        """Actual less forecast, (models, routes, origins, 168)."""
        return np.asarray(self.actual[None] - self.forecasts)


def run_backtest(window: TrainingWindow, model_names: tuple[str, ...]) -> Backtest:
    """Let the models forecast from each origin with what was known then."""
    routes, hours = window.demand.shape
    origins = _origins(hours)
    forecasts = np.full((len(model_names), routes, len(origins), HOURS_PER_WEEK), np.nan)
    actual = np.full((routes, len(origins), HOURS_PER_WEEK), np.nan)
    for index, origin in enumerate(origins):
        known_then = TrainingWindow(window.demand[:, :origin], window.hour_of_week[: origin + HOURS_PER_WEEK])
        end = min(hours, origin + HOURS_PER_WEEK)
        usable = _usable_hours(window, origin, end)
        actual[:, index, : end - origin] = np.where(usable, window.demand[:, origin:end], np.nan)
        for number, name in enumerate(model_names):
            forecasts[number, :, index] = MODELS[name](known_then)
    return Backtest(forecasts, actual)


def _origins(hours: int) -> list[int]:
    """Hours of the history that models forecast from, the newest first; none in a short one."""
    candidates = (hours - LAST_ORIGIN_H - number * ORIGIN_SPACING_H for number in range(MAX_ORIGINS))
    return [origin for origin in candidates if origin >= MIN_TRAINING_H]


def _usable_hours(window: TrainingWindow, origin: int, end: int) -> Bools:
    """Hours after an origin by which forecasts from it can be judged.

    None after a level shift, which nobody could have foreseen; none from an origin at which a route was known for less
    than a week and for less than half as long as now.
    """
    known_hours = np.isfinite(window.demand).cumsum(axis=1)
    enough = known_hours[:, origin - 1 : origin] >= np.minimum(HOURS_PER_WEEK, known_hours[:, -1:] / 2)
    log_shift = window.adjusted.log_shift
    same_level = np.abs(log_shift[:, origin:end] - log_shift[:, origin - 1 : origin]) < SAME_LEVEL
    return np.asarray(enough & same_level)


def relative_errors(errors: Floats, baseline: int) -> Floats:
    """Return each model's mean absolute error over that of the baseline, (models, routes); NaN where unknown.

    The geometric mean over the origins, newer ones counting more: an origin just before a level shift, where all models
    are far off, says little.

    :param errors: absolute, (models, routes, origins, 168).
    :param baseline: index of the baseline's errors.
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
