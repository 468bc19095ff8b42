"""Connects the duties of the fleet to this process: its journal, effect receivers, workers and operators."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from ..leadership.directory import Reading
from ..leadership.effects import ResponseCallback
from ..leadership.errors import LeadershipError
from ..leadership.fencing_token import FencingToken
from ..leadership.heartbeat import KIND as HEARTBEAT_KIND
from ..leadership.heartbeat import HeartbeatWorker
from ..leadership.lease_holder import LeaseHolder
from ..leadership.lease_record import Intent, LeaseRecord, LeaseStatus, register_key
from ..leadership.participant import Participant
from ..leadership.policy import LeadershipPolicy
from ..leadership.worker import Worker
from ..replication.journal import JournalImage
from ..replication.register_space import DUTY_SPACE
from .cluster_member import ClusterMember
from .effect_receivers import HttpEffectReceivers

log = logging.getLogger("moorusher")

MAX_LISTED_DUTIES = 1_000
NAMESPACE_KIND = "namespace"
FORECAST_KIND = "forecast"


class WorkerFactory(Protocol):
    """A component of this process that creates the workers of one kind of duty."""

    def work(self, lease: LeaseHolder) -> Worker:
        """Create the worker for a lease."""


@dataclass(frozen=True, slots=True)
class DutySnapshot:
    """A duty as known to this process.

    Attributes:
        record: The lease record.
        lease: This member's lease, if it is at the same position as the record.
        now_us: Time of the snapshot.
    """

    record: LeaseRecord
    lease: LeaseHolder | None
    now_us: int


SnapshotCallback = Callable[[DutySnapshot | LeadershipError], None]


@dataclass(frozen=True, slots=True)
class DutyReading:
    """A duty as read from a majority, with its state."""

    snapshot: DutySnapshot
    state: bytes | None


class DutyLink:
    """Host of the participant (`participant.ParticipantHost`), and the operators' interface to it.

    Attributes:
        fleet: This runner as a member of its fleet.
        policy: Settings of the duties.
        participant: This member's participant in the duties.
        namespaces, forecast: Create the workers of these kinds. None unless enabled, since they are imported only then.
    """

    def __init__(self, fleet: ClusterMember, policy: LeadershipPolicy) -> None:
        self.fleet = fleet
        self.policy = policy
        self.core = fleet.core
        self.namespaces: WorkerFactory | None = None
        self.forecast: WorkerFactory | None = None
        self._receivers = HttpEffectReceivers(fleet.reactor, fleet.core)
        self._journal_image: JournalImage | None = None
        journal = fleet.open_part_journal("duties")
        if journal is not None:
            self._journal_image = journal.image
        self.participant = Participant(fleet.node, self, policy)
        if journal is not None:
            self.participant.store.has_disk = True
            fleet.attach_journal(journal, DUTY_SPACE, self.participant.acceptor)
        for report in policy.heartbeats:
            self.participant.directory.declare(report.name, HEARTBEAT_KIND)

    def start(self) -> None:
        """Restore the journal. Must precede the start of the node, which requests missing state from other members."""
        if self._journal_image is not None:
            self.participant.acceptor.restore(self.core.clock.now, self._journal_image)
            self.participant.repair_restored()
            self._journal_image = None
        self.participant.start()

    # ---- ParticipantHost ----

    def can_accept_work(self) -> bool:
        """Return whether this runner may lead duties."""
        return self.fleet.can_accept_work()

    def send_fenced(
        self, receiver: str, duty: str, token: FencingToken, body: bytes, callback: ResponseCallback
    ) -> None:
        """See `worker.EffectReceivers`."""
        self._receivers.send_fenced(receiver, duty, token, body, callback)

    def send_intent(self, receiver: str, duty: str, intent: Intent, callback: ResponseCallback) -> None:
        """See `worker.EffectReceivers`."""
        self._receivers.send_intent(receiver, duty, intent, callback)

    def query_intent(self, receiver: str, duty: str, intent: Intent, callback: ResponseCallback) -> None:
        """See `worker.EffectReceivers`."""
        self._receivers.query_intent(receiver, duty, intent, callback)

    def work(self, lease: LeaseHolder) -> Worker | None:
        """Create the worker for a duty; None if this runner's settings configure none for its kind or name."""
        log.info("duties: acquired the lease: duty=%s term=%d", lease.name, lease.record.term)
        worker = self._heartbeat_worker(lease)
        if worker is not None:
            return worker
        factory = self._worker_factory(lease.record.kind)
        if factory is not None:
            return factory.work(lease)
        log.warning("duties: this runner's settings configure no worker: duty=%s", lease.name)
        return None

    def _heartbeat_worker(self, lease: LeaseHolder) -> HeartbeatWorker | None:
        if lease.record.kind != HEARTBEAT_KIND:
            return None
        for report in self.policy.heartbeats:
            if report.name == lease.name:
                return HeartbeatWorker(lease, report, self.participant.services.after, self._fleet_summary)
        return None

    def _worker_factory(self, kind: str) -> WorkerFactory | None:
        if kind == NAMESPACE_KIND:
            return self.namespaces
        if kind == FORECAST_KIND:
            return self.forecast
        return None

    def _fleet_summary(self) -> dict[str, Any]:
        """Return the document that a heartbeat sends to its receiver."""
        members = self.fleet.node.detector.by_seat.values()
        return {
            "fleet": self.fleet.config.name,
            "by": self.fleet.name,
            "up": sum(member.is_alive for member in members),
            "seats": len(members),
        }

    # ---- operators ----

    def local_duties(self) -> list[DutySnapshot]:
        """Return the duties that this runner leads or replicates, sorted by name, without contacting others."""
        self.core.start_turn()
        records = dict(self.participant.election.records)
        for key, lease in self.participant.leases.by_key.items():
            records[key] = lease.record
        existing = [record for record in records.values() if record.status != LeaseStatus.REMOVED]
        existing.sort(key=lambda record: record.name)
        return [self._snapshot(record) for record in existing[:MAX_LISTED_DUTIES]]

    def _snapshot(self, record: LeaseRecord) -> DutySnapshot:
        lease = self.participant.leases.by_key.get(register_key(record.name))
        if lease is not None and lease.record.position != record.position:
            lease = None
        return DutySnapshot(record, lease, self.core.clock.now)

    def read(self, name: str, callback: Callable[[DutyReading | LeadershipError], None]) -> None:
        """Read a duty through its register, with its state."""

        def on_reading(reading: Reading | LeadershipError) -> None:
            if isinstance(reading, LeadershipError):
                callback(reading)
            else:
                callback(DutyReading(self._snapshot(reading.record), reading.state))

        self.core.start_turn()
        self.participant.directory.read(name, on_reading)

    def resume(self, name: str, callback: SnapshotCallback) -> None:
        """Resume a suspended duty."""
        self.core.start_turn()
        self.participant.directory.resume(name, self._snapshot_to(callback))

    def resolve_intent(
        self, name: str, intent_revision: int, verdict: str, callback: SnapshotCallback
    ) -> None:
        """Close an open intent by an operator's decision.

        :param verdict: `done` if the operator found the intent performed, else `undone`; only logged.
        """
        self.core.start_turn()
        log.warning(
            "duties: an operator resolved an intent: duty=%s intent=%d verdict=%s",
            name,
            intent_revision,
            verdict,
        )
        self.participant.directory.resolve_intent(name, intent_revision, self._snapshot_to(callback))

    def _snapshot_to(self, callback: SnapshotCallback) -> Callable[[LeaseRecord | LeadershipError], None]:
        def on_result(result: LeaseRecord | LeadershipError) -> None:
            callback(result if isinstance(result, LeadershipError) else self._snapshot(result))

        return on_result
