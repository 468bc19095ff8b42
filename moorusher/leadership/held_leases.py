"""The leases of one member: takes those that it is offered, starts and stops their workers, and gives leases up."""

from __future__ import annotations

from collections.abc import Callable

from ..membership.failure_detector import MS
from ..replication.proposer import ChangeResult
from ..replication.work_record import Key
from .candidates import overload_threshold
from .election import Election
from .errors import LeadershipError
from .lease_holder import LeaseHolder
from .lease_interface import LeaderContext
from .lease_record import LeaseRecord, LeaseStatus, decode_record
from .lease_transitions import AcquireLease, Change, Read
from .messages import LeaseOffer, LeaseTaken, OfferDeclined
from .policy import LeadershipPolicy
from .services import MemberServices
from .state_fetching import StateFetching
from .state_replication import StateReplication
from .worker import EffectReceivers, Worker

ACQUIRE_RETRY_US = 400 * MS
CHECK_BATCH_SIZE = 16  # leases that are checked at a time after a pause
CHECK_BATCH_INTERVAL_US = 10 * MS
MINUTE_US = 60_000 * MS


class HeldLeases:
    """The leases of one member.

    by_key: dict of the lease holders, by register.
    workers: dict of their workers; a duty that this member's settings don't know has none.
    """

    def __init__(
        self,
        services: MemberServices,
        election: Election,
        replication: StateReplication,
        fetching: StateFetching,
        receivers: EffectReceivers,
        policy: LeadershipPolicy,
        create_worker: Callable[[LeaseHolder], Worker | None],
        lease_holder_class: type[LeaseHolder],
    ) -> None:
        self.by_key: dict[Key, LeaseHolder] = {}
        self.workers: dict[Key, Worker] = {}
        self._services = services
        self._election = election
        self._policy = policy
        self._create_worker = create_worker
        self._lease_holder_class = lease_holder_class
        self._context = LeaderContext(services, replication, fetching, receivers, policy)
        self._acquiring: set[Key] = set()
        self._last_move_us = 0

    def __len__(self) -> int:
        """Leases that are held or being acquired."""
        return len(self.by_key) + len(self._acquiring)

    # ---- acquiring ----

    def on_offer(self, seat: str, offer: LeaseOffer) -> None:
        """A replica offers a duty that needs a leader: acquire its lease, or decline."""
        held = self.by_key.get(offer.key)
        if offer.key in self._acquiring or (held is not None and held.record.term > offer.term):
            return
        if not self._election.is_fit() or (not offer.must_accept and self._is_overloaded()):
            self._services.count("duties: declined")
            return self._services.send(seat, OfferDeclined(offer.key, offer.term))
        self._acquiring.add(offer.key)
        change = AcquireLease(
            self._services.owner,
            (offer.generation, offer.term),
            offer.leader_lost,
            self._policy.max_lost_leaders,
        )
        return self._acquire(offer.key, change)

    def _is_overloaded(self) -> bool:
        share = self._election.fair_share(self._election.candidates())
        return len(self) >= overload_threshold(share)

    def adopt_unknown(self) -> None:
        """Take up leases that the registers say are held here, though no answer has said so. Called periodically."""
        for key in self._election.held_by(self._services.owner):
            if key not in self.by_key and key not in self._acquiring:
                self._acquiring.add(key)
                self._acquire(key, Read())

    def _acquire(self, key: Key, change: Change) -> None:
        def answered(done: ChangeResult | None) -> None:
            if (
                done is None
            ):  # it may be held all the same: the replicas see this member alive, and wait for it
                return self._services.after(ACQUIRE_RETRY_US, lambda: self._acquire(key, change))
            self._acquiring.discard(key)
            return self._on_register(key, change, done)

        self._services.change_register(key, change, None, answered)

    def _on_register(self, key: Key, change: Change, done: ChangeResult) -> None:
        record = decode_record(done.value)
        if record is None or record.holder != self._services.owner or not record.is_led:
            if record is not None and record.status == LeaseStatus.SUSPENDED:
                self._services.count("duties: put aside")
            return
        previous = self.by_key.get(key)
        if previous is not None:
            if previous.record.term == record.term:
                return
            previous.superseded(record)
        self._services.count("duties: accepted")
        if isinstance(change, AcquireLease):
            self._notify_former_holder(key, change, record)
        self.by_key[key] = self._lease_holder_class(self._context, self, key, record, done.promise)

    def _notify_former_holder(self, key: Key, change: AcquireLease, record: LeaseRecord) -> None:
        former = change.former_holder
        if former is not None and former.seat != self._services.me:
            taken = LeaseTaken(key, record.generation, record.term, self._services.owner)
            self._services.send(former.seat, taken)

    def on_lease_taken(self, seat: str, message: LeaseTaken) -> None:
        """Another member says that it has the lease: ask the register."""
        held = self.by_key.get(message.key)
        if held is None:
            return
        if (message.generation, message.term) > (held.record.generation, held.record.term):
            held.check()

    # ---- workers ----

    def started(self, lease: LeaseHolder) -> None:
        """A lease has its state: start the worker."""
        worker = self._create_worker(lease)
        if worker is not None:
            self.workers[lease.key] = worker
            worker.start()

    def ended(self, lease: LeaseHolder, reason: LeadershipError | None) -> None:
        """A term is over: stop the worker."""
        if self.by_key.get(lease.key) is lease:
            del self.by_key[lease.key]
        worker = self.workers.pop(lease.key, None)
        if worker is not None:
            worker.stop(reason)

    # ---- giving up ----

    def check_all(self) -> None:
        """Find out which leases are still held, after this process was paused; a batch at a time."""
        self._services.count("duties: looked after a pause")
        for index, lease in enumerate(list(self.by_key.values())):
            batch = index // CHECK_BATCH_SIZE
            self._services.after(batch * CHECK_BATCH_INTERVAL_US, lease.check)

    def release_all(self) -> None:
        """Give every lease up: this member leaves, or is not fit."""
        for key in list(self.by_key):
            self.release(key)

    def release(self, key: Key, offered_to: str = "") -> None:
        """Give one lease up. `offered_to`: the seat that is offered it first, by default the preferred candidate."""
        lease = self.by_key.get(key)
        if lease is None or not lease.is_active:
            return
        if not offered_to:
            candidates = self._election.candidates_for(key)
            offered_to = next((seat for seat in candidates if seat != self._services.me), "")
        worker = self.workers.get(key)
        if worker is not None:
            worker.before_release()
        lease.release(offered_to)

    def rebalance(self) -> None:
        """Give one lease up if this member has far more than its share, a few a minute. Called periodically."""
        held = len(self.by_key)
        if held <= overload_threshold(0.0):
            return
        candidates = self._election.candidates()
        share = self._election.fair_share(candidates)
        now = self._services.now()
        if held <= overload_threshold(share) or now - self._last_move_us < self._move_interval_us():
            return
        receivers = {
            member.seat
            for member in candidates
            if member.is_fit
            and member.is_stable
            and member.seat != self._services.me
            and member.led_duties + 1 < share
        }
        for key, lease in self.by_key.items():
            preferred = self._election.candidates_for(key)
            offered_to = next((seat for seat in preferred if seat in receivers), None)
            if offered_to is not None and lease.is_active:
                self._last_move_us = now
                self._services.count("duties: moved to one that has fewer")
                return self.release(key, offered_to)

    def _move_interval_us(self) -> float:
        return MINUTE_US / self._policy.max_handovers_per_minute
