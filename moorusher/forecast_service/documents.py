"""JSON documents of the forecast for the administration API. Their keys are part of the API."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from ..forecasting.demand_counts import decode_key
from ..forecasting.quantile_levels import MEDIAN
from ..forecasting.scaling_hints import ScalingHints
from ..forecasting.time_units import HOURS_PER_DAY

if TYPE_CHECKING:
    from ..forecasting.weekly_forecast import RouteForecast, WeeklyForecast


def forecast_document(
    forecast: WeeklyForecast, hints: ScalingHints | None, term: int, late_reports: int, customer: str
) -> dict[str, Any]:
    """Return the document of one customer's routes, or of all routes if `customer` is "".

    :param term: Term of the leader's lease.
    :param late_reports: Number of reports that arrived after their bucket was closed.
    """
    return {
        "first_hour": forecast.first_hour,
        "term": term,
        "routes": [
            _route_document(route_forecast)
            for route_forecast in forecast.by_route()
            if not customer or decode_key(route_forecast.route).customer == customer
        ],
        "untold": {
            decode_key(route).label(): reason
            for route, reason in forecast.skipped.items()
            if not customer or decode_key(route).customer == customer
        },
        "late": late_reports,
        "hints": None if hints is None else msgspec.to_builtins(hints),
    }


def _route_document(forecast: RouteForecast) -> dict[str, Any]:
    key = decode_key(forecast.route)
    median = forecast.quantiles[MEDIAN]
    return {
        "customer": key.customer,
        "route": key.route,
        "zone": key.zone,
        "model": forecast.main_model,
        "day": [round(float(hours[:HOURS_PER_DAY].sum()), 1) for hours in forecast.quantiles],
        "week": round(float(median.sum()), 1),
        "hours": [round(float(requests), 1) for requests in median],
    }
