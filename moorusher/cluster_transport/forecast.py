"""Connects the forecast to this process: demand of the request engine, calculation in a thread, and operators."""

from __future__ import annotations

import logging
import sys
import time
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any

from twisted.internet.threads import deferToThreadPool

from ..core.demand import DemandObserver
from ..core.requests import Request
from ..forecast_service.errors import ForecastNotReadyError, MissingLibraryError
from ..forecast_service.forecaster import Forecaster
from ..forecast_service.leader_queries import DocumentCallback
from ..forecast_service.member import ForecastMember
from ..forecast_service.messages import ImportedHistory, Message
from ..forecast_service.rolling_forecast import ForecastCallback
from ..forecasting.demand_counts import DemandCounts, RouteKey, decode_key
from ..forecasting.hourly_series import HourlySeries
from ..forecasting.policy import ForecastPolicy
from ..leadership.lease_holder import LeaseHolder
from ..namespaces.revision_id import NO_REVISION
from .draft_parsing import SWITCH_INTERVAL_S, DaemonThreadPool
from .leadership import DutyLink

if TYPE_CHECKING:
    from ..forecasting.weekly_forecast import WeeklyForecast

log = logging.getLogger("moorusher")

MS_PER_S = 1_000
NS_PER_MS = 1_000_000


class DemandCounting(DemandObserver):
    """Counts first attempts by the route that was chosen when the request was read."""

    def __init__(self, link: ForecastLink) -> None:
        self._link = link

    def requested(self, request: Request) -> None:
        """See `DemandObserver`."""
        priority_weight = request.request_class.priority_weight
        self._count(request, DemandCounts(requests=1, priority_weight=priority_weight))

    def rejected(self, request: Request) -> None:
        """See `DemandObserver`."""
        self._count(request, DemandCounts(rejected=1))

    def run_ended(self, request: Request, core_us: int) -> None:
        """See `DemandObserver`."""
        self._count(request, DemandCounts(runs=1, core_us=core_us))

    def _count(self, request: Request, counts: DemandCounts) -> None:
        member = self._link.member
        member.counter.count(self._link.unix_ms(), _route_key(request, member.zone), counts)


def _route_key(request: Request, zone: str) -> RouteKey:
    ruling = request.ruling
    incarnation, _ = NO_REVISION if ruling is None else ruling.revision_id
    path = None if ruling is None else ruling.path
    route = "" if path is None else path.hops[0].route
    return RouteKey(request.tenant or "", incarnation, route, zone)


class ForecastLink:
    """Runs the forecast in this process, and carries out operators' requests.

    Implements the interfaces that the forecast requires of its process: `MemberHost` and `ForecasterHost`.

    Attributes:
        duties: This runner's connection to the duties.
        policy: Settings of the forecast.
        member: This runner as a member of the forecast.
    """

    def __init__(self, duties: DutyLink, policy: ForecastPolicy, reactor: Any) -> None:
        self.duties = duties
        self.policy = policy
        self.core = duties.core
        self._reactor = reactor
        self._pool = DaemonThreadPool(0, 1, name="forecast")
        self.member = ForecastMember(duties.participant, self, policy)
        duties.forecast = self
        duties.fleet.forecast = self
        self.core.hooks.demand = DemandCounting(self)

    def start(self) -> None:
        """Start reporting demand."""
        self._pool.start()
        self.member.start()

    def report_now(self) -> None:
        """Report the latest counts at once, as this runner is about to stop serving."""
        self.member.report()

    def work(self, lease: LeaseHolder) -> Forecaster:
        """Create the worker for a new term (`leadership.WorkerFactory`)."""
        return self.member.work(lease)

    # ---- MemberHost ----

    def unix_ms(self) -> int:
        """See `MemberHost`."""
        return time.time_ns() // NS_PER_MS

    def make_forecaster(self, lease: LeaseHolder) -> Forecaster:
        """See `MemberHost`."""
        placement = self.duties.fleet.node.placement
        zones = {name: seat.zone for name, seat in placement.by_name.items()}
        return Forecaster(lease, self, self.policy, zones)

    # ---- ForecasterHost ----

    def member_replier(self, seat: str) -> Callable[[Message], None]:
        """See `ForecasterHost`."""
        return self.member.replier(seat)

    def at(self, when_us: int, action: Callable[[], None]) -> None:
        """See `ForecasterHost`."""
        self.duties.participant.services.at(when_us, action)

    def clock(self) -> int:
        """See `ForecasterHost`."""
        return self.duties.participant.services.now()

    def count(self, name: str) -> None:
        """See `ForecasterHost`."""
        self.core.counters.add(name)

    def running_by_zone(self) -> Mapping[str, int]:
        """See `ForecasterHost`."""
        node = self.duties.fleet.node
        running: dict[str, int] = {}
        for member in node.detector.by_seat.values():
            zone = node.placement.by_name[member.seat].zone
            running[zone] = running.get(zone, 0) + member.is_alive
        return running

    def ended(self, worker: Forecaster) -> None:
        """See `ForecasterHost`."""
        self.member.ended(worker)

    def calculate_forecast(
        self,
        series: Mapping[str, HourlySeries],
        customers: Mapping[str, str],
        first_hour: int,
        callback: ForecastCallback,
    ) -> None:
        """See `ForecastCalculator`."""

        def calculate() -> WeeklyForecast:
            from ..forecasting.weekly_forecast import forecast_week

            return forecast_week(series, customers, first_hour, self.policy.calendars)

        self._in_thread(calculate, callback)

    def calculate_correction(
        self, forecast: WeeklyForecast, actual: Mapping[str, list[float]], callback: ForecastCallback
    ) -> None:
        """See `ForecastCalculator`."""

        def calculate() -> WeeklyForecast:
            from ..forecasting.intraday_correction import correct_with_actuals

            return correct_with_actuals(forecast, actual)

        self._in_thread(calculate, callback)

    def _in_thread(self, calculate: Callable[[], WeeklyForecast], callback: ForecastCallback) -> None:
        def run() -> WeeklyForecast | MissingLibraryError:
            # Keeps the reactor from waiting long for the interpreter lock.
            sys.setswitchinterval(SWITCH_INTERVAL_S)
            try:
                return calculate()
            except ModuleNotFoundError as error:
                return MissingLibraryError(f"this runner owns the forecast, and can't work it out: {error}")

        def done(result: WeeklyForecast | MissingLibraryError | ForecastNotReadyError) -> None:
            self.core.start_turn()
            callback(result)

        def failed(failure: Any) -> None:
            log.error("forecast: the calculation failed: error=%s", failure)
            done(ForecastNotReadyError(f"it could not be worked out: {failure.value}"))

        deferToThreadPool(self._reactor, self._pool, run).addCallbacks(done, failed)

    # ---- operators ----

    def query(self, customer: str, callback: DocumentCallback) -> None:
        """Request the forecast of one customer from the leader, or of all customers if `customer` is empty."""
        self.core.start_turn()
        self.member.query(customer, callback)

    def import_history(self, histories: list[ImportedHistory], callback: DocumentCallback) -> None:
        """Have the leader import demand that was counted outside of the fleet."""
        self.core.start_turn()
        self.member.import_history(histories, callback)

    def local_document(self) -> dict[str, Any]:
        """Return this runner's own state of the forecast as a document of the administration API."""
        member, forecaster = self.member, self.member.forecaster
        requests = {} if forecaster is None else forecaster.ledger.requests_this_hour()
        return {
            "owner": forecaster is not None,
            "lately": {decode_key(route).label(): count for route, count in requests.items()},
            "untold_buckets": len(member.counter),
            "dropped": member.counter.dropped_buckets,
            "every_ms": self.policy.report_interval_ms,
            "clock_ms": self.unix_ms(),
            "turn_ms": SWITCH_INTERVAL_S * MS_PER_S,
        }
