"""Counts of demand in virtual time: real tallies, members and leaders of the forecast, and faults.

One seed is one simulation of `cluster_simulation`; its whole history is checked. The demand that an hour has in the
ledger is never more than there was; where the ledger says that the hour was counted whole, it is all of it. Time of day
runs `SPEED` times as fast as the cluster's own, so that hours pass in a simulation.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from ..forecast_service.errors import NotYet
from ..forecast_service.forecaster import NAME, Forecaster
from ..forecast_service.member import Member
from ..forecasting.demand import BUCKET_MS, HOUR_BUCKETS, Key, unpack_key
from ..forecasting.ledger import WHOLE, Ledger, Series
from ..forecasting.policy import Policy
from ..leadership.lease_holder import LeaseHolder
from ..leadership.worker import Worker
from .cluster_process import ProcessStart
from .cluster_simulation import Simulation
from .leadership_simulation import (
    MIN_REPLICAS,
    DutyProcess,
    DutySimulation,
    latest_record,
    replicated_state,
)
from .scenario import DISK_FAULTS, MEMORY_FAULTS, Scenario
from .virtual_time import MS, SECOND

SPEED = 600  # of the time of day
HOUR_MS = BUCKET_MS * HOUR_BUCKETS
EPOCH_MS = 500_000 * HOUR_MS - 100_000  # Unix time at the begin of a simulation
POLICY = Policy(on=True, report_ms=40.0, save_ms=80.0)
CUSTOMER = "acme"
NAMESPACE_INCARNATION = 1
ROUTES = ("main", "spare", "new")
MEAN_REQUEST_INTERVAL_S = 0.02
REQUESTS_AFTER_US = 3 * SECOND  # after the end of a scenario requests go on for so long
NO_FORECAST_AFTER_US = 10 * MS
SCENARIO = Scenario(seats=5, keys=0, faults=2, seconds=24.0, fault_kinds=MEMORY_FAULTS)
DISK_SCENARIO = Scenario(seats=4, keys=0, faults=2, seconds=24.0, fault_kinds=DISK_FAULTS)


class HourOfDemand(NamedTuple):
    """One hour of the requests for a route in a zone; the hour is counted from the epoch of Unix time."""

    route: str
    zone: str
    hour: int


class CountingProcess(DutyProcess):
    """One process that counts demand and may lead the forecast; the host of both.

    Attributes:
        counting: `ForecastSimulation`.
        member: the real one, or one with a seeded mistake.
    """

    def __init__(self, sim: Simulation, start: ProcessStart) -> None:
        super().__init__(sim, start)
        assert isinstance(sim, ForecastSimulation)
        self.counting = sim
        self.member = sim.member_class(self.participant, self, POLICY)
        sim.at(sim.now, self, self.member.start)
        sim.at(sim.now, self, self._receive_request)

    def _receive_request(self) -> None:
        """A request is received, and the next one some time after it."""
        random = self.sim.random
        interval_us = round(random.expovariate(1 / MEAN_REQUEST_INTERVAL_S) * SECOND)
        self.sim.at(self.sim.now + interval_us, self, self._receive_request)
        if self.sim.now >= self.counting.last_request_us:
            return
        route = random.choice(ROUTES)
        zone = self.member.zone
        now_ms = self.unix_ms()
        key = Key(CUSTOMER, NAMESPACE_INCARNATION, route, zone)
        self.member.tally.count(now_ms, key, asked=1, worth=1.0)
        self.counting.true_counts[HourOfDemand(route, zone, now_ms // HOUR_MS)] += 1

    def work(self, lease: LeaseHolder) -> Worker | None:
        """Return the worker for the lease of the forecast."""
        return self.member.work(lease)

    # ---- `forecast_service.member.Host` and `forecast_service.forecaster.Host` ----

    def unix_ms(self) -> int:
        """Return the time of day."""
        return EPOCH_MS + self.sim.now * SPEED // MS

    def worker(self, lease: LeaseHolder) -> Forecaster:
        """Return a forecaster that leads by this lease."""
        zones = {f"n{seat}": f"z{seat % 2}" for seat in range(self.sim.scenario.seats)}
        return self.counting.forecaster_class(lease, self, POLICY, zones)

    def say(self, seat: str, message: Any) -> None:
        """Send a message of the forecaster."""
        self.member.say(seat, message)

    def at(self, when: int, action: Callable[[], None]) -> None:
        """Call `action` at that time, in us."""
        self.participant.services.at(when, action)

    def ended(self, worker: Forecaster) -> None:
        """A forecaster's term is over."""
        self.member.ended(worker)

    def running(self) -> Mapping[str, int]:
        """Return the servers that run; none are simulated."""
        return {}

    def work_out(
        self,
        series: Mapping[str, Series],
        customers: Mapping[str, str],
        last: int,
        then: Callable[[Any], None],
    ) -> None:
        """No forecast is computed here: only the counts are checked."""
        self.sim.at(self.sim.now + NO_FORECAST_AFTER_US, self, lambda: then(NotYet("not here")))

    def correct(self, week: Any, hours: Mapping[str, list[float]], then: Callable[[Any], None]) -> None:
        """Never called, as no forecast is computed here."""
        raise AssertionError("nothing was worked out")


class ForecastSimulation(DutySimulation):
    """One simulation of a cluster that counts demand.

    Attributes:
        member_class, forecaster_class: the real ones, or those with a seeded mistake.
        true_counts: the demand that there was.
        last_request_us: `int`, when requests end.
        hours: `int`, how many hours of a series the ledger had in the end.
        complete_hours: `int`, how many of them it said were counted whole.
    """

    def __init__(
        self,
        seed: int,
        scenario: Scenario | None = None,
        has_disks: bool = False,
        member_class: type[Member] = Member,
        forecaster_class: type[Forecaster] = Forecaster,
    ) -> None:
        scenario = scenario or SCENARIO
        self.member_class = member_class
        self.forecaster_class = forecaster_class
        self.true_counts: Counter[HourOfDemand] = Counter()
        self.last_request_us = round(scenario.seconds * SECOND) + REQUESTS_AFTER_US
        self.hours = 0
        self.complete_hours = 0
        super().__init__(seed, scenario, duties=0, has_disks=has_disks, process_class=CountingProcess)

    def ledger(self) -> Ledger | None:
        """Return what a majority has in the end; None where it is not to be had."""
        replicas = self.voting_replicas(NAME)
        record = latest_record(NAME, replicas)
        if len(replicas) < MIN_REPLICAS or record is None:
            return None
        state = replicated_state(NAME, record, replicas)
        return None if state is None else Ledger.unpack(state, {})

    def violation(self) -> str | None:
        """Return what was wrong in the simulation, in words."""
        ledger = self.ledger()
        if ledger is None:
            return None
        self.hours = 0
        self.complete_hours = 0
        for name, series in ledger.series.items():
            found = self._wrong_in_series(unpack_key(name), series)
            if found is not None:
                return found
        return None

    def _wrong_in_series(self, key: Key, series: Series) -> str | None:
        counts = zip(series.asked, series.counted, strict=True)
        for hour, (asked, counted) in enumerate(counts, start=series.first):
            true_count = self.true_counts[HourOfDemand(key.route, key.zone, hour)]
            where = f"{key.route} of {key.zone}"
            self.hours += 1
            if asked > true_count:
                return f"{where}: {asked} are said to have been asked in hour {hour}, {true_count} were"
            if counted != WHOLE:
                continue
            self.complete_hours += 1
            if asked != true_count:
                return f"{where}: hour {hour} is said to be whole with {asked}, had {true_count}"
        return None
