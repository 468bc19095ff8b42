"""Participation of one member in the duties of the fleet: composes its registers, election, leases and directory.

Duties have a register space of their own, separate from that of keyed work. A replica that has lost its memory has
to restore their registers from the other replicas or its disk: duties do not expire, so waiting does not suffice.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

import msgspec

from ..replication.acceptor import RegisterState
from ..replication.node import Node
from ..replication.register_space import DUTY_SPACE, RegisterSpace
from ..replication.work_record import KeyDigest
from ..time_units import MS
from . import messages
from .candidates import StabilityTracker
from .chunks import ChunkStore
from .directory import DutyDirectory
from .election import Election
from .held_leases import HeldLeases
from .journal import DutyAcceptor
from .lease_holder import LeaseHolder
from .lease_record import LeaseRecord, LeaseStatus, decode_record
from .policy import LeadershipPolicy
from .services import MemberServices
from .state_fetching import StateFetching
from .state_replication import StateReplication
from .worker import EffectReceivers, Worker

HEARTBEAT_US = 500 * MS
# A heartbeat timer that fires this late indicates that the process was paused.
PAUSE_THRESHOLD_US = 300 * MS
# Interval at which the failure detector's messages get new counts of this member's duties.
ANNOUNCE_INTERVAL_US = 2_000 * MS
# Limit of the backoff of a member that was lost repeatedly, as a multiple of the setting `steady_ms`.
MAX_STABILITY_BACKOFF = 16


class ParticipantHost(EffectReceivers, Protocol):
    """The process of a participant: sends effects and provides workers."""

    def can_accept_work(self) -> bool:
        """Return whether this member may lead."""

    def work(self, lease: LeaseHolder) -> Worker | None:
        """Return a worker for a duty, or None if the settings of this process don't include the duty."""


class Participant:
    """Participation of one member in all duties of the fleet.

    Attributes:
        node: Node that provides membership and messages.
        policy: Settings.
        acceptor: Acceptor of the duties' registers.
        store: Chunks of the duties' states.
        services: Interface of the member for the components below.
        replication, fetching, election, leases, directory: Components.
    """

    lease_holder_class: type[LeaseHolder] = LeaseHolder

    def __init__(
        self,
        node: Node,
        host: ParticipantHost,
        policy: LeadershipPolicy,
        recovered: bool = False,
        acceptor_class: type[DutyAcceptor] = DutyAcceptor,
    ) -> None:
        self.node = node
        self.policy = policy
        self._host = host
        self.store = ChunkStore(policy.max_state_bytes * (policy.max_versions + 1))
        # `recovered` states whether every promise that this seat has ever made is known.
        self.acceptor = self._create_acceptor(acceptor_class, recovered)
        registers = RegisterSpace(DUTY_SPACE, self.acceptor, node, None)
        node.add_space(registers)
        self.services = MemberServices(node, registers, self._dispatch)
        chunks_repaired = self.acceptor.chunks_repaired
        self.replication = StateReplication(self.services, self.store, chunks_repaired)
        self.fetching = StateFetching(self.services, self.store, self._replicated_record, chunks_repaired)
        self.election = self._create_election()
        self.leases = HeldLeases(
            self.services,
            self.election,
            self.replication,
            self.fetching,
            host,
            policy,
            host.work,
            self.lease_holder_class,
        )
        self.directory = DutyDirectory(
            self.services, self.election, self.leases, self.fetching, self.acceptor
        )
        self._handlers = self._create_handlers()
        node.components[messages.PART] = self._on_message
        node.on_member_lost.append(self.election.on_member_lost)
        self._next_heartbeat_us = 0
        self._unfit_since_us: int | None = None
        self._announced_at_us = 0

    def _create_acceptor(self, acceptor_class: type[DutyAcceptor], recovered: bool) -> DutyAcceptor:
        seats = self.node.placement
        acceptor = acceptor_class(
            self.node.me,
            self.node.owner.incarnation,
            seats.replicas,
            frozenset(seats.names) - {self.node.me},
            recovered,
            self.policy.max_duties,
            on_change=self._on_accepted,
            permanent=True,
            slice_of=seats.slice_of,
            slice_replicas=seats.slice_replicas,
        )
        acceptor.store = self.store
        return acceptor

    def _create_election(self) -> Election:
        backoff_us = round(self.policy.probation_ms * MS)
        return Election(
            self.services,
            is_fit=self._host.can_accept_work,
            led_duties=lambda: len(self.leases),
            stability=StabilityTracker(backoff_us, backoff_us * MAX_STABILITY_BACKOFF),
            unfit_timeout_us=round(2 * self.policy.unfit_timeout_ms * MS),
        )

    def _create_handlers(self) -> dict[type, Callable[[str, Any], None]]:
        return {
            messages.LeaseOffer: self.leases.on_offer,
            messages.OfferDeclined: self.election.on_offer_declined,
            messages.LeaseAcquired: self.leases.on_lease_acquired,
            messages.StoreChunk: self.replication.on_store_chunk,
            messages.ChunkStored: self.replication.on_chunk_stored,
            messages.RecordChosen: self.replication.on_record_chosen,
            messages.FetchChunks: self.fetching.on_fetch_chunks,
            messages.ChunkFetched: self.fetching.on_chunk_fetched,
        }

    # ---- start, periodic tasks, leaving ----

    def start(self) -> None:
        """Start the heartbeat timer."""
        self._schedule_heartbeat(self.services.now())

    def repair_restored(self) -> None:
        """Fetch chunks that are missing after the restore from a disk."""
        for key, record in self.election.records.items():
            if self.store.missing(key, record):
                self.fetching.repair(key, immediately=True)

    def leave(self) -> None:
        """Release all leases."""
        self.leases.release_all()

    def _schedule_heartbeat(self, now_us: int) -> None:
        self._next_heartbeat_us = now_us + HEARTBEAT_US
        self.services.at(self._next_heartbeat_us, self._heartbeat)

    def _heartbeat(self) -> None:
        now = self.services.now()
        if now - self._next_heartbeat_us >= PAUSE_THRESHOLD_US:
            self.leases.check_all()
        self._schedule_heartbeat(now)
        self.election.check_holders()
        self._check_fitness(now)
        self.leases.adopt_unacknowledged()
        self.directory.create_declared()
        self._announce(now)

    def _check_fitness(self, now_us: int) -> None:
        if self._host.can_accept_work():
            self._unfit_since_us = None
            self.leases.rebalance()
        elif self._unfit_since_us is None:
            self._unfit_since_us = now_us
        elif now_us - self._unfit_since_us >= round(self.policy.unfit_timeout_ms * MS):
            self.leave()

    def _announce(self, now_us: int) -> None:
        if now_us - self._announced_at_us < ANNOUNCE_INTERVAL_US:
            return
        self._announced_at_us = now_us
        stored = sum(record.status != LeaseStatus.REMOVED for record in self.election.records.values())
        self.node.duty_counts = len(self.leases.by_key), stored

    # ---- messages and registers ----

    def _on_message(self, seat: str, body: bytes) -> None:
        try:
            message = messages.decode(body)
        except msgspec.MsgspecError:
            self.services.count("duties: a message that can't be read")
            return
        self._dispatch(seat, message)

    def _dispatch(self, seat: str, message: messages.Message) -> None:
        self._handlers[type(message)](seat, message)

    def _on_accepted(self, key: KeyDigest, register: RegisterState) -> None:
        """Called when the acceptor has accepted a value."""
        record = decode_record(register.value)
        self.election.on_record(key, record)
        if record is not None and self.store.missing(key, record):
            self.fetching.repair(key, immediately=not self.acceptor.is_complete)

    def _replicated_record(self, key: KeyDigest) -> LeaseRecord | None:
        """Return the record of a register, or None if this member does not replicate it."""
        is_replica = self.services.me in self.services.replicas(key)
        return self.election.records.get(key) if is_replica else None
