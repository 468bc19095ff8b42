"""A model of a publisher that may be superseded at any time, and of the publisher of the next term."""

# Two submissions may each be submitted twice, to either publisher. Changes of the register may arrive late, and their
# answers may be lost. The publishers are the real ones. The register applies a change atomically here; its protocol
# is explored in `register_interleavings`. A change that its leader has abandoned may still arrive until that leader
# reads the register again.

from __future__ import annotations

from collections.abc import Callable, Hashable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from ..config_distribution.publisher import HistoryCallback, Publisher
from ..leadership.effects import Completed, Outcome, StateUpdate
from ..leadership.errors import LeadershipError, LeaseSupersededError, NoMajorityError
from ..leadership.fencing_token import FencingToken
from ..namespaces.errors import NamespaceError
from ..namespaces.policy import PublishingLimits
from ..namespaces.revision_history import Submission, decode_history
from ..namespaces.revision_id import RevisionId

CUSTOMER = "acme"
LEASE = "namespace/acme"
GENERATION = 1
SUBMISSIONS = {
    submission_id: Submission(CUSTOMER, submission_id, -1, "x", submission_id.encode())
    for submission_id in ("s1", "s2")
}
MAX_ATTEMPTS = 2  # Number of times that each submission is submitted.
MAX_REVISIONS = 9
FIRST = "P"  # Leader of the first term.
NEXT = "Q"  # Leader of the next term.
START_NEXT_TERM = f"{NEXT} takes over"


class Confirmation(NamedTuple):
    """A confirmed submission and the number of its revision."""

    submission_id: str
    number: int


@dataclass(frozen=True, slots=True)
class LeaseGeneration:
    """The part of a lease record that a publisher reads."""

    generation: int = GENERATION


@dataclass(slots=True, eq=False)
class PendingChange:
    """A change of the register that a leader has sent.

    Attributes:
        state: New value of the register.
        callback: Called with the outcome. None after the leader has received the outcome or abandoned the change.
        is_applied: Whether the register applied it. None until it has arrived.
    """

    state: bytes
    callback: Callable[[Outcome], None] | None
    is_applied: bool | None = None


class SimulatedLeader:
    """The leader of a term: the lease and the host of a real publisher.

    Attributes:
        name: Name of the lease, as in `LeaseHolder`.
        label: Name of the leader in the moves.
        term: Term of the lease.
        state: Value of the register when the leader acquired the lease.
        record: Lease record, as in `LeaseHolder`.
        changes: Changes in the order in which they were sent.
        reads: Callbacks of pending reads of the register.
        is_superseded: Whether it has learned that the next term has begun.
        publisher: Publisher of the class `PublishModel.publisher_class`.
    """

    name = LEASE

    def __init__(self, model: PublishModel, label: str, term: int, state: bytes) -> None:
        self._model = model
        self.label = label
        self.term = term
        self.state = state
        self.record = LeaseGeneration()
        self.changes: list[PendingChange] = []
        self.reads: list[HistoryCallback] = []
        self.is_superseded = False
        self.publisher = model.publisher_class(self, self)  # type: ignore[arg-type]
        self.publisher.start()

    # ---- `leadership.lease_holder.LeaseHolder` ----

    def submit(self, effect: Any, callback: Callable[[Outcome], None]) -> None:
        """Send a change of the register."""
        assert isinstance(effect, StateUpdate)
        self.changes.append(PendingChange(effect.state, callback))

    # ---- `config_distribution.publisher.PublisherHost` ----

    def check(self, customer: str, draft: bytes, then: Callable[[NamespaceError | None], None]) -> None:
        """Accept every draft."""
        then(None)

    def history(self, customer: str, then: HistoryCallback) -> None:
        """Start a read of the register."""
        self.reads.append(then)

    def published(self, customer: str, revision_id: RevisionId, draft: bytes) -> None:
        """Called when a revision is published."""
        self._model.record_draft(revision_id[1], draft)

    def publishing_limits(self, customer: str) -> PublishingLimits:
        """Return limits that the model never reaches."""
        return PublishingLimits(max_revisions=MAX_REVISIONS)

    def ended(self, publisher: Publisher) -> None:
        """Called when the publisher has ended; nothing to do."""

    def unix_ms(self) -> int:
        """Return a constant wall-clock time."""
        return 0

    # ---- moves ----

    def supersede(self) -> None:
        """Notify the publisher that the next term has begun."""
        self.is_superseded = True
        self.publisher.stop(LeaseSupersededError(LEASE, self.term, None, self.term + 1))

    def abandon_late_changes(self) -> None:
        """Drop the changes that this leader has abandoned and that have not arrived yet."""
        for change in self.changes:
            if change.is_applied is None and change.callback is None:
                change.is_applied = False

    def fingerprint(self) -> Hashable:
        """Return a value that is equal for equivalent leaders."""
        return (
            self.label,
            self.is_superseded,
            self.publisher._history,
            tuple(submission.submission_id for submission, _ in self.publisher._waiting),
            len(self.reads),
            tuple((change.state, change.callback is None, change.is_applied) for change in self.changes),
        )


@dataclass(slots=True)
class PublishModel:
    """A state of the model, see `explorer.Model`.

    Publishers contain callbacks, so a state is copied by repeating all moves that lead to it.

    Attributes:
        publisher_class: Class of the publishers.
        path: Moves that lead to this state.
        term: Term of the register.
        state: Value of the register.
        attempts: Number of times that each submission was submitted.
        drafts: Draft of each revision number.
        confirmations: Confirmations in order.
        failure: Description of the violated invariant, or None.
        leaders: Leaders by label.
    """

    # Tests replace this class by one with a deliberate mistake.
    publisher_class: type[Publisher] = Publisher
    path: tuple[str, ...] = ()
    term: int = 1
    state: bytes = b""
    attempts: dict[str, int] = field(default_factory=lambda: dict.fromkeys(SUBMISSIONS, 0))
    drafts: dict[int, bytes] = field(default_factory=dict)
    confirmations: list[Confirmation] = field(default_factory=list)
    failure: str | None = None
    leaders: dict[str, SimulatedLeader] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.leaders[FIRST] = SimulatedLeader(self, FIRST, self.term, self.state)

    def copy(self) -> PublishModel:
        """Return a copy that shares no data that a move changes."""
        new = PublishModel(self.publisher_class)
        for move in self.path:
            new.apply(move)
        return new

    def record_draft(self, number: int, draft: bytes) -> None:
        """Record a draft that was published, confirmed or stored as a revision; check that it has no other draft."""
        if self.drafts.setdefault(number, draft) != draft:
            self.failure = f"revision {number} has two drafts: {self.drafts[number]!r} and {draft!r}"

    # ---- moves ----

    def moves(self) -> list[str]:
        """Return the names of all moves that are possible now."""
        if self.failure:
            return []
        names = [] if NEXT in self.leaders else [START_NEXT_TERM]
        for leader in self.leaders.values():
            if not leader.is_superseded:
                names += self._leader_moves(leader)
            for index, change in enumerate(leader.changes):
                names += self._change_moves(leader, index, change)
        return names

    def _leader_moves(self, leader: SimulatedLeader) -> list[str]:
        names = [
            f"{submission_id} to {leader.label}"
            for submission_id, count in self.attempts.items()
            if count < MAX_ATTEMPTS
        ]
        if leader.reads:
            names.append(f"{leader.label} reads")
        return names

    @staticmethod
    def _change_moves(leader: SimulatedLeader, index: int, change: PendingChange) -> list[str]:
        names: list[str] = []
        if change.is_applied is None:
            names.append(f"{leader.label} change {index} arrives")
        if change.callback is not None and not leader.is_superseded:
            if change.is_applied is not None:
                names.append(f"{leader.label} receives {index}")
            names.append(f"{leader.label} abandons {index}")
        return names

    def apply(self, name: str) -> None:
        """Make a move."""
        self.path = (*self.path, name)
        subject, verb, *rest = name.split()
        if name == START_NEXT_TERM:
            self.term += 1
            self.leaders[NEXT] = SimulatedLeader(self, NEXT, self.term, self.state)
        elif subject in SUBMISSIONS:
            self._submit(subject, self.leaders[rest[0]])
        elif verb == "reads":
            self._read(self.leaders[subject])
        elif verb == "change":
            self._arrive(self.leaders[subject], int(rest[0]))
        else:
            self._answer(self.leaders[subject], int(rest[0]), is_lost=verb == "abandons")

    def _submit(self, submission_id: str, leader: SimulatedLeader) -> None:
        self.attempts[submission_id] += 1
        leader.publisher.submit(
            SUBMISSIONS[submission_id], lambda result: self._on_result(submission_id, result)
        )

    def _on_result(self, submission_id: str, result: RevisionId | NamespaceError | LeadershipError) -> None:
        if isinstance(result, Exception):
            return
        number = result[1]
        self.confirmations.append(Confirmation(submission_id, number))
        self.record_draft(number, submission_id.encode())

    def _read(self, leader: SimulatedLeader) -> None:
        # A majority has promised a later ballot to the read, so changes that the leader has abandoned no longer arrive.
        leader.abandon_late_changes()
        callback = leader.reads.pop(0)
        callback((GENERATION, decode_history(self.state, CUSTOMER)))

    def _arrive(self, leader: SimulatedLeader, index: int) -> None:
        change = leader.changes[index]
        change.is_applied = leader.term == self.term
        if not change.is_applied:
            return
        self.state = change.state
        current = decode_history(self.state, CUSTOMER).current
        if current is not None:
            self.record_draft(current.number, current.draft)

    def _answer(self, leader: SimulatedLeader, index: int, is_lost: bool) -> None:
        change = leader.changes[index]
        callback = change.callback
        assert callback is not None
        change.callback = None
        if is_lost:
            callback(NoMajorityError(LEASE))
        elif change.is_applied:
            callback(Completed(FencingToken(GENERATION, leader.term, 1)))
        else:
            leader.supersede()

    # ---- invariants ----

    def fingerprint(self) -> Hashable:
        """Return a value that is equal for equivalent states."""
        return (
            self.term,
            self.state,
            tuple(self.attempts.values()),
            tuple(sorted(set(self.confirmations))),
            tuple(leader.fingerprint() for leader in self.leaders.values()),
        )

    def violation(self) -> str | None:
        """Return a description of the invariant that this state violates, or None."""
        if self.failure:
            return self.failure
        history = decode_history(self.state, CUSTOMER)
        submission_ids = [entry.submission_id for entry in history.revisions]
        if len(set(submission_ids)) != len(submission_ids):
            return f"one submission became two revisions: {submission_ids}"
        numbers = [entry.number for entry in history.revisions]
        if numbers != list(range(len(numbers), 0, -1)):
            return f"revision numbers are not consecutive from 1: {numbers}"
        for confirmation in self.confirmations:
            entry = history.find(confirmation.number)
            if entry is None or entry.submission_id != confirmation.submission_id:
                return f"{tuple(confirmation)} was confirmed but is missing"
        return None
