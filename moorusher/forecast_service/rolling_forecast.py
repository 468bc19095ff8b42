"""The forecast as it rolls on: made anew every six hours, and in between corrected by each hour that was closed."""

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
    """Works forecasts out, in a thread. Each callback is called once, with the forecast or the reason for none."""

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

    latest: the forecast with its correction; None before the first.
    error: why the last calculation failed; None after one that succeeded. `latest` is out of date then.
    """

    def __init__(self, calculator: ForecastCalculator, on_update: UpdateCallback) -> None:
        """:param on_update: called with each new `latest`, and the first hour that it does not know yet."""
        self.latest: WeeklyForecast | None = None
        self.error: ForecastError | None = None
        self._calculator = calculator
        self._on_update = on_update
        self._uncorrected: WeeklyForecast | None = None  # what corrections are made to
        self._is_calculating = self._is_stopped = False
        self._is_outdated = False  # the history has changed since the calculation under way began
        self._known_until_hour = 0  # closed hours before it are in the last forecast

    def stop(self) -> None:
        """Drop what is being calculated."""
        self._is_stopped = True

    def invalidate(self) -> None:
        """Make the next forecast anew: the history before it has changed."""
        self._uncorrected = None
        self._known_until_hour = 0
        self._is_outdated = self._is_calculating

    def update(self, ledger: DemandLedger) -> None:
        """Calculate, if hours were closed since the last forecast."""
        hour = ledger.next_hour
        base = self._uncorrected
        if self._is_calculating or not ledger.series or hour <= self._known_until_hour:
            return
        self._is_calculating = True
        if base is None or hour - base.first_hour >= REFRESH_INTERVAL_H:
            self._calculate_anew(ledger, hour)
        else:
            self._calculate_correction(ledger, base, hour)

    def _calculate_anew(self, ledger: DemandLedger, hour: int) -> None:
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
        if self._take_result(hour):
            self.error = error

    def _succeeded(self, forecast: WeeklyForecast, hour: int) -> None:
        if self._take_result(hour):
            self.error = None
            self.latest = forecast
            self._on_update(forecast, hour)

    def _take_result(self, hour: int) -> bool:
        """A calculation is over. Return whether its result counts.

        One from a history that has changed meanwhile counts until the next calculation, which follows at once.
        """
        self._is_calculating = False
        if not self._is_outdated:
            self._known_until_hour = hour
        self._is_outdated = False
        return not self._is_stopped
