"""Correction of a weekly forecast by the demand of the hours since it was computed."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

import numpy as np

from .quantile_levels import MEDIAN
from .time_units import HOURS_PER_WEEK
from .weekly_forecast import WeeklyForecast

# Pseudo-count of requests that agree with the forecast. It keeps the correction small if few requests are expected.
PRIOR_REQUESTS = 20.0
# Lead time at which half of the logarithm of the correction is applied.
HALF_LIFE_H = 6.0


def correct_with_actuals(forecast: WeeklyForecast, actual: Mapping[str, list[float]]) -> WeeklyForecast:
    """Return the forecast with each route's remaining hours scaled by the ratio of its actual to its forecast demand.

    :param actual: Demand of the hours from `first_hour` on, by route; NaN if unknown.
    """
    quantiles = forecast.quantiles.copy()
    for index, route in enumerate(forecast.routes):
        requests = np.asarray(actual.get(route, ()), float)
        passed = len(requests)
        known = np.isfinite(requests)
        expected = float(forecast.quantiles[MEDIAN, index, :passed][known].sum())
        if expected > 0:
            ratio = (float(requests[known].sum()) + PRIOR_REQUESTS) / (expected + PRIOR_REQUESTS)
            hours_ahead = np.arange(HOURS_PER_WEEK - passed)
            quantiles[:, index, passed:] *= ratio ** (0.5 ** (hours_ahead / HALF_LIFE_H))
    return replace(forecast, quantiles=quantiles)
