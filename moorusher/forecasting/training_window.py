"""Input of a model: the history up to a forecast's origin (its start time), and the hours of the week."""

from __future__ import annotations

from dataclasses import dataclass
from functools import cached_property

from .arrays import Floats, Ints
from .level_adjustment import AdjustedHistory, adjust_to_current_level
from .seasonal_profile import seasonal_profile
from .time_units import HOURS_PER_WEEK


@dataclass(frozen=True)
class TrainingWindow:
    """History that ends at the forecast origin.

    Attributes:
        demand: Requests, (routes, hours); NaN if unknown.
        hour_of_week: Hour of the week of these hours and of the 168 hours after the origin.
    """

    demand: Floats
    hour_of_week: Ints

    @property
    def past_hour_of_week(self) -> Ints:
        """Hour of the week of each hour of the history."""
        return self.hour_of_week[: self.demand.shape[1]]

    @property
    def horizon_hour_of_week(self) -> Ints:
        """Hour of the week of each of the 168 hours after the origin."""
        origin = self.demand.shape[1]
        return self.hour_of_week[origin : origin + HOURS_PER_WEEK]

    @cached_property
    def adjusted(self) -> AdjustedHistory:
        """The history at the current level."""
        return adjust_to_current_level(self.demand, self.past_hour_of_week)

    @cached_property
    def profile(self) -> Floats:
        """The seasonal profile of the adjusted history, (routes, 168)."""
        return seasonal_profile(self.adjusted.demand, self.past_hour_of_week)
