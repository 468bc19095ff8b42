"""The correction of a week's forecast by the hours that have passed since it was made."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

import numpy as np

from .quantile_levels import MEDIAN
from .time_units import HOURS_PER_WEEK
from .weekly_forecast import WeeklyForecast

PRIOR_REQUESTS = 20.0  # taken to have come as forecast: a few more or less say little
HALF_LIFE_H = 6.0  # hours ahead after which half of a correction is left


def correct_with_actuals(forecast: WeeklyForecast, actual: Mapping[str, list[float]]) -> WeeklyForecast:
    """Return the forecast with each route's coming hours scaled by what its first hours had over their forecast.

    :param actual: by route, the demand of the hours from `first_hour` on; NaN where unknown.
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
