"""Reports a member's counts to the leader, repeatedly until they are acknowledged."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from ..forecasting.demand_counter import DemandCounter
from ..leadership.errors import LeadershipError
from ..leadership.participant import Participant
from ..time_units import MS
from .leader_lookup import LeaderLookup
from .messages import DemandReport, Message, NotLeader, ReportAck

# Minimum time between two reads of the register.
MIN_LOOKUP_INTERVAL_US = 1_000 * MS
# Maximum random addition to this interval, as a multiple of it, so that members don't all read at the same time.
MAX_LOOKUP_JITTER = 2
# Unanswered reports after which the leader is looked up again.
MAX_UNANSWERED_REPORTS = 3


class DemandReporter:
    """Sends reports to the member that last acknowledged one, or that other members name as the leader.

    The register is read only if no leader is known. If every report of a thousand runners read it, neither these reads
    nor the leader's own updates would succeed.
    """

    def __init__(
        self,
        participant: Participant,
        counter: DemandCounter,
        lookup: LeaderLookup,
        send: Callable[[str, Message], None],
        serials: Iterator[int],
    ) -> None:
        self._node = participant.node
        self._services = participant.services
        self._counter = counter
        self._lookup = lookup
        self._send = send
        self._serials = serials
        self._leader = ""  # Last known leader; "" if unknown.
        self._unanswered_reports = 0  # Reports sent since the leader last answered.
        self._next_lookup_us = 0

    def report(self, now_ms: int, is_leader: bool) -> None:
        """Report the unacknowledged buckets. A bucket that is reported twice counts once.

        :param now_ms: Unix time.
        :param is_leader: Whether this member leads the forecast.
        """
        buckets = self._counter.unacknowledged_buckets(now_ms)
        if not buckets:
            return
        if self._unanswered_reports >= MAX_UNANSWERED_REPORTS:
            self._leader = ""
        leader = self._services.me if is_leader else self._leader or self._lookup.last_known()
        if leader:
            self._unanswered_reports += 1
            self._send(leader, DemandReport(next(self._serials), buckets))
        elif self._services.now() >= self._next_lookup_us:
            self._query_leader()

    def _query_leader(self) -> None:
        jitter = 1 + MAX_LOOKUP_JITTER * self._node.random()
        self._next_lookup_us = self._services.now() + round(MIN_LOOKUP_INTERVAL_US * jitter)
        self._lookup.read(self._leader_found)

    def _leader_found(self, leader: str | LeadershipError) -> None:
        if isinstance(leader, str):
            self._set_leader(leader)

    def ack_received(self, seat: str, ack: ReportAck) -> None:
        """Called when the leader has acknowledged a report, whose counts a majority then has."""
        self._set_leader(seat)
        self._counter.acknowledge(ack.buckets)

    def _set_leader(self, leader: str) -> None:
        self._leader = leader
        self._unanswered_reports = 0

    def not_leader_received(self, seat: str, answer: NotLeader) -> None:
        """Called when a member that received a report answers that it does not lead the forecast."""
        self._leader = answer.leader if answer.leader != seat else ""
