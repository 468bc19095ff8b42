"""Quantiles of each hour's demand (0.5, 0.9, 0.99), from the errors that the forecast made in the route's own backtest.

Errors are grouped by lead time, and measured in units of a scale that grows with the forecast: noise makes the root of
a count, an error of the level a share of it. A few origins have seen little of what can happen, and errors of one day
are correlated, so the quantiles are widened as for as many independent errors as there were.
"""

from __future__ import annotations

from dataclasses import dataclass
from itertools import pairwise

import numpy as np

from .arrays import Floats, Ints, nan_median
from .ensemble import EnsembleForecast
from .quantile_levels import HIGH, HIGHEST, MEDIAN, QUANTILES
from .time_units import HOURS_PER_DAY, HOURS_PER_WEEK

LEAD_TIME_EDGES_H = (0, 24, 72, HOURS_PER_WEEK)  # hours ahead between which errors are pooled

LEVEL_ERROR = 0.1  # share of a forecast by which its level may be wrong
MIN_MEAN = 0.25  # requests an hour, for the scale of an error
INDEPENDENT_ERRORS_PER_DAY = 3.0  # that the correlated errors of a day's hours are worth
MIN_ERRORS = 24  # of a route, to estimate quantiles from them
NORMAL_QUANTILE = {0.9: 1.2816, 0.99: 2.3263}  # of the standard normal distribution
DEFAULT_QUANTILE = 3.0 * NORMAL_QUANTILE[0.9]  # in units of the scale, where too few errors are known
MAX_EMPIRICAL = 0.9  # the highest quantile that few errors can tell
MAX_WIDENED = 0.995  # to which a quantile is widened at most
TAIL_WIDTH = 1.15  # of the tail from 0.9 to 0.99, over a normal one
MIN_TAIL = 0.5  # from the median to the 0.9 quantile, in units of the scale
MIN_NORMAL_MEAN = 10.0  # requests an hour, from which the median of a count is its mean


@dataclass(frozen=True, slots=True)
class _ScaledErrors:
    """Errors in units of `error_scale`.

    values: (routes, errors), NaN where unknown.
    days: (routes,), how many days they are of.
    """

    values: Floats
    days: Ints


def error_scale(forecast: Floats) -> Floats:
    """Return the unit in which errors of such forecasts are measured, in requests an hour."""
    return np.sqrt(np.maximum(forecast, MIN_MEAN) + (LEVEL_ERROR * forecast) ** 2)


def forecast_quantiles(forecast: EnsembleForecast) -> Floats:
    """Return (quantiles, routes, 168), in requests an hour; none is below the one before it."""
    quantiles = np.empty((len(QUANTILES), *forecast.mean.shape))
    for first, end in pairwise(LEAD_TIME_EDGES_H):
        mean = forecast.mean[:, first:end]
        errors = _scaled_errors(forecast, first, end)
        quantiles[MEDIAN, :, first:end] = _median_of_count(mean)
        for index in (HIGH, HIGHEST):
            error = _error_quantile(errors, QUANTILES[index])
            quantiles[index, :, first:end] = np.maximum(0.0, mean + error[:, None] * error_scale(mean))
    return np.maximum.accumulate(quantiles, axis=0)


def _scaled_errors(forecast: EnsembleForecast, first: int, end: int) -> _ScaledErrors:
    """The backtest's errors at the lead times from `first` up to `end`, in hours."""
    with np.errstate(all="ignore"):
        scale = error_scale(forecast.backtest_forecasts[:, :, first:end])
        errors = forecast.backtest_errors[:, :, first:end] / scale
    origins = np.isfinite(errors).any(axis=2).sum(axis=1)
    days = origins * max(1, (end - first) // HOURS_PER_DAY)
    return _ScaledErrors(errors.reshape(len(errors), -1), days)


def _median_of_count(mean: Floats) -> Floats:
    """The median of a Poisson count: a route that is seldom called has none in most hours."""
    small = np.floor(mean + 1 / 3 - 0.02 / np.maximum(mean, 0.1)).clip(0.0)
    return np.where(mean >= MIN_NORMAL_MEAN, mean, small)


def _error_quantile(errors: _ScaledErrors, quantile: float) -> Floats:
    """The quantile of each route's errors; beyond what errors of so few days can tell, from a normal tail."""
    error = _empirical_quantile(errors.values, _widened(min(quantile, MAX_EMPIRICAL), errors.days))
    error = np.where(np.isfinite(error), error, DEFAULT_QUANTILE)
    if quantile <= MAX_EMPIRICAL:
        return error
    observed = _empirical_quantile(errors.values, np.full(len(errors.values), quantile))
    median = np.nan_to_num(nan_median(errors.values, 1))
    reach = np.maximum(error - median, MIN_TAIL)
    tail = median + TAIL_WIDTH * reach * NORMAL_QUANTILE[quantile] / NORMAL_QUANTILE[MAX_EMPIRICAL]
    return np.asarray(np.fmax(observed, tail))


def _widened(quantile: float, days: Ints) -> Floats:
    """The quantile as if one more error, larger than all others, had been seen."""
    count = np.maximum(days * INDEPENDENT_ERRORS_PER_DAY, 1.0)
    return np.asarray(np.minimum(MAX_WIDENED, quantile * (count + 1.0) / count))


def _empirical_quantile(errors: Floats, quantiles: Floats) -> Floats:
    """Each route's own quantile of its errors; NaN where too few are known."""
    known = np.isfinite(errors).sum(axis=1)
    return np.array(
        [
            np.nanquantile(row, quantile) if count >= MIN_ERRORS else np.nan
            for row, quantile, count in zip(errors, quantiles, known, strict=True)
        ]
    )
