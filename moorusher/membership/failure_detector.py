"""Who is there: a failure detector and the spread of news, the same number of messages a member however many there are.

SWIM (Das, Gupta and Motivala 2002) with suspicion and versions that refute it; Lifeguard's local health (Dadgar,
Phillips and Currey 2018): who is itself slow gives others more time. What it says sets only when something is tried;
nothing is safe because of it.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from itertools import islice
from math import ceil, log2
from typing import Protocol

from .messages import MemberStatus, MemberUpdate, Ping, PingAck, PingRequest

MS = 1_000
PROBE_PERIOD_US = 200 * MS  # one member is asked in each
ACK_TIMEOUT_US = 80 * MS  # it has so long before others are asked to ask it
INDIRECT_PROBES = 3
SUSPICION_TIMEOUT_US = (
    500 * MS
)  # a pause of half a second is no death; twice as long in a fleet of a thousand
REFUSED_SUSPICION_TIMEOUT_US = 250 * MS  # where its address refuses connections: no process listens there
UPDATES_PER_MESSAGE = 8  # in a message, at most
RETRANSMIT_FACTOR = 3  # times the logarithm of the fleet's size is each one told
MAX_HEALTH_PENALTY = 5
DIRECT_CONTACT_FRESH_US = 200 * MS  # its own word to us counts for more than what others say of it
LATE_PERIOD_US = 100 * MS  # a period that begins so late: this process was stopped, or is slow


class MemberState(Enum):
    """Whether a member is there, as far as this one knows."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    UNKNOWN = 3  # never heard of


STATE_PRECEDENCE = {MemberState.UNKNOWN: 0, MemberState.ALIVE: 0, MemberState.SUSPECT: 1, MemberState.DEAD: 2}


@dataclass(slots=True)
class Member:
    """Another member, as this one knows it."""

    seat: str
    incarnation: int = 0
    version: int = 0
    state: MemberState = MemberState.UNKNOWN
    status: MemberStatus = MemberStatus()  # noqa: RUF009 - it is frozen
    state_since: int = 0
    connection_refused: bool = False
    last_heard: int = -1  # us, of its last word to us

    @property
    def is_alive(self) -> bool:
        return self.state is MemberState.ALIVE

    def is_lost(self, inc: int) -> bool:
        """That process of the seat is lost, as far as is known."""
        return self.state is MemberState.DEAD or (
            inc not in (self.incarnation, self.status.predecessor) and inc < self.incarnation
        )

    @property
    def accepts_work(self) -> bool:
        return self.is_alive and self.status.accepts_work


class DetectorHost(Protocol):
    """Who carries out what is decided here."""

    def send(self, seat: str, message: Ping | PingAck | PingRequest) -> None: ...
    def reply(self, seat: str, message: PingAck) -> None: ...
    def at(self, when: int, action: Callable[[], None]) -> None: ...
    def member_lost(self, seat: str, inc: int) -> None: ...
    def random(self) -> float: ...
    def clock(self) -> int: ...


class FailureDetector:
    """One member's view of all of them. Times are the host's, in us."""

    def __init__(self, me: str, inc: int, seats: tuple[str, ...], host: DetectorHost) -> None:
        self.me, self._host, self._others = me, host, [s for s in seats if s != me]
        self.by_seat = {seat: Member(seat) for seat in seats}
        self.own = self.by_seat[me]
        self.own.incarnation, self.own.state = inc, MemberState.ALIVE
        self.health = 0  # of this process: 0 is good
        self._probe_order: list[str] = []
        self._loss_updates: OrderedDict[str, int] = OrderedDict()  # seat -> how often it was told, by that
        self._updates: OrderedDict[str, int] = OrderedDict()
        self._serial = 0
        self._awaited_acks: dict[int, str] = {}  # for whose answer
        self._helped: dict[int, tuple[str, int]] = {}  # who asked us to ask, and its serial
        self._next_period = 0
        self._max_transmissions = ceil(RETRANSMIT_FACTOR * log2(max(2, len(seats))))

    def now(self) -> int:
        return self._host.clock()

    # ---- periods ----

    def start(self, now: int) -> None:
        self._next_period = now + round(PROBE_PERIOD_US * self._host.random())
        self._host.at(self._next_period, lambda: self._period(self._next_period))

    def _period(self, due: int) -> None:
        now = self.now()
        late, self._next_period = now - due, now + PROBE_PERIOD_US
        self._host.at(self._next_period, lambda: self._period(self._next_period))
        if late > LATE_PERIOD_US:
            # What we asked has waited for us, not for them.
            self.health = min(MAX_HEALTH_PENALTY, self.health + 1)
            self._awaited_acks.clear()
            for member in self.by_seat.values():
                member.state_since += late
        if not self._others:
            return
        if not self._probe_order:
            self._probe_order = sorted(self._others, key=lambda _: self._host.random())
        self.probe(self._probe_order.pop())

    def probe(self, seat: str) -> None:
        self._serial += 1
        serial = self._serial
        self._awaited_acks[serial] = seat
        self._host.send(seat, Ping(serial, self._updates_for(seat)))
        wait = ACK_TIMEOUT_US * (1 + self.health)
        sent = self.now()
        self._host.at(sent + wait, lambda: self._probe_indirectly(serial, seat, sent))

    def _probe_indirectly(self, serial: int, seat: str, sent: int) -> None:
        if serial not in self._awaited_acks:
            return
        helpers = sorted(
            (s for s in self._others if s != seat and self.by_seat[s].is_alive),
            key=lambda _: self._host.random(),
        )[:INDIRECT_PROBES]
        for helper in helpers:
            self._host.send(helper, PingRequest(serial, seat, self._updates_for(helper)))
        self._host.at(
            self.now() + ACK_TIMEOUT_US * (1 + self.health), lambda: self._probe_failed(serial, seat, sent)
        )

    def _probe_failed(self, serial: int, seat: str, sent: int) -> None:
        if self._awaited_acks.pop(serial, None) is not None:
            if all(self.by_seat[s].last_heard < sent for s in self._others):
                self.health = min(MAX_HEALTH_PENALTY, self.health + 1)  # nobody is heard: it may be us
            self.suspect(seat)

    # ---- judgements ----

    def suspect(self, seat: str, refused: bool = False) -> None:
        """`refused`: no process listens at its address; that is no proof either, but a reason to wait less."""
        member, now = self.by_seat[seat], self.now()
        if member.state is MemberState.ALIVE:
            self._set_state(member, MemberState.SUSPECT, member.version, now)
        member.connection_refused = member.connection_refused or refused
        if member.state is MemberState.SUSPECT:
            self._schedule_verdict(member, now)

    def _schedule_verdict(self, member: Member, now: int) -> None:
        inc, version = member.incarnation, member.version
        wait = REFUSED_SUSPICION_TIMEOUT_US if member.connection_refused else self.suspicion_timeout()
        self._host.at(max(now, member.state_since + wait), lambda: self._verdict(member, inc, version))

    def suspicion_timeout(self) -> int:
        size = max(1.0, log2(max(2, len(self.by_seat))) / 5)
        return round(SUSPICION_TIMEOUT_US * size * (1 + self.health / 2))

    def _verdict(self, member: Member, inc: int, version: int) -> None:
        now = self.now()
        if member.state is not MemberState.SUSPECT or (member.incarnation, member.version) != (inc, version):
            return
        wait = REFUSED_SUSPICION_TIMEOUT_US if member.connection_refused else self.suspicion_timeout()
        if now - member.state_since < wait:  # we were stopped meanwhile, or are slower than we thought
            return self._schedule_verdict(member, now)
        self._set_state(member, MemberState.DEAD, version, now)

    def _set_state(self, member: Member, state: MemberState, version: int, now: int) -> None:
        was, member.state, member.version, member.state_since = member.state, state, version, now
        if state is MemberState.ALIVE:
            member.connection_refused = False
        self._enqueue_update(member)
        if state is MemberState.DEAD and was is not MemberState.DEAD:
            self._host.member_lost(member.seat, member.incarnation)
            if member.status.predecessor:
                self._host.member_lost(member.seat, member.status.predecessor)

    def record_contact(self, seat: str, inc: int) -> None:
        """Anything at all has come from it, in this life of it."""
        member, now = self.by_seat[seat], self.now()
        member.last_heard = now
        if inc > member.incarnation:
            self._start_incarnation(member, inc, now)
            self._set_state(member, MemberState.ALIVE, 0, now)
        elif inc == member.incarnation and member.state is not MemberState.ALIVE:
            self._set_state(
                member, MemberState.ALIVE, member.version, now
            )  # for us; to others it says so itself

    def _start_incarnation(self, member: Member, inc: int, now: int) -> None:
        was, member.incarnation, member.connection_refused = member.incarnation, inc, False
        self._set_status(
            member, MemberStatus(predecessor=was if member.state is not MemberState.DEAD else 0)
        )  # until it says itself

    def publish_status(self, told: MemberStatus) -> None:
        """Of this member itself, where it has changed."""
        if told != self.own.status:
            self.own.status = told
            self.own.version += 1
            self._enqueue_update(self.own)

    def _set_status(self, member: Member, told: MemberStatus) -> None:
        predecessor, member.status = member.status.predecessor, told
        if predecessor and told.predecessor != predecessor:
            self._host.member_lost(member.seat, predecessor)

    # ---- news ----

    def _updates_for(self, to: str) -> list[MemberUpdate]:
        """What has been told least comes first, losses before all else; the one it goes to is told what is said of
        itself. As many steps in a large fleet as in a small one."""
        chosen = [to] if to in self._loss_updates or to in self._updates else []
        for kind in (self._loss_updates, self._updates):
            chosen += [s for s in islice(kind, UPDATES_PER_MESSAGE) if s != to]
        chosen = chosen[:UPDATES_PER_MESSAGE]
        for seat in chosen:
            kind = self._loss_updates if seat in self._loss_updates else self._updates
            kind[seat] += 1
            if kind[seat] >= self._max_transmissions:
                del kind[seat]
            else:
                kind.move_to_end(seat)
        if self.me not in chosen:
            chosen.append(self.me)
        return [
            MemberUpdate(m.seat, m.incarnation, m.version, m.state.value, m.status)
            for m in map(self.by_seat.__getitem__, chosen)
        ]

    def _enqueue_update(self, member: Member) -> None:
        """Something is new of it."""
        self._loss_updates.pop(member.seat, None)
        self._updates.pop(member.seat, None)
        kind = self._updates if member.is_alive else self._loss_updates
        kind[member.seat] = 0
        kind.move_to_end(member.seat, last=False)

    def _apply_updates(self, news: list[MemberUpdate]) -> None:
        now = self.now()
        for a in news[: 2 * UPDATES_PER_MESSAGE]:
            member = self.by_seat.get(a.seat)
            if member is None or not 0 <= a.state <= 2:
                continue
            state = MemberState(a.state)
            if a.seat == self.me:
                if (
                    a.incarnation == self.own.incarnation
                    and state is not MemberState.ALIVE
                    and a.version >= self.own.version
                ):
                    self.own.version = a.version + 1  # we live, and say so
                    self._enqueue_update(self.own)
                    self.health = min(MAX_HEALTH_PENALTY, self.health + 1)
                continue
            if a.incarnation < member.incarnation:
                continue
            if a.incarnation > member.incarnation:
                self._start_incarnation(member, a.incarnation, now)
                member.state, member.version = MemberState.UNKNOWN, -1
            if (
                state is not MemberState.ALIVE
                and a.incarnation == member.incarnation
                and 0 <= now - member.last_heard < DIRECT_CONTACT_FRESH_US
                and member.is_alive
            ):
                continue  # we have just heard it ourselves
            newer = a.version > member.version
            if newer or (
                a.version == member.version
                and (
                    STATE_PRECEDENCE[state] > STATE_PRECEDENCE[member.state]
                    or member.state is MemberState.UNKNOWN
                )
            ):
                if (newer and state is MemberState.ALIVE) or member.state is MemberState.UNKNOWN:
                    self._set_status(member, a.status)
                if state is not member.state or newer:
                    self._set_state(member, state, a.version, now)
                if state is MemberState.SUSPECT:
                    self._schedule_verdict(member, now)

    # ---- messages ----

    def handle_ping(self, seat: str, m: Ping) -> None:
        self._apply_updates(m.updates)
        self._host.reply(seat, PingAck(m.serial, self._updates_for(seat), m.requested_by))

    def handle_ping_request(self, seat: str, m: PingRequest) -> None:
        self._apply_updates(m.updates)
        if m.seat in self.by_seat and m.seat != self.me:
            self._host.send(m.seat, Ping(m.serial, self._updates_for(m.seat), seat))

    def handle_ack(self, seat: str, m: PingAck) -> None:
        self._apply_updates(m.updates)
        if m.requested_by and m.requested_by != self.me:
            if (
                m.requested_by in self.by_seat
            ):  # we had asked for another: it is told that the one it asks about lives
                self._host.send(
                    m.requested_by, PingAck(m.serial, [*self._updates_for(m.requested_by)], m.requested_by)
                )
            return
        target = self._awaited_acks.pop(m.serial, None)
        if target is None:
            return
        self.health = max(0, self.health - 1)
        member = self.by_seat[target]
        if member.state is MemberState.SUSPECT:
            self._set_state(member, MemberState.ALIVE, member.version, self.now())
