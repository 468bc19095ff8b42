"""One member's part in the forecast: it counts, reports to the leader, queries it, and may become the leader itself."""

from __future__ import annotations

from itertools import count
from typing import Protocol, assert_never

import msgspec

from ..forecasting.demand_counter import DemandCounter
from ..forecasting.policy import ForecastPolicy
from ..leadership.errors import LeadershipError
from ..leadership.lease_holder import LeaseHolder
from ..leadership.participant import Participant
from ..replication.component_channel import ComponentChannel
from ..time_units import MS
from . import messages
from .demand_reporter import DemandReporter
from .errors import ForecastError, ForecastNotReadyError
from .forecaster import KIND, NAME, Forecaster
from .leader_lookup import LeaderCallback, LeaderLookup
from .leader_queries import DocumentCallback, LeaderQueries
from .messages import (
    PART,
    DemandReport,
    ForecastQuery,
    HistoryImport,
    ImportedHistory,
    LeaderReply,
    Message,
    NotLeader,
    ReportAck,
)

# Maximum size of the document in a reply, which has to fit into a frame.
MAX_DOCUMENT_BYTES = 400 << 10


class MemberHost(Protocol):
    """Services of the process that a member uses."""

    def unix_ms(self) -> int:
        """Return the Unix time."""

    def make_forecaster(self, lease: LeaseHolder) -> Forecaster:
        """Return the worker for a new term."""


class ForecastMember:
    """One member's part in the forecast.

    Attributes:
        participant: This member's part in the duties.
        zone: Zone of this runner.
        counter: Counter of this runner's demand.
        forecaster: Worker while this member leads the forecast; otherwise None.
        send, replier: Send a message, see `ComponentChannel`.
    """

    def __init__(self, participant: Participant, host: MemberHost, policy: ForecastPolicy) -> None:
        self.participant = participant
        self._host = host
        self._policy = policy
        self._services = participant.services
        channel = ComponentChannel(participant.node, self._services.me, PART, messages.encode, self._dispatch)
        self.send = channel.send
        self.replier = channel.replier
        me, incarnation = self._services.me, self._services.incarnation
        self.zone = participant.node.placement.by_name[me].zone
        self.counter = DemandCounter(me, incarnation, self.zone, host.unix_ms(), policy.max_routes)
        self.forecaster: Forecaster | None = None
        self._lookup = LeaderLookup(participant)
        # Starts above the incarnation, so that a reply to an earlier process of this seat matches no query of this one.
        serials = count(incarnation + 1)
        self._reporter = DemandReporter(participant, self.counter, self._lookup, self.send, serials)
        self._queries = LeaderQueries(self._services, self._find_leader, self.send, serials)
        participant.node.components[PART] = self._message_received
        participant.directory.declare(NAME, KIND)

    def start(self) -> None:
        """Start reporting at the configured interval."""
        self._tick()

    def _tick(self) -> None:
        interval_us = round(self._policy.report_interval_ms * MS)
        self._services.at(self._services.now() + interval_us, self._tick)
        self.counter.tick(self._host.unix_ms())
        self.report()

    def report(self) -> None:
        """Report the unacknowledged counts now."""
        self._reporter.report(self._host.unix_ms(), self.forecaster is not None)

    # ---- messages ----

    def _message_received(self, seat: str, body: bytes) -> None:
        try:
            message = messages.decode(body)
        except msgspec.MsgspecError:
            self._services.count("forecast: a message that can't be read")
            return
        self._dispatch(seat, message)

    def _dispatch(self, seat: str, message: Message) -> None:
        match message:
            case DemandReport():
                self._report_received(seat, message)
            case ReportAck():
                self._reporter.ack_received(seat, message)
            case NotLeader():
                self._reporter.not_leader_received(seat, message)
            case ForecastQuery():
                self.replier(seat)(self._make_reply(message))
            case HistoryImport():
                self._import_received(seat, message)
            case LeaderReply():
                self._queries.reply_received(message)
            case _:
                assert_never(message)

    def _report_received(self, seat: str, report: DemandReport) -> None:
        if self.forecaster is not None:
            self.forecaster.receive_report(seat, report)
        else:
            self.replier(seat)(NotLeader(report.serial, self._lookup.last_known()))

    def _make_reply(self, query: ForecastQuery) -> LeaderReply:
        try:
            document = msgspec.json.encode(self._leading_forecaster().document(query.customer))
        except ForecastError as error:
            return _error_reply(query.serial, error)
        if len(document) > MAX_DOCUMENT_BYTES:
            return _error_reply(
                query.serial, ForecastNotReadyError(f"{len(document)} bytes: ask for one customer")
            )
        return LeaderReply(query.serial, document)

    def _import_received(self, seat: str, request: HistoryImport) -> None:
        reply_to_member = self.replier(seat)

        def done(error: ForecastError | LeadershipError | None) -> None:
            reply = (
                LeaderReply(request.serial, b"{}") if error is None else _error_reply(request.serial, error)
            )
            reply_to_member(reply)

        try:
            self._leading_forecaster().import_history(request.histories, done)
        except ForecastError as error:
            done(error)

    def _leading_forecaster(self) -> Forecaster:
        if self.forecaster is None:
            raise ForecastNotReadyError(f"{self._services.me} has not got the forecast")
        return self.forecaster

    # ---- operators ----

    def query(self, customer: str, callback: DocumentCallback) -> None:
        """Query the leader for the forecast of one customer, or of all if it is "". See `LeaderQueries.send_query`."""
        self._queries.send_query(lambda serial: ForecastQuery(serial, customer), callback)

    def import_history(self, histories: list[ImportedHistory], callback: DocumentCallback) -> None:
        """Request that the leader imports histories.

        See `LeaderQueries.send_query`, and `Forecaster.import_history` for its errors.
        """
        self._queries.send_query(lambda serial: HistoryImport(serial, histories), callback)

    def _find_leader(self, callback: LeaderCallback) -> None:
        if self.forecaster is not None:
            callback(self._services.me)
        else:
            self._lookup.read(callback)

    # ---- leadership ----

    def work(self, lease: LeaseHolder) -> Forecaster:
        """Return the worker for a new term."""
        self.forecaster = self._host.make_forecaster(lease)
        return self.forecaster

    def ended(self, worker: Forecaster) -> None:
        """Called when the term of a worker has ended. The next term may have started already."""
        if self.forecaster is worker:
            self.forecaster = None


def _error_reply(serial: int, error: ForecastError | LeadershipError) -> LeaderReply:
    return LeaderReply(serial, b"", error.kind, str(error))
