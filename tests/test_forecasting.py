"""Weekly forecasts: seasonality, preprocessing, levels and trends, models, quantiles and special days."""

from __future__ import annotations

import warnings
from datetime import UTC, datetime
from typing import Any

import numpy as np
import pytest

from moorusher.forecasting.arrays import nan_median
from moorusher.forecasting.ensemble import forecast_ensemble
from moorusher.forecasting.hourly_series import FULL_COVERAGE, HourlySeries
from moorusher.forecasting.intraday_correction import correct_with_actuals
from moorusher.forecasting.level_adjustment import adjust_to_current_level
from moorusher.forecasting.models import BASELINE, MODELS
from moorusher.forecasting.outliers import outlier_hours
from moorusher.forecasting.policy import Calendar
from moorusher.forecasting.preprocessing import (
    mask_before_first_request,
    scale_to_full_hours,
    training_history,
)
from moorusher.forecasting.quantiles import forecast_quantiles
from moorusher.forecasting.seasonality import day_types, hours_of_week
from moorusher.forecasting.time_units import HOURS_PER_DAY, HOURS_PER_WEEK
from moorusher.forecasting.training_window import TrainingWindow
from moorusher.forecasting.weekly_forecast import forecast_week
from moorusher.lab.demand_series import draw_series

FIRST_HOUR = 491_000 - 491_000 % HOURS_PER_WEEK
HOURS = 8 * HOURS_PER_WEEK  # Length of a history.
HOUR_OF_WEEK = hours_of_week(FIRST_HOUR, HOURS + HOURS_PER_WEEK, "UTC")
PAST_HOUR_OF_WEEK = HOUR_OF_WEEK[:HOURS]
SATURDAY = 5 * HOURS_PER_DAY  # First hour of Saturday, as an hour of the week.


def steady_demand(level: float = 200.0, noise: float = 0.0, seed: int = 1) -> Any:
    """Return counts of nine weeks at a constant level, with daily seasonality and lower demand at weekends."""
    rng = np.random.default_rng(seed)
    profile = 1 + 0.5 * np.sin(2 * np.pi * HOUR_OF_WEEK / HOURS_PER_DAY) - 0.3 * (HOUR_OF_WEEK >= SATURDAY)
    return rng.poisson(level * profile * rng.lognormal(0, noise, len(HOUR_OF_WEEK))).astype(float)


def steady_history() -> Any:
    """Return the first eight weeks of `steady_demand`, with shape (1, hours)."""
    return steady_demand()[None, :HOURS].copy()


def forecast_of(demand: Any) -> Any:
    """Return the forecast of the last week of a demand series from the weeks before it."""
    past = len(demand) - HOURS_PER_WEEK
    history = training_history(demand[None, :past], np.ones((1, past)), HOUR_OF_WEEK[:past])
    return forecast_ensemble(history, HOUR_OF_WEEK)


def series_of(demand: Any, first_hour: int = FIRST_HOUR) -> HourlySeries:
    """Return a series in which all hours were counted completely."""
    series = HourlySeries(first_hour, core_us=1000.0, priority_weight=2.0)
    series.requests.extend(int(requests) for requests in demand)
    series.coverage.extend([FULL_COVERAGE] * len(demand))
    return series


# ---- seasonality ----


def hour_at(year: int, month: int, day: int, hour: int = 0) -> int:
    return int(datetime(year, month, day, hour, tzinfo=UTC).timestamp()) // 3600


def test_hours_of_the_week_follow_local_time_through_both_clock_changes() -> None:
    # In Copenhagen, clocks skip 2:00 at 2026-03-29 1:00 UTC, and repeat it at 2026-10-25 1:00 UTC.
    spring = hours_of_week(hour_at(2026, 3, 28, 23), 5, "Europe/Copenhagen")
    assert [hour - 144 for hour in spring] == [0, 1, 3, 4, 5]
    autumn = hours_of_week(hour_at(2026, 10, 24, 23), 5, "Europe/Copenhagen")
    assert [hour - 144 for hour in autumn] == [1, 2, 2, 3, 4]
    assert list(hours_of_week(hour_at(2026, 11, 30), 3, "UTC")) == [0, 1, 2], "a Monday"
    with pytest.raises(ValueError, match="no such time zone: 'Atlantis'"):
        hours_of_week(0, 1, "Atlantis")


def test_special_days_begin_and_end_at_midnight_in_the_customers_time_zone() -> None:
    calendar = Calendar("Europe/Copenhagen", {"2026-12-24": "holiday"})
    types = day_types(hour_at(2026, 12, 23, 22), 28, calendar)
    assert types.names == ("", "holiday")
    assert list(np.flatnonzero(types.by_hour)) == list(range(1, 25))


# ---- preprocessing ----


def test_median_ignores_unknown_values() -> None:
    rng = np.random.default_rng(1)
    for axis, shape in ((1, (5, 7)), (2, (3, 2, 6)), (1, (4, 1, 3))):
        values = np.where(rng.random(shape) < 0.4, np.nan, rng.random(shape))
        with warnings.catch_warnings():
            warnings.simplefilter("ignore", RuntimeWarning)
            assert np.allclose(nan_median(values, axis), np.nanmedian(values, axis=axis), equal_nan=True)


def test_gaps_outages_and_traffic_spikes_are_excluded_and_a_level_shift_is_not() -> None:
    history = steady_history()
    coverage = np.ones_like(history)
    coverage[0, 50:60] = 0.3
    scaled = scale_to_full_hours(history, coverage)[0]
    assert np.isnan(scaled[50:60]).all()
    assert np.isfinite(scaled[60:]).all()
    disturbed = history.copy()
    disturbed[0, 500:510] = 0.0
    disturbed[0, 700:705] += 2_000
    outliers = outlier_hours(disturbed, PAST_HOUR_OF_WEEK)[0]
    assert outliers[700:705].all()
    assert outliers[500:510].sum() >= 5
    assert outliers.sum() <= 15
    higher = history.copy()
    higher[0, -5 * HOURS_PER_DAY :] *= 4
    assert not outlier_hours(higher, PAST_HOUR_OF_WEEK)[0, -5 * HOURS_PER_DAY :].any()


def test_demand_of_a_route_is_unknown_before_its_first_request() -> None:
    history = np.zeros((2, 10))
    history[0, 4] = 3
    masked = mask_before_first_request(history)
    assert np.isnan(masked[0, :4]).all()
    assert np.isfinite(masked[0, 4:]).all()
    assert np.isnan(masked[1]).all()


# ---- levels ----


def test_level_shift_is_removed_from_the_history_before_it() -> None:
    history = steady_history()
    history[0, -3 * HOURS_PER_DAY :] *= 2.5
    adjusted = adjust_to_current_level(history, PAST_HOUR_OF_WEEK)
    assert adjusted.log_shift[0, -4 * HOURS_PER_DAY] == pytest.approx(np.log(2.5), abs=0.1)
    assert not adjusted.log_shift[0, -2 * HOURS_PER_DAY :].any()
    assert adjusted.demand[0, :500].mean() == pytest.approx(2.5 * history[0, :500].mean(), rel=0.1)


def test_trend_is_estimated_and_is_near_0_for_a_steady_history() -> None:
    growing = steady_history() * np.exp(0.1 * np.arange(HOURS) / HOURS_PER_WEEK)
    assert adjust_to_current_level(growing, PAST_HOUR_OF_WEEK).trend[0, 0] == pytest.approx(0.1, abs=0.02)
    assert abs(adjust_to_current_level(steady_history(), PAST_HOUR_OF_WEEK).trend[0, 0]) < 0.02


@pytest.mark.parametrize("known_weeks", [1, 2])
def test_weekend_is_not_a_level_shift_in_a_short_history(known_weeks: int) -> None:
    """In a history of one week, low demand at the weekend after five working days looks like a drop of the level."""
    demand = steady_demand() * np.where(HOUR_OF_WEEK >= SATURDAY, 0.2, 1.0)
    known = known_weeks * HOURS_PER_WEEK
    history = np.full((1, HOURS), np.nan)
    history[0, -known:] = demand[HOURS - known : HOURS]
    assert not adjust_to_current_level(history, PAST_HOUR_OF_WEEK).log_shift.any()


# ---- forecasts ----


def test_ensemble_beats_the_seasonal_naive_baseline_on_noisy_demand() -> None:
    demand = steady_demand(noise=0.2)
    forecast = forecast_of(demand)
    actual = demand[HOURS:]
    error = np.abs(forecast.mean[0] - actual).mean()
    assert error < 0.85 * np.abs(demand[HOURS - HOURS_PER_WEEK : HOURS] - actual).mean()
    assert forecast.weights[:, 0].sum() == pytest.approx(1)
    assert forecast.weights[forecast.model_names.index(BASELINE), 0] < 0.2


def test_only_the_baseline_is_used_if_all_weeks_are_equal() -> None:
    week = np.random.default_rng(3).integers(0, 500, HOURS_PER_WEEK).astype(float)
    demand = np.tile(week, 9)
    assert np.array_equal(forecast_of(demand).mean[0], demand[HOURS:])


def test_forecast_of_a_route_does_not_depend_on_other_routes() -> None:
    one, other = steady_demand(seed=1), steady_demand(40.0, 0.3, seed=2)
    both = np.stack([one, other])[:, :HOURS]
    history = training_history(both, np.ones_like(both), PAST_HOUR_OF_WEEK)
    together = forecast_ensemble(history, HOUR_OF_WEEK)
    assert np.allclose(together.mean[0], forecast_of(one).mean[0])
    assert np.allclose(together.mean[1], forecast_of(other).mean[0])


@pytest.mark.parametrize("kind", ["office", "rare", "floods", "gaps", "new"])
def test_quantiles_are_ordered_and_not_negative(kind: str) -> None:
    drawn = draw_series(7, kind)
    hour_of_week = hours_of_week(drawn.first_hour, HOURS + HOURS_PER_WEEK, drawn.calendar.time_zone)
    requests, coverage = drawn.requests[None, :HOURS], drawn.counted[None, :HOURS]
    history = training_history(requests, coverage, hour_of_week[:HOURS])
    quantiles = forecast_quantiles(forecast_ensemble(history, hour_of_week))
    assert np.isfinite(quantiles).all()
    assert (quantiles >= 0).all()
    assert (quantiles[0] <= quantiles[1]).all()
    assert (quantiles[1] <= quantiles[2]).all()
    assert 0.6 < (drawn.requests[HOURS:] <= quantiles[1, 0]).mean() <= 1.0


@pytest.mark.parametrize("known_hours", [0, 1, 30, 100])
def test_models_return_finite_forecasts_for_a_short_or_unknown_history(known_hours: int) -> None:
    history = np.full((3, HOURS_PER_WEEK), np.nan)
    history[0, HOURS_PER_WEEK - known_hours :] = 5.0
    history[1, HOURS_PER_WEEK - known_hours :] = 0.0
    for model in MODELS.values():
        assert np.isfinite(model(TrainingWindow(history, HOUR_OF_WEEK[: 2 * HOURS_PER_WEEK]))).all()


def test_special_days_are_forecast_from_days_of_their_type_and_do_not_affect_ordinary_days() -> None:
    demand = steady_demand()
    dates = [
        datetime.fromtimestamp((FIRST_HOUR + hour) * 3600, UTC).date().isoformat()
        for hour in range(HOURS + HOURS_PER_WEEK)
    ]
    exam_dates = {dates[3 * HOURS_PER_WEEK + 26], dates[5 * HOURS_PER_WEEK + 50], dates[HOURS + 74]}
    is_exam = np.array([date in exam_dates for date in dates])
    demand[is_exam] *= 3

    def median_forecast(types_of_days: dict[str, str]) -> Any:
        calendars = {"acme": Calendar("UTC", types_of_days)}
        series = {"r": series_of(demand[:HOURS])}
        return forecast_week(series, {"r": "acme"}, FIRST_HOUR + HOURS, calendars).quantiles_of("r")[0]

    with_calendar, without = median_forecast(dict.fromkeys(exam_dates, "exam")), median_forecast({})
    exam_ahead = is_exam[HOURS:]
    assert with_calendar[exam_ahead].sum() > 2.2 * without[exam_ahead].sum()
    assert with_calendar[~exam_ahead].sum() == pytest.approx(demand[HOURS:][~exam_ahead].sum(), rel=0.05)


@pytest.mark.parametrize("hours", [48, 100, 287, 288])
def test_customer_with_a_short_history_is_forecast_and_does_not_prevent_other_forecasts(hours: int) -> None:
    """With less than twelve days of history the backtest has no origin and therefore no errors. The median of an empty
    array raised IndexError, so no customer had a forecast until the newest customer had twelve days of history."""
    demand = steady_demand()
    forecast = forecast_week(
        {"new": series_of(demand[:hours], FIRST_HOUR + HOURS - hours), "old": series_of(demand[:HOURS])},
        {"new": "bolt", "old": "acme"},
        FIRST_HOUR + HOURS,
        {},
    )
    assert forecast.routes == ("old", "new")
    assert not forecast.skipped
    assert np.isfinite(forecast.quantiles).all()
    assert (forecast.quantiles_of("new")[2] > forecast.quantiles_of("new")[0]).all()


def test_route_with_too_little_known_history_is_skipped_with_a_reason() -> None:
    demand = steady_demand()
    forecast = forecast_week(
        {"a": series_of(demand[:HOURS]), "b": series_of(demand[:40], FIRST_HOUR + HOURS - 40)},
        {"a": "x", "b": "x"},
        FIRST_HOUR + HOURS,
        {},
    )
    assert forecast.routes == ("a",)
    assert "40 hours are known of it, and 48 are needed" in forecast.skipped["b"]


def test_forecast_is_corrected_with_the_demand_of_past_hours() -> None:
    """An hour that was not counted must be ignored. If it counted as an hour without demand, it would lower the
    forecast of the following hours."""
    demand = steady_demand()
    forecast = forecast_week({"a": series_of(demand[:HOURS])}, {"a": "x"}, FIRST_HOUR + HOURS, {})
    median = forecast.quantiles_of("a")[0]
    doubled = [2 * float(requests) for requests in median[:3]]
    corrected = correct_with_actuals(forecast, {"a": doubled}).quantiles_of("a")[0]
    assert corrected[3] > 1.6 * median[3]
    assert corrected[40] == pytest.approx(median[40], rel=0.05)
    assert np.array_equal(correct_with_actuals(forecast, {}).quantiles, forecast.quantiles)
    unknown = correct_with_actuals(forecast, {"a": [float("nan"), float("nan")]})
    assert np.array_equal(unknown.quantiles, forecast.quantiles)


def test_partly_counted_hours_are_scaled_or_unknown() -> None:
    series = series_of([100, 100, 100])
    series.coverage[1], series.coverage[2] = FULL_COVERAGE // 2, FULL_COVERAGE // 4
    demand = series.demand_since(FIRST_HOUR)
    assert demand[:2] == [100.0, 200.0]
    assert np.isnan(demand[2])
