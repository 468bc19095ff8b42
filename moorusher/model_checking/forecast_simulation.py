"""Counts of demand in virtual time: real tallies, members and owners of the forecast, all faults of `check.fleets`. One
seed is one course; its whole history is checked.

What hours say was asked is never more than what was; and where they say that they were counted whole, it is all of it.
Time of day runs `FAST` times as fast as the fleet's own, so that hours pass in a course.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any

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

FAST = 600
HOUR_MS = BUCKET_MS * HOUR_BUCKETS
BEGAN_MS = 500_000 * HOUR_MS - 100_000
POLICY = Policy(on=True, report_ms=40.0, save_ms=80.0)
ROUTES = ("main", "spare", "new")
SCENARIO = Scenario(seats=5, keys=0, faults=2, seconds=24.0, fault_kinds=MEMORY_FAULTS)
DISK_SCENARIO = Scenario(seats=4, keys=0, faults=2, seconds=24.0, fault_kinds=DISK_FAULTS)


class CountingProcess(DutyProcess):
    """One process that counts demand, and may own the forecast."""

    def __init__(self, sim: Simulation, start: ProcessStart) -> None:
        super().__init__(sim, start)
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
        key = Key("acme", 1, route, self.member.zone)
        self.member.tally.count(now_ms, key, asked=1, worth=1.0)
        self.whole.truth[route, self.member.zone, now_ms // HOUR_MS] += 1

    def work(self, lease: LeaseHolder) -> Worker | None:
        return self.member.work(lease)

    # ---- forecasting.member.Host, forecaster.Host ----

    def unix_ms(self) -> int:
        return BEGAN_MS + self.sim.now * FAST // MS

    def worker(self, lease: LeaseHolder) -> Forecaster:
        return self.whole.forecaster(
            lease, self, POLICY, {f"n{i}": f"z{i % 2}" for i in range(self.sim.scenario.seats)}
        )

    def say(self, seat: str, message: Any) -> None:
        self.member.say(seat, message)

    def at(self, when: int, action: Callable[[], None]) -> None:
        self.participant.services.at(when, action)

    def ended(self, worker: Forecaster) -> None:
        self.member.ended(worker)

    def running(self) -> Mapping[str, int]:
        return {}

    def work_out(
        self,
        series: Mapping[str, Series],
        customers: Mapping[str, str],
        last: int,
        then: Callable[[Any], None],
    ) -> None:
        self.sim.at(self.sim.now + 10 * MS, self, lambda: then(NotYet("not here")))

    def correct(self, week: Any, hours: Mapping[str, list[float]], then: Callable[[Any], None]) -> None:
        raise AssertionError("nothing was worked out")


class ForecastSimulation(DutySimulation):
    """`member` and `forecaster` are the real ones, or those with a seeded mistake."""

    def __init__(
        self,
        seed: int,
        scenario: Scenario | None = None,
        has_disks: bool = False,
        member: type[Member] = Member,
        forecaster: type[Forecaster] = Forecaster,
    ) -> None:
        self.member, self.forecaster = member, forecaster
        self.truth: Counter[tuple[str, str, int]] = Counter()
        self.until = round((scenario or SCENARIO).seconds * SECOND) + 3 * SECOND
        super().__init__(
            seed, scenario or SCENARIO, duties=0, has_disks=has_disks, process_class=CountingProcess
        )

    def ledger(self) -> Ledger | None:
        """What a majority has in the end; None where it is not to be had."""
        replicas = self.voting_replicas(NAME)
        record = latest_record(NAME, replicas)
        if len(replicas) < MIN_REPLICAS or record is None:
            return None
        state = replicated_state(NAME, record, replicas)
        return None if state is None else Ledger.unpack(state, {})

    def violation(self) -> str | None:
        ledger = self.ledger()
        if ledger is None:
            return None
        self.hours = self.whole_hours = 0
        for name, series in ledger.series.items():
            key = unpack_key(name)
            for i, (asked, counted) in enumerate(zip(series.asked, series.counted, strict=True)):
                hour = series.first + i
                true = self.truth[key.route, key.zone, hour]
                self.hours += 1
                if asked > true:
                    return f"{key.route} of {key.zone}: {asked} are said to have been asked in hour {hour}, {true} were"
                if counted == WHOLE:
                    self.whole_hours += 1
                    if asked != true:
                        return f"{key.route} of {key.zone}: hour {hour} is said to be whole with {asked}, had {true}"
        return None
