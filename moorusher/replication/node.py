"""One runner's part in a fleet: what it owns, what it waits for, what it keeps, what it goes on with for others.

Every decision about another's work is a change of that work's register: `Take` of what never began, `Bury` of what
may have. Who thinks of it, and when, is a matter of speed alone: the register tells two that do so at once apart.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count
from typing import Any

from ..membership.failure_detector import Members
from ..membership.placement import Seats
from .acceptor import Keeper, Slot
from .journal import Image
from .key_tenure import Host, Stage, Tenure
from .messages import Ask, Begin, For, Had, Has, Ping, PingFor, Pong, Slots, Sync, Take, Vote, Word
from .owned_work import OwnedWork
from .policy import Policy
from .register_space import SHARED, WORK, Registers
from .watched_work import WatchedWork
from .work_record import Key, Owner
from .work_takeover import Left


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
        self.owned, self.watched = OwnedWork(self), WatchedWork(self)
        self.claim, self.begin, self.settle = self.owned.claim, self.owned.begin, self.owned.settle
        self.free, self.hand_over, self.go_on = self.owned.free, self.owned.hand_over, self.watched.go_on
        self.left = Left(self)
        self.told_of_loss = [self.left.died]
        self._handlers: dict[type, Callable[[str, Any], None]] = {
            Ask: self._of(Registers.ask),
            Vote: self._of(Registers.vote),
            Sync: self._of(Registers.sync),
            Slots: self._of(Registers.slots),
            Begin: self._of(Registers.begun),
            For: self._for,
            Has: self.watched.has,
            Had: self.watched.had,
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

    # ---- work of keys ----

    def forget(self, t: Tenure) -> None:
        """It is no longer this runner's business."""
        if self.tenures.get(t.key) is t:
            del self.tenures[t.key]
            self.host.forgot(t.key)

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
