"""Orphaned work, whose owner is lost: found among the registers of this replica, offered to others, and taken over.

Every takeover is a change of the work's register, so it does not matter how many runners try one at a time: who tries,
and when, is a matter of speed alone.
"""

from __future__ import annotations

from moorusher.time_units import MS

from .acceptor import RegisterState
from .interfaces import WorkNode
from .key_tenure import Tenure, TenureStage
from .messages import TakeoverOffer
from .proposer import ChangeResult
from .work_record import EndOrphanedWork, KeyDigest, Owner, TakeOverWork, WorkRecord, WorkState

REPLICA_STAGGER_US = 250 * MS  # between the replicas of a key, in their order, until the next one sees to it
RECHECK_US = 400 * MS  # until orphaned work is looked at again
MAX_RECHECK_FACTOR = 5  # the wait grows with each attempt, up to so many times RECHECK_US
TAKEOVERS_PER_TURN = 8  # a lost runner's work is taken over as a stream, not all at once
TAKEOVER_TURN_US = 10 * MS
RESTART_GRACE_US = (
    1_000 * MS
)  # after a start from a journal, until owners that were not heard from count as lost
MAX_QUEUED_OFFERS = 4_000


class WorkTakeover:
    """One replica's care for the work in its registers, and what its runner takes over."""

    def __init__(self, node: WorkNode) -> None:
        self._node = node
        # Unfinished work in the registers here, both ways round.
        self._keys_of: dict[Owner, set[KeyDigest]] = {}
        self._owner_of: dict[KeyDigest, Owner] = {}
        # Orphaned or released work that is checked for takeover: attempts so far.
        self._attempts: dict[KeyDigest, int] = {}
        # Offers that are to be taken up in the next turns.
        self._offers: list[TakeoverOffer] = []
        self._turn_is_due = False
        # Owners that a journal names, until they have had the time to be heard from; and those that were not.
        self._owners_in_journal: set[Owner] = set()
        self._silent_owners: set[Owner] = set()

    # ---- start ----

    def restore(self) -> None:
        """The registers were read from a journal."""
        self._owners_in_journal = set(self._keys_of)

    def start(self) -> None:
        """The node starts."""
        if self._owners_in_journal:
            self._node.at(self._node.clock() + RESTART_GRACE_US, self._check_restored_owners)

    def _check_restored_owners(self) -> None:
        """Owners that are not heard from count as lost: after a power failure nobody else may know of them."""
        for owner in sorted(self._owners_in_journal, key=lambda owner: (owner.seat, owner.incarnation)):
            if owner == self._node.owner or self._is_heard_from(owner):
                continue
            if owner in self._keys_of:
                self._silent_owners.add(owner)
            self.owner_lost(owner)
        self._owners_in_journal.clear()

    def _is_heard_from(self, owner: Owner) -> bool:
        member = self._node.detector.by_seat.get(owner.seat)
        return (
            member is not None
            and member.is_alive
            and owner.incarnation in (member.incarnation, member.status.predecessor)
        )

    # ---- what becomes orphaned ----

    def owner_lost(self, owner: Owner) -> None:
        """Check all work of that process in the registers here for takeover."""
        for key in sorted(self._keys_of.get(owner, ())):
            self._schedule_check(key)

    def is_lost(self, owner: Owner) -> bool:
        """That process is lost, as far as is known here: nobody acts for it any more."""
        member = self._node.detector.by_seat.get(owner.seat)
        return member is None or member.is_lost(owner.incarnation) or owner in self._silent_owners

    def register_changed(self, key: KeyDigest, register: RegisterState | None) -> None:
        """A register here has another value; None: it was forgotten."""
        self._drop(key)
        work: WorkRecord | None = None if register is None else register.value
        if work is None or work.state is WorkState.FINISHED:
            return
        if work.state is WorkState.RELEASED and work.request is None:
            return
        self._keys_of.setdefault(work.owner, set()).add(key)
        self._owner_of[key] = work.owner
        if work.state is WorkState.RELEASED and key not in self._attempts:
            # Its owner offers it to others; where that one is lost before it does, a replica has to.
            self._attempts[key] = 0
            self._node.at(self._node.clock() + RECHECK_US, lambda: self._check(key))

    def _drop(self, key: KeyDigest) -> None:
        owner = self._owner_of.pop(key, None)
        if owner is None:
            return
        keys = self._keys_of[owner]
        keys.discard(key)
        if not keys:
            del self._keys_of[owner]
            self._silent_owners.discard(owner)

    # ---- orphaned work in the registers here ----

    def _schedule_check(self, key: KeyDigest) -> None:
        """The first replica that is up checks it at once, the next ones later, if it is still orphaned then."""
        if key in self._attempts:
            return
        self._attempts[key] = 0
        me = self._node.me
        by_seat = self._node.detector.by_seat
        up = [seat for seat in self._node.placement.replicas(key) if seat == me or by_seat[seat].is_alive]
        position = up.index(me) if me in up else 0
        if position == 0:
            self._check(key)
        else:
            delay = position * REPLICA_STAGGER_US
            self._node.at(self._node.clock() + delay, lambda: self._check(key))

    def _check(self, key: KeyDigest) -> None:
        """Again and again, until the work is somebody's or over."""
        register = self._node.acceptor.registers.get(key)
        work: WorkRecord | None = None if register is None else register.value
        if register is None or work is None or not self._is_orphaned(work):
            self._attempts.pop(key, None)
            return
        attempts = self._attempts.get(key, 0) + 1
        self._attempts[key] = attempts
        delay = RECHECK_US * min(attempts, MAX_RECHECK_FACTOR)
        self._node.at(self._node.clock() + delay, lambda: self._check(key))
        if work.state is WorkState.STARTED:
            self._node.change(
                key,
                EndOrphanedWork(work.owner, work.attempt),
                register.expires_at,
                self._node.claim_timeout_us,
                lambda result: None,
            )
            self._node.host.count("fleet: buried")
        else:
            self.offer(key, work, attempts - 1)

    def _is_orphaned(self, work: WorkRecord) -> bool:
        if work.state is WorkState.FINISHED:
            return False
        if work.state is WorkState.RELEASED:
            return work.request is not None
        return self.is_lost(work.owner)

    def offer(self, key: KeyDigest, work: WorkRecord, attempts: int = 0) -> None:
        """To the seat whose turn it is; with each attempt that was made before, to the next one."""
        able = [seat for seat in self._node.placement.takeover_order(key) if self._is_able(seat, work)]
        if not able:
            return
        seat = able[attempts % len(able)]
        offer = TakeoverOffer(key, work.owner, work.attempt)
        if seat == self._node.me:
            self.handle_offer(seat, offer)
        else:
            self._node.host.send(seat, offer)

    def _is_able(self, seat: str, work: WorkRecord) -> bool:
        if seat in work.rejected_by:
            return False
        if seat == self._node.me:
            return self._node.host.fit()
        return self._node.detector.by_seat[seat].accepts_work

    # ---- work that this runner takes over ----

    def handle_offer(self, seat: str, offer: TakeoverOffer) -> None:
        """Queued for one of the next turns; dropped where the runner is not fit: others are offered it later."""
        if len(self._offers) < MAX_QUEUED_OFFERS and self._node.host.fit():
            self._offers.append(offer)
            if not self._turn_is_due:
                self._turn_is_due = True
                self._take_turn()

    def _take_turn(self) -> None:
        offers = self._offers[:TAKEOVERS_PER_TURN]
        self._offers = self._offers[TAKEOVERS_PER_TURN:]
        for offer in offers:
            tenure = self._node.tenures.get(offer.key)
            if tenure is None:
                self._take_over(offer, self._expiry_of(offer.key))
            elif tenure.stage is TenureStage.OWNED_ELSEWHERE and not tenure.busy:
                tenure.owner = offer.owner
                tenure.attempt = offer.attempt
                tenure.state = WorkState.HELD
                self._node.continue_work(tenure)
        if offers:
            self._node.at(self._node.clock() + TAKEOVER_TURN_US, self._take_turn)
        else:
            self._turn_is_due = False

    def _expiry_of(self, key: KeyDigest) -> int:
        """us; where this seat is no replica of the key, the longest window that there is."""
        expires_at = self._node.clock() + self._node.longest_window_us
        register = self._node.acceptor.registers.get(key)
        return expires_at if register is None else min(expires_at, register.expires_at)

    def _take_over(self, offer: TakeoverOffer, expires_at: int) -> None:
        self._node.change(
            offer.key,
            TakeOverWork(self._node.owner, offer.owner, offer.attempt),
            expires_at,
            self._node.claim_timeout_us,
            lambda result: self._taken_over(offer, expires_at, result),
        )

    def _taken_over(self, offer: TakeoverOffer, expires_at: int, result: ChangeResult | None) -> None:
        if result is None:
            # The register may name this process all the same: its replicas see us alive, and wait for us.
            self._retry_later(offer, expires_at)
            return
        work: WorkRecord | None = result.value
        if work is None or work.request is None or offer.key in self._node.tenures:
            return
        # Held by us is ours, though a later round of our own may have found it so.
        if work.owner != self._node.owner or work.state is not WorkState.HELD:
            return
        tenure = Tenure(
            offer.key,
            work.body_digest,
            work.request,
            expires_at,
            TenureStage.HELD,
            work.attempt,
            promise=result.promise,
            taken_over=True,
        )
        self._node.tenures[offer.key] = tenure
        self._node.host.count("fleet: taken over")
        if not self._node.host.accept_takeover(offer.key, work.body_digest, work.request, expires_at):
            self._node.release_work(offer.key, rejected=True)

    def _retry_later(self, offer: TakeoverOffer, expires_at: int) -> None:
        def retry() -> None:
            register = self._node.acceptor.registers.get(offer.key)
            until = expires_at if register is None else min(expires_at, register.expires_at)
            self._take_over(offer, until)

        if self._node.clock() < expires_at:
            self._node.at(self._node.clock() + RECHECK_US, retry)
