"""Customers' revisions in virtual time: real replicas, publishers and leases, submissions at any member, and faults.

One seed is one simulation of `cluster_simulation`; its whole history is checked. No number of an incarnation ever means
two drafts; what was confirmed stays; a submission becomes one revision however often it is handed in; no process goes
back; who is said to have a revision has it; in the end all have the same.
"""

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
from .publish_history import Confirmation, Failure, PublishHistory, wrong_in_history
from .scenario import FAULTS_WITH_JOURNAL, FAULTS_WITHOUT_JOURNAL, Scenario

CUSTOMERS = ("acme", "bolt", "Acme")
GRANT = Grant(frozenset({"s"}))
PUBLISHING_LIMITS = PublishingLimits(max_revisions=64)
SCENARIO = Scenario(seats=5, keys=0, faults=6, fault_kinds=FAULTS_WITHOUT_JOURNAL)
DISK_SCENARIO = Scenario(seats=4, keys=0, faults=6, fault_kinds=FAULTS_WITH_JOURNAL)
MAX_CUSTOMERS = 100
READY_TIMEOUT_US = 2_000 * MS
PARSE_MS = (0.2, 40)  # least and most time that a draft is read in
EPOCH_MS = 1_700_000_000_000  # Unix time at the begin of a simulation
EXPECTATIONS = (-1, -1, -1, 0, 1, 2)  # the revision that a submission builds on; -1: whichever
TIMES_HANDED_IN = (1, 1, 2, 3)  # as no answer came
MAX_RESUBMIT_S = 2
FIRST_SUBMISSION_S = 0.3
FIRST_DELETION_S = 1.0


def draft_of(name: str) -> bytes:
    """Return a draft that is told apart by its one name."""
    return msgspec.json.encode({"default": name, "routes": {name: {"servers": {"s": 1}}}})


class PublishProcess(DutyProcess):
    """One process of a simulated cluster, with the real replica of all revisions; its `ReplicaHost`.

    Attributes:
        publishing: `PublishSimulation`.
        started_at_us: `int`.
        replica: the real one, or one with a seeded mistake.
    """

    def __init__(self, sim: ClusterSimulation, start: ProcessStart) -> None:
        super().__init__(sim, start)
        assert isinstance(sim, PublishSimulation)
        self.publishing = sim
        self.started_at_us = sim.now
        self.replica = sim.replica_class(self.participant, self, MAX_CUSTOMERS)

    def work(self, lease: LeaseHolder) -> Worker | None:
        """Return the publisher for a lease."""
        return self.replica.work(lease)

    def start_replica(self) -> None:
        """Begin with what the disk of this member has."""
        stored = self.publishing.stored[self.seat]
        self.replica.start(
            [(customer, revision_id, draft) for customer, (revision_id, draft) in stored.items()],
            READY_TIMEOUT_US,
        )

    # ---- `config_distribution.services.ReplicaHost` ----

    def grant_of(self, customer: str) -> Grant | None:
        """Return what a customer may route to."""
        return GRANT

    def publishing_limits(self, customer: str) -> PublishingLimits:
        """Return how much may be published and retained."""
        return PUBLISHING_LIMITS

    def check(self, draft: bytes, grant: Grant, then: Callable[[NamespaceError | None], None]) -> None:
        """Call `then` with what is wrong with a draft, or None."""
        self.read(draft, lambda parsed: then(parsed if isinstance(parsed, NamespaceError) else None))

    def read(self, draft: bytes, then: Callable[[Namespace | NamespaceError], None]) -> None:
        """Parse a draft, which takes its time."""
        try:
            parsed: Namespace | NamespaceError = parse_draft(draft, None)
        except NamespaceError as exc:
            parsed = exc
        delay_us = round(self.sim.random.uniform(*PARSE_MS) * MS)
        self.sim.at(self.sim.now + delay_us, self, lambda: then(parsed))

    def store_revision(self, customer: str, at: RevisionId, draft: bytes | None) -> None:
        """Store a revision on the disk, if there is one; no draft: it was deleted."""
        if self.world.has_disks:
            self.publishing.stored[self.seat][customer] = (at, draft)

    def unix_ms(self) -> int:
        """Return the wall-clock time."""
        return EPOCH_MS + self.sim.now // MS

    def became_ready(self) -> None:
        """Nobody waits for it here."""

    def changed(self, customer: str) -> None:
        """The customer has another current revision here."""
        history = self.publishing.publish_history
        revision_id = self.replica.customers.latest_id(customer)
        history.see_current(self.number, customer, revision_id)
        found = self.replica.customers.get(customer)
        if found is not None:
            history.see_draft(customer, revision_id, found.draft)


class PublishSimulation(DutySimulation):
    """One simulation of a cluster whose members publish revisions.

    Attributes:
        replica_class: the real one, or one with a seeded mistake.
        stored: by seat and customer, the revision and draft on its disk; no draft where it was deleted.
        publish_history: `PublishHistory`.
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
        """Prepare a simulation with so many submissions and deletions."""
        scenario = scenario or SCENARIO
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
        """A submission, handed in once more, elsewhere or at the same member, where no answer came."""
        random = self.random
        customer = random.choice(CUSTOMERS)
        at_s = random.uniform(FIRST_SUBMISSION_S, self.scenario.seconds)
        expects = random.choice(EXPECTATIONS)
        submission = Submission(customer, submission_id, expects, "x", draft_of(submission_id))
        for repeat in range(random.choice(TIMES_HANDED_IN)):
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
        history.see_draft(customer, result, submission.draft)
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
        """Call `action` with whichever process the member has at that time."""

        def call() -> None:
            process = self.processes[seat]
            if process.alive and isinstance(process, PublishProcess):
                self.at(self.now, process, lambda: action(process))

        self.at(round(at_s * SECOND), None, call)

    def _on_propagated(
        self, customer: str, revision_id: RevisionId, lacking: dict[str, str], confirmed_us: int
    ) -> None:
        """All members but those that are lacking are said to have the revision."""
        history = self.publish_history
        if not lacking:
            history.propagation_times_us.append(self.now - confirmed_us)
        for process in self._live_replicas():
            current = process.replica.customers.latest_id(customer)
            is_reported_to_have = process.node.me not in lacking and process.started_at_us < confirmed_us
            if is_reported_to_have and current < revision_id:
                history.violations.append(
                    f"n{process.seat} was said to have {revision_id} of {customer}, and has {current}"
                )

    def _live_replicas(self) -> list[PublishProcess]:
        return [process for process in self.live_processes() if isinstance(process, PublishProcess)]

    # ---- the end ----

    def violation(self) -> str | None:
        """Return what was wrong in the simulation, in words."""
        if self.publish_history.violations:
            return self.publish_history.violations[0]
        for customer in CUSTOMERS:
            found = self.publish_history.confirmed_twice(customer) or self._wrong_in_register(customer)
            if found is not None:
                return f"{customer}: {found}"
        return None

    def _wrong_in_register(self, customer: str) -> str | None:
        """All faults are over for a while: a majority has what was confirmed, and all members have the same."""
        duty = duty_of(customer)
        replicas = self.voting_replicas(duty)
        if len(replicas) < MIN_REPLICAS:
            return None
        record = latest_record(duty, replicas)
        confirmations = self.publish_history.of_customer(customer)
        if record is None:
            confirmed = [(confirmation.revision_id, confirmation.draft) for confirmation in confirmations]
            return f"no register, though {confirmed} was told" if confirmed else None
        if record.status == LeaseStatus.REMOVED:
            return self._wrong_after_deletion(customer, record, confirmations)
        if record.status == LeaseStatus.SUSPENDED:
            return None
        state = replicated_state(duty, record, replicas)
        if record.versions and state is None:
            return None  # `leadership_simulation` checks that
        history = decode_history(state or b"", customer)
        found = wrong_in_history(history, record.generation, confirmations)
        if found is None and history.current_number:
            found = self._lagging_replicas(customer, (record.generation, history.current_number))
        return found

    def _wrong_after_deletion(
        self, customer: str, record: LeaseRecord, confirmations: list[Confirmation]
    ) -> str | None:
        late = [
            confirmation.revision_id
            for confirmation in confirmations
            if confirmation.revision_id[0] > record.generation
        ]
        if late:
            return f"told {late} after the last birth {record.generation}"
        return self._lagging_replicas(customer, (record.generation, DELETED_NUMBER))

    def _lagging_replicas(self, customer: str, revision_id: RevisionId) -> str | None:
        lagging = {
            process.node.me: process.replica.customers.latest_id(customer)
            for process in self._live_replicas()
            if process.replica.customers.latest_id(customer) != revision_id
        }
        return f"{revision_id} is there, and {lagging} have not come to it" if lagging else None
