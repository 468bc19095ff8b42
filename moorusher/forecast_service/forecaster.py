"""The leader's work: records reports, replicates the ledger before acknowledging them, forecasts and sends hints.

A report is acknowledged only after a majority has the state that includes it, from which the next leader computes the
same forecast. Hints are sent with a fencing token, so that the receiver rejects late hints of a former leader.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

import msgspec

from ..forecasting.demand_counts import encode_key
from ..forecasting.demand_ledger import DemandLedger
from ..forecasting.ledger_codec import LedgerCodec
from ..forecasting.policy import ForecastPolicy
from ..forecasting.scaling_hints import ScalingHints
from ..leadership.effects import Completed, FencedRequest, Outcome, StateUpdate
from ..leadership.errors import LeadershipError
from ..leadership.lease_holder import LeaseHolder
from ..time_units import MS
from .documents import forecast_document
from .errors import CorruptLedgerError, ForecastError, ForecastNotReadyError, InvalidHistoryError
from .hint_planning import plan_hints
from .messages import BucketProgress, DemandReport, ImportedHistory, Message, ReportAck
from .rolling_forecast import ForecastCalculator, RollingForecast

if TYPE_CHECKING:
    from ..forecasting.weekly_forecast import WeeklyForecast

# Name and kind of the duty.
NAME = KIND = "forecast"
# Number of series that are compressed in one turn of the reactor.
SERIES_PER_TURN = 16
# Time between two turns that compress series.
TURN_INTERVAL_US = 2 * MS
# Maximum number of reports that wait for replication. Reports beyond it are dropped, and their members send them again.
MAX_PENDING_REPORTS = 10_000

ImportCallback = Callable[[ForecastError | LeadershipError | None], None]


class ForecasterHost(ForecastCalculator, Protocol):
    """Services of the process that a forecaster uses."""

    def member_replier(self, seat: str) -> Callable[[Message], None]:
        """Return a function that answers later the member whose message is being handled now."""

    def at(self, when_us: int, action: Callable[[], None]) -> None:
        """Call `action` when `clock` reaches `when_us`."""

    def clock(self) -> int:
        """Return the monotonic time in microseconds."""

    def unix_ms(self) -> int:
        """Return the Unix time."""

    def count(self, name: str) -> None:
        """Add 1 to a counter."""

    def running_by_zone(self) -> Mapping[str, int]:
        """Return the number of runners that are up, by zone."""

    def ended(self, worker: Forecaster) -> None:
        """Called when the term of a worker has ended."""


@dataclass(frozen=True, slots=True)
class _PendingAck:
    """A recorded report, which is acknowledged once a majority has it."""

    reply: Callable[[Message], None]
    serial: int
    buckets: list[BucketProgress]


class Forecaster:
    """The worker of the duty (`leadership.worker.Worker`).

    Attributes:
        ledger_type: Class of the ledger.
        lease: Lease of this term.
        ledger: Counts of all members.
        hints: Latest hints; None before the first forecast.
    """

    ledger_type: type[DemandLedger] = DemandLedger

    def __init__(
        self, lease: LeaseHolder, host: ForecasterHost, policy: ForecastPolicy, zones: Mapping[str, str]
    ) -> None:
        """:param zones: Zone of each seat of the cluster."""
        self.lease = lease
        self.ledger = self.ledger_type(zones, policy.max_routes)
        self.hints: ScalingHints | None = None
        self._host = host
        self._policy = policy
        self._codec = LedgerCodec(self.ledger)
        self._forecast = RollingForecast(host, self._send_hints)
        # After this error no reports are recorded, since an update would overwrite the damaged state, which may be
        # repairable.
        self._state_error: CorruptLedgerError | None = None
        self._pending: list[_PendingAck] = []
        self._is_saving = self._is_stopped = False

    # ---- the lease's worker ----

    def start(self) -> None:
        """Start from the replicated state."""
        try:
            self._codec.decode(self.lease.state)
        except ValueError as error:
            self._state_error = CorruptLedgerError(f"the counts can't be read: {error}")
            self._host.count("forecast: state not read")
            return
        self._tick()

    def before_release(self) -> None:
        """Submit nothing: members report unacknowledged counts to the next leader."""

    def stop(self, reason: LeadershipError | None) -> None:
        """Stop the work when the term has ended."""
        self._is_stopped = True
        self._forecast.stop()
        self._pending.clear()
        self._host.ended(self)

    def _tick(self) -> None:
        if self._is_stopped:
            return
        self._host.at(self._host.clock() + round(self._policy.save_interval_ms * MS), self._tick)
        self.ledger.close_buckets(self._host.unix_ms())
        if self._pending and not self._is_saving:
            self._is_saving = True
            self._compress_and_save()
        self._forecast.update(self.ledger)

    # ---- counts ----

    def receive_report(self, seat: str, report: DemandReport) -> None:
        """Record a member's report, which is acknowledged once a majority has it."""
        if self._is_stopped or self._state_error is not None or len(self._pending) >= MAX_PENDING_REPORTS:
            return
        for bucket in report.buckets:
            if bucket.seat == seat:
                self.ledger.record(bucket)
        # Buckets that were reported too late are acknowledged as well, so that their runner discards them.
        progress = [(bucket.bucket, bucket.counted_until_ms) for bucket in report.buckets]
        self._pending.append(_PendingAck(self._host.member_replier(seat), report.serial, progress))

    def _compress_and_save(self) -> None:
        """Compress the changed series, then save. Uses several turns, since hundreds of series change each hour."""
        if self._is_stopped:
            return
        if self._codec.compress_some(SERIES_PER_TURN):
            self._save()
        else:
            self._host.at(self._host.clock() + TURN_INTERVAL_US, self._compress_and_save)

    def _save(self) -> None:
        saved, self._pending = self._pending, []

        def update_completed(outcome: Outcome) -> None:
            self._is_saving = False
            if self._is_stopped:
                return
            if isinstance(outcome, Completed):
                for ack in saved:
                    ack.reply(ReportAck(ack.serial, ack.buckets))
            else:
                self._host.count("forecast: counts not kept")
                self._pending = saved + self._pending

        self.lease.submit(StateUpdate(self._codec.encode()), update_completed)

    def import_history(self, histories: list[ImportedHistory], callback: ImportCallback) -> None:
        """Import histories that were counted elsewhere: all of them or none.

        :param callback: Called with None once a majority has them, or with CorruptLedgerError, ForecastNotReadyError,
            InvalidHistoryError or the error of the state update.
        """
        error = self._import_error(histories)
        if error is not None:
            return callback(error)
        for history in histories:
            self.ledger.import_history(
                encode_key(history.key),
                history.first_hour,
                history.requests,
                history.core_us,
                history.priority_weight,
            )
        self._forecast.invalidate()
        return self.lease.submit(
            StateUpdate(self._codec.encode()),
            lambda outcome: callback(None if isinstance(outcome, Completed) else outcome),
        )

    def _import_error(self, histories: list[ImportedHistory]) -> ForecastError | None:
        if self._state_error is not None:
            return self._state_error
        if not self.ledger.next_bucket:
            return ForecastNotReadyError(
                "nothing has been counted yet: there is no hour that these come before"
            )
        for history in histories:
            if not self.ledger.can_import(encode_key(history.key), history.first_hour, history.requests):
                return InvalidHistoryError(f"{history.key.label()}: its hours reach into those counted here")
        routes = {encode_key(history.key) for history in histories}
        if len(routes) < len(histories):
            return InvalidHistoryError("a route is named more than once")
        if len(self.ledger.series.keys() | routes) > self._policy.max_routes:
            return InvalidHistoryError(f"more than {self._policy.max_routes} routes")
        return None

    # ---- hints ----

    def _send_hints(self, forecast: WeeklyForecast, first_hour: int) -> None:
        """Plan and send hints from a new forecast, which includes the counts of all hours before `first_hour`."""
        host = self._host
        scaling = self._policy.scaling
        host.count("forecast: worked out")
        self.hints = plan_hints(
            forecast, self.ledger, first_hour, scaling, host.unix_ms(), host.running_by_zone()
        )
        if scaling.receiver is not None:
            address, port = scaling.receiver
            body = msgspec.json.encode(self.hints)
            self.lease.submit(FencedRequest(f"{address}:{port}", body), self._hints_response_received)

    def _hints_response_received(self, outcome: Outcome) -> None:
        was_sent = isinstance(outcome, Completed)
        self._host.count("forecast: hints given" if was_sent else "forecast: hints not given")

    # ---- operators ----

    def document(self, customer: str) -> dict[str, Any]:
        """Return the forecast of one customer, or of all if `customer` is "", as a document of the administration API.

        :raises ForecastError: if there is no forecast.
        """
        error = self._state_error or self._forecast.error
        if error is not None:
            raise error
        if self._forecast.latest is None:
            raise ForecastNotReadyError(
                f"{len(self.ledger.series)} routes are counted, and nothing is forecast yet"
            )
        return forecast_document(
            self._forecast.latest,
            self.hints,
            self.lease.record.term,
            self.ledger.late_reports,
            customer,
        )
