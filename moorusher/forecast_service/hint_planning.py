"""Computes the scaling hints of each zone from the forecasts of its routes."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

from ..forecasting.demand_counts import decode_key
from ..forecasting.demand_ledger import DemandLedger
from ..forecasting.policy import ScalingPolicy
from ..forecasting.quantile_levels import HIGH, HIGHEST
from ..forecasting.scaling_hints import RouteDemand, ScalingHints, make_hints

if TYPE_CHECKING:
    from ..forecasting.weekly_forecast import RouteForecast, WeeklyForecast


def plan_hints(
    forecast: WeeklyForecast,
    ledger: DemandLedger,
    first_hour: int,
    policy: ScalingPolicy,
    now_ms: int,
    running: Mapping[str, int],
) -> ScalingHints:
    """Return the hints for the hours from `first_hour` (since 1970, UTC) on.

    A route without a forecast adds nothing to the hints of its zone. The zone is skipped only if none of its routes has
    a forecast. If one route without a forecast were enough, each new route would suppress the hints of its zone for its
    first 48 known hours (`MIN_KNOWN_HOURS` in `forecasting/weekly_forecast.py`). A route that has a forecast, but whose
    processor time was never measured, does suppress them; see `make_hints`.

    :param ledger: Ledger with the cost and the priority of each route's requests.
    :param now_ms: Unix time.
    :param running: Number of runners that are up, by zone.
    """
    demands = [
        _route_demand(route_forecast, ledger, first_hour - forecast.first_hour, policy)
        for route_forecast in forecast.by_route()
    ]
    zones = {demand.zone for demand in demands}
    skipped_zones = {
        key.zone: f"{key.label()}: {reason}"
        for key, reason in ((decode_key(route), reason) for route, reason in forecast.skipped.items())
        if key.zone not in zones
    }
    return make_hints(demands, first_hour, policy, now_ms, skipped_zones, running)


def _route_demand(
    forecast: RouteForecast, ledger: DemandLedger, start: int, policy: ScalingPolicy
) -> RouteDemand:
    """Return the demand to plan for from hour `start` of the forecast on, at a higher quantile for high priority."""
    series = ledger.series.get(forecast.route)
    key = decode_key(forecast.route)
    core_us = 0.0 if series is None else series.core_us
    priority_weight = 0.0 if series is None else series.priority_weight
    index = HIGHEST if priority_weight >= policy.priority_threshold else HIGH
    hours = forecast.quantiles[index, start:]
    return RouteDemand(key.label(), key.zone, tuple(float(requests) for requests in hours), core_us)
