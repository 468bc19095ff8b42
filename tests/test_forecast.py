"""Weeks ahead: what is left out of a history, levels and shapes, days of a kind, summer time, steps of hints."""

from __future__ import annotations

import warnings
from datetime import UTC, datetime
from typing import Any

import numpy as np
import pytest

from moorusher.config.forecast import read_forecast
from moorusher.config.section import ConfigError, Section
from moorusher.forecasting.choose import PLAIN, choose, cleaned
from moorusher.forecasting.clean import begun, filled, median, odd_hours
from moorusher.forecasting.hints import Need, cores_of, hints, steps
from moorusher.forecasting.ledger import WHOLE, Series
from moorusher.forecasting.level import levelled
from moorusher.forecasting.models import MODELS, Known
from moorusher.forecasting.policy import Days, Scaling
from moorusher.forecasting.quantiles import quantiles
from moorusher.forecasting.season import WEEK, hours_of_week, kinds_of_days
from moorusher.forecasting.week import corrected, week_ahead
from moorusher.lab.demand_series import draw_series

FIRST = 491_000 - 491_000 % WEEK
HOURS = 8 * WEEK
OF_WEEK = hours_of_week(FIRST, HOURS + WEEK, "UTC")


def steady(level: float = 200.0, noise: float = 0.0, seed: int = 1) -> Any:
    rng = np.random.default_rng(seed)
    shape = 1 + 0.5 * np.sin(2 * np.pi * OF_WEEK / 24) - 0.3 * (OF_WEEK >= 120)
    return rng.poisson(level * shape * rng.lognormal(0, noise, len(OF_WEEK))).astype(float)


# ---- hours ----


def hour_of(year: int, month: int, day: int, hour: int = 0) -> int:
    return int(datetime(year, month, day, hour, tzinfo=UTC).timestamp()) // 3600


def test_hours_are_the_customers_own_through_both_changes_of_its_clocks() -> None:
    # 2026-03-29 1:00 UTC: clocks in Copenhagen skip 2:00; 2026-10-25 1:00 UTC: they repeat it.
    spring = hours_of_week(hour_of(2026, 3, 28, 23), 5, "Europe/Copenhagen")
    assert [h - 144 for h in spring] == [0, 1, 3, 4, 5]
    autumn = hours_of_week(hour_of(2026, 10, 24, 23), 5, "Europe/Copenhagen")
    assert [h - 144 for h in autumn] == [1, 2, 2, 3, 4]
    assert list(hours_of_week(hour_of(2026, 11, 30), 3, "UTC")) == [0, 1, 2], "a Monday"
    with pytest.raises(ValueError, match="no such time zone: 'Atlantis'"):
        hours_of_week(0, 1, "Atlantis")


def test_days_of_a_kind_begin_and_end_at_the_customers_midnight() -> None:
    kinds, names = kinds_of_days(
        hour_of(2026, 12, 23, 22), 28, Days("Europe/Copenhagen", {"2026-12-24": "holiday"})
    )
    assert names == ["", "holiday"] and list(np.flatnonzero(kinds)) == list(range(1, 25))


# ---- what is left out ----


def test_a_median_is_that_of_what_is_known() -> None:
    rng = np.random.default_rng(1)
    for axis, shape in ((1, (5, 7)), (2, (3, 2, 6)), (1, (4, 1, 3))):
        some = np.where(rng.random(shape) < 0.4, np.nan, rng.random(shape))
        with warnings.catch_warnings():
            warnings.simplefilter("ignore", RuntimeWarning)
            assert np.allclose(median(some, axis), np.nanmedian(some, axis=axis), equal_nan=True)


def test_gaps_outages_and_floods_get_no_weight_and_a_new_level_does() -> None:
    y = steady()[None, :HOURS]
    counted = np.ones_like(y)
    counted[0, 50:60] = 0.3
    assert np.isnan(filled(y, counted)[0, 50:60]).all() and np.isfinite(filled(y, counted)[0, 60:]).all()
    odd = y.copy()
    odd[0, 500:510] = 0.0
    odd[0, 700:705] += 2_000
    found = odd_hours(odd, OF_WEEK[:HOURS])[0]
    assert found[700:705].all() and found[500:510].sum() >= 5 and found.sum() <= 15
    higher = y.copy()
    higher[0, -5 * 24 :] *= 4
    assert not odd_hours(higher, OF_WEEK[:HOURS])[0, -5 * 24 :].any()


def test_a_route_was_not_there_before_it_was_first_asked_for() -> None:
    y = np.zeros((2, 10))
    y[0, 4] = 3
    there = begun(y)
    assert np.isnan(there[0, :4]).all() and np.isfinite(there[0, 4:]).all() and np.isnan(there[1]).all()


# ---- levels ----


def test_a_jump_is_taken_out_of_what_was_before_it_and_growth_is_found() -> None:
    y = steady()[None, :HOURS].copy()
    y[0, -3 * 24 :] *= 2.5
    flat = levelled(y, OF_WEEK[:HOURS])
    assert (
        flat.jumps[0, -4 * 24] == pytest.approx(np.log(2.5), abs=0.1) and not flat.jumps[0, -2 * 24 :].any()
    )
    assert flat.y[0, :500].mean() == pytest.approx(2.5 * y[0, :500].mean(), rel=0.1)
    growing = steady()[None, :HOURS] * np.exp(0.1 * np.arange(HOURS) / WEEK)
    assert levelled(growing, OF_WEEK[:HOURS]).growth[0, 0] == pytest.approx(0.1, abs=0.02)
    assert abs(levelled(steady()[None, :HOURS], OF_WEEK[:HOURS]).growth[0, 0]) < 0.02


@pytest.mark.parametrize("known_weeks", [1, 2])
def test_a_weekend_is_no_jump_however_little_is_known(known_weeks: int) -> None:
    y = np.full((1, HOURS), np.nan)
    y[0, -known_weeks * WEEK :] = (steady() * np.where(OF_WEEK >= 120, 0.2, 1.0))[
        HOURS - known_weeks * WEEK : HOURS
    ]
    assert not levelled(y, OF_WEEK[:HOURS]).jumps.any()


# ---- what is said ----


def said(y: Any, hours: Any = OF_WEEK) -> Any:
    past = len(y) - WEEK
    return choose(cleaned(y[None, :past], np.ones((1, past)), hours[:past]), hours)


def test_what_is_said_beats_the_same_hour_of_last_week_where_it_can_and_is_it_where_it_can_not() -> None:
    y = steady(noise=0.2)
    got = said(y)
    off = np.abs(got.ahead[0] - y[HOURS:]).mean()
    assert off < 0.85 * np.abs(y[HOURS - WEEK : HOURS] - y[HOURS:]).mean()
    assert got.weights[:, 0].sum() == pytest.approx(1) and got.weights[got.names.index(PLAIN), 0] < 0.2
    exact = np.tile(
        np.random.default_rng(3).integers(0, 500, WEEK).astype(float), 9
    )  # a week like the one before
    assert np.array_equal(said(exact).ahead[0], exact[HOURS:])


def test_one_routes_history_changes_nothing_of_anothers() -> None:
    a, b = steady(seed=1), steady(40.0, 0.3, seed=2)
    both = np.stack([a, b])[:, :HOURS]
    together = choose(cleaned(both, np.ones_like(both), OF_WEEK[:HOURS]), OF_WEEK)
    assert np.allclose(together.ahead[0], said(a).ahead[0]) and np.allclose(
        together.ahead[1], said(b).ahead[0]
    )


@pytest.mark.parametrize("kind", ["office", "rare", "floods", "gaps", "new"])
def test_levels_are_in_order_and_nothing_is_below_none(kind: str) -> None:
    drawn = draw_series(7, kind)
    hours = hours_of_week(drawn.first_hour, HOURS + WEEK, drawn.calendar.zone)
    y, counted = drawn.requests[None, :HOURS], drawn.counted[None, :HOURS]
    levels = quantiles(choose(cleaned(y, counted, hours[:HOURS]), hours))
    assert np.isfinite(levels).all() and (levels >= 0).all()
    assert (levels[0] <= levels[1]).all() and (levels[1] <= levels[2]).all()
    assert 0.6 < (drawn.requests[HOURS:] <= levels[1, 0]).mean() <= 1.0


@pytest.mark.parametrize("hours", [0, 1, 30, 100])
def test_no_model_fails_where_little_or_nothing_is_known(hours: int) -> None:
    y = np.full((3, WEEK), np.nan)
    y[0, WEEK - hours :] = 5.0
    y[1, WEEK - hours :] = 0.0
    for model in MODELS.values():
        assert np.isfinite(model(Known(y, OF_WEEK[: 2 * WEEK]))).all()


def series(y: Any, first: int = FIRST) -> Series:
    made = Series(first, core_us=1000.0, worth=2.0)
    made.asked.extend(int(n) for n in y)
    made.counted.extend([WHOLE] * len(y))
    return made


def test_days_of_a_kind_are_told_by_what_such_days_had_and_change_no_ordinary_one() -> None:
    y = steady()
    day = [datetime.fromtimestamp((FIRST + h) * 3600, UTC).date().isoformat() for h in range(HOURS + WEEK)]
    exams = {day[3 * WEEK + 26], day[5 * WEEK + 50], day[HOURS + 74]}
    special = np.array([d in exams for d in day])
    y[special] *= 3
    with_, without = (
        week_ahead({"r": series(y[:HOURS])}, {"r": "acme"}, FIRST + HOURS, {"acme": Days("UTC", days)}).of(
            "r"
        )[0]
        for days in (dict.fromkeys(exams, "exam"), {})
    )
    here = special[HOURS:]
    assert with_[here].sum() > 2.2 * without[here].sum()
    assert with_[~here].sum() == pytest.approx(y[HOURS:][~here].sum(), rel=0.05)


def test_too_little_is_said_to_be_too_little_and_the_day_corrects_what_was_said() -> None:
    y = steady()
    week = week_ahead(
        {"a": series(y[:HOURS]), "b": series(y[:40], FIRST + HOURS - 40)},
        {"a": "x", "b": "x"},
        FIRST + HOURS,
        {},
    )
    assert week.names == ("a",) and "40 hours are known of it, and 48 are needed" in week.untold["b"]
    twice = [2 * float(v) for v in week.of("a")[0][:3]]
    after = corrected(week, {"a": twice}).of("a")[0]
    assert after[3] > 1.6 * week.of("a")[0][3] and after[40] == pytest.approx(week.of("a")[0][40], rel=0.05)
    assert np.array_equal(corrected(week, {}).levels, week.levels)
    gap = corrected(week, {"a": [float("nan"), float("nan")]})
    assert np.array_equal(gap.levels, week.levels), "an hour that was not counted is no hour without demand"
    half = series([100, 100, 100])
    half.counted[1], half.counted[2] = WHOLE // 2, WHOLE // 4
    assert half.since(FIRST)[:2] == [100.0, 200.0] and np.isnan(half.since(FIRST)[2])


# ---- hints ----

SCALING = Scaling(cores=2.0, fill=0.5, least=1, most=9, cold_min=30, down_h=2)


def test_runners_come_before_their_work_and_go_late_and_not_for_a_dip() -> None:
    assert steps([0.5, 0.5, 4.0, 0.5, 4.0, 0.5, 0.5, 0.5, 0.5], SCALING) == [1, 4, 4, 4, 4, 4, 4, 1, 1]
    assert steps([50.0] * 3, SCALING) == [9, 9, 9] and steps([0.0] * 2, SCALING) == [1, 1]


def test_a_hint_says_why_and_a_zone_of_which_nothing_is_known_gets_none_and_the_reason() -> None:
    needs = [
        Need("acme/main", "a", (3600.0, 7200.0, 3600.0), 1e6),
        Need("bolt/main", "a", (1.0, 1.0, 1.0), 1e6),
        Need("acme/main", "b", (9.0,), 0.0),
    ]
    assert cores_of(needs[:2])[1] == pytest.approx(2.0, rel=0.01)
    made = hints(needs, 100, SCALING, 0, {"c": "acme/main: 3 hours are known"}, {"a": 1})
    assert [(h.zone, h.since, h.runners) for h in made.hints] == [("a", 100, 3)]
    assert "2.00 cores in 1 h, most of them for acme/main" in made.hints[0].why
    assert made.untold == {"b": "no run of acme/main has been measured", "c": "acme/main: 3 hours are known"}
    assert made.valid_until_ms == 7_200_000


@pytest.mark.parametrize(
    ("said", "path"),
    [
        ({"on": True}, r"forecast\.on"),
        ({"routes": 0}, r"forecast\.routes"),
        ({"scaling": {"fill": 2.0}}, r"scaling\.fill"),
        ({"scaling": {"least": 5, "most": 2}}, r"scaling\.least"),
        ({"scaling": {"to": "8.8.8.8:1"}}, r"scaling\.to"),
        ({"calendar": [{"customer": "a", "zone": "Nowhere/At"}]}, r"calendar\[0\]\.zone"),
        ({"calendar": [{"customer": "a", "days": {"x": ["2026-13-01"]}}]}, r"days\.x"),
        ({"calendar": [{"customer": "a"}, {"customer": "a"}]}, r"calendar\[1\]\.customer"),
        ({"odd": 1}, r"forecast\.odd"),
    ],
)
def test_a_faulty_key_of_the_settings_is_named(said: dict[str, Any], path: str) -> None:
    with pytest.raises(ConfigError, match=path):
        read_forecast(Section(said, "forecast"), False, 1 << 20)


def test_the_state_must_hold_all_routes() -> None:
    with pytest.raises(ConfigError, match=r"duties\.state_bytes is 1048576"):
        read_forecast(Section({"on": True, "routes": 500}, "forecast"), True, 1 << 20)
    made = read_forecast(
        Section(
            {
                "on": True,
                "routes": 100,
                "calendar": [
                    {"customer": "a", "zone": "Europe/Copenhagen", "days": {"exam": ["2026-05-01"]}}
                ],
            },
            "forecast",
        ),
        True,
        1 << 20,
    )
    assert made.calendars["a"] == Days("Europe/Copenhagen", {"2026-05-01": "exam"})
