"""What a simulation has published, as no member of the cluster sees it, and the rules that it must keep."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from ..namespaces.revision_history import RevisionHistory
from ..namespaces.revision_id import RevisionId

Draft = tuple[str, RevisionId]  # a customer, and one of its revisions


@dataclass(frozen=True, slots=True)
class Confirmation:
    """A submission or a deletion that its sender was told is done.

    Attributes:
        customer: `str`.
        revision_id: `RevisionId`, what it has become.
        submission_id: `str`, empty for a deletion.
        draft: `bytes`, empty for a deletion.
        at: `int`, us.
    """

    customer: str
    revision_id: RevisionId
    submission_id: str
    draft: bytes
    at: int


@dataclass(frozen=True, slots=True)
class Failure:
    """A submission whose sender was told an error, by its kind."""

    submission_id: str
    error: str


@dataclass(slots=True)
class PublishHistory:
    """Everything that the revisions of a simulation are checked by.

    Attributes:
        drafts: by revision, the drafts that it was seen to mean, anywhere.
        current: by number of a process and customer, the revision that it has.
        confirmations, failures: what senders were told.
        propagation_times_us: from the confirmation until every member had the revision.
        violations: what was seen to be violated, in words.
    """

    drafts: defaultdict[Draft, set[bytes]] = field(default_factory=lambda: defaultdict(set))
    current: dict[tuple[int, str], RevisionId] = field(default_factory=dict)
    confirmations: list[Confirmation] = field(default_factory=list)
    failures: list[Failure] = field(default_factory=list)
    propagation_times_us: list[int] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)

    def see_draft(self, customer: str, revision_id: RevisionId, draft: bytes) -> None:
        """A revision means this draft, somewhere: no revision ever means two."""
        drafts = self.drafts[customer, revision_id]
        drafts.add(draft)
        if len(drafts) > 1:
            self.violations.append(f"{customer} {revision_id} means {sorted(drafts)}")

    def see_current(self, process: int, customer: str, revision_id: RevisionId) -> None:
        """A process has this revision now: no process goes back to an earlier one."""
        if revision_id < self.current.get((process, customer), (0, 0)):
            self.violations.append(f"process {process} went back to {revision_id} of {customer}")
        self.current[process, customer] = revision_id

    def confirmed_twice(self, customer: str) -> str | None:
        """A submission becomes one revision, however often it is handed in."""
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

    def of_customer(self, customer: str) -> list[Confirmation]:
        """Return what was confirmed for a customer."""
        return [confirmation for confirmation in self.confirmations if confirmation.customer == customer]


def wrong_in_history(
    history: RevisionHistory, incarnation: int, confirmations: list[Confirmation]
) -> str | None:
    """Return what is wrong with the history that a majority has in the end, in words.

    :param incarnation: of the namespace.
    :param confirmations: of its customer; each must be in the history, unless its namespace was deleted.
    """
    numbers = [entry.number for entry in history.revisions]
    if numbers != list(range(len(numbers), 0, -1)):
        return f"numbers {numbers}"
    submission_ids = [entry.submission_id for entry in history.revisions]
    if len(set(submission_ids)) != len(submission_ids):
        return f"one submission became two revisions: {submission_ids}"
    for confirmation in confirmations:
        confirmed_incarnation, number = confirmation.revision_id
        entry = history.find(number)
        is_lost = entry is None or entry.draft != confirmation.draft
        if confirmed_incarnation > incarnation or (confirmed_incarnation == incarnation and is_lost):
            published = f"{confirmation.revision_id} was told to be published"
            return f"{published}, and {numbers} of {incarnation} are there"
    return None
