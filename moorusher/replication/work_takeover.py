"""Work that another has left: what this runner keeps of it, whom it offers it to, and what it takes up itself."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..membership.failure_detector import MS
from .acceptor import RegisterState
from .key_tenure import Tenure, TenureStage
from .messages import TakeoverOffer
from .proposer import ChangeResult
from .work_record import EndOrphanedWork, Key, Owner, TakeOverWork, WorkRecord, WorkState

if TYPE_CHECKING:
    from .node import Node

REPLICA_STAGGER_US = 250 * MS  # between the keepers of a key, in their order, until the next one sees to it
RECHECK_US = 400 * MS
TAKEOVER_TURN_US, TAKEOVERS_PER_TURN = (
    10 * MS,
    8,
)  # of takeovers that are begun: a lost runner's work comes as a stream, not as a blow
RESTART_GRACE_US = 1_000 * MS  # after a start from a disk, until owners that were not heard count as lost
MAX_QUEUED_OFFERS = 4_000


class WorkTakeover:
    """A part of a `Node`. Who thinks of what, and when, is a matter of speed alone."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self._by_owner: dict[Owner, set[Key]] = {}
        self._owner_of: dict[Key, Owner] = {}
        self._attempts: dict[Key, int] = {}
        self._offers: list[TakeoverOffer] = []
        self._pacing = False
        self._owners_on_disk: set[Owner] = set()  # lives that a disk tells of,
        self._silent_owners: set[Owner] = set()  # and those of them that are not heard any more

    def restore(self) -> None:
        self._owners_on_disk = set(self._by_owner)

    def start(self) -> None:
        if self._owners_on_disk:
            self.node.at(self.node.clock() + RESTART_GRACE_US, self._check_restored_owners)

    def _check_restored_owners(self) -> None:
        """Nobody else may know of them: the whole fleet may have lost its power."""
        for owner in sorted(self._owners_on_disk, key=lambda o: (o.seat, o.incarnation)):
            member = self.node.detector.by_seat.get(owner.seat)
            if owner == self.node.owner or (
                member is not None
                and member.is_alive
                and owner.incarnation in (member.incarnation, member.status.predecessor)
            ):
                continue
            if owner in self._by_owner:
                self._silent_owners.add(owner)
            for key in sorted(self._by_owner.get(owner, ())):
                self._schedule_check(key)
        self._owners_on_disk.clear()

    def owner_died(self, seat: str, inc: int) -> None:
        """What this runner keeps of that owner is seen to."""
        for key in sorted(self._by_owner.get(Owner(seat, inc), ())):
            self._schedule_check(key)

    def register_changed(self, key: Key, slot: RegisterState | None) -> None:
        """From the keeper: a register has another value, or is forgotten."""
        before = self._owner_of.pop(key, None)
        if before is not None:
            keys = self._by_owner[before]
            keys.discard(key)
            if not keys:
                del self._by_owner[before]
                self._silent_owners.discard(before)
        work: WorkRecord | None = None if slot is None else slot.value
        if (
            work is None
            or work.state is WorkState.FINISHED
            or (work.state is WorkState.RELEASED and work.request is None)
        ):
            return
        self._by_owner.setdefault(work.owner, set()).add(key)
        self._owner_of[key] = work.owner
        if work.state is WorkState.RELEASED and key not in self._attempts:
            # Its owner sends it on; where that one is lost before it does, somebody else has to.
            self._attempts[key] = 0
            self.node.at(self.node.clock() + RECHECK_US, lambda: self._check(key))

    def _schedule_check(self, key: Key) -> None:
        if key in self._attempts:
            return
        self._attempts[key] = 0
        up = [
            s
            for s in self.node.placement.replicas(key)
            if s == self.node.me or self.node.detector.by_seat[s].is_alive
        ]
        rank = up.index(self.node.me) if self.node.me in up else 0
        if rank == 0:
            self._check(key)
        else:
            self.node.at(self.node.clock() + rank * REPLICA_STAGGER_US, lambda: self._check(key))

    def _check(self, key: Key) -> None:
        """Again and again, until it is somebody's or over."""
        slot = self.node.acceptor.registers.get(key)
        work = None if slot is None else slot.value
        left = work is not None and (
            work.request is not None if work.state is WorkState.RELEASED else self.is_lost(work.owner)
        )
        if work is None or slot is None or work.state is WorkState.FINISHED or not left:
            self._attempts.pop(key, None)
            return
        tries = self._attempts[key] = self._attempts.get(key, 0) + 1
        self.node.at(self.node.clock() + RECHECK_US * min(tries, 5), lambda: self._check(key))
        if work.state is WorkState.STARTED:
            self.node.change(
                key,
                EndOrphanedWork(work.owner, work.attempt),
                slot.expires_at,
                round(self.node.policy.claim_ms * MS),
                lambda done: None,
            )
            self.node.host.count("fleet: buried")
        else:
            self.offer(key, work, tries - 1)

    def is_lost(self, owner: Owner) -> bool:
        """It was lost, as far as is known here: nobody else acts for it any more."""
        member = self.node.detector.by_seat.get(owner.seat)
        return member is None or member.is_lost(owner.incarnation) or owner in self._silent_owners

    def offer(self, key: Key, work: WorkRecord, tries: int = 0) -> None:
        """To the seat whose turn it is; where that one does not take it, to the next."""
        able = [
            s
            for s in self.node.placement.takeover_order(key)
            if s not in work.rejected_by
            and (self.node.host.fit() if s == self.node.me else self.node.detector.by_seat[s].accepts_work)
        ]
        if not able:
            return
        seat, take = able[tries % len(able)], TakeoverOffer(key, work.owner, work.attempt)
        if seat == self.node.me:
            self.handle_offer(seat, take)
        else:
            self.node.host.send(seat, take)

    def handle_offer(self, seat: str, m: TakeoverOffer) -> None:
        if len(self._offers) < MAX_QUEUED_OFFERS and self.node.host.fit():
            self._offers.append(m)
            if not self._pacing:
                self._pacing = True
                self._take_next()

    def _take_next(self) -> None:
        now, self._offers = self._offers[:TAKEOVERS_PER_TURN], self._offers[TAKEOVERS_PER_TURN:]
        for m in now:
            t = self.node.tenures.get(m.key)
            if t is None:
                self._take_over(m)
            elif t.stage is TenureStage.OWNED_ELSEWHERE and not t.busy:
                t.owner, t.attempt, t.state = m.owner, m.attempt, WorkState.HELD
                self.node.continue_work(t)
        if now:
            self.node.at(self.node.clock() + TAKEOVER_TURN_US, self._take_next)
        else:
            self._pacing = False

    def _take_over(self, m: TakeoverOffer, last: int | None = None) -> None:
        def taken(done: ChangeResult | None) -> None:
            if done is None:  # it may be ours all the same: its keepers see us alive, and wait for us
                if self.node.clock() < until:
                    self.node.at(self.node.clock() + RECHECK_US, lambda: self._take_over(m, until))
                return
            work: WorkRecord | None = done.value
            if (
                work is None
                or work.owner != self.node.owner
                or work.request is None
                or work.state is not WorkState.HELD
                or m.key in self.node.tenures
            ):
                return  # HELD by us is ours, though a later round of our own may have found it so
            t = Tenure(
                m.key,
                work.body_digest,
                work.request,
                until,
                TenureStage.HELD,
                work.attempt,
                promise=done.promise,
                taken_over=True,
            )
            self.node.tenures[m.key] = t
            self.node.host.count("fleet: taken over")
            if not self.node.host.take_up(m.key, work.body_digest, work.request, until):
                self.node.release_work(m.key, turned=True)

        until = self.node.clock() + self.node.longest_window_us if last is None else last
        slot = self.node.acceptor.registers.get(m.key)
        if slot is not None:
            until = min(until, slot.expires_at)
        self.node.change(
            m.key,
            TakeOverWork(self.node.owner, m.owner, m.attempt),
            until,
            round(self.node.policy.claim_ms * MS),
            taken,
        )
