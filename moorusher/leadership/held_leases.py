"""The leases of one member: acquires offered leases, starts and stops their workers, and releases leases."""

from __future__ import annotations

from collections.abc import Callable

from ..replication.proposer import ChangeResult
from ..replication.work_record import KeyDigest
from ..time_units import MS
from .candidates import overload_threshold
from .election import Election
from .errors import LeadershipError
from .lease_holder import LeaseHolder
from .lease_interface import LeaderContext
from .lease_record import LeaseRecord, LeaseStatus, decode_record
from .lease_transitions import AcquireLease, Change, Read
from .messages import LeaseAcquired, LeaseOffer, OfferDeclined
from .policy import LeadershipPolicy
from .services import MemberServices
from .state_fetching import StateFetching
from .state_replication import StateReplication
from .worker import EffectReceivers, Worker

ACQUIRE_RETRY_US = 400 * MS
# Number of leases per batch that are verified after a pause.
CHECK_BATCH_SIZE = 16
CHECK_BATCH_INTERVAL_US = 10 * MS
MINUTE_US = 60_000 * MS


class HeldLeases:
    """The leases of one member.

    Attributes:
        by_key: Lease holders by register.
        workers: Workers by register. A duty that is missing in this member's settings has no worker.
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
        self.by_key: dict[KeyDigest, LeaseHolder] = {}
        self.workers: dict[KeyDigest, Worker] = {}
        self._services = services
        self._election = election
        self._policy = policy
        self._create_worker = create_worker
        self._lease_holder_class = lease_holder_class
        self._context = LeaderContext(services, replication, fetching, receivers, policy)
        self._acquiring: set[KeyDigest] = set()
        self._last_handover_us = 0

    def __len__(self) -> int:
        """Return the number of leases that are held or being acquired."""
        return len(self.by_key) + len(self._acquiring)

    # ---- acquiring ----

    def on_offer(self, seat: str, offer: LeaseOffer) -> None:
        """Handle an offer from a replica: acquire the lease or decline."""
        lease = self.by_key.get(offer.key)
        if offer.key in self._acquiring or (lease is not None and lease.record.term > offer.term):
            return
        if not self._election.is_fit() or (not offer.must_accept and self._is_overloaded()):
            self._services.count("duties: declined")
            return self._services.reply(seat, OfferDeclined(offer.key, offer.term))
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

    def adopt_unacknowledged(self) -> None:
        """Adopt leases whose acquisition succeeded without an answer to this process. Called periodically."""
        for key in self._election.keys_of_holder(self._services.owner):
            if key not in self.by_key and key not in self._acquiring:
                self._acquiring.add(key)
                self._acquire(key, Read())

    def _acquire(self, key: KeyDigest, change: Change) -> None:
        def on_result(result: ChangeResult | None) -> None:
            if result is None:
                # The outcome is unknown. If the acquisition has succeeded, replicas regard this member as the holder
                # and elect no other while it is alive, so the duty would have no worker without a retry.
                return self._services.after(ACQUIRE_RETRY_US, lambda: self._acquire(key, change))
            self._acquiring.discard(key)
            return self._on_register(key, change, result)

        self._services.change_register(key, change, None, on_result)

    def _on_register(self, key: KeyDigest, change: Change, result: ChangeResult) -> None:
        record = decode_record(result.value)
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
        self.by_key[key] = self._lease_holder_class(self._context, self, key, record, result.promise)

    def _notify_former_holder(self, key: KeyDigest, change: AcquireLease, record: LeaseRecord) -> None:
        former = change.former_holder
        if former is not None and former.seat != self._services.me:
            notification = LeaseAcquired(key, record.generation, record.term, self._services.owner)
            self._services.send(former.seat, notification)

    def on_lease_acquired(self, seat: str, message: LeaseAcquired) -> None:
        """Handle the notification that another member has acquired a lease held here: verify that with the register."""
        lease = self.by_key.get(message.key)
        if lease is None:
            return
        if (message.generation, message.term) > (lease.record.generation, lease.record.term):
            lease.check()

    # ---- workers ----

    def started(self, lease: LeaseHolder) -> None:
        """Start the worker of a lease whose state is available."""
        worker = self._create_worker(lease)
        if worker is not None:
            self.workers[lease.key] = worker
            worker.start()

    def ended(self, lease: LeaseHolder, reason: LeadershipError | None) -> None:
        """Stop the worker of a lease whose term has ended."""
        if self.by_key.get(lease.key) is lease:
            del self.by_key[lease.key]
        worker = self.workers.pop(lease.key, None)
        if worker is not None:
            worker.stop(reason)

    # ---- verifying and releasing ----

    def check_all(self) -> None:
        """Verify in batches which leases are still held after this process was paused."""
        self._services.count("duties: looked after a pause")
        for index, lease in enumerate(list(self.by_key.values())):
            batch = index // CHECK_BATCH_SIZE
            self._services.after(batch * CHECK_BATCH_INTERVAL_US, lease.check)

    def release_all(self) -> None:
        """Release all leases, since this member leaves or is unfit."""
        for key in list(self.by_key):
            self.release(key)

    def release(self, key: KeyDigest, offered_to: str = "") -> None:
        """Release one lease, and offer it to `offered_to` first, by default the preferred candidate."""
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
        """Hand over one lease if this member is overloaded; the rate is limited. Called periodically."""
        lease_count = len(self.by_key)
        if lease_count <= overload_threshold(0.0):
            return
        candidates = self._election.candidates()
        share = self._election.fair_share(candidates)
        now = self._services.now()
        if (
            lease_count <= overload_threshold(share)
            or now - self._last_handover_us < self._handover_interval_us()
        ):
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
                self._last_handover_us = now
                self._services.count("duties: moved to one that has fewer")
                return self.release(key, offered_to)

    def _handover_interval_us(self) -> float:
        return MINUTE_US / self._policy.max_handovers_per_minute
