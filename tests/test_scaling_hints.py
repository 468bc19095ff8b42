"""Scaling hints: required cores and runners by hour, early scale-up, late scale-down, and the reason of each hint."""

from __future__ import annotations

import pytest

from moorusher.forecasting.policy import ScalingPolicy
from moorusher.forecasting.scaling_hints import RouteDemand, make_hints, required_cores, required_runners

POLICY = ScalingPolicy(
    cores_per_runner=2.0,
    target_utilization=0.5,
    min_runners=1,
    max_runners=9,
    startup_min=30,
    scale_down_delay_h=2,
)


def test_runners_are_added_early_and_removed_late_and_not_for_a_dip() -> None:
    cores = [0.5, 0.5, 4.0, 0.5, 4.0, 0.5, 0.5, 0.5, 0.5]
    assert required_runners(cores, POLICY) == [1, 4, 4, 4, 4, 4, 4, 1, 1]


def test_number_of_runners_is_within_its_bounds() -> None:
    assert required_runners([50.0] * 3, POLICY) == [9, 9, 9]
    assert required_runners([0.0] * 2, POLICY) == [1, 1]


def test_hints_and_skipped_zones_have_reasons() -> None:
    demands = [
        RouteDemand("acme/main", "a", (3600.0, 7200.0, 3600.0), 1e6),
        RouteDemand("bolt/main", "a", (1.0, 1.0, 1.0), 1e6),
        RouteDemand("acme/main", "b", (9.0,), 0.0),
    ]
    assert required_cores(demands[:2])[1] == pytest.approx(2.0, rel=0.01)
    skipped_zones = {"c": "acme/main: 3 hours are known"}
    hints = make_hints(demands, 100, POLICY, 0, skipped_zones, running={"a": 1})
    assert [(hint.zone, hint.from_hour, hint.runners) for hint in hints.hints] == [("a", 100, 3)]
    assert "2.00 cores in 1 h, most of them for acme/main" in hints.hints[0].reason
    assert hints.skipped_zones == {"b": "no run of acme/main has been measured", **skipped_zones}
    assert hints.expires_ms == 7_200_000
