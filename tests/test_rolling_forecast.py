"""Rolling forecast: when it is recomputed, when it is corrected, and when it is unchanged."""

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


class FakeCalculator:
    """Calculations that are pending until the test calls back with their results."""

    def __init__(self) -> None:
        self.forecasts: list[tuple[int, Callable[[Any], None]]] = []
        self.corrections: list[tuple[Mapping[str, list[float]], Callable[[Any], None]]] = []

    def calculate_forecast(self, series: Any, customers: Any, first_hour: int, callback: Any) -> None:
        self.forecasts.append((first_hour, callback))

    def calculate_correction(self, forecast: Any, actual: Any, callback: Any) -> None:
        self.corrections.append((actual, callback))

    def finish_forecast(self) -> int:
        """Complete the pending forecast, and return its first hour."""
        first_hour, callback = self.forecasts.pop()
        callback(forecast_from(first_hour))
        return first_hour


class ForecastFixture:
    """A ledger of one route, and its rolling forecast."""

    def __init__(self) -> None:
        self.calculator = FakeCalculator()
        self.updates: list[int] = []
        self.forecast = RollingForecast(self.calculator, lambda forecast, hour: self.updates.append(hour))
        self.ledger = DemandLedger({"n0": "z"})
        self.ledger.import_history(ROUTE, FIRST_HOUR - 100, [40] * 100, 1.0, 1.0)
        self.close_hours(0)

    def close_hours(self, count: int) -> None:
        """Close `count` hours from `FIRST_HOUR` on."""
        series = self.ledger.series[ROUTE]
        for hour in range(series.first_hour + len(series.requests), FIRST_HOUR + count):
            series.append(hour, DemandCounts(40), 1.0)
        self.ledger.next_bucket = (FIRST_HOUR + count) * BUCKETS_PER_HOUR

    def update(self) -> None:
        self.forecast.update(self.ledger)


def test_forecast_is_corrected_each_hour_and_recomputed_after_an_interval() -> None:
    fixture = ForecastFixture()
    fixture.update()
    fixture.update()
    assert len(fixture.calculator.forecasts) == 1, "one calculation at a time"
    assert fixture.calculator.finish_forecast() == FIRST_HOUR
    fixture.update()
    assert not fixture.calculator.forecasts
    assert not fixture.calculator.corrections, "no hour was closed since the forecast"
    fixture.close_hours(1)
    fixture.update()
    actual, callback = fixture.calculator.corrections.pop()
    assert actual == {ROUTE: [40.0]}
    callback(forecast_from(FIRST_HOUR))
    fixture.close_hours(REFRESH_INTERVAL_H)
    fixture.update()
    assert fixture.calculator.finish_forecast() == FIRST_HOUR + REFRESH_INTERVAL_H
    assert fixture.updates == [FIRST_HOUR, FIRST_HOUR + 1, FIRST_HOUR + REFRESH_INTERVAL_H]


def test_failed_calculation_is_retried_after_the_next_hour() -> None:
    fixture = ForecastFixture()
    fixture.update()
    error = ForecastNotReadyError("it could not be worked out: no reason")
    fixture.calculator.forecasts.pop()[1](error)
    assert fixture.forecast.error is error
    fixture.update()
    assert not fixture.calculator.forecasts
    fixture.close_hours(1)
    fixture.update()
    fixture.calculator.finish_forecast()
    assert fixture.forecast.error is None
    assert fixture.updates == [FIRST_HOUR + 1]


def test_result_of_a_calculation_is_discarded_after_the_end_of_the_term() -> None:
    fixture = ForecastFixture()
    fixture.update()
    fixture.forecast.stop()
    fixture.calculator.finish_forecast()
    assert fixture.forecast.latest is None
    assert not fixture.updates


def test_history_imported_during_a_calculation_is_used_by_the_next_calculation() -> None:
    """An operator imports two files, and the second arrives while the forecast from the first is being calculated. The
    result of that calculation was treated as current, so the second file had no effect for up to six hours."""
    fixture = ForecastFixture()
    fixture.update()
    fixture.forecast.invalidate()
    fixture.calculator.finish_forecast()
    fixture.update()
    assert fixture.calculator.finish_forecast() == FIRST_HOUR
    fixture.update()
    assert not fixture.calculator.forecasts
