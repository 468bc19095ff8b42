"""Quantiles of each hour's demand (0.5, 0.9, 0.99), estimated from forecast errors in the route's own backtest.

Errors are pooled by lead time and measured in units of a scale that grows with the forecast: counting noise grows with
the square root of the demand, and an error of the level in proportion to the demand. The backtest has few origins
(start times of forecasts), and the errors of one day are correlated, so the quantiles are widened according to the
number of independent errors.
"""

from __future__ import annotations

from dataclasses import dataclass
from itertools import pairwise

import numpy as np

from .arrays import Floats, Ints, nan_median
from .ensemble import EnsembleForecast
from .quantile_levels import HIGH, HIGHEST, MEDIAN, QUANTILES
from .time_units import HOURS_PER_DAY, HOURS_PER_WEEK

# Errors are pooled over the lead times between two consecutive values, in hours.
LEAD_TIME_EDGES_H = (0, 24, 72, HOURS_PER_WEEK)

# Assumed relative error of the forecast level.
LEVEL_ERROR = 0.1
# Lower bound of the forecast in the error scale, in requests per hour.
MIN_MEAN = 0.25
# Number of independent errors that carry as much information as the correlated hourly errors of one day.
INDEPENDENT_ERRORS_PER_DAY = 3.0
# Errors of a route that are required to estimate its quantiles.
MIN_ERRORS = 24
# Quantiles of the standard normal distribution.
NORMAL_QUANTILE = {0.9: 1.2816, 0.99: 2.3263}
# Error quantile, in units of the scale, if too few errors are known.
DEFAULT_QUANTILE = 3.0 * NORMAL_QUANTILE[0.9]
# Highest quantile that can be estimated from few errors.
MAX_EMPIRICAL = 0.9
# Upper bound of a widened quantile.
MAX_WIDENED = 0.995
# Width of the tail from the 0.9 to the 0.99 quantile, relative to that of a normal distribution.
TAIL_WIDTH = 1.15
# Lower bound of the distance from the median to the 0.9 quantile, in units of the scale.
MIN_TAIL = 0.5
# Requests per hour from which the median of a count is approximated by its mean.
MIN_NORMAL_MEAN = 10.0


@dataclass(frozen=True, slots=True)
class _ScaledErrors:
    """Errors in units of `error_scale`.

    Attributes:
        values: Errors, (routes, errors); NaN if unknown.
        days: Number of days that the errors are from, (routes,).
    """

    values: Floats
    days: Ints


def error_scale(forecast: Floats) -> Floats:
    """Return the unit in which errors of a forecast are measured, in requests per hour."""
    return np.sqrt(np.maximum(forecast, MIN_MEAN) + (LEVEL_ERROR * forecast) ** 2)


def forecast_quantiles(forecast: EnsembleForecast) -> Floats:
    """Return the quantiles in requests per hour, (quantiles, routes, 168), in non-decreasing order."""
    quantiles = np.empty((len(QUANTILES), *forecast.mean.shape))
    for start_h, end_h in pairwise(LEAD_TIME_EDGES_H):
        mean = forecast.mean[:, start_h:end_h]
        errors = _scaled_errors(forecast, start_h, end_h)
        quantiles[MEDIAN, :, start_h:end_h] = _median_of_count(mean)
        for index in (HIGH, HIGHEST):
            error = _error_quantile(errors, QUANTILES[index])
            quantiles[index, :, start_h:end_h] = np.maximum(0.0, mean + error[:, None] * error_scale(mean))
    return np.maximum.accumulate(quantiles, axis=0)


def _scaled_errors(forecast: EnsembleForecast, start_h: int, end_h: int) -> _ScaledErrors:
    """Return the backtest errors at lead times from `start_h` up to, but not including, `end_h`, in hours."""
    with np.errstate(all="ignore"):
        scale = error_scale(forecast.backtest_forecasts[:, :, start_h:end_h])
        errors = forecast.backtest_errors[:, :, start_h:end_h] / scale
    origins = np.isfinite(errors).any(axis=2).sum(axis=1)
    days = origins * max(1, (end_h - start_h) // HOURS_PER_DAY)
    return _ScaledErrors(errors.reshape(len(errors), -1), days)


def _median_of_count(mean: Floats) -> Floats:
    """Return the median of a Poisson count. It is 0 for a rarely requested route, which is idle in most hours."""
    small_count_median = np.floor(mean + 1 / 3 - 0.02 / np.maximum(mean, 0.1)).clip(0.0)
    return np.where(mean >= MIN_NORMAL_MEAN, mean, small_count_median)


def _error_quantile(errors: _ScaledErrors, quantile: float) -> Floats:
    """Return the quantile of each route's errors; above `MAX_EMPIRICAL` at least that of a normal tail."""
    error = _empirical_quantile(errors.values, _widen(min(quantile, MAX_EMPIRICAL), errors.days))
    error = np.where(np.isfinite(error), error, DEFAULT_QUANTILE)
    if quantile <= MAX_EMPIRICAL:
        return error
    observed = _empirical_quantile(errors.values, np.full(len(errors.values), quantile))
    median = np.nan_to_num(nan_median(errors.values, 1))
    upper_spread = np.maximum(error - median, MIN_TAIL)
    tail = median + TAIL_WIDTH * upper_spread * NORMAL_QUANTILE[quantile] / NORMAL_QUANTILE[MAX_EMPIRICAL]
    return np.asarray(np.fmax(observed, tail))


def _widen(quantile: float, days: Ints) -> Floats:
    """Return the quantile widened as if one more error, larger than all others, had been observed."""
    count = np.maximum(days * INDEPENDENT_ERRORS_PER_DAY, 1.0)
    return np.asarray(np.minimum(MAX_WIDENED, quantile * (count + 1.0) / count))


def _empirical_quantile(errors: Floats, quantiles: Floats) -> Floats:
    """Return the quantile of each route's errors; NaN if too few are known.

    :param quantiles: Quantile to estimate for each route.
    """
    known = np.isfinite(errors).sum(axis=1)
    return np.array(
        [
            np.nanquantile(row, quantile) if count >= MIN_ERRORS else np.nan
            for row, quantile, count in zip(errors, quantiles, known, strict=True)
        ]
    )
