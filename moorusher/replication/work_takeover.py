"""Work that another has left: what this runner keeps of it, whom it offers it to, and what it takes up itself."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..membership.failure_detector import MS
from .acceptor import Slot
from .key_tenure import Stage, Tenure
from .messages import Take
from .proposer import Done
from .work_record import Bury, Key, Owner, State, Work
from .work_record import Take as TakeWork

if TYPE_CHECKING:
    from .node import Node

RANKS = 250 * MS  # between the keepers of a key, in their order, until the next one sees to it
LOOK_AGAIN = 400 * MS
PACE, AT_ONCE = (
    10 * MS,
    8,
)  # of takeovers that are begun: a lost runner's work comes as a stream, not as a blow
RECALLED = 1_000 * MS  # after a start from a disk, until owners that were not heard count as lost
MOST_QUEUE = 4_000


class Left:
    """A part of a `Node`. Who thinks of what, and when, is a matter of speed alone."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self._by_owner: dict[Owner, set[Key]] = {}
        self._owner_of: dict[Key, Owner] = {}
        self._tending: dict[Key, int] = {}
        self._to_take: list[Take] = []
        self._pacing = False
        self._recalled: set[Owner] = set()  # lives that a disk tells of,
        self._left: set[Owner] = set()  # and those of them that are not heard any more

    def recall(self) -> None:
        self._recalled = set(self._by_owner)

    def start(self) -> None:
        if self._recalled:
            self.node.at(self.node.clock() + RECALLED, self._look_for_owners)

    def _look_for_owners(self) -> None:
        """Nobody else may know of them: the whole fleet may have lost its power."""
        for owner in sorted(self._recalled, key=lambda o: (o.seat, o.inc)):
            member = self.node.members.by_seat.get(owner.seat)
            if owner == self.node.owner or (
                member is not None and member.up and owner.inc in (member.inc, member.told.predecessor)
            ):
                continue
            if owner in self._by_owner:
                self._left.add(owner)
            for key in sorted(self._by_owner.get(owner, ())):
                self._tend(key)
        self._recalled.clear()

    def died(self, seat: str, inc: int) -> None:
        """What this runner keeps of that owner is seen to."""
        for key in sorted(self._by_owner.get(Owner(seat, inc), ())):
            self._tend(key)

    def kept(self, key: Key, slot: Slot | None) -> None:
        """From the keeper: a register has another value, or is forgotten."""
        before = self._owner_of.pop(key, None)
        if before is not None:
            keys = self._by_owner[before]
            keys.discard(key)
            if not keys:
                del self._by_owner[before]
                self._left.discard(before)
        work: Work | None = None if slot is None else slot.value
        if work is None or work.state is State.OVER or (work.state is State.FREE and work.order is None):
            return
        self._by_owner.setdefault(work.owner, set()).add(key)
        self._owner_of[key] = work.owner
        if work.state is State.FREE and key not in self._tending:
            # Its owner sends it on; where that one is lost before it does, somebody else has to.
            self._tending[key] = 0
            self.node.at(self.node.clock() + LOOK_AGAIN, lambda: self._see_to(key))

    def _tend(self, key: Key) -> None:
        if key in self._tending:
            return
        self._tending[key] = 0
        up = [s for s in self.node.seats.keepers(key) if s == self.node.me or self.node.members.by_seat[s].up]
        rank = up.index(self.node.me) if self.node.me in up else 0
        if rank == 0:
            self._see_to(key)
        else:
            self.node.at(self.node.clock() + rank * RANKS, lambda: self._see_to(key))

    def _see_to(self, key: Key) -> None:
        """Again and again, until it is somebody's or over."""
        slot = self.node.keeper.slots.get(key)
        work = None if slot is None else slot.value
        left = work is not None and (
            work.order is not None if work.state is State.FREE else self.past(work.owner)
        )
        if work is None or slot is None or work.state is State.OVER or not left:
            self._tending.pop(key, None)
            return
        tries = self._tending[key] = self._tending.get(key, 0) + 1
        self.node.at(self.node.clock() + LOOK_AGAIN * min(tries, 5), lambda: self._see_to(key))
        if work.state is State.BEGUN:
            self.node.change(
                key,
                Bury(work.owner, work.attempt),
                slot.until,
                round(self.node.policy.claim_ms * MS),
                lambda done: None,
            )
            self.node.host.count("fleet: buried")
        else:
            self.offer(key, work, tries - 1)

    def past(self, owner: Owner) -> bool:
        """It was lost, as far as is known here: nobody else acts for it any more."""
        member = self.node.members.by_seat.get(owner.seat)
        return member is None or member.past(owner.inc) or owner in self._left

    def offer(self, key: Key, work: Work, tries: int = 0) -> None:
        """To the seat whose turn it is; where that one does not take it, to the next."""
        able = [
            s
            for s in self.node.seats.takers(key)
            if s not in work.turned
            and (self.node.host.fit() if s == self.node.me else self.node.members.by_seat[s].fit)
        ]
        if not able:
            return
        seat, take = able[tries % len(able)], Take(key, work.owner, work.attempt)
        if seat == self.node.me:
            self.take(seat, take)
        else:
            self.node.host.send(seat, take)

    def take(self, seat: str, m: Take) -> None:
        if len(self._to_take) < MOST_QUEUE and self.node.host.fit():
            self._to_take.append(m)
            if not self._pacing:
                self._pacing = True
                self._take_some()

    def _take_some(self) -> None:
        now, self._to_take = self._to_take[:AT_ONCE], self._to_take[AT_ONCE:]
        for m in now:
            t = self.node.tenures.get(m.key)
            if t is None:
                self._take_over(m)
            elif t.stage is Stage.JOINED and not t.busy:
                t.owner, t.attempt, t.state = m.owner, m.attempt, State.HELD
                self.node.go_on(t)
        if now:
            self.node.at(self.node.clock() + PACE, self._take_some)
        else:
            self._pacing = False

    def _take_over(self, m: Take, last: int | None = None) -> None:
        def taken(done: Done | None) -> None:
            if done is None:  # it may be ours all the same: its keepers see us alive, and wait for us
                if self.node.clock() < until:
                    self.node.at(self.node.clock() + LOOK_AGAIN, lambda: self._take_over(m, until))
                return
            work: Work | None = done.value
            if (
                work is None
                or work.owner != self.node.owner
                or work.order is None
                or work.state is not State.HELD
                or m.key in self.node.tenures
            ):
                return  # HELD by us is ours, though a later round of our own may have found it so
            t = Tenure(
                m.key, work.body, work.order, until, Stage.MINE, work.attempt, hold=done.hold, taken=True
            )
            self.node.tenures[m.key] = t
            self.node.host.count("fleet: taken over")
            if not self.node.host.take_up(m.key, work.body, work.order, until):
                self.node.free(m.key, turned=True)

        until = self.node.clock() + self.node.longest if last is None else last
        slot = self.node.keeper.slots.get(m.key)
        if slot is not None:
            until = min(until, slot.until)
        self.node.change(
            m.key,
            TakeWork(self.node.owner, m.owner, m.attempt),
            until,
            round(self.node.policy.claim_ms * MS),
            taken,
        )
