"""Rolling forecast: recomputed every six hours, and corrected with the actual demand after each closed hour."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Protocol

from ..forecasting.demand_counts import decode_key
from ..forecasting.demand_ledger import DemandLedger
from ..forecasting.hourly_series import HourlySeries
from .errors import ForecastError

if TYPE_CHECKING:
    from ..forecasting.weekly_forecast import WeeklyForecast

REFRESH_INTERVAL_H = 6

ForecastCallback = Callable[["WeeklyForecast | ForecastError"], None]


UpdateCallback = Callable[["WeeklyForecast", int], None]


class ForecastCalculator(Protocol):
    """Computes forecasts in a thread. Each callback is called once, with the forecast or an error."""

    def calculate_forecast(
        self,
        series: Mapping[str, HourlySeries],
        customers: Mapping[str, str],
        first_hour: int,
        callback: ForecastCallback,
    ) -> None:
        """See `weekly_forecast.forecast_week`."""

    def calculate_correction(
        self, forecast: WeeklyForecast, actual: Mapping[str, list[float]], callback: ForecastCallback
    ) -> None:
        """See `intraday_correction.correct_with_actuals`."""


class RollingForecast:
    """Keeps the forecast up to date with the ledger.

    Attributes:
        latest: Latest forecast, including its correction; None before the first one.
        error: Error of the last calculation, after which `latest` is outdated; None if it succeeded.
    """

    def __init__(self, calculator: ForecastCalculator, on_update: UpdateCallback) -> None:
        """:param on_update: Called with each new `latest` and the first hour whose counts it does not include."""
        self.latest: WeeklyForecast | None = None
        self.error: ForecastError | None = None
        self._calculator = calculator
        self._on_update = on_update
        self._uncorrected: WeeklyForecast | None = None  # Forecast that corrections are applied to.
        self._is_calculating = self._is_stopped = False
        self._is_outdated = False  # Whether the history has changed since the running calculation started.
        self._known_until_hour = 0  # The last forecast includes the counts before this hour.

    def stop(self) -> None:
        """Discard the result of a running calculation."""
        self._is_stopped = True

    def invalidate(self) -> None:
        """Recompute the forecast at the next update, because its history has changed."""
        self._uncorrected = None
        self._known_until_hour = 0
        self._is_outdated = self._is_calculating

    def update(self, ledger: DemandLedger) -> None:
        """Start a calculation if hours were closed since the last forecast."""
        hour = ledger.next_hour
        base = self._uncorrected
        if self._is_calculating or not ledger.series or hour <= self._known_until_hour:
            return
        self._is_calculating = True
        if base is None or hour - base.first_hour >= REFRESH_INTERVAL_H:
            self._calculate_forecast(ledger, hour)
        else:
            self._calculate_correction(ledger, base, hour)

    def _calculate_forecast(self, ledger: DemandLedger, hour: int) -> None:
        def done(result: WeeklyForecast | ForecastError) -> None:
            if isinstance(result, ForecastError):
                return self._failed(result, hour)
            if not self._is_outdated:
                self._uncorrected = result
            return self._succeeded(result, hour)

        customers = {route: decode_key(route).customer for route in ledger.series}
        self._calculator.calculate_forecast(dict(ledger.series), customers, hour, done)

    def _calculate_correction(self, ledger: DemandLedger, base: WeeklyForecast, hour: int) -> None:
        def done(result: WeeklyForecast | ForecastError) -> None:
            if isinstance(result, ForecastError):
                return self._failed(result, hour)
            return self._succeeded(result, hour)

        first_hour = base.first_hour
        actual = {
            route: series.demand_since(first_hour)
            for route, series in ledger.series.items()
            if series.first_hour <= first_hour
        }
        self._calculator.calculate_correction(base, actual, done)

    def _failed(self, error: ForecastError, hour: int) -> None:
        if self._finish_calculation(hour):
            self.error = error

    def _succeeded(self, forecast: WeeklyForecast, hour: int) -> None:
        if self._finish_calculation(hour):
            self.error = None
            self.latest = forecast
            self._on_update(forecast, hour)

    def _finish_calculation(self, hour: int) -> bool:
        """Record that a calculation has ended. Return whether its result is used.

        A result is also used if the history has changed since; the next update then starts another calculation.
        """
        self._is_calculating = False
        if not self._is_outdated:
            self._known_until_hour = hour
        self._is_outdated = False
        return not self._is_stopped
