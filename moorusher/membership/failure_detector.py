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

from ..replication.messages import About, Ping, PingFor, Pong, Word

MS = 1_000
PERIOD = 200 * MS  # one member is asked in each
ANSWER = 80 * MS  # it has so long before others are asked to ask it
HELPERS = 3
SUSPECTED = 500 * MS  # a pause of half a second is no death; twice as long in a fleet of a thousand
REFUSED = 250 * MS  # where its address refuses connections: no process listens there
NEWS = 8  # in a message, at most
SPREAD = 3  # times the logarithm of the fleet's size is each one told
MOST_HEALTH = 5
FRESH = 200 * MS  # its own word to us counts for more than what others say of it
LATE = 100 * MS  # a period that begins so late: this process was stopped, or is slow


class State(Enum):
    """Whether a member is there, as far as this one knows."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    UNKNOWN = 3  # never heard of


RANK = {State.UNKNOWN: 0, State.ALIVE: 0, State.SUSPECT: 1, State.DEAD: 2}


@dataclass(slots=True)
class Member:
    """Another member, as this one knows it."""

    seat: str
    inc: int = 0
    version: int = 0
    state: State = State.UNKNOWN
    told: Word = Word()  # noqa: RUF009 - it is frozen
    since: int = 0
    refused: bool = False
    heard: int = -1  # us, of its last word to us

    @property
    def up(self) -> bool:
        return self.state is State.ALIVE

    def past(self, inc: int) -> bool:
        """That process of the seat is lost, as far as is known."""
        return self.state is State.DEAD or (inc not in (self.inc, self.told.predecessor) and inc < self.inc)

    @property
    def fit(self) -> bool:
        return self.up and self.told.fit


class Host(Protocol):
    """Who carries out what is decided here."""

    def send(self, seat: str, message: Ping | Pong | PingFor) -> None: ...
    def reply(self, seat: str, message: Pong) -> None: ...
    def at(self, when: int, action: Callable[[], None]) -> None: ...
    def died(self, seat: str, inc: int) -> None: ...
    def random(self) -> float: ...
    def clock(self) -> int: ...


class Members:
    """One member's view of all of them. Times are the host's, in us."""

    def __init__(self, me: str, inc: int, seats: tuple[str, ...], host: Host) -> None:
        self.me, self._host, self._others = me, host, [s for s in seats if s != me]
        self.by_seat = {seat: Member(seat) for seat in seats}
        self.own = self.by_seat[me]
        self.own.inc, self.own.state = inc, State.ALIVE
        self.health = 0  # of this process: 0 is good
        self._turn: list[str] = []
        self._losses: OrderedDict[str, int] = OrderedDict()  # seat -> how often it was told, by that
        self._news: OrderedDict[str, int] = OrderedDict()
        self._serial = 0
        self._waits: dict[int, str] = {}  # for whose answer
        self._helped: dict[int, tuple[str, int]] = {}  # who asked us to ask, and its serial
        self._due = 0
        self._times = ceil(SPREAD * log2(max(2, len(seats))))

    def now(self) -> int:
        return self._host.clock()

    # ---- periods ----

    def start(self, now: int) -> None:
        self._due = now + round(PERIOD * self._host.random())
        self._host.at(self._due, lambda: self._period(self._due))

    def _period(self, due: int) -> None:
        now = self.now()
        late, self._due = now - due, now + PERIOD
        self._host.at(self._due, lambda: self._period(self._due))
        if late > LATE:
            # What we asked has waited for us, not for them.
            self.health = min(MOST_HEALTH, self.health + 1)
            self._waits.clear()
            for member in self.by_seat.values():
                member.since += late
        if not self._others:
            return
        if not self._turn:
            self._turn = sorted(self._others, key=lambda _: self._host.random())
        self.ask(self._turn.pop())

    def ask(self, seat: str) -> None:
        self._serial += 1
        serial = self._serial
        self._waits[serial] = seat
        self._host.send(seat, Ping(serial, self._tell(seat)))
        wait = ANSWER * (1 + self.health)
        sent = self.now()
        self._host.at(sent + wait, lambda: self._no_answer(serial, seat, sent))

    def _no_answer(self, serial: int, seat: str, sent: int) -> None:
        if serial not in self._waits:
            return
        helpers = sorted(
            (s for s in self._others if s != seat and self.by_seat[s].up), key=lambda _: self._host.random()
        )[:HELPERS]
        for helper in helpers:
            self._host.send(helper, PingFor(serial, seat, self._tell(helper)))
        self._host.at(self.now() + ANSWER * (1 + self.health), lambda: self._failed(serial, seat, sent))

    def _failed(self, serial: int, seat: str, sent: int) -> None:
        if self._waits.pop(serial, None) is not None:
            if all(self.by_seat[s].heard < sent for s in self._others):
                self.health = min(MOST_HEALTH, self.health + 1)  # nobody is heard: it may be us
            self.suspect(seat)

    # ---- judgements ----

    def suspect(self, seat: str, refused: bool = False) -> None:
        """`refused`: no process listens at its address; that is no proof either, but a reason to wait less."""
        member, now = self.by_seat[seat], self.now()
        if member.state is State.ALIVE:
            self._set(member, State.SUSPECT, member.version, now)
        member.refused = member.refused or refused
        if member.state is State.SUSPECT:
            self._judge_later(member, now)

    def _judge_later(self, member: Member, now: int) -> None:
        inc, version = member.inc, member.version
        wait = REFUSED if member.refused else self.patience()
        self._host.at(max(now, member.since + wait), lambda: self._judge(member, inc, version))

    def patience(self) -> int:
        size = max(1.0, log2(max(2, len(self.by_seat))) / 5)
        return round(SUSPECTED * size * (1 + self.health / 2))

    def _judge(self, member: Member, inc: int, version: int) -> None:
        now = self.now()
        if member.state is not State.SUSPECT or (member.inc, member.version) != (inc, version):
            return
        wait = REFUSED if member.refused else self.patience()
        if now - member.since < wait:  # we were stopped meanwhile, or are slower than we thought
            return self._judge_later(member, now)
        self._set(member, State.DEAD, version, now)

    def _set(self, member: Member, state: State, version: int, now: int) -> None:
        was, member.state, member.version, member.since = member.state, state, version, now
        if state is State.ALIVE:
            member.refused = False
        self._spread(member)
        if state is State.DEAD and was is not State.DEAD:
            self._host.died(member.seat, member.inc)
            if member.told.predecessor:
                self._host.died(member.seat, member.told.predecessor)

    def heard(self, seat: str, inc: int) -> None:
        """Anything at all has come from it, in this life of it."""
        member, now = self.by_seat[seat], self.now()
        member.heard = now
        if inc > member.inc:
            self._reborn(member, inc, now)
            self._set(member, State.ALIVE, 0, now)
        elif inc == member.inc and member.state is not State.ALIVE:
            self._set(member, State.ALIVE, member.version, now)  # for us; to others it says so itself

    def _reborn(self, member: Member, inc: int, now: int) -> None:
        was, member.inc, member.refused = member.inc, inc, False
        self._told(
            member, Word(predecessor=was if member.state is not State.DEAD else 0)
        )  # until it says itself

    def tell(self, told: Word) -> None:
        """Of this member itself, where it has changed."""
        if told != self.own.told:
            self.own.told = told
            self.own.version += 1
            self._spread(self.own)

    def _told(self, member: Member, told: Word) -> None:
        predecessor, member.told = member.told.predecessor, told
        if predecessor and told.predecessor != predecessor:
            self._host.died(member.seat, predecessor)

    # ---- news ----

    def _tell(self, to: str) -> list[About]:
        """What has been told least comes first, losses before all else; the one it goes to is told what is said of
        itself. As many steps in a large fleet as in a small one."""
        chosen = [to] if to in self._losses or to in self._news else []
        for kind in (self._losses, self._news):
            chosen += [s for s in islice(kind, NEWS) if s != to]
        chosen = chosen[:NEWS]
        for seat in chosen:
            kind = self._losses if seat in self._losses else self._news
            kind[seat] += 1
            if kind[seat] >= self._times:
                del kind[seat]
            else:
                kind.move_to_end(seat)
        if self.me not in chosen:
            chosen.append(self.me)
        return [
            About(m.seat, m.inc, m.version, m.state.value, m.told)
            for m in map(self.by_seat.__getitem__, chosen)
        ]

    def _spread(self, member: Member) -> None:
        """Something is new of it."""
        self._losses.pop(member.seat, None)
        self._news.pop(member.seat, None)
        kind = self._news if member.up else self._losses
        kind[member.seat] = 0
        kind.move_to_end(member.seat, last=False)

    def _hear(self, news: list[About]) -> None:
        now = self.now()
        for a in news[: 2 * NEWS]:
            member = self.by_seat.get(a.seat)
            if member is None or not 0 <= a.state <= 2:
                continue
            state = State(a.state)
            if a.seat == self.me:
                if a.inc == self.own.inc and state is not State.ALIVE and a.version >= self.own.version:
                    self.own.version = a.version + 1  # we live, and say so
                    self._spread(self.own)
                    self.health = min(MOST_HEALTH, self.health + 1)
                continue
            if a.inc < member.inc:
                continue
            if a.inc > member.inc:
                self._reborn(member, a.inc, now)
                member.state, member.version = State.UNKNOWN, -1
            if (
                state is not State.ALIVE
                and a.inc == member.inc
                and 0 <= now - member.heard < FRESH
                and member.up
            ):
                continue  # we have just heard it ourselves
            newer = a.version > member.version
            if newer or (
                a.version == member.version
                and (RANK[state] > RANK[member.state] or member.state is State.UNKNOWN)
            ):
                if (newer and state is State.ALIVE) or member.state is State.UNKNOWN:
                    self._told(member, a.told)
                if state is not member.state or newer:
                    self._set(member, state, a.version, now)
                if state is State.SUSPECT:
                    self._judge_later(member, now)

    # ---- messages ----

    def ping(self, seat: str, m: Ping) -> None:
        self._hear(m.news)
        self._host.reply(seat, Pong(m.serial, self._tell(seat), m.on_behalf))

    def ping_for(self, seat: str, m: PingFor) -> None:
        self._hear(m.news)
        if m.seat in self.by_seat and m.seat != self.me:
            self._host.send(m.seat, Ping(m.serial, self._tell(m.seat), seat))

    def pong(self, seat: str, m: Pong) -> None:
        self._hear(m.news)
        if m.on_behalf and m.on_behalf != self.me:
            if (
                m.on_behalf in self.by_seat
            ):  # we had asked for another: it is told that the one it asks about lives
                self._host.send(m.on_behalf, Pong(m.serial, [*self._tell(m.on_behalf)], m.on_behalf))
            return
        target = self._waits.pop(m.serial, None)
        if target is None:
            return
        self.health = max(0, self.health - 1)
        member = self.by_seat[target]
        if member.state is State.SUSPECT:
            self._set(member, State.ALIVE, member.version, self.now())
