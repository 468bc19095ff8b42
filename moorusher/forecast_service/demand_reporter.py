"""Reports a member's counts to the leader, again and again until they are acknowledged."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from ..forecasting.demand_counter import DemandCounter
from ..leadership.errors import LeadershipError
from ..leadership.participant import Participant
from ..time_units import MS
from .leader_lookup import LeaderLookup
from .messages import DemandReport, Message, NotLeader, ReportAck

MIN_LOOKUP_INTERVAL_US = 1_000 * MS  # between two reads of the register
MAX_LOOKUP_JITTER = 2  # of that interval, added at random: members must not all read at once
MAX_UNANSWERED = 3  # reports, after which the leader is looked up again


class DemandReporter:
    """Reports to the member that last acknowledged, or that others name as the leader.

    The register is read only where nobody answers: if each report of a thousand runners read it, neither their reads
    nor the leader's own updates would get through.
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
        self._leader = ""  # as last heard
        self._unanswered = 0  # reports since then
        self._next_lookup_us = 0

    def report(self, now_ms: int, is_leader: bool) -> None:
        """Report what is not acknowledged. Reported twice it counts once.

        :param now_ms: Unix time.
        :param is_leader: this member leads the forecast.
        """
        buckets = self._counter.unacknowledged(now_ms)
        if not buckets:
            return
        if self._unanswered >= MAX_UNANSWERED:
            self._leader = ""
        leader = self._services.me if is_leader else self._leader or self._lookup.last_known()
        if leader:
            self._unanswered += 1
            self._send(leader, DemandReport(next(self._serials), buckets))
        elif self._services.now() >= self._next_lookup_us:
            self._look_up()

    def _look_up(self) -> None:
        jitter = 1 + MAX_LOOKUP_JITTER * self._node.random()
        self._next_lookup_us = self._services.now() + round(MIN_LOOKUP_INTERVAL_US * jitter)
        self._lookup.read(self._found)

    def _found(self, leader: str | LeadershipError) -> None:
        if isinstance(leader, str):
            self._leader_answered(leader)

    def acknowledged(self, seat: str, ack: ReportAck) -> None:
        """The leader has replicated a report."""
        self._leader_answered(seat)
        self._counter.acknowledge(ack.buckets)

    def _leader_answered(self, leader: str) -> None:
        self._leader = leader
        self._unanswered = 0

    def redirected(self, seat: str, answer: NotLeader) -> None:
        """A member that got a report doesn't lead the forecast."""
        self._leader = answer.leader if answer.leader != seat else ""
