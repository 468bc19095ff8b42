"""The failure detector: probes, suspicions and verdicts; the same number of messages a member in a cluster of any size.

SWIM (Das, Gupta and Motivala 2002) with suspicion, and versions that refute it; Lifeguard's local health (Dadgar,
Phillips and Currey 2018): a member that is itself slow gives the others more time. What is decided here sets only when
something is tried; no guarantee rests on it.
"""

from __future__ import annotations

from collections.abc import Callable
from math import log2
from typing import Protocol

from moorusher.time_units import MS

from .dissemination import UPDATES_PER_MESSAGE, Dissemination
from .member import STATE_PRECEDENCE, Member, MemberState
from .messages import MemberStatus, MemberUpdate, Ping, PingAck, PingRequest

PROBE_PERIOD_US = 200 * MS  # one member is probed in each
ACK_TIMEOUT_US = 80 * MS  # until others are asked to probe the member; and again until it is suspected
INDIRECT_PROBES = 3  # how many others are asked
SUSPICION_TIMEOUT_US = 500 * MS  # in a small cluster; a pause of half a second is no death
REFUSED_SUSPICION_TIMEOUT_US = 250 * MS  # where its address refuses connections: no process listens there
MAX_HEALTH_PENALTY = 5
DIRECT_CONTACT_FRESH_US = (
    200 * MS
)  # for so long a member's own message counts for more than others' suspicion
LATE_PERIOD_US = 100 * MS  # a period that begins so late shows that this process was stopped, or is slow


class DetectorHost(Protocol):
    """Who carries out what is decided here. Times are in us."""

    def send(self, seat: str, message: Ping | PingAck | PingRequest) -> None:
        """To whichever process has the seat."""

    def reply(self, seat: str, message: PingAck) -> None:
        """To the process whose message is being handled."""

    def at(self, when: int, action: Callable[[], None]) -> None:
        """Calls `action` at that time, or soon after it."""

    def member_lost(self, seat: str, incarnation: int) -> None:
        """That process is dead, or has been replaced."""

    def random(self) -> float:
        """From 0 to 1."""

    def clock(self) -> int:
        """Now."""


class FailureDetector:
    """One member's view of all of them.

    Attributes:
        me: `str`, this member's seat.
        by_seat: `Member` of each seat, this one's included.
        own: `Member`, this one.
        health: `int`, the penalty of this process: 0 is good; with each point it gives others more time.
    """

    def __init__(self, me: str, incarnation: int, seats: tuple[str, ...], host: DetectorHost) -> None:
        self.me = me
        self.by_seat = {seat: Member(seat) for seat in seats}
        self.own = self.by_seat[me]
        self.own.incarnation = incarnation
        self.own.state = MemberState.ALIVE
        self.health = 0
        self._host = host
        self._others = [seat for seat in seats if seat != me]
        self._dissemination = Dissemination(me, self.by_seat)
        self._probe_order: list[str] = []  # of this round; each member is probed once in a round
        self._serial = 0
        self._awaited_acks: dict[int, str] = {}  # by serial of the probe: whose answer is waited for
        self._next_period = 0  # us

    def publish_status(self, status: MemberStatus) -> None:
        """Tells the others what this member says of itself, where it has changed."""
        if status != self.own.status:
            self.own.status = status
            self.own.version += 1
            self._dissemination.enqueue(self.own)

    # ---- probes ----

    def start(self, now: int) -> None:
        """Begins to probe, at a random point of a period: the members' probes shall not coincide."""
        self._next_period = now + round(PROBE_PERIOD_US * self._host.random())
        self._host.at(self._next_period, lambda: self._period(self._next_period))

    def _period(self, due: int) -> None:
        now = self._host.clock()
        late = now - due
        self._next_period = now + PROBE_PERIOD_US
        self._host.at(self._next_period, lambda: self._period(self._next_period))
        if late > LATE_PERIOD_US:
            self._make_up_for_pause(late)
        if not self._others:
            return
        if not self._probe_order:
            self._probe_order = sorted(self._others, key=lambda _: self._host.random())
        self.probe(self._probe_order.pop())

    def _make_up_for_pause(self, pause: int) -> None:
        """This process was stopped: the answers that it waits for have waited for it."""
        self._penalize()
        self._awaited_acks.clear()
        for member in self.by_seat.values():
            member.state_since += pause

    def probe(self, seat: str) -> None:
        """Pings a member; others are asked to where it does not answer."""
        self._serial += 1
        serial = self._serial
        self._awaited_acks[serial] = seat
        self._host.send(seat, Ping(serial, self._dissemination.updates_for(seat)))
        sent_at = self._host.clock()
        self._host.at(sent_at + self._ack_timeout(), lambda: self._probe_indirectly(serial, seat, sent_at))

    def _probe_indirectly(self, serial: int, seat: str, sent_at: int) -> None:
        if serial not in self._awaited_acks:
            return
        alive = [other for other in self._others if other != seat and self.by_seat[other].is_alive]
        helpers = sorted(alive, key=lambda _: self._host.random())[:INDIRECT_PROBES]
        for helper in helpers:
            self._host.send(helper, PingRequest(serial, seat, self._dissemination.updates_for(helper)))
        due = self._host.clock() + self._ack_timeout()
        self._host.at(due, lambda: self._probe_failed(serial, seat, sent_at))

    def _probe_failed(self, serial: int, seat: str, sent_at: int) -> None:
        if self._awaited_acks.pop(serial, None) is None:
            return
        if all(self.by_seat[other].last_heard < sent_at for other in self._others):
            self._penalize()  # nobody is heard: it may be this process
        self.suspect(seat)

    def _ack_timeout(self) -> int:
        return ACK_TIMEOUT_US * (1 + self.health)

    def _penalize(self) -> None:
        self.health = min(MAX_HEALTH_PENALTY, self.health + 1)

    # ---- verdicts ----

    def suspect(self, seat: str, refused: bool = False) -> None:
        """A member may be gone. `refused`: no process listens at its address; that is no proof either, but a reason to
        wait less."""
        member = self.by_seat[seat]
        now = self._host.clock()
        if member.state is MemberState.ALIVE:
            self._set_state(member, MemberState.SUSPECT, member.version, now)
        member.connection_refused = member.connection_refused or refused
        if member.state is MemberState.SUSPECT:
            self._schedule_verdict(member, now)

    def suspicion_timeout(self) -> int:
        """us until a suspected member counts as dead; twice as long in a cluster of a thousand as in a small one."""
        size_factor = max(1.0, log2(max(2, len(self.by_seat))) / 5)
        return round(SUSPICION_TIMEOUT_US * size_factor * (1 + self.health / 2))

    def _timeout_of(self, member: Member) -> int:
        return REFUSED_SUSPICION_TIMEOUT_US if member.connection_refused else self.suspicion_timeout()

    def _schedule_verdict(self, member: Member, now: int) -> None:
        incarnation = member.incarnation
        version = member.version
        due = max(now, member.state_since + self._timeout_of(member))
        self._host.at(due, lambda: self._verdict(member, incarnation, version))

    def _verdict(self, member: Member, incarnation: int, version: int) -> None:
        """Dead, unless the suspicion was refuted, or has not lasted long enough by now."""
        if member.state is not MemberState.SUSPECT:
            return
        if (member.incarnation, member.version) != (incarnation, version):
            return
        now = self._host.clock()
        if now - member.state_since < self._timeout_of(member):
            # This process was stopped meanwhile, or is slower than it thought.
            return self._schedule_verdict(member, now)
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

    # ---- what is heard ----

    def record_contact(self, seat: str, incarnation: int) -> None:
        """Anything at all has come from that process."""
        member = self.by_seat[seat]
        now = self._host.clock()
        member.last_heard = now
        if incarnation > member.incarnation:
            self._start_incarnation(member, incarnation)
            self._set_state(member, MemberState.ALIVE, 0, now)
        elif incarnation == member.incarnation and member.state is not MemberState.ALIVE:
            # For this member alone; to others it says so itself.
            self._set_state(member, MemberState.ALIVE, member.version, now)

    def _start_incarnation(self, member: Member, incarnation: int) -> None:
        """Another process has the seat; until it says so itself, it replaces the former one, if that one lived."""
        former = member.incarnation
        member.incarnation = incarnation
        member.connection_refused = False
        predecessor = former if member.state is not MemberState.DEAD else 0
        self._set_status(member, MemberStatus(predecessor=predecessor))

    def _set_status(self, member: Member, status: MemberStatus) -> None:
        predecessor = member.status.predecessor
        member.status = status
        if predecessor and status.predecessor != predecessor:
            self._host.member_lost(member.seat, predecessor)

    def _apply_updates(self, updates: list[MemberUpdate]) -> None:
        now = self._host.clock()
        for update in updates[: 2 * UPDATES_PER_MESSAGE]:
            is_told = MemberState.ALIVE.value <= update.state <= MemberState.DEAD.value
            if update.seat == self.me and is_told:
                self._refute(update)
            elif update.seat in self.by_seat and is_told:
                self._apply_update(self.by_seat[update.seat], update, now)

    def _refute(self, update: MemberUpdate) -> None:
        """Others suspect this process: it lives, and says so with a higher version."""
        is_suspicion = update.state != MemberState.ALIVE.value
        is_of_now = update.incarnation == self.own.incarnation and update.version >= self.own.version
        if is_suspicion and is_of_now:
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
        is_fresh = member.is_alive and 0 <= now - member.last_heard < DIRECT_CONTACT_FRESH_US
        if state is not MemberState.ALIVE and is_fresh:
            return  # it was just heard here
        is_newer = update.version > member.version
        is_unknown = member.state is MemberState.UNKNOWN
        takes_precedence = STATE_PRECEDENCE[state] > STATE_PRECEDENCE[member.state]
        if not is_newer and not (update.version == member.version and (takes_precedence or is_unknown)):
            return
        if (is_newer and state is MemberState.ALIVE) or is_unknown:
            self._set_status(member, update.status)
        if state is not member.state or is_newer:
            self._set_state(member, state, update.version, now)
        if state is MemberState.SUSPECT:
            self._schedule_verdict(member, now)

    # ---- messages ----

    def handle_ping(self, seat: str, ping: Ping) -> None:
        """A probe of this member."""
        self._apply_updates(ping.updates)
        ack = PingAck(ping.serial, self._dissemination.updates_for(seat), ping.requested_by)
        self._host.reply(seat, ack)

    def handle_ping_request(self, seat: str, request: PingRequest) -> None:
        """Another member asks for a probe of a third."""
        self._apply_updates(request.updates)
        if request.seat in self.by_seat and request.seat != self.me:
            updates = self._dissemination.updates_for(request.seat)
            self._host.send(request.seat, Ping(request.serial, updates, seat))

    def handle_ack(self, seat: str, ack: PingAck) -> None:
        """The answer to a probe, or to one that another member has asked for."""
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
