"""The failure detector: probes members, suspects those that don't answer, and declares them dead.

It implements SWIM (Das, Gupta and Motivala 2002) with suspicion: a suspected member refutes the suspicion by publishing
a higher version. It also implements Lifeguard's local health (Dadgar, Phillips and Currey 2018): a member that is slow
itself gives the others more time. The number of messages per member does not depend on the size of the cluster. The
detector's decisions only affect when a takeover is tried; safety does not depend on them.
"""

from __future__ import annotations

from collections.abc import Callable
from math import log2
from typing import Protocol

from moorusher.time_units import MS

from .dissemination import UPDATES_PER_MESSAGE, Dissemination
from .member import STATE_PRECEDENCE, Member, MemberState
from .messages import MemberStatus, MemberUpdate, Ping, PingAck, PingRequest

PROBE_PERIOD_US = 200 * MS  # One member is probed per period.
ACK_TIMEOUT_US = 80 * MS  # Timeout of a direct probe, and then of the indirect probes that follow it.
INDIRECT_PROBES = 3  # Number of members that are requested to probe a member that does not answer.
# Suspicion timeout in a small cluster. A process that pauses for half a second must not be declared dead.
SUSPICION_TIMEOUT_US = 500 * MS
# Suspicion timeout if the member's address refuses connections. It is shorter, since no process listens there.
REFUSED_SUSPICION_TIMEOUT_US = 250 * MS
MAX_HEALTH_PENALTY = 5
# Time for which a member's own message outweighs suspicions from others.
DIRECT_CONTACT_FRESH_US = 200 * MS
# If a probe period begins later than planned by more than this, this process was paused or is slow.
LATE_PERIOD_US = 100 * MS


class DetectorHost(Protocol):
    """The process that executes the detector's decisions. Times are in us."""

    def send(self, seat: str, message: Ping | PingAck | PingRequest) -> None:
        """Send a message to a seat."""

    def reply(self, seat: str, message: PingAck) -> None:
        """Reply to the sender of the message being handled."""

    def at(self, when: int, action: Callable[[], None]) -> None:
        """Call `action` at that time or soon after it."""

    def member_lost(self, seat: str, incarnation: int) -> None:
        """Called when that process is dead or has been replaced."""

    def random(self) -> float:
        """Return a random number from 0 to 1."""

    def clock(self) -> int:
        """Return the current time."""


class FailureDetector:
    """One member's view of the cluster.

    Attributes:
        me: Seat of this member.
        by_seat: Members by seat, including this one.
        own: This member.
        health: Penalty of this process; 0 is healthy, and each point gives the other members more time.
    """

    def __init__(self, me: str, incarnation: int, seats: tuple[str, ...], host: DetectorHost) -> None:
        self.me = me
        self.by_seat = {seat: Member(seat) for seat in seats}
        self.own = self.by_seat[me]
        self.own.incarnation = incarnation
        self.own.state = MemberState.ALIVE
        self.health = 0
        self._host = host
        self._other_seats = [seat for seat in seats if seat != me]
        self._dissemination = Dissemination(me, self.by_seat)
        # Members still to be probed in this round; each is probed once per round.
        self._probe_order: list[str] = []
        self._serial = 0
        self._awaited_acks: dict[int, str] = {}  # Seats of the outstanding probes, by serial.
        self._next_period = 0  # Time (us) of the next period.

    def publish_status(self, status: MemberStatus) -> None:
        """Send this member's status to the others if it has changed."""
        if status != self.own.status:
            self.own.status = status
            self.own.version += 1
            self._dissemination.enqueue(self.own)

    # ---- probes ----

    def start(self, now: int) -> None:
        """Start to probe after a random part of a period, so that the members' probes don't coincide."""
        self._next_period = now + round(PROBE_PERIOD_US * self._host.random())
        self._host.at(self._next_period, lambda: self._period(self._next_period))

    def _period(self, due: int) -> None:
        now = self._host.clock()
        late = now - due
        self._next_period = now + PROBE_PERIOD_US
        self._host.at(self._next_period, lambda: self._period(self._next_period))
        if late > LATE_PERIOD_US:
            self._compensate_for_pause(late)
        if not self._other_seats:
            return
        if not self._probe_order:
            self._probe_order = sorted(self._other_seats, key=lambda _: self._host.random())
        self.probe(self._probe_order.pop())

    def _compensate_for_pause(self, pause: int) -> None:
        """Drop outstanding probes and extend suspicions by the time (us) for which this process was paused."""
        # During the pause it could not read the answers that had arrived.
        self._penalize()
        self._awaited_acks.clear()
        for member in self.by_seat.values():
            member.state_since += pause

    def probe(self, seat: str) -> None:
        """Ping a member. If it does not answer, other members are requested to ping it."""
        self._serial += 1
        serial = self._serial
        self._awaited_acks[serial] = seat
        self._host.send(seat, Ping(serial, self._dissemination.updates_for(seat)))
        sent_at = self._host.clock()
        self._host.at(sent_at + self._ack_timeout(), lambda: self._probe_indirectly(serial, seat, sent_at))

    def _probe_indirectly(self, serial: int, seat: str, sent_at: int) -> None:
        if serial not in self._awaited_acks:
            return
        alive = [other for other in self._other_seats if other != seat and self.by_seat[other].is_alive]
        helpers = sorted(alive, key=lambda _: self._host.random())[:INDIRECT_PROBES]
        for helper in helpers:
            self._host.send(helper, PingRequest(serial, seat, self._dissemination.updates_for(helper)))
        due = self._host.clock() + self._ack_timeout()
        self._host.at(due, lambda: self._probe_failed(serial, seat, sent_at))

    def _probe_failed(self, serial: int, seat: str, sent_at: int) -> None:
        if self._awaited_acks.pop(serial, None) is None:
            return
        if all(self.by_seat[other].last_message_us < sent_at for other in self._other_seats):
            self._penalize()  # No member's message has arrived since the probe, so this process may be the cause.
        self.suspect(seat)

    def _ack_timeout(self) -> int:
        return ACK_TIMEOUT_US * (1 + self.health)

    def _penalize(self) -> None:
        self.health = min(MAX_HEALTH_PENALTY, self.health + 1)

    # ---- suspicion ----

    def suspect(self, seat: str, refused: bool = False) -> None:
        """Suspect that a member is dead.

        :param refused: Whether its address refuses connections. This is no proof of death but shortens the timeout.
        """
        member = self.by_seat[seat]
        now = self._host.clock()
        if member.state is MemberState.ALIVE:
            self._set_state(member, MemberState.SUSPECT, member.version, now)
        member.connection_refused = member.connection_refused or refused
        if member.state is MemberState.SUSPECT:
            self._schedule_suspicion_timeout(member, now)

    def suspicion_timeout(self) -> int:
        """Return the time (us) until a suspected member is declared dead."""
        # It grows with `health` and with the cluster's size: for a thousand seats it is twice the base value.
        size_factor = max(1.0, log2(max(2, len(self.by_seat))) / 5)
        return round(SUSPICION_TIMEOUT_US * size_factor * (1 + self.health / 2))

    def _timeout_of(self, member: Member) -> int:
        return REFUSED_SUSPICION_TIMEOUT_US if member.connection_refused else self.suspicion_timeout()

    def _schedule_suspicion_timeout(self, member: Member, now: int) -> None:
        incarnation = member.incarnation
        version = member.version
        due = max(now, member.state_since + self._timeout_of(member))
        self._host.at(due, lambda: self._suspicion_timed_out(member, incarnation, version))

    def _suspicion_timed_out(self, member: Member, incarnation: int, version: int) -> None:
        """Declare the member dead, unless the suspicion was refuted or its timeout has been extended."""
        if member.state is not MemberState.SUSPECT:
            return
        if (member.incarnation, member.version) != (incarnation, version):
            return
        now = self._host.clock()
        if now - member.state_since < self._timeout_of(member):
            # This process was paused since then, or its health penalty has grown.
            return self._schedule_suspicion_timeout(member, now)
        self._set_state(member, MemberState.DEAD, version, now)

    def _set_state(self, member: Member, state: MemberState, version: int, now: int) -> None:
        was_dead = member.state is MemberState.DEAD
        member.state = state
        member.version = version
        member.state_since = now
        if state is MemberState.ALIVE:
            member.connection_refused = False
        self._dissemination.enqueue(member)
        if state is MemberState.DEAD and not was_dead:
            self._host.member_lost(member.seat, member.incarnation)
            if member.status.predecessor:
                self._host.member_lost(member.seat, member.status.predecessor)

    # ---- contact and gossip ----

    def record_contact(self, seat: str, incarnation: int) -> None:
        """Record that a message of any kind has arrived from that process."""
        member = self.by_seat[seat]
        now = self._host.clock()
        member.last_message_us = now
        if incarnation > member.incarnation:
            self._start_incarnation(member, incarnation)
            self._set_state(member, MemberState.ALIVE, 0, now)
        elif incarnation == member.incarnation and member.state is not MemberState.ALIVE:
            # Keeps the version, since only the member itself may refute the suspicion for all others.
            self._set_state(member, MemberState.ALIVE, member.version, now)

    def _start_incarnation(self, member: Member, incarnation: int) -> None:
        """Record that a new process has the seat."""
        # Until the new process's status arrives, the previous process counts as its predecessor, unless it is dead.
        previous = member.incarnation
        member.incarnation = incarnation
        member.connection_refused = False
        predecessor = previous if member.state is not MemberState.DEAD else 0
        self._set_status(member, MemberStatus(predecessor=predecessor))

    def _set_status(self, member: Member, status: MemberStatus) -> None:
        predecessor = member.status.predecessor
        member.status = status
        if predecessor and status.predecessor != predecessor:
            self._host.member_lost(member.seat, predecessor)

    def _apply_updates(self, updates: list[MemberUpdate]) -> None:
        now = self._host.clock()
        for update in updates[: 2 * UPDATES_PER_MESSAGE]:
            has_valid_state = MemberState.ALIVE.value <= update.state <= MemberState.DEAD.value
            if update.seat == self.me and has_valid_state:
                self._refute(update)
            elif update.seat in self.by_seat and has_valid_state:
                self._apply_update(self.by_seat[update.seat], update, now)

    def _refute(self, update: MemberUpdate) -> None:
        """Refute a current suspicion of this process by publishing a higher version."""
        is_suspicion = update.state != MemberState.ALIVE.value
        is_current = update.incarnation == self.own.incarnation and update.version >= self.own.version
        if is_suspicion and is_current:
            self.own.version = update.version + 1
            self._dissemination.enqueue(self.own)
            self._penalize()

    def _apply_update(self, member: Member, update: MemberUpdate, now: int) -> None:
        state = MemberState(update.state)
        if update.incarnation < member.incarnation:
            return
        if update.incarnation > member.incarnation:
            self._start_incarnation(member, update.incarnation)
            member.state = MemberState.UNKNOWN
            member.version = -1
        is_fresh = member.is_alive and 0 <= now - member.last_message_us < DIRECT_CONTACT_FRESH_US
        if state is not MemberState.ALIVE and is_fresh:
            return  # A direct message from the member is more recent than the suspicion.
        is_newer = update.version > member.version
        is_unknown = member.state is MemberState.UNKNOWN
        has_precedence = STATE_PRECEDENCE[state] > STATE_PRECEDENCE[member.state]
        if not is_newer and not (update.version == member.version and (has_precedence or is_unknown)):
            return
        if (is_newer and state is MemberState.ALIVE) or is_unknown:
            self._set_status(member, update.status)
        if state is not member.state or is_newer:
            self._set_state(member, state, update.version, now)
        if state is MemberState.SUSPECT:
            self._schedule_suspicion_timeout(member, now)

    # ---- messages ----

    def handle_ping(self, seat: str, ping: Ping) -> None:
        """Answer a probe of this member."""
        self._apply_updates(ping.updates)
        ack = PingAck(ping.serial, self._dissemination.updates_for(seat), ping.requested_by)
        self._host.reply(seat, ack)

    def handle_ping_request(self, seat: str, request: PingRequest) -> None:
        """Probe the requested member on behalf of the requesting one."""
        self._apply_updates(request.updates)
        if request.seat in self.by_seat and request.seat != self.me:
            updates = self._dissemination.updates_for(request.seat)
            self._host.send(request.seat, Ping(request.serial, updates, seat))

    def handle_ack(self, seat: str, ack: PingAck) -> None:
        """Handle the answer to a probe, or forward it if another member requested the probe."""
        self._apply_updates(ack.updates)
        if ack.requested_by and ack.requested_by != self.me:
            if ack.requested_by in self.by_seat:
                updates = self._dissemination.updates_for(ack.requested_by)
                self._host.send(ack.requested_by, PingAck(ack.serial, updates, ack.requested_by))
            return
        target = self._awaited_acks.pop(ack.serial, None)
        if target is None:
            return
        self.health = max(0, self.health - 1)
        member = self.by_seat[target]
        if member.state is MemberState.SUSPECT:
            self._set_state(member, MemberState.ALIVE, member.version, self._host.clock())
