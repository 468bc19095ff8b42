"""One runner's part in a fleet: what it owns, what it waits for, what it keeps, what it goes on with for others.

Every decision about another's work is a change of that work's register: `Take` of what never began, `Bury` of what
may have. Who thinks of it, and when, is a matter of speed alone: the register tells two that do so at once apart.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count
from typing import Any

from .journal import Image
from .keeper import Keeper, Slot
from .left import Left
from .member import MS, Members
from .messages import Ask, Begin, For, Had, Has, Ping, PingFor, Pong, Slots, Sync, Take, Vote, Word
from .policy import Policy
from .register import Change, Done
from .registers import SHARED, WORK, Registers
from .seats import Seats
from .tenure import Host, Stage, Tenure
from .work import Begin as BeginWork
from .work import Bury, Claim, Free, Key, Look, Order, Owner, Settle, State, Withdraw, Work
from .work import Take as TakeWork

TAKE_BACK = (
    8_000 * MS
)  # the same where nobody waits, and there may be thousands: the side of a cut without majorities
ANSWERS = 150 * MS  # an owner says by then that it has the work, or is taken for silent
WATCH = 400 * MS  # until it is asked again
MOST_QUEUE = 4_000


class Node:
    """One runner's part in the fleet, without links: membership, registers, and the work of keys."""

    def __init__(
        self,
        me: str,
        inc: int,
        seats: Seats,
        host: Host,
        policy: Policy,
        longest_us: int,
        remembers: bool = False,
        most: int = 8_000,
    ) -> None:
        """`longest_us`: the longest window there is, with its margin: what was forgotten before then no longer counts
        once it has passed."""
        self.seats, self.host, self.policy = seats, host, policy
        self.owner = Owner(me, inc)
        self.keeper = Keeper(
            me,
            inc,
            seats.keepers,
            frozenset(seats.names) - {me},
            remembers,
            most,
            told=self._kept,
            part=seats.part,
            of=seats.of,
        )
        self.members = Members(me, inc, seats.names, self)
        self.tenures: dict[Key, Tenure] = {}
        self.registers = Registers(WORK, self.keeper, self, longest_us)
        self.spaces = {WORK: self.registers}
        self.change = self.registers.change
        self.parts: dict[str, Callable[[str, bytes], None]] = {}  # of what else the fleet does, by name
        self.longest = longest_us
        self._alarms: list[tuple[int, int, Callable[[], None]]] = []
        self._order = count()
        self.duties = (0, 0)  # of the fleet: how many it has, and of how many it is a keeper
        self.lasting = False  # what it keeps is on a disk that lasts
        self.capacity = (0, 0, 0)  # see `messages.Word`: weight, load, peak
        self._taking_back = 0
        self.left = Left(self)
        self.told_of_loss = [self.left.died]
        self._handlers: dict[type, Callable[[str, Any], None]] = {
            Ask: self._of(Registers.ask),
            Vote: self._of(Registers.vote),
            Sync: self._of(Registers.sync),
            Slots: self._of(Registers.slots),
            Begin: self._of(Registers.begun),
            For: self._for,
            Has: self._has,
            Had: self._had,
            Take: lambda seat, m: self.left.take(seat, m),
            Ping: self.members.ping,
            Pong: self.members.pong,
            PingFor: self.members.ping_for,
        }

    @property
    def me(self) -> str:
        return self.owner.seat

    # ---- for the members ----

    def send(self, seat: str, message: Any) -> None:
        self.host.send(seat, message)

    def reply(self, seat: str, message: Any) -> None:
        self.host.reply(seat, message)

    def clock(self) -> int:
        return self.host.clock()

    def random(self) -> float:
        return self.host.random()

    def replier(self, seat: str) -> Callable[[Any], None]:
        return self.host.replier(seat)

    def durable(self, then: Callable[[], None], space: int) -> None:
        self.host.durable(then, space)

    def count(self, name: str) -> None:
        self.host.count(name)

    def at(self, when: int, action: Callable[[], None]) -> None:
        heapq.heappush(self._alarms, (when, next(self._order), action))
        if self._alarms[0][0] == when:
            self.host.wake(when)

    def ring(self) -> None:
        """What is due by the host's clock."""
        now = self.clock()
        while self._alarms and self._alarms[0][0] <= now:
            heapq.heappop(self._alarms)[2]()
        for key in self.keeper.expire(now):
            self.left.kept(key, None)
        if self._alarms:
            self.host.wake(self._alarms[0][0])

    def recall(self, image: Image) -> None:
        """Before the start: what an earlier life of this seat has left on its disk."""
        self.keeper.recall(self.clock(), image)
        self.left.recall()

    def start(self) -> None:
        self.members.start(self.clock())
        self.left.start()
        for space in self.spaces.values():
            space.start()

    # ---- messages ----

    def heard(self, seat: str, inc: int, message: Any) -> None:
        """From another seat's process of that incarnation."""
        for space in self.spaces.values():
            space.keeper.hear_of({seat: inc})  # an earlier life's promises count no more, whoever forgot them
        self.members.heard(seat, inc)
        self._handlers[type(message)](seat, message)

    def is_up(self, seat: str) -> bool:
        return self.members.by_seat[seat].up

    def raised(self, inc: int) -> None:
        """The clock of this machine was set back: what is past must not look like the future."""
        self.owner = Owner(self.me, inc)
        self.members.own.inc = inc
        for space in self.spaces.values():
            space.keeper.inc = inc
            space.keeper.incs[self.me] = inc
            space.keeper.synced.clear()
            space.keeper.vouched.clear()
        self.host.count("fleet: incarnation raised")

    def add(self, space: Registers) -> None:
        self.spaces[space.space] = space

    def _of(self, handle: Callable[[Registers, str, Any], None]) -> Callable[[str, Any], None]:
        def heard(seat: str, m: Any) -> None:
            if (space := self.spaces.get(m.space)) is not None:
                handle(space, seat, m)

        return heard

    def _for(self, seat: str, m: For) -> None:
        if (part := self.parts.get(m.part)) is not None:
            part(seat, m.body)

    def begin_fleet(self, lost: bool = False) -> str | None:
        """See `Registers.begin`; spaces that remember are left as they are, where another one does not."""
        whys = [space.begin(lost) for space in self.spaces.values()]
        return None if None in whys else whys[0]

    # ---- one thing after the other on each key ----

    def _do(self, t: Tenure, step: Callable[[], None]) -> None:
        if t.busy:
            t.queue.append(step)
        else:
            t.busy = True
            step()

    def _next(self, t: Tenure) -> None:
        if t.queue:
            t.queue.pop(0)()
        else:
            t.busy = False

    def _over(self, t: Tenure, result: bytes | None) -> None:
        """Of another's work."""
        self.host.count("fleet: ended without a result" if result is None else "fleet: result of another")
        self.host.over(t.key, result)
        self._forget(t)

    def _forget(self, t: Tenure) -> None:
        if self.tenures.get(t.key) is t:
            del self.tenures[t.key]
            self.host.forgot(t.key)

    # ---- an owner's path ----

    def claim(self, key: Key, body: int, order: Order, until: int) -> None:
        """One of `mine`, `theirs`, `over`, `differs` and `uncovered` follows, maybe at once."""
        before = self.tenures.get(key)
        t = self.tenures[key] = Tenure(key, body, order, until, Stage.CLAIMING)

        def claimed(done: Done | None) -> None:
            if t.stage is not Stage.CLAIMING:  # its caller has gone meanwhile: what was written is taken back
                work: Work | None = None if done is None else done.value
                t.attempt = work.attempt if work is not None and work.owner == self.owner else 0
                return self._next(t)
            if done is None:
                self.host.count("fleet: uncovered")
                self.host.uncovered(key, "no majority of its keepers answers", not self.registers.unsure)
                if self.registers.unsure:
                    self._take_back(t)
                else:
                    self._forget(t)
                return self._next(t)
            self._read(t, done)
            self._next(t)

        def step() -> None:
            if t.stage is not Stage.CLAIMING:
                return self._next(t)
            self.change(key, Claim(self.owner, body, order), until, round(self.policy.claim_ms * MS), claimed)

        def late() -> None:
            if self.tenures.get(key) is t and t.stage is Stage.CLAIMING and not t.busy:
                t.stage = Stage.SETTLING
                self.host.count("fleet: uncovered")
                self.host.uncovered(key, "an earlier try is not taken back yet", False)
                self._forget(t)

        if before is not None and before.busy:  # an earlier try is still being taken back: that goes first
            self.at(self.clock() + round(self.policy.claim_ms * MS), late)

            def after() -> None:
                self._do(t, step)
                self._next(before)

            before.queue.append(after)
        else:
            self._do(t, step)

    def _read(self, t: Tenure, done: Done) -> None:
        """What a claim, or a look at another's work, has found."""
        work: Work | None = done.value
        claiming = t.stage is Stage.CLAIMING
        if work is not None and work.body != t.body:
            if claiming:
                self.host.differs(t.key)
            else:
                self.host.over(t.key, None)
            return self._forget(t)
        if work is not None and work.state is State.HELD and work.owner == self.owner:
            t.stage, t.attempt, t.hold, t.owner = Stage.MINE, work.attempt, done.hold, None
            if claiming:
                self.host.count("fleet: covered")
                return self.host.mine(t.key)
            t.taken, t.order = True, work.order
            self.host.count("fleet: taken over")
            if work.order is None or not self.host.take_up(t.key, t.body, work.order, t.until):
                self.free(t.key, turned=True)
            return None
        if work is not None and work.state is State.OVER:
            return self._over(t, work.result)
        t.stage = Stage.JOINED
        if work is None:  # forgotten, as its time is over
            t.owner, t.state = None, State.FREE
        else:
            t.owner, t.attempt, t.state = work.owner, work.attempt, work.state
            if (
                work.state is State.FREE
                and self.me in work.turned
                and t.stage is Stage.JOINED
                and not claiming
            ):
                # All that can run it have turned it away, and this one has too.
                self.host.count("fleet: turned away by all")
                self.host.none_ran(t.key)
                return self._forget(t)
        if claiming:
            self.host.count("fleet: joined")
            self.host.theirs(t.key)
        self._watch(t)
        return None

    def begin(self, key: Key) -> bool:
        """Before a run is commanded: `begun`, `lost` or `not_begun` follows. False where it is not the fleet's."""
        t = self.tenures.get(key)
        if t is None or t.stage is not Stage.MINE:
            return False
        t.stage = Stage.BEGINNING

        def answered(done: Done | None) -> None:
            if done is None:
                self.host.count("fleet: not begun")
                if self.policy.alone:
                    t.stage = Stage.BEGUN
                    self.host.begun(key)
                else:
                    t.stage = Stage.MINE
                    self.host.not_begun(key, "no majority of its keepers answers")
                return self._next(t)
            work: Work | None = done.value
            if (
                work is not None
                and work.state is State.BEGUN
                and work.owner == self.owner
                and work.attempt == t.attempt
            ):
                t.stage, t.hold = Stage.BEGUN, done.hold
                self.host.begun(key)
            else:
                self.host.count("fleet: lost to another")
                self.host.lost(key)
                t.stage, t.hold = Stage.JOINED, None
                self._read(t, done)
            return self._next(t)

        def step() -> None:
            if t.stage is not Stage.BEGINNING:  # given away meanwhile
                return self._next(t)
            hold, t.hold = t.hold, None
            self.change(
                key,
                BeginWork(self.owner, t.attempt),
                t.until,
                round(self.policy.claim_ms * MS),
                answered,
                hold,
            )

        self._do(t, step)
        return True

    def settle(self, key: Key, result: bytes | None) -> None:
        """A run of ours is over."""
        t = self.tenures.get(key)
        if t is None or t.stage is Stage.JOINED:
            return
        t.stage, t.result = Stage.SETTLING, result
        for seat in t.askers:
            self.host.send(seat, Had(key, t.attempt, False, True, result))
        t.askers.clear()
        self._persist(t, Settle(self.owner, t.attempt, result))

    def free(self, key: Key, turned: bool = False) -> None:
        """A try of ours is over, and never ran. `turned`: work that was another's, or that others wait for, goes on to
        the next one."""
        t = self.tenures.get(key)
        if t is None or t.stage is Stage.JOINED:
            return
        offer = t.order if t.taken or t.askers else None
        t.stage = Stage.SETTLING

        def step() -> None:
            attempt = t.attempt or 1

            def freed(done: Done | None) -> None:
                self._forget(t)
                work = None if done is None else done.value
                if work is not None and work.state is State.FREE and work.order is not None:
                    self.left.offer(key, work)
                for seat in t.askers:
                    self.host.send(seat, Had(key, t.attempt, False))
                self._next(t)

            hold, t.hold = t.hold, None
            self.change(
                key,
                Free(self.owner, attempt, offer, turned),
                t.until,
                max(MS, t.until - self.clock()),
                freed,
                hold,
            )

        self._do(t, step)

    def _take_back(self, t: Tenure) -> None:
        """What nobody waits for may be ours in the register yet: were this runner lost later, another would run it."""
        if self.policy.alone:
            return self._forget(t)
        if self._taking_back >= MOST_QUEUE:
            self.host.count("fleet: not taken back")
            return self._forget(t)
        t.stage = Stage.SETTLING
        self._taking_back += 1

        def back(done: Done | None) -> None:
            self._taking_back -= 1
            self._forget(t)
            self._next(t)

        self._do(
            t,
            lambda: self.change(
                t.key, Withdraw(self.owner), t.until, max(MS, t.until - self.clock()), back, most=TAKE_BACK
            ),
        )
        return None

    def _persist(self, t: Tenure, change: Change) -> None:
        """Tried until it is chosen, or no longer counts."""

        def settled(done: Done | None) -> None:
            self._forget(t)
            self._next(t)

        def step() -> None:
            hold, t.hold = t.hold, None
            self.change(t.key, change, t.until, max(MS, t.until - self.clock()), settled, hold)

        self._do(t, step)

    def hand_over(self, key: Key) -> None:
        """Held work of ours, to whoever can run it: `given` follows once nobody can lose it any more."""
        t = self.tenures.get(key)
        if t is None or t.stage is not Stage.MINE or t.order is None:
            return
        order = t.order

        def freed(done: Done | None) -> None:
            work = None if done is None else done.value
            if (
                done is not None
                and work is not None
                and not (work.owner == self.owner and work.state is State.HELD)
            ):
                self.host.given(key)
                self.host.count("fleet: handed over")
                t.stage, t.hold = Stage.JOINED, None
                if work.state is State.FREE:
                    self.left.offer(key, work)
                for seat in t.askers:
                    self.host.send(seat, Had(key, t.attempt, False))
                t.askers.clear()
                self._read(t, done)
            self._next(t)

        def step() -> None:
            if t.stage is not Stage.MINE:
                return self._next(t)
            hold, t.hold = t.hold, None
            self.change(
                key,
                Free(self.owner, t.attempt, order, turned=False),
                t.until,
                round(self.policy.claim_ms * MS),
                freed,
                hold,
            )

        self._do(t, step)

    # ---- work that another has ----

    def _watch(self, t: Tenure) -> None:
        """Asks the owner whether it still has it. Who does not answer is not waited for."""
        t.asked += 1
        mark, t.alive = t.asked, False
        if t.owner is not None and t.owner.seat != self.me and t.state is not State.FREE:
            self.host.send(t.owner.seat, Has(t.key, t.attempt))

        def silent() -> None:
            if t.asked == mark and t.stage is Stage.JOINED and self.tenures.get(t.key) is t:
                self.go_on(t)

        self.at(self.clock() + ANSWERS, silent)

    def go_on(self, t: Tenure, gone: bool = False) -> None:
        """Its owner is silent, or has said that it is not in its hands (`gone`)."""
        t.asked += 1
        if self.clock() >= t.until:
            return self._over(t, None)
        owner = t.owner
        change: Change
        if t.state is State.BEGUN and owner is not None and (gone or self.left.past(owner)):
            change = Bury(owner, t.attempt)
        elif t.state is State.BEGUN or not self.host.fit():
            change = Look()
        elif t.state is State.FREE and t.order is not None:
            change = _Either(
                TakeWork(self.owner, owner or self.owner, t.attempt), Claim(self.owner, t.body, t.order)
            )
        else:
            change = TakeWork(self.owner, owner or self.owner, t.attempt)

        def looked(done: Done | None) -> None:
            if self.tenures.get(t.key) is t and t.stage is Stage.JOINED:
                if done is None:
                    self._watch_later(t)
                else:
                    self._read(t, done)
            self._next(t)

        self._do(t, lambda: self.change(t.key, change, t.until, round(self.policy.claim_ms * MS), looked))
        return None

    def _watch_later(self, t: Tenure) -> None:
        t.asked += 1
        mark = t.asked

        def again() -> None:
            if t.asked == mark and t.stage is Stage.JOINED and self.tenures.get(t.key) is t:
                self._watch(t)

        self.at(self.clock() + WATCH, again)

    def _has(self, seat: str, m: Has) -> None:
        t = self.tenures.get(m.key)
        if t is not None and t.stage is Stage.JOINED:
            return self.host.reply(seat, Had(m.key, m.attempt, False))
        in_hand, over, result = self.host.has(m.key)
        if t is not None and t.stage is Stage.SETTLING:
            over, result = over or t.result is not None, result if t.result is None else t.result
        elif in_hand and t is not None:
            t.askers.add(seat)
        return self.host.reply(seat, Had(m.key, m.attempt, in_hand, over, result))

    def _had(self, seat: str, m: Had) -> None:
        t = self.tenures.get(m.key)
        if (
            t is None
            or t.stage is not Stage.JOINED
            or t.owner is None
            or t.owner.seat != seat
            or t.attempt != m.attempt
        ):
            return
        if m.over:
            self._over(t, m.result)
        elif m.has:
            self._watch_later(t)
        else:
            self.go_on(t, gone=True)

    def _kept(self, key: Key, slot: Slot) -> None:
        self.left.kept(key, slot)

    # ---- for the members ----

    def died(self, seat: str, inc: int) -> None:
        self.host.count("fleet: members lost")
        for told in self.told_of_loss:
            told(seat, inc)

    # ---- what is told ----

    def tell(self, predecessor: int = 0, cores: int = 0) -> None:
        """Of this runner, where it has changed. `predecessor`: the process that it replaces, while that one lives."""
        whole = SHARED not in self.spaces or self.spaces[SHARED].keeper.remembers
        self.members.tell(
            Word(self.host.fit(), cores, predecessor, *self.duties, *self.capacity, whole, self.lasting)
        )

    @property
    def pending(self) -> int:
        """Ends and givings back that are not yet known to enough."""
        return sum(t.stage is Stage.SETTLING or t.busy for t in self.tenures.values())

    def lengthen(self, longest_us: int) -> None:
        """The longest window has become another."""
        self.longest = self.registers.forgets_after = max(self.longest, longest_us)

    def leave(self) -> None:
        """No longer fit: what is held here and has not begun goes to others."""
        self.tell()
        for key in [t.key for t in self.tenures.values() if t.stage is Stage.MINE]:
            self.hand_over(key)


class _Either:
    def __init__(
        self,
        first: Callable[[Work | None], Work | None],
        second: Callable[[Work | None], Work | None],
    ) -> None:
        self._first, self._second = first, second

    def __call__(self, old: Work | None) -> Work | None:
        made = self._first(old)
        return self._second(old) if made is None else made
