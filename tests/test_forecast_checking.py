"""Simulation of demand counting under cluster faults in virtual time, with injected bugs that the check must find."""

from __future__ import annotations

import itertools
from typing import Any

import pytest

from moorusher.forecast_service.forecaster import Forecaster
from moorusher.forecasting.demand_counts import BucketCounts
from moorusher.forecasting.demand_ledger import DemandLedger
from moorusher.model_checking.forecast_simulation import DISK_SCENARIO, SCENARIO, ForecastSimulation

MAX_SEEDS = 12  # Number of seeds within which an injected bug must be found.


@pytest.mark.parametrize("seed", range(3))
def test_completely_counted_hours_have_all_requests_and_no_hour_has_too_many(seed: int) -> None:
    for scenario, has_disks in ((SCENARIO, False), (DISK_SCENARIO, True)):
        simulation = ForecastSimulation(seed, scenario, has_disks)
        assert simulation.play() is None, simulation.faults.log
        assert simulation.ledger() is None or simulation.complete_hours > 0


class AddingLedger(DemandLedger):
    """Ledger with a bug: adds a repeated report to the recorded one instead of merging them."""

    def merge(self, known: BucketCounts, report: BucketCounts) -> BucketCounts:
        counts = {
            route: known.counts[route].plus(reported) if route in known.counts else reported
            for route, reported in report.counts.items()
        }
        return BucketCounts(
            known.seat,
            known.incarnation,
            known.zone,
            known.bucket,
            min(known.counted_from_ms, report.counted_from_ms),
            max(known.counted_until_ms, report.counted_until_ms),
            {**known.counts, **counts},
        )


class AddingForecaster(Forecaster):
    ledger_type = AddingLedger


class FullCoverageLedger(DemandLedger):
    """Ledger with a bug: counts a runner without reports as a runner without demand."""

    def covered_shares(self, bucket: int) -> dict[str, float]:
        return dict.fromkeys(self.zones, 1.0)


class FullCoverageForecaster(Forecaster):
    ledger_type = FullCoverageLedger


@pytest.mark.parametrize(
    ("forecaster", "violation"),
    [(AddingForecaster, "requests counted in hour"), (FullCoverageForecaster, "marked complete with")],
)
def test_injected_bug_is_found(forecaster: type[Forecaster], violation: str) -> None:
    found: Any = next(
        (
            result
            for seed in itertools.islice(itertools.count(), MAX_SEEDS)
            if (result := ForecastSimulation(seed, forecaster_class=forecaster).play()) is not None
        ),
        None,
    )
    assert found is not None
    assert violation in found
