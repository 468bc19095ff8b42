"""Election of leaders: the replicas of a duty's register offer a duty that needs a leader to a candidate.

The order and the timing of offers affect only the speed of an election. Safety comes from the register: if two members
accept an offer concurrently, only one of them acquires the lease.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from ..replication.work_record import KeyDigest, Owner
from ..time_units import MS
from .candidates import Candidate, StabilityTracker, fair_share, preference_order
from .lease_record import LeaseRecord, LeaseStatus
from .messages import LeaseOffer, OfferDeclined
from .services import MemberServices

# Delay per rank before a replica makes its first offer, so that the first replica alone offers if it is up.
REPLICA_RANK_DELAY_US = 250 * MS
# Backoff between attempts, multiplied by the number of the attempt.
RETRY_BACKOFF_US = 400 * MS
MAX_RETRY_BACKOFF_US = 2_000 * MS
# Offers per batch. Batches spread the offers for the duties of a lost leader over time.
BATCH_SIZE = 16
BATCH_INTERVAL_US = 10 * MS
# Number of offers that overloaded members may decline; they must accept later offers.
MAX_DECLINABLE_OFFERS = 3
# Limit of declined offers per attempt that are followed by an immediate offer to the next candidate.
MAX_DECLINED_OFFERS = 8


@dataclass(slots=True)
class Election:
    """Elects leaders for the duties whose registers this member replicates.

    Attributes:
        services: Services of the member.
        is_fit: Returns whether this member may lead.
        led_duties: Returns the number of duties that this member leads.
        stability: Tracks members that were lost recently.
        unfit_timeout_us: Time after which a leader that is unfit and has not released its lease is replaced.
        records: Records that this replica has accepted, by register; they need not be chosen.
    """

    services: MemberServices
    is_fit: Callable[[], bool]
    led_duties: Callable[[], int]
    stability: StabilityTracker
    unfit_timeout_us: int
    records: dict[KeyDigest, LeaseRecord] = field(default_factory=dict)
    # Number of offers declined in the current attempt, by register.
    _declined: dict[KeyDigest, int] = field(default_factory=dict)
    _keys_by_holder: dict[Owner, set[KeyDigest]] = field(default_factory=dict)
    # Number of attempts of each election in progress, by register.
    _attempts: dict[KeyDigest, int] = field(default_factory=dict)
    _pending_offers: deque[KeyDigest] = field(default_factory=deque)
    _is_batch_scheduled: bool = False
    _unfit_since_us: dict[Owner, int] = field(default_factory=dict)

    # ---- accepted records and lost members ----

    def on_record(self, key: KeyDigest, record: LeaseRecord | None) -> None:
        """Called when this replica has accepted a value of the register."""
        previous = self.records.get(key)
        if previous is not None and previous.holder is not None:
            self._forget_holder(key, previous.holder)
        if record is None:
            self.records.pop(key, None)
            return
        self.records[key] = record
        if previous is None or not _is_same_election(previous, record):
            self._attempts.pop(key, None)
        if record.holder is not None:
            self._keys_by_holder.setdefault(record.holder, set()).add(key)
            if self.is_lost(record.holder):
                self._start_election(key)
        elif record.needs_leader:
            self._start_election(key)

    def _forget_holder(self, key: KeyDigest, holder: Owner) -> None:
        keys = self._keys_by_holder.get(holder, set())
        keys.discard(key)
        if not keys:
            self._keys_by_holder.pop(holder, None)

    def is_lost(self, holder: Owner) -> bool:
        """Return whether this member regards the process as lost."""
        own_process = self.services.owner
        if holder.seat == own_process.seat:
            predecessor = self.services.members.own.status.predecessor
            return holder.incarnation < own_process.incarnation and holder.incarnation != predecessor
        member = self.services.members.by_seat.get(holder.seat)
        return member is None or member.is_lost(holder.incarnation)

    def keys_of_holder(self, holder: Owner) -> list[KeyDigest]:
        """Return the registers whose accepted records name this process as the holder."""
        return sorted(self._keys_by_holder.get(holder, ()))

    def on_member_lost(self, seat: str, incarnation: int) -> None:
        """Called when the failure detector has declared a process dead."""
        self.stability.record_loss(self.services.now(), seat)
        for key in sorted(self._keys_by_holder.get(Owner(seat, incarnation), ())):
            self._start_election(key)

    def check_holders(self) -> None:
        """Start elections to replace leaders that are lost, or unfit beyond the timeout. Called periodically."""
        now = self.services.now()
        for holder in list(self._keys_by_holder):
            if self._is_unfit(holder):
                if now - self._unfit_since_us.setdefault(holder, now) >= self.unfit_timeout_us:
                    self._start_elections(holder)
                continue
            self._unfit_since_us.pop(holder, None)
            if holder != self.services.owner and self.is_lost(holder):
                self._start_elections(holder)
        for holder in self._unfit_since_us.keys() - self._keys_by_holder.keys():
            del self._unfit_since_us[holder]

    def _is_unfit(self, holder: Owner) -> bool:
        """Return whether the holder is alive and reports that it is unfit."""
        # A member whose status has not been received does not count as unfit.
        member = self.services.members.by_seat.get(holder.seat)
        if (
            holder == self.services.owner
            or member is None
            or not member.is_alive
            or member.status.accepts_work
        ):
            return False
        return not self.is_lost(holder)

    def _start_elections(self, holder: Owner) -> None:
        for key in self.keys_of_holder(holder):
            self._start_election(key)

    def _needs_leader(self, record: LeaseRecord) -> bool:
        if record.needs_leader:
            return True
        if not record.is_led or record.holder is None:
            return False
        if self.is_lost(record.holder):
            return True
        unfit_since_us = self._unfit_since_us.get(record.holder)
        return unfit_since_us is not None and self.services.now() - unfit_since_us >= self.unfit_timeout_us

    # ---- offers ----

    def _start_election(self, key: KeyDigest) -> None:
        if key in self._attempts:
            return
        self._attempts[key] = 0
        me = self.services.me
        replicas = self.services.replicas(key)
        members = self.services.members.by_seat
        up = [seat for seat in replicas if seat == me or members[seat].is_alive]
        rank = up.index(me) if me in up else len(replicas)
        if rank == 0:
            self._enqueue(key)
        else:
            self._enqueue_after(key, rank * REPLICA_RANK_DELAY_US)

    def _enqueue_after(self, key: KeyDigest, delay_us: int) -> None:
        self.services.after(delay_us, lambda: self._enqueue(key))

    def _enqueue(self, key: KeyDigest) -> None:
        self._pending_offers.append(key)
        if not self._is_batch_scheduled:
            self._is_batch_scheduled = True
            self._run_batch()

    def _run_batch(self) -> None:
        for _ in range(min(BATCH_SIZE, len(self._pending_offers))):
            self._attempt(self._pending_offers.popleft())
        if self._pending_offers:
            self.services.after(BATCH_INTERVAL_US, self._run_batch)
        else:
            self._is_batch_scheduled = False

    def _attempt(self, key: KeyDigest) -> None:
        """Offer the duty to a candidate, and schedule the next attempt in case it stays without a leader."""
        if key not in self._attempts:
            return
        record = self.records.get(key)
        if record is None or not self._needs_leader(record):
            del self._attempts[key]
            return
        self._attempts[key] += 1
        attempt = self._attempts[key]
        self._declined.pop(key, None)
        self._enqueue_after(key, min(RETRY_BACKOFF_US * attempt, MAX_RETRY_BACKOFF_US))
        self._offer(key, record, attempt - 1)

    def _offer(self, key: KeyDigest, record: LeaseRecord, attempt: int) -> None:
        seats = self.candidates_for(key)
        if record.status == LeaseStatus.OFFERED and record.offered_to in seats:
            seats.remove(record.offered_to)
            seats.insert(0, record.offered_to)
        if not seats:
            self.services.count("duties: nobody is fit to have one")
            return
        leader_lost = record.holder is not None and self.is_lost(record.holder)
        must_accept = attempt >= MAX_DECLINABLE_OFFERS
        offer = LeaseOffer(key, record.generation, record.term, leader_lost, must_accept)
        self.services.send(seats[attempt % len(seats)], offer)

    def on_offer_declined(self, seat: str, message: OfferDeclined) -> None:
        """Handle a declined offer: offer the duty to the next candidate immediately, up to a limit."""
        key = message.key
        record = self.records.get(key)
        attempt = self._attempts.get(key)
        if record is None or attempt is None or record.term != message.term:
            return
        if not self._needs_leader(record):
            return
        declined = self._declined.get(key, 0) + 1
        self._declined[key] = declined
        if declined < MAX_DECLINED_OFFERS:
            self._offer(key, record, attempt - 1 + declined)

    # ---- candidates ----

    def candidates_for(self, key: KeyDigest) -> list[str]:
        """Return the seats of members that may lead a duty, the preferred seat first."""
        candidates = self.candidates()
        return preference_order(key, candidates, self.fair_share(candidates))

    def fair_share(self, candidates: list[Candidate]) -> float:
        """Return the mean number of duties per fit member."""
        return fair_share(candidates, self.services.replica_count)

    def candidates(self) -> list[Candidate]:
        """Return all members with the fitness and the load that they report."""
        now = self.services.now()
        own_seat = self.services.me
        found = []
        for member in self.services.members.by_seat.values():
            is_own = member.seat == own_seat
            found.append(
                Candidate(
                    seat=member.seat,
                    is_fit=self.is_fit() if is_own else member.accepts_work,
                    led_duties=self.led_duties() if is_own else member.status.duties,
                    stored_duties=len(self.records) if is_own else member.status.duty_replicas,
                    is_stable=self.stability.is_stable(now, member.seat),
                )
            )
        return found


def _is_same_election(first: LeaseRecord, second: LeaseRecord) -> bool:
    return (first.generation, first.term, first.status) == (second.generation, second.term, second.status)
