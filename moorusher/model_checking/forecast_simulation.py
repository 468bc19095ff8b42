"""Demand counting in virtual time: real counters, members and leaders of the forecast, and faults."""

# The invariants are checked at the end of a simulation: the ledger never counts more demand for an hour than there was,
# and it counts all demand of each hour that it marks as completely counted. The time of day advances `SPEED` times as
# fast as the cluster's clock, so that hours pass in a simulation.

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from ..forecast_service.errors import ForecastNotReadyError
from ..forecast_service.forecaster import NAME, Forecaster
from ..forecast_service.member import ForecastMember
from ..forecast_service.messages import Message
from ..forecast_service.rolling_forecast import ForecastCallback
from ..forecasting.demand_counts import HOUR_MS, DemandCounts, RouteKey, decode_key
from ..forecasting.demand_ledger import DemandLedger
from ..forecasting.hourly_series import FULL_COVERAGE, HourlySeries
from ..forecasting.ledger_codec import decode_ledger
from ..forecasting.policy import ForecastPolicy
from ..leadership.lease_holder import LeaseHolder
from ..leadership.worker import Worker
from ..time_units import MS, SECOND
from .cluster_process import ProcessStart
from .cluster_simulation import ClusterSimulation
from .leadership_simulation import (
    MIN_REPLICAS,
    DutyProcess,
    DutySimulation,
    latest_record,
    replicated_state,
)
from .scenario import FAULTS_WITH_JOURNAL, FAULTS_WITHOUT_JOURNAL, Scenario

SPEED = 600  # Ratio of the time of day to the cluster's time.
EPOCH_MS = 500_000 * HOUR_MS - 100_000  # Unix time at the start of a simulation.
POLICY = ForecastPolicy(enabled=True, report_interval_ms=40.0, save_interval_ms=80.0)
CUSTOMER = "acme"
NAMESPACE_INCARNATION = 1
ROUTES = ("main", "spare", "new")
MEAN_REQUEST_INTERVAL_S = 0.02
REQUESTS_AFTER_US = 3 * SECOND  # Requests continue for this time after the faults of the scenario.
FORECAST_DELAY_US = 10 * MS  # Time until a forecast fails with `ForecastNotReadyError`.
SCENARIO = Scenario(seats=5, keys=0, faults=2, seconds=24.0, fault_kinds=FAULTS_WITHOUT_JOURNAL)
DISK_SCENARIO = Scenario(seats=4, keys=0, faults=2, seconds=24.0, fault_kinds=FAULTS_WITH_JOURNAL)


class HourOfDemand(NamedTuple):
    """The key of one hour of demand for a route in a zone. `hour` is the number of hours since the Unix epoch."""

    route: str
    zone: str
    hour: int


class CountingProcess(DutyProcess):
    """One process that counts demand and may lead the forecast. Implements `MemberHost` and `ForecasterHost`.

    Attributes:
        forecast_simulation: Simulation that the process belongs to.
        member: Member of the class `ForecastSimulation.member_class`.
    """

    def __init__(self, sim: ClusterSimulation, start: ProcessStart) -> None:
        super().__init__(sim, start)
        assert isinstance(sim, ForecastSimulation)
        self.forecast_simulation = sim
        self.member = sim.member_class(self.participant, self, POLICY)
        sim.at(sim.now, self, self.member.start)
        sim.at(sim.now, self, self._receive_request)

    def _receive_request(self) -> None:
        """Schedule the next request, and count this one if it arrives before `last_request_us`."""
        random = self.sim.random
        interval_us = round(random.expovariate(1 / MEAN_REQUEST_INTERVAL_S) * SECOND)
        self.sim.at(self.sim.now + interval_us, self, self._receive_request)
        if self.sim.now >= self.forecast_simulation.last_request_us:
            return
        route = random.choice(ROUTES)
        zone = self.member.zone
        now_ms = self.unix_ms()
        key = RouteKey(CUSTOMER, NAMESPACE_INCARNATION, route, zone)
        self.member.counter.count(now_ms, key, DemandCounts(requests=1, priority_weight=1.0))
        self.forecast_simulation.true_counts[HourOfDemand(route, zone, now_ms // HOUR_MS)] += 1

    def work(self, lease: LeaseHolder) -> Worker | None:
        """Return the worker for the lease of the forecast."""
        return self.member.work(lease)

    # ---- `forecast_service`: `MemberHost` and `ForecasterHost` ----

    def unix_ms(self) -> int:
        """Return the time of day in ms since the Unix epoch."""
        return EPOCH_MS + self.sim.now * SPEED // MS

    def make_forecaster(self, lease: LeaseHolder) -> Forecaster:
        """Return a forecaster that leads under this lease."""
        zones = {f"n{seat}": f"z{seat % 2}" for seat in range(self.sim.scenario.seats)}
        return self.forecast_simulation.forecaster_class(lease, self, POLICY, zones)

    def member_replier(self, seat: str) -> Callable[[Message], None]:
        """Return a function that answers later the member whose message is being handled now."""
        return self.member.replier(seat)

    def at(self, when_us: int, action: Callable[[], None]) -> None:
        """Call `action` at a time in us."""
        self.participant.services.at(when_us, action)

    def ended(self, worker: Forecaster) -> None:
        """Called when a forecaster's term has ended."""
        self.member.ended(worker)

    def running_by_zone(self) -> Mapping[str, int]:
        """Return the number of running servers by zone; none are simulated."""
        return {}

    def calculate_forecast(
        self,
        series: Mapping[str, HourlySeries],
        customers: Mapping[str, str],
        first_hour: int,
        callback: ForecastCallback,
    ) -> None:
        """Pass `ForecastNotReadyError` to `callback`, because the simulation checks only the counts."""
        self.sim.at(
            self.sim.now + FORECAST_DELAY_US, self, lambda: callback(ForecastNotReadyError("not here"))
        )

    def calculate_correction(
        self, forecast: Any, actual: Mapping[str, list[float]], callback: ForecastCallback
    ) -> None:
        """Raise an error: corrections are never requested, as this simulation calculates no forecasts."""
        raise AssertionError("a correction was requested although no forecast was calculated")


class ForecastSimulation(DutySimulation):
    """One simulation of a cluster that counts demand.

    Attributes:
        member_class: Class of the members.
        forecaster_class: Class of the forecasters.
        true_counts: True demand of each hour.
        last_request_us: Time at which requests end.
        hours: Number of hours in all series of the final ledger.
        complete_hours: Number of these hours that the ledger marks as completely counted.
    """

    def __init__(
        self,
        seed: int,
        scenario: Scenario | None = None,
        has_disks: bool = False,
        member_class: type[ForecastMember] = ForecastMember,
        forecaster_class: type[Forecaster] = Forecaster,
    ) -> None:
        scenario = scenario or SCENARIO
        # Tests replace these classes by ones with a deliberate mistake.
        self.member_class = member_class
        self.forecaster_class = forecaster_class
        self.true_counts: Counter[HourOfDemand] = Counter()
        self.last_request_us = round(scenario.seconds * SECOND) + REQUESTS_AFTER_US
        self.hours = 0
        self.complete_hours = 0
        super().__init__(seed, scenario, duties=0, has_disks=has_disks, process_class=CountingProcess)

    def ledger(self) -> DemandLedger | None:
        """Return the ledger that a majority stores, or None if no majority or no complete state is available."""
        replicas = self.voting_replicas(NAME)
        record = latest_record(NAME, replicas)
        if len(replicas) < MIN_REPLICAS or record is None:
            return None
        state = replicated_state(NAME, record, replicas)
        return None if state is None else decode_ledger(state, {})

    def violation(self) -> str | None:
        """Return a description of a violation, or None."""
        ledger = self.ledger()
        if ledger is None:
            return None
        self.hours = 0
        self.complete_hours = 0
        for name, series in ledger.series.items():
            found = self._find_series_violation(decode_key(name), series)
            if found is not None:
                return found
        return None

    def _find_series_violation(self, key: RouteKey, series: HourlySeries) -> str | None:
        counts = zip(series.requests, series.coverage, strict=True)
        for hour, (requests, coverage) in enumerate(counts, start=series.first_hour):
            true_count = self.true_counts[HourOfDemand(key.route, key.zone, hour)]
            series_name = f"{key.route} in {key.zone}"
            self.hours += 1
            if requests > true_count:
                return (
                    f"{series_name}: {requests} requests counted in hour {hour}, but there were {true_count}"
                )
            if coverage != FULL_COVERAGE:
                continue
            self.complete_hours += 1
            if requests != true_count:
                return (
                    f"{series_name}: hour {hour} marked complete with {requests}, but there were {true_count}"
                )
        return None
