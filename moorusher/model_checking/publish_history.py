"""The global history of published revisions in a simulation, and its invariants."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from ..namespaces.revision_history import RevisionHistory
from ..namespaces.revision_id import RevisionId

RevisionKey = tuple[str, RevisionId]  # A customer and one of its revisions.


@dataclass(frozen=True, slots=True)
class Confirmation:
    """A submission or a deletion that was confirmed to its sender.

    Attributes:
        customer: Customer of the namespace.
        revision_id: Revision that resulted from it.
        submission_id: Id of the submission; empty for a deletion.
        draft: Submitted draft; empty for a deletion.
        at: Time in us.
    """

    customer: str
    revision_id: RevisionId
    submission_id: str
    draft: bytes
    at: int


@dataclass(frozen=True, slots=True)
class Failure:
    """A submission that failed.

    Attributes:
        submission_id: Id of the submission.
        error: Kind of the error that its sender received.
    """

    submission_id: str
    error: str


@dataclass(slots=True)
class PublishHistory:
    """The events that the revisions of a simulation are checked against.

    Attributes:
        drafts: Drafts that any process or client had for a revision.
        current: Each customer's current revision at each process, by number of the process and customer.
        confirmations: Confirmed submissions and deletions in order.
        failures: Failed submissions in order.
        propagation_times_us: Times from a confirmation until every member had the revision.
        violations: Descriptions of violations found so far.
    """

    drafts: defaultdict[RevisionKey, set[bytes]] = field(default_factory=lambda: defaultdict(set))
    current: dict[tuple[int, str], RevisionId] = field(default_factory=dict)
    confirmations: list[Confirmation] = field(default_factory=list)
    failures: list[Failure] = field(default_factory=list)
    propagation_times_us: list[int] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)

    def record_draft(self, customer: str, revision_id: RevisionId, draft: bytes) -> None:
        """Record a draft that a process or client has for a revision; check that the revision has no other draft."""
        drafts = self.drafts[customer, revision_id]
        drafts.add(draft)
        if len(drafts) > 1:
            self.violations.append(f"{customer} {revision_id} has more than one draft: {sorted(drafts)}")

    def record_current(self, process: int, customer: str, revision_id: RevisionId) -> None:
        """Record a customer's current revision at a process; check that it is not older than the previous one there."""
        if revision_id < self.current.get((process, customer), (0, 0)):
            self.violations.append(f"process {process} went back to {revision_id} of {customer}")
        self.current[process, customer] = revision_id

    def find_duplicate_revision(self, customer: str) -> str | None:
        """Check that a submission becomes only one revision, however often it is submitted."""
        numbers: dict[tuple[int, str], int] = {}
        for confirmation in self.confirmations:
            submission_id = confirmation.submission_id
            if confirmation.customer != customer or not submission_id:
                continue
            incarnation, number = confirmation.revision_id
            first = numbers.setdefault((incarnation, submission_id), number)
            if first != number:
                return f"{submission_id} was published as {first} and as {number}"
        return None

    def confirmations_of(self, customer: str) -> list[Confirmation]:
        """Return the confirmations of a customer."""
        return [confirmation for confirmation in self.confirmations if confirmation.customer == customer]


def find_history_violation(
    history: RevisionHistory, incarnation: int, confirmations: list[Confirmation]
) -> str | None:
    """Check the revision history that a majority stores at the end of a simulation.

    :param incarnation: Incarnation of the namespace.
    :param confirmations: Confirmations of its customer. The history must contain each of them, except those of earlier
        incarnations.
    """
    numbers = [entry.number for entry in history.revisions]
    if numbers != list(range(len(numbers), 0, -1)):
        return f"revision numbers are not consecutive from 1: {numbers}"
    submission_ids = [entry.submission_id for entry in history.revisions]
    if len(set(submission_ids)) != len(submission_ids):
        return f"one submission became two revisions: {submission_ids}"
    for confirmation in confirmations:
        confirmed_incarnation, number = confirmation.revision_id
        entry = history.find(number)
        is_lost = entry is None or entry.draft != confirmation.draft
        if confirmed_incarnation > incarnation or (confirmed_incarnation == incarnation and is_lost):
            confirmed = f"{confirmation.revision_id} was confirmed"
            return f"{confirmed} but the register has revisions {numbers} of incarnation {incarnation}"
    return None
