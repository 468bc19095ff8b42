"""Customers' revisions in virtual time: real replicas, publishers and leases, submissions at any member, and faults."""

# The invariants are checked on the whole history of a simulation. A revision has only one draft. Confirmed revisions
# are never lost. A submission becomes one revision, however often it is submitted. No process returns to an older
# revision. A member that is reported to have a revision has it. At the end all members have the same revision.

from __future__ import annotations

from collections.abc import Callable

import msgspec

from ..config_distribution.errors import DistributionError
from ..config_distribution.propagation import DELETED_NUMBER
from ..config_distribution.publisher import duty_of
from ..config_distribution.replica import Replica
from ..leadership.lease_holder import LeaseHolder
from ..leadership.lease_record import LeaseRecord, LeaseStatus
from ..leadership.worker import Worker
from ..namespaces.draft import parse_draft
from ..namespaces.errors import NamespaceError
from ..namespaces.namespace import Namespace
from ..namespaces.policy import Grant, PublishingLimits
from ..namespaces.revision_history import Submission, decode_history
from ..namespaces.revision_id import RevisionId
from ..time_units import MS, SECOND
from .cluster_process import ProcessStart
from .cluster_simulation import ClusterSimulation
from .leadership_simulation import (
    MIN_REPLICAS,
    DutyProcess,
    DutySimulation,
    latest_record,
    replicated_state,
)
from .publish_history import Confirmation, Failure, PublishHistory, find_history_violation
from .scenario import FAULTS_WITH_JOURNAL, FAULTS_WITHOUT_JOURNAL, Scenario

CUSTOMERS = ("acme", "bolt", "Acme")
GRANT = Grant(frozenset({"s"}))
PUBLISHING_LIMITS = PublishingLimits(max_revisions=64)
SCENARIO = Scenario(seats=5, keys=0, faults=6, fault_kinds=FAULTS_WITHOUT_JOURNAL)
DISK_SCENARIO = Scenario(seats=4, keys=0, faults=6, fault_kinds=FAULTS_WITH_JOURNAL)
MAX_CUSTOMERS = 100
READY_TIMEOUT_US = 2_000 * MS
PARSE_MS = (0.2, 40)  # Minimum and maximum time to parse a draft.
EPOCH_MS = 1_700_000_000_000  # Unix time at the start of a simulation.
# Number of the current revision that a submission expects: 0 for none, -1 for any.
EXPECTED_REVISIONS = (-1, -1, -1, 0, 1, 2)
# Number of times that a client sends the same submission. Repetitions model a client that has received no answer.
ATTEMPTS = (1, 1, 2, 3)
MAX_RESUBMIT_S = 2
FIRST_SUBMISSION_S = 0.3
FIRST_DELETION_S = 1.0


def draft_of(name: str) -> bytes:
    """Return a draft whose only route has this name."""
    return msgspec.json.encode({"default": name, "routes": {name: {"servers": {"s": 1}}}})


class PublishProcess(DutyProcess):
    """One process of a simulated cluster with a replica of all revisions. Implements `ReplicaHost`.

    Attributes:
        publish_simulation: Simulation that the process belongs to.
        started_at_us: Start time.
        replica: Replica of the class `PublishSimulation.replica_class`.
    """

    def __init__(self, sim: ClusterSimulation, start: ProcessStart) -> None:
        super().__init__(sim, start)
        assert isinstance(sim, PublishSimulation)
        self.publish_simulation = sim
        self.started_at_us = sim.now
        self.replica = sim.replica_class(self.participant, self, MAX_CUSTOMERS)

    def work(self, lease: LeaseHolder) -> Worker | None:
        """Return the publisher for a lease."""
        return self.replica.work(lease)

    def start_replica(self) -> None:
        """Start the replica with the revisions on the disk of this member."""
        stored = self.publish_simulation.stored[self.seat]
        self.replica.start(
            [(customer, revision_id, draft) for customer, (revision_id, draft) in stored.items()],
            READY_TIMEOUT_US,
        )

    # ---- `config_distribution.services.ReplicaHost` ----

    def grant_of(self, customer: str) -> Grant | None:
        """Return the servers that a customer may route to."""
        return GRANT

    def publishing_limits(self, customer: str) -> PublishingLimits:
        """Return the limits of published and retained revisions."""
        return PUBLISHING_LIMITS

    def check(self, draft: bytes, grant: Grant, then: Callable[[NamespaceError | None], None]) -> None:
        """Parse a draft, and call `then` with its error, or None if it is valid."""
        self.read(draft, lambda parsed: then(parsed if isinstance(parsed, NamespaceError) else None))

    def read(self, draft: bytes, then: Callable[[Namespace | NamespaceError], None]) -> None:
        """Parse a draft, and call `then` with the result after a delay."""
        try:
            parsed: Namespace | NamespaceError = parse_draft(draft, None)
        except NamespaceError as exc:
            parsed = exc
        delay_us = round(self.sim.random.uniform(*PARSE_MS) * MS)
        self.sim.at(self.sim.now + delay_us, self, lambda: then(parsed))

    def store_revision(self, customer: str, at: RevisionId, draft: bytes | None) -> None:
        """Store a revision on the disk, if the simulation has disks.

        :param draft: Draft of the revision, or None if the namespace was deleted.
        """
        if self.duty_simulation.has_disks:
            self.publish_simulation.stored[self.seat][customer] = (at, draft)

    def unix_ms(self) -> int:
        """Return the wall-clock time in ms since the Unix epoch."""
        return EPOCH_MS + self.sim.now // MS

    def became_ready(self) -> None:
        """Called when the replica is ready; nothing to do."""

    def changed(self, customer: str) -> None:
        """Called when the customer's current revision has changed in this process."""
        history = self.publish_simulation.publish_history
        revision_id = self.replica.customers.latest_id(customer)
        history.record_current(self.number, customer, revision_id)
        found = self.replica.customers.get(customer)
        if found is not None:
            history.record_draft(customer, revision_id, found.draft)


class PublishSimulation(DutySimulation):
    """One simulation of a cluster whose members publish revisions.

    Attributes:
        replica_class: Class of the replicas.
        stored: Revision and draft on the disk by seat and customer. The draft is None if the namespace was deleted.
        publish_history: Events that the invariants are checked against.
    """

    def __init__(
        self,
        seed: int,
        scenario: Scenario | None = None,
        has_disks: bool = False,
        replica_class: type[Replica] = Replica,
        submissions: int = 30,
        deletions: int = 2,
    ) -> None:
        """Prepare a simulation.

        :param submissions: Number of different submissions.
        :param deletions: Number of deletions of namespaces.
        """
        scenario = scenario or SCENARIO
        # Tests replace this class by one with a deliberate mistake.
        self.replica_class = replica_class
        self.stored: list[dict[str, tuple[RevisionId, bytes | None]]] = [{} for _ in range(scenario.seats)]
        self.publish_history = PublishHistory()
        super().__init__(seed, scenario, duties=0, has_disks=has_disks, process_class=PublishProcess)
        for number in range(submissions):
            self._plan_submission(f"s{number}")
        for _ in range(deletions):
            self._plan_deletion(
                self.random.choice(CUSTOMERS), self.random.uniform(FIRST_DELETION_S, self.scenario.seconds)
            )

    def start_process(self, seat: int, recovered: bool, incarnation: int | None = None) -> DutyProcess:
        """Start a process of a member, see `ClusterSimulation`."""
        process = super().start_process(seat, recovered, incarnation)
        assert isinstance(process, PublishProcess)
        self.at(self.now, process, process.start_replica)
        return process

    # ---- submissions and deletions ----

    def _plan_submission(self, submission_id: str) -> None:
        """Draw a submission, and schedule its attempts at random members."""
        random = self.random
        customer = random.choice(CUSTOMERS)
        at_s = random.uniform(FIRST_SUBMISSION_S, self.scenario.seconds)
        expected_revision = random.choice(EXPECTED_REVISIONS)
        submission = Submission(customer, submission_id, expected_revision, "x", draft_of(submission_id))
        for repeat in range(random.choice(ATTEMPTS)):
            self._plan_attempt(submission, at_s + repeat * random.uniform(0, MAX_RESUBMIT_S))

    def _plan_attempt(self, submission: Submission, at_s: float) -> None:
        def submit(process: PublishProcess) -> None:
            process.replica.submit(submission, lambda result: self._on_result(process, submission, result))

        self._at_process(self.random.randrange(self.scenario.seats), at_s, submit)

    def _on_result(
        self, process: PublishProcess, submission: Submission, result: RevisionId | DistributionError
    ) -> None:
        history = self.publish_history
        if isinstance(result, Exception):
            history.failures.append(Failure(submission.submission_id, result.kind))
            return
        customer = submission.customer
        confirmed_us = self.now
        history.confirmations.append(
            Confirmation(customer, result, submission.submission_id, submission.draft, confirmed_us)
        )
        history.record_draft(customer, result, submission.draft)
        process.replica.propagation.propagate(
            customer, result, lambda lacking: self._on_propagated(customer, result, lacking, confirmed_us)
        )

    def _plan_deletion(self, customer: str, at_s: float) -> None:
        def on_result(result: RevisionId | DistributionError) -> None:
            if not isinstance(result, Exception):
                self.publish_history.confirmations.append(Confirmation(customer, result, "", b"", self.now))

        def delete(process: PublishProcess) -> None:
            process.replica.delete(customer, on_result)

        self._at_process(self.random.randrange(self.scenario.seats), at_s, delete)

    def _at_process(self, seat: int, at_s: float, action: Callable[[PublishProcess], None]) -> None:
        """Call `action` with the member's process at that time, if it is alive."""

        def call() -> None:
            process = self.processes[seat]
            if process.alive and isinstance(process, PublishProcess):
                self.at(self.now, process, lambda: action(process))

        self.at(round(at_s * SECOND), None, call)

    def _on_propagated(
        self, customer: str, revision_id: RevisionId, lacking: dict[str, str], confirmed_us: int
    ) -> None:
        """Check that all members that are not reported as lacking the revision have it.

        :param lacking: Members that are reported to lack the revision, with the reason.
        """
        history = self.publish_history
        if not lacking:
            history.propagation_times_us.append(self.now - confirmed_us)
        for process in self._live_replicas():
            current = process.replica.customers.latest_id(customer)
            is_reported_to_have = process.node.me not in lacking and process.started_at_us < confirmed_us
            if is_reported_to_have and current < revision_id:
                history.violations.append(
                    f"n{process.seat} was reported to have {revision_id} of {customer} but has {current}"
                )

    def _live_replicas(self) -> list[PublishProcess]:
        return [process for process in self.live_processes() if isinstance(process, PublishProcess)]

    # ---- final check ----

    def violation(self) -> str | None:
        """Return a description of a violation, or None."""
        if self.publish_history.violations:
            return self.publish_history.violations[0]
        for customer in CUSTOMERS:
            found = self.publish_history.find_duplicate_revision(customer) or self._find_register_violation(
                customer
            )
            if found is not None:
                return f"{customer}: {found}"
        return None

    def _find_register_violation(self, customer: str) -> str | None:
        """Check, after the recovery time, the revisions that a majority stores and each member's current revision.

        A majority must store all confirmed revisions, and its latest one must be current at all members.
        """
        duty = duty_of(customer)
        replicas = self.voting_replicas(duty)
        if len(replicas) < MIN_REPLICAS:
            return None
        record = latest_record(duty, replicas)
        confirmations = self.publish_history.confirmations_of(customer)
        if record is None:
            confirmed = [(confirmation.revision_id, confirmation.draft) for confirmation in confirmations]
            return f"no register, although {confirmed} was confirmed" if confirmed else None
        if record.status == LeaseStatus.REMOVED:
            return self._find_deletion_violation(customer, record, confirmations)
        if record.status == LeaseStatus.SUSPENDED:
            return None
        state = replicated_state(duty, record, replicas)
        if record.versions and state is None:
            return None  # `leadership_simulation` checks the replication of states.
        history = decode_history(state or b"", customer)
        found = find_history_violation(history, record.generation, confirmations)
        if found is None and history.current_number:
            found = self._lagging_replicas(customer, (record.generation, history.current_number))
        return found

    def _find_deletion_violation(
        self, customer: str, record: LeaseRecord, confirmations: list[Confirmation]
    ) -> str | None:
        late = [
            confirmation.revision_id
            for confirmation in confirmations
            if confirmation.revision_id[0] > record.generation
        ]
        if late:
            return f"confirmed revisions {late} are later than the last generation {record.generation}"
        return self._lagging_replicas(customer, (record.generation, DELETED_NUMBER))

    def _lagging_replicas(self, customer: str, revision_id: RevisionId) -> str | None:
        lagging = {
            process.node.me: process.replica.customers.latest_id(customer)
            for process in self._live_replicas()
            if process.replica.customers.latest_id(customer) != revision_id
        }
        return f"{revision_id} is current but these replicas have another one: {lagging}" if lagging else None
