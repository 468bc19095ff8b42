"""The next week of many routes, customer by customer.

The same history gives the same figures, bit by bit, whichever runner works them out: nothing is random, and routes are
taken in the order of their names, each customer's by themselves.
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

MIN_KNOWN_HOURS = 48  # of a route, to forecast it


@dataclass(frozen=True, slots=True)
class RouteForecast:
    """The forecast of one route.

    route: str, its encoded key.
    quantiles: (quantiles, 168), requests an hour.
    main_model: str, the model with the largest weight.
    """

    route: str
    quantiles: Floats
    main_model: str


@dataclass(frozen=True, slots=True)
class WeeklyForecast:
    """The forecast of 168 hours.

    first_hour: int, hours since 1970, UTC.
    routes: their encoded keys, in the order of the arrays.
    quantiles: (quantiles, routes, 168), requests an hour; see `quantile_levels.QUANTILES`.
    main_models: the model with the largest weight, by route.
    skipped: routes of which too little is known, with the reason.
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
        """Return (quantiles, 168) of one route.

        :raises ValueError: it has no forecast.
        """
        return np.asarray(self.quantiles[:, self.routes.index(route)])


@dataclass(frozen=True, slots=True)
class _Counts:
    """Counts of several routes over the same hours.

    first_hour: int, hours since 1970, UTC.
    requests: (routes, hours).
    coverage: (routes, hours), the share of each hour that was counted.
    """

    first_hour: int
    requests: Floats
    coverage: Floats


@dataclass(frozen=True, slots=True)
class _CustomerForecast:
    """Of a customer's routes: the model with the largest weight, and (quantiles, routes, 168)."""

    main_models: list[str]
    quantiles: Floats


def forecast_week(
    series: Mapping[str, HourlySeries],
    customers: Mapping[str, str],
    first_hour: int,
    calendars: Mapping[str, Calendar],
) -> WeeklyForecast:
    """Forecast the 168 hours from `first_hour` on (since 1970, UTC).

    :param series: by route.
    :param customers: the customer of each route.
    :param calendars: by customer; one without a calendar has UTC and no special days.
    """
    routes: list[str] = []
    main_models: list[str] = []
    in_order = sorted(series, key=lambda name: (customers[name], name))
    skipped = {name: reason for name in in_order if (reason := _skip_reason(series[name]))}
    quantiles = [np.zeros((len(QUANTILES), 0, HOURS_PER_WEEK))]
    for customer in sorted(set(customers.values())):
        names = [name for name in in_order if customers[name] == customer and name not in skipped]
        if not names:
            continue
        counts = _counts({name: series[name] for name in names}, first_hour)
        calendar = calendars.get(customer, Calendar())
        forecast = _forecast_customer(counts, calendar)
        routes += names
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


def _counts(series: Mapping[str, HourlySeries], end_hour: int) -> _Counts:
    """From the first hour of any of the routes up to, and without, `end_hour`; 0 with no coverage where unknown."""
    first_hour = min(one.first_hour for one in series.values())
    shape = (len(series), end_hour - first_hour)
    requests, coverage = np.zeros(shape), np.zeros(shape)
    for row, one in enumerate(series.values()):
        length = min(len(one.requests), end_hour - one.first_hour)
        start = one.first_hour - first_hour
        requests[row, start : start + length] = one.requests[:length]
        coverage[row, start : start + length] = np.asarray(one.coverage[:length], float) / FULL_COVERAGE
    return _Counts(first_hour, requests, coverage)


def _forecast_customer(counts: _Counts, calendar: Calendar) -> _CustomerForecast:
    """The forecast of an ordinary week, times the factors of special days."""
    hours = counts.requests.shape[1]
    hour_of_week = hours_of_week(counts.first_hour, hours + HOURS_PER_WEEK, calendar.time_zone)
    past_hour_of_week = hour_of_week[:hours]
    types = day_types(counts.first_hour, hours + HOURS_PER_WEEK, calendar)
    past_types = replace(types, by_hour=types.by_hour[:hours])
    # Special days must neither be taken for floods nor teach anything of ordinary ones.
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
