"""Every interleaving of a publisher that may be superseded at any moment, and the publisher of the next term.

Two submissions are handed in again anywhere; changes of the register arrive late, or their answer is lost. The
publishers are the real ones. The register takes a change at one moment here (`register_interleavings` walks how it does
that). A change that its leader has given up may arrive yet, until that leader has read the register again.
"""

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
MAX_HANDED_IN = 2  # times that each submission is
MAX_REVISIONS = 9
FIRST = "P"  # the leader of the first term
NEXT = "Q"
NEXT_LEADS = f"{NEXT} takes over"


class Confirmation(NamedTuple):
    """A submission that was confirmed, and the number of its revision."""

    submission_id: str
    number: int


@dataclass(frozen=True, slots=True)
class LeaseGeneration:
    """What a publisher reads of its lease record."""

    generation: int = GENERATION


@dataclass(slots=True, eq=False)
class PendingChange:
    """A change of the register that a leader has sent.

    Attributes:
        state: `bytes`, what the register is to hold.
        callback: gets the outcome; None once the leader has heard it, or has given the change up.
        is_applied: whether the register took it; None until it has arrived.
    """

    state: bytes
    callback: Callable[[Outcome], None] | None
    is_applied: bool | None = None


class SimulatedLeader:
    """A leader in its term: the lease and the host of a real publisher.

    Attributes:
        name: of its lease, as `LeaseHolder`.
        who: `str`, its name in the moves.
        term: `int`.
        state: `bytes`, what the register held as it acquired the lease.
        record: as `LeaseHolder`.
        changes: `PendingChange`s, in the order in which they were sent.
        reads: callbacks of reads of the register that are under way.
        is_over: `bool`, it has heard that it is superseded.
        publisher: the real one, or one with a seeded mistake.
    """

    name = LEASE

    def __init__(self, model: PublishModel, who: str, term: int, state: bytes) -> None:
        self._model = model
        self.who = who
        self.term = term
        self.state = state
        self.record = LeaseGeneration()
        self.changes: list[PendingChange] = []
        self.reads: list[HistoryCallback] = []
        self.is_over = False
        self.publisher = model.publisher_class(self, self)  # type: ignore[arg-type]
        self.publisher.start()

    # ---- `leadership.lease_holder.LeaseHolder` ----

    def submit(self, effect: Any, callback: Callable[[Outcome], None]) -> None:
        """Send a change of the register."""
        assert isinstance(effect, StateUpdate)
        self.changes.append(PendingChange(effect.state, callback))

    # ---- `config_distribution.publisher.PublisherHost` ----

    def check(self, customer: str, draft: bytes, then: Callable[[NamespaceError | None], None]) -> None:
        """Every draft is right."""
        then(None)

    def history(self, customer: str, then: HistoryCallback) -> None:
        """Begin a read of the register."""
        self.reads.append(then)

    def published(self, customer: str, revision_id: RevisionId, draft: bytes) -> None:
        """A revision is published."""
        self._model.see_draft(revision_id[1], draft)

    def publishing_limits(self, customer: str) -> PublishingLimits:
        """Return limits that nothing here comes to."""
        return PublishingLimits(max_revisions=MAX_REVISIONS)

    def ended(self, publisher: Publisher) -> None:
        """Nobody waits for it here."""

    def unix_ms(self) -> int:
        """Return the wall-clock time, which stands still."""
        return 0

    # ---- moves ----

    def supersede(self) -> None:
        """It hears that the next term has begun."""
        self.is_over = True
        self.publisher.stop(LeaseSupersededError(LEASE, self.term, None, self.term + 1))

    def abandon_late_changes(self) -> None:
        """What this leader has given up, and has not arrived yet, never will."""
        for change in self.changes:
            if change.is_applied is None and change.callback is None:
                change.is_applied = False

    def fingerprint(self) -> Hashable:
        """The same for leaders that can't be told apart."""
        return (
            self.who,
            self.is_over,
            self.publisher._history,
            tuple(submission.submission_id for submission, _ in self.publisher._waiting),
            len(self.reads),
            tuple((change.state, change.callback is None, change.is_applied) for change in self.changes),
        )


@dataclass(slots=True)
class PublishModel:
    """A state of what is explored, see `explorer.Model`.

    Publishers hold callbacks, so a state is copied by making all moves that lead to it again.

    Attributes:
        publisher_class: the real one, or one with a seeded mistake.
        path: the moves that lead to this state.
        term: `int`, of the register.
        state: `bytes`, what the register holds.
        handed_in: by submission, how often it was handed in.
        drafts: by number of a revision, its draft.
        confirmations: in order.
        failure: what is violated, in words, or None.
        leaders: by name.
    """

    publisher_class: type[Publisher] = Publisher
    path: tuple[str, ...] = ()
    term: int = 1
    state: bytes = b""
    handed_in: dict[str, int] = field(default_factory=lambda: dict.fromkeys(SUBMISSIONS, 0))
    drafts: dict[int, bytes] = field(default_factory=dict)
    confirmations: list[Confirmation] = field(default_factory=list)
    failure: str | None = None
    leaders: dict[str, SimulatedLeader] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.leaders[FIRST] = SimulatedLeader(self, FIRST, self.term, self.state)

    def copy(self) -> PublishModel:
        """Return a copy that moves by itself."""
        new = PublishModel(self.publisher_class)
        for move in self.path:
            new.apply(move)
        return new

    def see_draft(self, number: int, draft: bytes) -> None:
        """A revision means this draft, somewhere: none ever means two."""
        if self.drafts.setdefault(number, draft) != draft:
            self.failure = f"{number} means {self.drafts[number]!r} and {draft!r}"

    # ---- moves ----

    def moves(self) -> list[str]:
        """Return the names of all moves that are possible now."""
        if self.failure:
            return []
        names = [] if NEXT in self.leaders else [NEXT_LEADS]
        for leader in self.leaders.values():
            if not leader.is_over:
                names += self._leader_moves(leader)
            for index, change in enumerate(leader.changes):
                names += self._change_moves(leader, index, change)
        return names

    def _leader_moves(self, leader: SimulatedLeader) -> list[str]:
        names = [
            f"{submission_id} to {leader.who}"
            for submission_id, count in self.handed_in.items()
            if count < MAX_HANDED_IN
        ]
        if leader.reads:
            names.append(f"{leader.who} reads")
        return names

    @staticmethod
    def _change_moves(leader: SimulatedLeader, index: int, change: PendingChange) -> list[str]:
        names: list[str] = []
        if change.is_applied is None:
            names.append(f"{leader.who} change {index} arrives")
        if change.callback is not None and not leader.is_over:
            if change.is_applied is not None:
                names.append(f"{leader.who} hears {index}")
            names.append(f"{leader.who} drops {index}")
        return names

    def apply(self, name: str) -> None:
        """Make a move."""
        self.path = (*self.path, name)
        subject, verb, *rest = name.split()
        if name == NEXT_LEADS:
            self.term += 1
            self.leaders[NEXT] = SimulatedLeader(self, NEXT, self.term, self.state)
        elif subject in SUBMISSIONS:
            self._hand_in(subject, self.leaders[rest[0]])
        elif verb == "reads":
            self._read(self.leaders[subject])
        elif verb == "change":
            self._arrive(self.leaders[subject], int(rest[0]))
        else:
            self._answer(self.leaders[subject], int(rest[0]), is_lost=verb == "drops")

    def _hand_in(self, submission_id: str, leader: SimulatedLeader) -> None:
        self.handed_in[submission_id] += 1
        leader.publisher.submit(
            SUBMISSIONS[submission_id], lambda result: self._on_result(submission_id, result)
        )

    def _on_result(self, submission_id: str, result: RevisionId | NamespaceError | LeadershipError) -> None:
        if isinstance(result, Exception):
            return
        number = result[1]
        self.confirmations.append(Confirmation(submission_id, number))
        self.see_draft(number, submission_id.encode())

    def _read(self, leader: SimulatedLeader) -> None:
        """A majority has promised a later ballot by then: what its leader has given up does not arrive any more."""
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
            self.see_draft(current.number, current.draft)

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
        """The same for states that can't be told apart."""
        return (
            self.term,
            self.state,
            tuple(self.handed_in.values()),
            tuple(sorted(set(self.confirmations))),
            tuple(leader.fingerprint() for leader in self.leaders.values()),
        )

    def violation(self) -> str | None:
        """Return what is violated in this state, in words."""
        if self.failure:
            return self.failure
        history = decode_history(self.state, CUSTOMER)
        submission_ids = [entry.submission_id for entry in history.revisions]
        if len(set(submission_ids)) != len(submission_ids):
            return f"one submission became two revisions: {submission_ids}"
        numbers = [entry.number for entry in history.revisions]
        if numbers != list(range(len(numbers), 0, -1)):
            return f"numbers {numbers}"
        for confirmation in self.confirmations:
            entry = history.find(confirmation.number)
            if entry is None or entry.submission_id != confirmation.submission_id:
                return f"{tuple(confirmation)} was told, and is not there"
        return None
