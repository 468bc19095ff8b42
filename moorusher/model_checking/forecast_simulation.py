"""Counts of demand in virtual time: real tallies, members and owners of the forecast, all faults of `check.fleets`. One
seed is one course; its whole history is checked.

What hours say was asked is never more than what was; and where they say that they were counted whole, it is all of it.
Time of day runs `FAST` times as fast as the fleet's own, so that hours pass in a course.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any

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
from ..replication.node import Node
from .cluster_simulation import MS, SECOND, Scenario, Simulation
from .leadership_simulation import (
    MIN_REPLICAS,
    DutyProcess,
    DutySimulation,
    latest_record,
    replicated_state,
)

FAST = 600
BEGAN_MS = 500_000 * HOUR_MS - 100_000
POLICY = ForecastPolicy(enabled=True, report_interval_ms=40.0, save_interval_ms=80.0)
ROUTES = ("main", "spare", "new")
COURSE = Scenario(
    seats=5, keys=0, faults=2, seconds=24.0, fault_kinds=("kill", "forget", "stop", "cut", "one way", "leave")
)
DISKS = Scenario(
    seats=4, keys=0, faults=2, seconds=24.0, fault_kinds=("kill", "stop", "cut", "one way", "power")
)


class CountingProcess(DutyProcess):
    """One process that counts demand, and may own the forecast."""

    def __init__(
        self, sim: Simulation, seat: int, number: int, inc: int, remembers: bool, make: type[Node]
    ) -> None:
        super().__init__(sim, seat, number, inc, remembers, make)
        assert isinstance(sim, ForecastSimulation)
        self.whole = sim
        self.member = sim.member(self.participant, self, POLICY)
        sim.at(sim.now, self, self.member.start)
        sim.at(sim.now, self, self._asked)

    def _asked(self) -> None:
        """Requests come all the time."""
        r = self.sim.random
        self.sim.at(self.sim.now + round(r.expovariate(1 / 0.02) * SECOND), self, self._asked)
        if self.sim.now >= self.whole.until:
            return
        route, now_ms = r.choice(ROUTES), self.unix_ms()
        key = RouteKey("acme", 1, route, self.member.zone)
        self.member.counter.count(now_ms, key, DemandCounts(requests=1, priority_weight=1.0))
        self.whole.truth[route, self.member.zone, now_ms // HOUR_MS] += 1

    def work(self, lease: LeaseHolder) -> Worker | None:
        return self.member.work(lease)

    # ---- MemberHost, ForecasterHost ----

    def unix_ms(self) -> int:
        return BEGAN_MS + self.sim.now * FAST // MS

    def make_forecaster(self, lease: LeaseHolder) -> Forecaster:
        return self.whole.forecaster(
            lease, self, POLICY, {f"n{i}": f"z{i % 2}" for i in range(self.sim.course.seats)}
        )

    def send_to_member(self, seat: str, message: Message) -> None:
        self.member.send(seat, message)

    def at(self, when_us: int, action: Callable[[], None]) -> None:
        self.participant.services.at(when_us, action)

    def ended(self, worker: Forecaster) -> None:
        self.member.ended(worker)

    def running_by_zone(self) -> Mapping[str, int]:
        return {}

    def calculate_forecast(
        self,
        series: Mapping[str, HourlySeries],
        customers: Mapping[str, str],
        first_hour: int,
        callback: ForecastCallback,
    ) -> None:
        self.sim.at(self.sim.now + 10 * MS, self, lambda: callback(ForecastNotReadyError("not here")))

    def calculate_correction(
        self, forecast: Any, actual: Mapping[str, list[float]], callback: ForecastCallback
    ) -> None:
        raise AssertionError("nothing was worked out")


class ForecastSimulation(DutySimulation):
    """`member` and `forecaster` are the real ones, or those with a seeded mistake."""

    def __init__(
        self,
        seed: int,
        course: Scenario | None = None,
        lasting: bool = False,
        member: type[ForecastMember] = ForecastMember,
        forecaster: type[Forecaster] = Forecaster,
    ) -> None:
        self.member, self.forecaster = member, forecaster
        self.truth: Counter[tuple[str, str, int]] = Counter()
        self.until = round((course or COURSE).seconds * SECOND) + 3 * SECOND
        super().__init__(seed, course or COURSE, duties=0, lasting=lasting, process=CountingProcess)

    def ledger(self) -> DemandLedger | None:
        """What a majority has in the end; None where it is not to be had."""
        replicas = self.voting_replicas(NAME)
        record = latest_record(NAME, replicas)
        if len(replicas) < MIN_REPLICAS or record is None:
            return None
        state = replicated_state(NAME, record, replicas)
        return None if state is None else decode_ledger(state, {})

    def violation(self) -> str | None:
        ledger = self.ledger()
        if ledger is None:
            return None
        self.hours = self.whole_hours = 0
        for name, series in ledger.series.items():
            key = decode_key(name)
            for i, (asked, counted) in enumerate(zip(series.requests, series.coverage, strict=True)):
                hour = series.first_hour + i
                true = self.truth[key.route, key.zone, hour]
                self.hours += 1
                if asked > true:
                    return f"{key.route} of {key.zone}: {asked} are said to have been asked in hour {hour}, {true} were"
                if counted == FULL_COVERAGE:
                    self.whole_hours += 1
                    if asked != true:
                        return f"{key.route} of {key.zone}: hour {hour} is said to be whole with {asked}, had {true}"
        return None


def search(seeds: range, course: Scenario | None = None, **how: Any) -> tuple[int, str] | None:
    """The first seed whose course is wrong, with what is."""
    for seed in seeds:
        if (wrong := ForecastSimulation(seed, course, **how).play()) is not None:
            return seed, wrong
    return None
