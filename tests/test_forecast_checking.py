"""The forecast's counts in virtual time under faults of the cluster, and seeded mistakes that the check must find."""

from __future__ import annotations

import itertools
from typing import Any

import pytest

from moorusher.forecast_service.forecaster import Forecaster
from moorusher.forecasting.demand_counts import BucketCounts
from moorusher.forecasting.demand_ledger import DemandLedger
from moorusher.model_checking.forecast_simulation import DISK_SCENARIO, SCENARIO, ForecastSimulation

MAX_SEEDS = 12  # within which a seeded mistake must be found


@pytest.mark.parametrize("seed", range(3))
def test_hours_that_were_counted_completely_have_all_requests_and_none_has_more(seed: int) -> None:
    for scenario, has_disks in ((SCENARIO, False), (DISK_SCENARIO, True)):
        simulation = ForecastSimulation(seed, scenario, has_disks)
        assert simulation.play() is None, simulation.faults.log
        assert simulation.ledger() is None or simulation.complete_hours > 0


class AddingLedger(DemandLedger):
    """Adds a repeated report to the one that it has, and does not merge them."""

    def merge(self, known: BucketCounts, report: BucketCounts) -> BucketCounts:
        counts = {
            route: known.counts[route].plus(more) if route in known.counts else more
            for route, more in report.counts.items()
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


class ZeroLedger(DemandLedger):
    """Takes a runner that has reported nothing for one that nobody called."""

    def covered_shares(self, bucket: int) -> dict[str, float]:
        return dict.fromkeys(self.zones, 1.0)


class ZeroForecaster(Forecaster):
    ledger_type = ZeroLedger


@pytest.mark.parametrize(
    ("forecaster", "violation"),
    [(AddingForecaster, "requests counted in hour"), (ZeroForecaster, "marked complete with")],
)
def test_a_seeded_mistake_is_found(forecaster: type[Forecaster], violation: str) -> None:
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
