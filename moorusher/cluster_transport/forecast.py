"""The forecast of demand, carried out: the core's counts, work in a thread, hints for whoever starts runners."""

from __future__ import annotations

import logging
import sys
import time
from collections.abc import Callable, Mapping
from typing import Any

from twisted.internet.threads import deferToThreadPool

from ..core.demand import DemandObserver
from ..core.requests import Request
from ..forecast_service.errors import ForecastError, NoNumpy, NotYet
from ..forecast_service.forecaster import Forecaster, label
from ..forecast_service.member import Member
from ..forecast_service.messages import Past
from ..forecasting.demand import Key
from ..forecasting.ledger import Series
from ..forecasting.policy import Policy
from ..leadership.errors import LeadershipError
from ..leadership.lease_holder import LeaseHolder
from ..membership.failure_detector import MS
from .draft_parsing import SWITCH_INTERVAL_S, DaemonThreadPool
from .leadership import DutyLink

log = logging.getLogger("moorusher")


class Counting(DemandObserver):
    """First tries, by the customer's route that they were given when they were read."""

    def __init__(self, link: ForecastLink) -> None:
        self._link = link

    def _key(self, request: Request) -> Key:
        ruling = request.ruling
        path = None if ruling is None else ruling.path
        route = "" if path is None else path.hops[0].route
        return Key(request.tenant or "", 0 if ruling is None else ruling.at[0], route, self._link.member.zone)

    def requested(self, request: Request) -> None:
        self._link.add(self._key(request), asked=1, worth=request.request_class.priority_weight)

    def rejected(self, request: Request) -> None:
        self._link.add(self._key(request), refused=1)

    def run_ended(self, request: Request, core_us: int) -> None:
        self._link.add(self._key(request), runs=1, core_us=core_us)


class ForecastLink:
    """`forecasting.member.Host`, and `forecaster.Host` for the one that has the duty."""

    def __init__(self, duties: DutyLink, policy: Policy, reactor: Any) -> None:
        self.duties, self.policy, self.core, self._reactor = duties, policy, duties.core, reactor
        self._pool = DaemonThreadPool(0, 1, name="forecast")
        self.member = Member(duties.participant, self, policy)
        duties.forecast = self
        duties.fleet.forecast = self
        self.core.hooks.demand = Counting(self)

    def start(self) -> None:
        self._pool.start()
        self.member.start()

    def add(self, key: Key, **more: float) -> None:
        self.member.tally.count(self.unix_ms(), key, **more)

    def leave(self) -> None:
        """What was counted last is told before the end."""
        self.member.tell()

    # ---- for the member, and for the forecaster ----

    def unix_ms(self) -> int:
        return time.time_ns() // 1_000_000

    def work(self, lease: LeaseHolder) -> Forecaster:
        return self.member.work(lease)

    def worker(self, lease: LeaseHolder) -> Forecaster:
        seats = {name: seat.zone for name, seat in self.duties.fleet.node.placement.by_name.items()}
        return Forecaster(lease, self, self.policy, seats)

    def say(self, seat: str, message: Any) -> None:
        self.member.say(seat, message)

    def count(self, name: str) -> None:
        self.core.counters.add(name)

    def at(self, when: int, action: Callable[[], None]) -> None:
        self.duties.participant.services.at(when, action)

    def clock(self) -> int:
        return self.duties.participant.services.now()

    def ended(self, worker: Forecaster) -> None:
        self.member.ended(worker)

    def running(self) -> Mapping[str, int]:
        node = self.duties.fleet.node
        made: dict[str, int] = {}
        for m in node.detector.by_seat.values():
            zone = node.placement.by_name[m.seat].zone
            made[zone] = made.get(zone, 0) + m.is_alive
        return made

    def _in_thread(self, work: Callable[[], Any], then: Callable[[Any], None]) -> None:
        def run() -> Any:
            sys.setswitchinterval(SWITCH_INTERVAL_S)
            try:
                return work()
            except ModuleNotFoundError as exc:
                return NoNumpy(f"this runner owns the forecast, and can't work it out: {exc}")

        def done(got: Any) -> None:
            self.core.begin_turn()
            then(got)

        def failed(failure: Any) -> None:
            log.error("forecast: could not be worked out: %s", failure)
            done(NotYet(f"it could not be worked out: {failure.value}"))

        deferToThreadPool(self._reactor, self._pool, run).addCallbacks(done, failed)

    def work_out(
        self,
        series: Mapping[str, Series],
        customers: Mapping[str, str],
        last: int,
        then: Callable[[Any], None],
    ) -> None:
        def work() -> Any:
            from ..forecasting.week import week_ahead

            return week_ahead(series, customers, last, self.policy.calendars)

        self._in_thread(work, then)

    def correct(self, week: Any, hours: Mapping[str, list[float]], then: Callable[[Any], None]) -> None:
        def work() -> Any:
            from ..forecasting.week import corrected

            return corrected(week, hours)

        self._in_thread(work, then)

    # ---- for operators ----

    def show(self, customer: str, then: Callable[[bytes | ForecastError | LeadershipError], None]) -> None:
        self.core.begin_turn()
        self.member.ask(customer, then)

    def load(self, past: list[Past], then: Callable[[bytes | ForecastError | LeadershipError], None]) -> None:
        self.core.begin_turn()
        self.member.load(past, then)

    def told(self) -> dict[str, Any]:
        """Of this runner's own part."""
        owner = self.member.forecaster
        lately = {} if owner is None else {label(name): n for name, n in owner.ledger.lately().items()}
        return {
            "owner": owner is not None,
            "lately": lately,
            "untold_buckets": len(self.member.tally),
            "dropped": self.member.tally.dropped,
            "every_ms": self.policy.report_ms,
            "clock_ms": self.unix_ms(),
            "turn_ms": SWITCH_INTERVAL_S * MS,
        }
