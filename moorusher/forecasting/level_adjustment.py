"""Adjustment of a history to the current level: removes its level shifts and its trend."""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np

from .arrays import Floats, Ints
from .level_shifts import remove_level_shifts
from .time_units import HOURS_PER_WEEK
from .trend import weekly_trend


@dataclass(frozen=True, slots=True)
class AdjustedHistory:
    """A history at the level of its last hour.

    Attributes:
        demand: Hourly demand, (routes, hours); NaN if unknown.
        trend: Logarithm of the weekly growth factor, (routes, 1).
        log_shift: Logarithm of the factor that adjusts each hour for the level shifts after it, (routes, hours).
    """

    demand: Floats
    trend: Floats
    log_shift: Floats


def adjust_to_current_level(history: Floats, hour_of_week: Ints) -> AdjustedHistory:
    """Return the history, (routes, hours), without its level shifts and its trend."""
    unshifted = remove_level_shifts(history, hour_of_week)
    trend = weekly_trend(unshifted.demand, hour_of_week)
    weeks_back = np.arange(history.shape[1] - 1, -1, -1) / HOURS_PER_WEEK
    detrended = unshifted.demand * np.exp(trend * weeks_back[None, :])
    return AdjustedHistory(detrended, trend, unshifted.log_shift)
