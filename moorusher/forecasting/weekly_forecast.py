"""Forecast of the next week for many routes, customer by customer.

The same history gives bit-identical results on every runner: nothing is random, and each customer's routes are
processed separately, in the order of their names.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace

import numpy as np

from .arrays import Floats
from .day_type_factors import day_type_factors
from .ensemble import forecast_ensemble
from .hourly_series import FULL_COVERAGE, HourlySeries
from .policy import Calendar
from .preprocessing import mask_before_first_request, scale_to_full_hours, training_history
from .quantile_levels import QUANTILES
from .quantiles import forecast_quantiles
from .seasonality import ORDINARY_DAY, day_types, hours_of_week
from .time_units import HOURS_PER_WEEK

# Known hours that are required to forecast a route.
MIN_KNOWN_HOURS = 48


@dataclass(frozen=True, slots=True)
class RouteForecast:
    """Forecast of one route.

    Attributes:
        route: Encoded key of the route.
        quantiles: Requests per hour, (quantiles, 168).
        main_model: Name of the model with the largest weight.
    """

    route: str
    quantiles: Floats
    main_model: str


@dataclass(frozen=True, slots=True)
class WeeklyForecast:
    """Forecast of 168 hours.

    Attributes:
        first_hour: Hours since 1970, UTC.
        routes: Encoded keys of the routes, in the order of the arrays.
        quantiles: Requests per hour, (quantiles, routes, 168); see `quantile_levels.QUANTILES`.
        main_models: Name of the model with the largest weight, for each route.
        skipped: Routes with too little known history, with the reason.
    """

    first_hour: int
    routes: tuple[str, ...]
    quantiles: Floats
    main_models: tuple[str, ...]
    skipped: Mapping[str, str]

    def by_route(self) -> Iterator[RouteForecast]:
        """Yield the forecast of each route."""
        for index, route in enumerate(self.routes):
            yield RouteForecast(route, self.quantiles[:, index], self.main_models[index])

    def quantiles_of(self, route: str) -> Floats:
        """Return the quantiles of one route, (quantiles, 168).

        :raises ValueError: if the route has no forecast.
        """
        return np.asarray(self.quantiles[:, self.routes.index(route)])


@dataclass(frozen=True, slots=True)
class _Counts:
    """Counts of several routes over the same hours.

    Attributes:
        first_hour: Hours since 1970, UTC.
        requests: Counted requests, (routes, hours).
        coverage: Counted share of each hour, (routes, hours).
    """

    first_hour: int
    requests: Floats
    coverage: Floats


@dataclass(frozen=True, slots=True)
class _CustomerForecast:
    """Forecast of a customer's routes: main model of each route, and quantiles, (quantiles, routes, 168)."""

    main_models: list[str]
    quantiles: Floats


def forecast_week(
    series: Mapping[str, HourlySeries],
    customers: Mapping[str, str],
    first_hour: int,
    calendars: Mapping[str, Calendar],
) -> WeeklyForecast:
    """Forecast the 168 hours from `first_hour` on (since 1970, UTC).

    :param series: Series by route.
    :param customers: Customer of each route.
    :param calendars: Calendars by customer; the default is UTC without special days.
    """
    routes: list[str] = []
    main_models: list[str] = []
    ordered_routes = sorted(series, key=lambda name: (customers[name], name))
    skipped = {name: reason for name in ordered_routes if (reason := _skip_reason(series[name]))}
    quantiles = [np.zeros((len(QUANTILES), 0, HOURS_PER_WEEK))]
    for customer in sorted(set(customers.values())):
        customer_routes = [
            name for name in ordered_routes if customers[name] == customer and name not in skipped
        ]
        if not customer_routes:
            continue
        counts = _align_counts({name: series[name] for name in customer_routes}, first_hour)
        calendar = calendars.get(customer, Calendar())
        forecast = _forecast_customer(counts, calendar)
        routes += customer_routes
        main_models += forecast.main_models
        quantiles.append(forecast.quantiles)
    return WeeklyForecast(
        first_hour, tuple(routes), np.concatenate(quantiles, axis=1), tuple(main_models), skipped
    )


def _skip_reason(series: HourlySeries) -> str | None:
    known = sum(2 * coverage >= FULL_COVERAGE for coverage in series.coverage)
    if known >= MIN_KNOWN_HOURS:
        return None
    return f"{known} hours are known of it, and {MIN_KNOWN_HOURS} are needed"


def _align_counts(series: Mapping[str, HourlySeries], end_hour: int) -> _Counts:
    """Return the counts from the first hour of any route up to, but not including, `end_hour`.

    Unknown hours have 0 requests and a coverage of 0.
    """
    first_hour = min(route_series.first_hour for route_series in series.values())
    shape = (len(series), end_hour - first_hour)
    requests, coverage = np.zeros(shape), np.zeros(shape)
    for row, route_series in enumerate(series.values()):
        length = min(len(route_series.requests), end_hour - route_series.first_hour)
        start = route_series.first_hour - first_hour
        requests[row, start : start + length] = route_series.requests[:length]
        coverage[row, start : start + length] = (
            np.asarray(route_series.coverage[:length], float) / FULL_COVERAGE
        )
    return _Counts(first_hour, requests, coverage)


def _forecast_customer(counts: _Counts, calendar: Calendar) -> _CustomerForecast:
    """Return the forecast of an ordinary week, multiplied by the factors of special days."""
    hours = counts.requests.shape[1]
    hour_of_week = hours_of_week(counts.first_hour, hours + HOURS_PER_WEEK, calendar.time_zone)
    past_hour_of_week = hour_of_week[:hours]
    types = day_types(counts.first_hour, hours + HOURS_PER_WEEK, calendar)
    past_types = replace(types, by_hour=types.by_hour[:hours])
    # Special days must not be classified as outliers, and must not affect the forecast of ordinary days.
    ordinary_coverage = np.where(past_types.by_hour[None, :] == ORDINARY_DAY, counts.coverage, 0.0)
    history = training_history(counts.requests, ordinary_coverage, past_hour_of_week)
    ensemble = forecast_ensemble(history, hour_of_week)
    quantiles = forecast_quantiles(ensemble)
    if len(types.names) > 1:
        with_special_days = mask_before_first_request(scale_to_full_hours(counts.requests, counts.coverage))
        factors = day_type_factors(with_special_days, past_hour_of_week, past_types)
        quantiles = quantiles * factors[:, types.by_hour[hours:]][None]
    main_models = [ensemble.model_names[model] for model in ensemble.weights.argmax(axis=0)]
    return _CustomerForecast(main_models, quantiles)
