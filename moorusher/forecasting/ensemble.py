"""The forecast of a week as a weighted combination of models, with weights from each route's own backtest.

Models are weighted, not picked: a few origins tell good models from bad ones, and not the best from the next. Where the
combination doesn't beat the seasonal naive baseline by a margin, the baseline stands alone.
"""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np

from .arrays import Bools, Floats, Ints
from .backtest import Backtest, relative_errors, run_backtest
from .models import BASELINE, MODELS
from .time_units import HOURS_PER_WEEK
from .training_window import TrainingWindow

WEIGHT_EXPONENT = 12.0  # a model's weight falls with that power of its error
MIN_WEIGHT = 0.1  # of the best model's; a model below it is left out
MIN_IMPROVEMENT = 0.03  # share of the baseline's error by which the combination has to beat it


@dataclass(frozen=True, slots=True)
class EnsembleForecast:
    """The combined forecast of several routes, and its errors in the backtest.

    mean: (routes, 168), requests.
    model_names: in the order of the weights.
    weights: (models, routes), of each route with a sum of 1.
    backtest_forecasts: (routes, origins, 168), of the combination.
    backtest_errors: (routes, origins, 168), actual less forecast; NaN where unknown.
    relative_errors: (models, routes), each model's error over the baseline's.
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

    :param history: (routes, hours), as `preprocessing.training_history` returns it.
    :param hour_of_week: of those hours and of the 168 to come.
    """
    window = TrainingWindow(history, hour_of_week)
    backtest = run_backtest(window, model_names)
    baseline = model_names.index(BASELINE)
    errors = relative_errors(np.abs(backtest.errors), baseline)
    weights = _weights(errors, baseline)
    combined = np.einsum("mr,mroh->roh", weights, backtest.forecasts)
    beats_baseline = _beats_baseline(combined, backtest, baseline)
    weights = np.where(beats_baseline[None, :], weights, _baseline_alone(weights.shape, baseline))
    combined = np.where(beats_baseline[:, None, None], combined, backtest.forecasts[baseline])
    mean = np.maximum(_weighted_mean(window, model_names, weights), 0.0)
    return EnsembleForecast(mean, model_names, weights, combined, backtest.actual - combined, errors)


def _weighted_mean(window: TrainingWindow, model_names: tuple[str, ...], weights: Floats) -> Floats:
    """The models' forecasts from now on, (routes, 168); models without weight are not run."""
    mean = np.zeros((len(window.demand), HOURS_PER_WEEK))
    for model, name in enumerate(model_names):
        if weights[model].any():
            mean = mean + weights[model][:, None] * MODELS[name](window)
    return mean


def _weights(errors: Floats, baseline: int) -> Floats:
    """(models, routes), of each route with a sum of 1; the baseline alone where there was no origin to judge by."""
    with np.errstate(all="ignore"):
        best = np.nanmin(np.where(np.isfinite(errors), errors, np.nan), axis=0)
        relative = np.nan_to_num((best / errors) ** WEIGHT_EXPONENT)
    relative = np.where(relative >= MIN_WEIGHT, relative, 0.0)
    total = relative.sum(axis=0)
    normalized = relative / np.where(total > 0, total, 1.0)
    return np.where(total > 0, normalized, _baseline_alone(errors.shape, baseline))


def _baseline_alone(shape: tuple[int, ...], baseline: int) -> Floats:
    weights = np.zeros(shape)
    weights[baseline] = 1.0
    return weights


def _beats_baseline(combined: Floats, backtest: Backtest, baseline: int) -> Bools:
    """Whether the combination has earned its weights, for each route."""
    with np.errstate(all="ignore"):
        baseline_errors = backtest.actual - backtest.forecasts[baseline]
        errors = np.abs(np.stack([baseline_errors, backtest.actual - combined]))
        return np.asarray(relative_errors(errors, 0)[1] <= 1 - MIN_IMPROVEMENT)
