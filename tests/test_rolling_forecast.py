"""When the forecast is made anew, when it is corrected, and when it stays as it is."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

import numpy as np

from moorusher.forecast_service.errors import ForecastNotReadyError
from moorusher.forecast_service.rolling_forecast import REFRESH_INTERVAL_H, RollingForecast
from moorusher.forecasting.demand_counts import BUCKETS_PER_HOUR, DemandCounts, RouteKey, encode_key
from moorusher.forecasting.demand_ledger import DemandLedger
from moorusher.forecasting.weekly_forecast import WeeklyForecast

FIRST_HOUR = 500_000
ROUTE = encode_key(RouteKey("acme", 1, "main", "z"))


def forecast_from(first_hour: int) -> WeeklyForecast:
    return WeeklyForecast(first_hour, (ROUTE,), np.ones((3, 1, 168)), ("any",), {})


class Calculator:
    """Calculations that wait until the test says what came of them."""

    def __init__(self) -> None:
        self.forecasts: list[tuple[int, Callable[[Any], None]]] = []
        self.corrections: list[tuple[Mapping[str, list[float]], Callable[[Any], None]]] = []

    def calculate_forecast(self, series: Any, customers: Any, first_hour: int, callback: Any) -> None:
        self.forecasts.append((first_hour, callback))

    def calculate_correction(self, forecast: Any, actual: Any, callback: Any) -> None:
        self.corrections.append((actual, callback))

    def finish_forecast(self) -> int:
        """Return from which hour on it was."""
        first_hour, callback = self.forecasts.pop()
        callback(forecast_from(first_hour))
        return first_hour


class Course:
    """A ledger of one route, and the forecast that follows it."""

    def __init__(self) -> None:
        self.calculator = Calculator()
        self.updates: list[int] = []
        self.forecast = RollingForecast(self.calculator, lambda forecast, hour: self.updates.append(hour))
        self.ledger = DemandLedger({"n0": "z"})
        self.ledger.import_history(ROUTE, FIRST_HOUR - 100, [40] * 100, 1.0, 1.0)
        self.close_hours(0)

    def close_hours(self, count: int) -> None:
        """As many hours as that are closed, from `FIRST_HOUR` on."""
        series = self.ledger.series[ROUTE]
        for hour in range(series.first_hour + len(series.requests), FIRST_HOUR + count):
            series.append(hour, DemandCounts(40), 1.0)
        self.ledger.next_bucket = (FIRST_HOUR + count) * BUCKETS_PER_HOUR

    def update(self) -> None:
        self.forecast.update(self.ledger)


def test_it_is_corrected_each_hour_and_made_anew_after_some() -> None:
    course = Course()
    course.update()
    course.update()
    assert len(course.calculator.forecasts) == 1, "one calculation at a time"
    assert course.calculator.finish_forecast() == FIRST_HOUR
    course.update()
    assert not course.calculator.forecasts
    assert not course.calculator.corrections, "nothing was closed since"
    course.close_hours(1)
    course.update()
    actual, callback = course.calculator.corrections.pop()
    assert actual == {ROUTE: [40.0]}
    callback(forecast_from(FIRST_HOUR))
    course.close_hours(REFRESH_INTERVAL_H)
    course.update()
    assert course.calculator.finish_forecast() == FIRST_HOUR + REFRESH_INTERVAL_H
    assert course.updates == [FIRST_HOUR, FIRST_HOUR + 1, FIRST_HOUR + REFRESH_INTERVAL_H]


def test_a_calculation_that_fails_is_tried_again_with_the_next_hour() -> None:
    course = Course()
    course.update()
    error = ForecastNotReadyError("it could not be worked out: no reason")
    course.calculator.forecasts.pop()[1](error)
    assert course.forecast.error is error
    course.update()
    assert not course.calculator.forecasts
    course.close_hours(1)
    course.update()
    course.calculator.finish_forecast()
    assert course.forecast.error is None
    assert course.updates == [FIRST_HOUR + 1]


def test_what_is_calculated_when_the_term_ends_is_dropped() -> None:
    course = Course()
    course.update()
    course.forecast.stop()
    course.calculator.finish_forecast()
    assert course.forecast.latest is None
    assert not course.updates


def test_a_history_that_is_imported_during_a_calculation_is_forecast_from_at_once() -> None:
    """An operator imports two files, one after the other, and the second arrives while a forecast from the first is
    being calculated. Its result was taken for up to date: the second file counted for nothing for up to six hours."""
    course = Course()
    course.update()
    course.forecast.invalidate()
    course.calculator.finish_forecast()
    course.update()
    assert course.calculator.finish_forecast() == FIRST_HOUR
    course.update()
    assert not course.calculator.forecasts
