"""Takeover of orphaned work, which is work whose owner is lost.

Each replica looks for orphaned work in its registers and offers it to runners, which take it over.
Every takeover is a change of the work's register, so several runners may safely try at once. Which runner tries, and
when, only affects how fast the work continues.
"""

from __future__ import annotations

from moorusher.time_units import MS

from .acceptor import RegisterState
from .interfaces import WorkNode
from .key_tenure import Tenure, TenureStage
from .messages import TakeoverOffer
from .proposer import ChangeResult
from .work_record import EndOrphanedWork, KeyDigest, Owner, TakeOverWork, WorkRecord, WorkState

# Each replica of a key waits this much longer than the previous one before it acts.
REPLICA_STAGGER_US = 250 * MS
RECHECK_US = 400 * MS  # Time until orphaned work is checked again; multiplied by the number of checks so far.
MAX_RECHECK_FACTOR = 5  # Limit of the multiplier of `RECHECK_US`.
TAKEOVERS_PER_TURN = 8  # Limited, to spread the takeover of a lost runner's work over time.
TAKEOVER_TURN_US = 10 * MS  # Time between two turns.
# Grace period after a start from a journal. Owners that have not been in contact by its end count as lost.
RESTART_GRACE_US = 1_000 * MS
MAX_QUEUED_OFFERS = 4_000


class WorkTakeover:
    """Finds orphaned or released work in this replica's registers, and takes over work offered to this runner."""

    def __init__(self, node: WorkNode) -> None:
        self._node = node
        # Unfinished work in this replica's registers, by owner and by key.
        self._keys_by_owner: dict[Owner, set[KeyDigest]] = {}
        self._owner_by_key: dict[KeyDigest, Owner] = {}
        # Number of checks so far of each key whose orphaned or released work is being checked.
        self._checks: dict[KeyDigest, int] = {}
        # Offers to process in the next turns.
        self._offers: list[TakeoverOffer] = []
        self._turn_is_scheduled = False
        # Owners of the work in the journal, until the grace period after the start has passed.
        self._owners_in_journal: set[Owner] = set()
        # Owners that were not in contact during the grace period.
        self._silent_owners: set[Owner] = set()

    # ---- start ----

    def restore(self) -> None:
        """Record the owners of the work that was read from a journal."""
        self._owners_in_journal = set(self._keys_by_owner)

    def start(self) -> None:
        """Begin the grace period for the owners of the work in the journal."""
        if self._owners_in_journal:
            self._node.at(self._node.clock() + RESTART_GRACE_US, self._check_restored_owners)

    def _check_restored_owners(self) -> None:
        """Treat owners that have not been in contact as lost."""
        # After a power loss of all members, no failure detector has seen these processes, so none reports them as lost.
        for owner in sorted(self._owners_in_journal, key=lambda owner: (owner.seat, owner.incarnation)):
            if owner == self._node.owner or self._is_known_alive(owner):
                continue
            if owner in self._keys_by_owner:
                self._silent_owners.add(owner)
            self.owner_lost(owner)
        self._owners_in_journal.clear()

    def _is_known_alive(self, owner: Owner) -> bool:
        member = self._node.detector.by_seat.get(owner.seat)
        return (
            member is not None
            and member.is_alive
            and owner.incarnation in (member.incarnation, member.status.predecessor)
        )

    # ---- owners and their work ----

    def owner_lost(self, owner: Owner) -> None:
        """Called when a process is lost. Schedules a check of all its work in this replica's registers."""
        for key in sorted(self._keys_by_owner.get(owner, ())):
            self._schedule_check(key)

    def is_lost(self, owner: Owner) -> bool:
        """Return whether that process is lost, as far as this member knows."""
        member = self._node.detector.by_seat.get(owner.seat)
        return member is None or member.is_lost(owner.incarnation) or owner in self._silent_owners

    def register_changed(self, key: KeyDigest, register: RegisterState | None) -> None:
        """Called when the value of a register has changed. `register` is None if it has expired."""
        self._untrack(key)
        work: WorkRecord | None = None if register is None else register.value
        if work is None or work.state is WorkState.FINISHED:
            return
        if work.state is WorkState.RELEASED and work.request is None:
            return
        self._keys_by_owner.setdefault(work.owner, set()).add(key)
        self._owner_by_key[key] = work.owner
        if work.state is WorkState.RELEASED and key not in self._checks:
            # The owner offers released work to another seat. If the owner is lost before that, a replica must do so.
            self._checks[key] = 0
            self._node.at(self._node.clock() + RECHECK_US, lambda: self._check(key))

    def _untrack(self, key: KeyDigest) -> None:
        owner = self._owner_by_key.pop(key, None)
        if owner is None:
            return
        keys = self._keys_by_owner[owner]
        keys.discard(key)
        if not keys:
            del self._keys_by_owner[owner]
            self._silent_owners.discard(owner)

    # ---- orphaned work in this replica's registers ----

    def _schedule_check(self, key: KeyDigest) -> None:
        """Check a key: immediately on its first live replica, later on the others, so that one usually acts alone."""
        if key in self._checks:
            return
        self._checks[key] = 0
        me = self._node.me
        by_seat = self._node.detector.by_seat
        live = [seat for seat in self._node.placement.replicas(key) if seat == me or by_seat[seat].is_alive]
        position = live.index(me) if me in live else 0
        if position == 0:
            self._check(key)
        else:
            delay = position * REPLICA_STAGGER_US
            self._node.at(self._node.clock() + delay, lambda: self._check(key))

    def _check(self, key: KeyDigest) -> None:
        """Finish or offer the work of a key, repeatedly until the work has a live owner or is finished."""
        register = self._node.acceptor.registers.get(key)
        work: WorkRecord | None = None if register is None else register.value
        if register is None or work is None or not self._is_orphaned(work):
            self._checks.pop(key, None)
            return
        checks = self._checks.get(key, 0) + 1
        self._checks[key] = checks
        delay = RECHECK_US * min(checks, MAX_RECHECK_FACTOR)
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
            self.offer(key, work, checks - 1)

    def _is_orphaned(self, work: WorkRecord) -> bool:
        if work.state is WorkState.FINISHED:
            return False
        if work.state is WorkState.RELEASED:
            return work.request is not None
        return self.is_lost(work.owner)

    def offer(self, key: KeyDigest, work: WorkRecord, earlier_offers: int = 0) -> None:
        """Offer work to a seat that can run it; after earlier offers, to the next one in the takeover order."""
        eligible = [
            seat for seat in self._node.placement.takeover_order(key) if self._is_eligible(seat, work)
        ]
        if not eligible:
            return
        seat = eligible[earlier_offers % len(eligible)]
        offer = TakeoverOffer(key, work.owner, work.attempt)
        if seat == self._node.me:
            self.handle_offer(seat, offer)
        else:
            self._node.host.send(seat, offer)

    def _is_eligible(self, seat: str, work: WorkRecord) -> bool:
        if seat in work.rejected_by:
            return False
        if seat == self._node.me:
            return self._node.host.can_accept_work()
        return self._node.detector.by_seat[seat].accepts_work

    # ---- takeover by this runner ----

    def handle_offer(self, seat: str, offer: TakeoverOffer) -> None:
        """Queue an offer for one of the next turns."""
        # If the runner can't take the work over, a replica later offers it to another seat.
        if len(self._offers) < MAX_QUEUED_OFFERS and self._node.host.can_accept_work():
            self._offers.append(offer)
            if not self._turn_is_scheduled:
                self._turn_is_scheduled = True
                self._process_offers()

    def _process_offers(self) -> None:
        offers = self._offers[:TAKEOVERS_PER_TURN]
        self._offers = self._offers[TAKEOVERS_PER_TURN:]
        for offer in offers:
            tenure = self._node.tenures.get(offer.key)
            if tenure is None:
                self._take_over(offer, self._expiry_of(offer.key))
            elif tenure.stage is TenureStage.OWNED_ELSEWHERE and not tenure.busy:
                tenure.owner = offer.owner
                tenure.attempt = offer.attempt
                tenure.state = WorkState.QUEUED
                self._node.continue_work(tenure)
        if offers:
            self._node.at(self._node.clock() + TAKEOVER_TURN_US, self._process_offers)
        else:
            self._turn_is_scheduled = False

    def _expiry_of(self, key: KeyDigest) -> int:
        """Return the time (us) at which the key expires; the latest possible one if this seat has no register of it."""
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
            # The register may name this process as the owner nevertheless. As it is alive, no replica would offer the
            # work to another runner, so the takeover must be retried.
            self._retry_later(offer, expires_at)
            return
        work: WorkRecord | None = result.value
        if work is None or work.request is None or offer.key in self._node.tenures:
            return
        # `result.applied` is not checked: if an earlier round of this change has written the value, a later round finds
        # it and does not apply the change again.
        if work.owner != self._node.owner or work.state is not WorkState.QUEUED:
            return
        tenure = Tenure(
            offer.key,
            work.body_digest,
            work.request,
            expires_at,
            TenureStage.QUEUED,
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
