"""Weekly forecast as a weighted combination of models, with weights from each route's own backtest.

Models are combined because a backtest with few origins (start times of forecasts) separates good models from bad ones,
but can't identify the best one. If the combination doesn't beat the seasonal naive baseline by a margin, only the
baseline is used.
"""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np

from .arrays import Bools, Floats, Ints
from .backtest import Backtest, relative_errors, run_backtest
from .models import BASELINE, MODELS
from .time_units import HOURS_PER_WEEK
from .training_window import TrainingWindow

# A model's weight is inversely proportional to this power of its error.
WEIGHT_EXPONENT = 12.0
# Share of the best model's weight below which a model is excluded.
MIN_WEIGHT = 0.1
# Share of the baseline's error by which the combination's error must be smaller.
MIN_IMPROVEMENT = 0.03


@dataclass(frozen=True, slots=True)
class EnsembleForecast:
    """Combined forecast of several routes, and its errors in the backtest.

    Attributes:
        mean: Expected requests, (routes, 168).
        model_names: Names of the models, in the order of the weights.
        weights: Weights of the models, (models, routes); they add up to 1 for each route.
        backtest_forecasts: Forecasts of the combination, (routes, origins, 168).
        backtest_errors: Actual minus forecast, (routes, origins, 168); NaN if unknown.
        relative_errors: Each model's error divided by the baseline's, (models, routes).
    """

    mean: Floats
    model_names: tuple[str, ...]
    weights: Floats
    backtest_forecasts: Floats
    backtest_errors: Floats
    relative_errors: Floats


def forecast_ensemble(
    history: Floats, hour_of_week: Ints, model_names: tuple[str, ...] = tuple(MODELS)
) -> EnsembleForecast:
    """Forecast the 168 hours after a history.

    :param history: Result of `preprocessing.training_history`, (routes, hours).
    :param hour_of_week: Hour of the week of the history's hours and of the next 168 hours.
    """
    window = TrainingWindow(history, hour_of_week)
    backtest = run_backtest(window, model_names)
    baseline = model_names.index(BASELINE)
    errors = relative_errors(np.abs(backtest.errors), baseline)
    weights = _model_weights(errors, baseline)
    combined = np.einsum("mr,mroh->roh", weights, backtest.forecasts)
    beats_baseline = _beats_baseline(combined, backtest, baseline)
    weights = np.where(beats_baseline[None, :], weights, _baseline_weights(weights.shape, baseline))
    combined = np.where(beats_baseline[:, None, None], combined, backtest.forecasts[baseline])
    mean = np.maximum(_weighted_mean(window, model_names, weights), 0.0)
    return EnsembleForecast(mean, model_names, weights, combined, backtest.actual - combined, errors)


def _weighted_mean(window: TrainingWindow, model_names: tuple[str, ...], weights: Floats) -> Floats:
    """Return the weighted mean of the models' forecasts, (routes, 168). Models without weight are not run."""
    mean = np.zeros((len(window.demand), HOURS_PER_WEEK))
    for model, name in enumerate(model_names):
        if weights[model].any():
            mean = mean + weights[model][:, None] * MODELS[name](window)
    return mean


def _model_weights(errors: Floats, baseline: int) -> Floats:
    """Return the weights, (models, routes), which add up to 1 for each route.

    Only the baseline has weight for a route whose backtest has no known errors, for example because its history is
    short.
    """
    with np.errstate(all="ignore"):
        best = np.nanmin(np.where(np.isfinite(errors), errors, np.nan), axis=0)
        relative = np.nan_to_num((best / errors) ** WEIGHT_EXPONENT)
    relative = np.where(relative >= MIN_WEIGHT, relative, 0.0)
    total = relative.sum(axis=0)
    normalized = relative / np.where(total > 0, total, 1.0)
    return np.where(total > 0, normalized, _baseline_weights(errors.shape, baseline))


def _baseline_weights(shape: tuple[int, ...], baseline: int) -> Floats:
    weights = np.zeros(shape)
    weights[baseline] = 1.0
    return weights


def _beats_baseline(combined: Floats, backtest: Backtest, baseline: int) -> Bools:
    """Return for each route whether the combination beats the baseline by the required margin."""
    with np.errstate(all="ignore"):
        baseline_errors = backtest.actual - backtest.forecasts[baseline]
        errors = np.abs(np.stack([baseline_errors, backtest.actual - combined]))
        return np.asarray(relative_errors(errors, 0)[1] <= 1 - MIN_IMPROVEMENT)
