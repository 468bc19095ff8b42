"""The work of the lease `namespace/<customer>`: submissions become revisions, one after the other.

A revision is published once a majority of the register has accepted it in this leader's term; only then is anybody
notified. Where the outcome of an attempt is unknown, the register is read before the next attempt, so that one number
never means two drafts.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

from ..leadership.effects import Completed, Outcome, StateUpdate
from ..leadership.errors import LeaderBusyError, LeadershipError, NoMajorityError
from ..leadership.lease_holder import LeaseHolder
from ..namespaces.errors import NamespaceError
from ..namespaces.policy import PublishingLimits
from ..namespaces.revision_history import (
    RevisionHistory,
    Submission,
    add_revision,
    decode_history,
    draft_to_publish,
    encode_history,
)
from ..namespaces.revision_id import RevisionId
from .errors import DistributionError

KIND = "namespace"
PREFIX = "namespace/"
MAX_WAITING = 16  # submissions a customer
Answer = Callable[[RevisionId | DistributionError], None]
HistoryCallback = Callable[
    [tuple[int, RevisionHistory] | LeadershipError], None
]  # with the namespace's incarnation


def duty_of(customer: str) -> str:
    """Return the name of the lease whose leader publishes for a customer."""
    return PREFIX + customer


class PublisherHost(Protocol):
    """What a publisher uses of the member that leads."""

    def check(self, customer: str, draft: bytes, then: Callable[[NamespaceError | None], None]) -> None:
        """Call `then` with what is wrong with a draft, or None."""
        ...

    def history(self, customer: str, then: HistoryCallback) -> None:
        """Read the customer's history from a majority of the register."""
        ...

    def published(self, customer: str, revision_id: RevisionId, draft: bytes) -> None:
        """A revision has been published: distribute it."""
        ...

    def publishing_limits(self, customer: str) -> PublishingLimits:
        """Return how much may be published and retained."""
        ...

    def ended(self, publisher: Publisher) -> None:
        """The publisher's term is over."""
        ...

    def unix_ms(self) -> int:
        """Return the wall-clock time."""
        ...


class Publisher:
    """Publishes one customer's revisions while its lease is held (`leadership.worker.Worker`).

    lease: LeaseHolder, through which the state is changed.
    customer: str, whose revisions.
    incarnation: int, of the namespace.
    """

    def __init__(self, lease: LeaseHolder, host: PublisherHost) -> None:
        self.lease = lease
        self.host = host
        self.customer = lease.name.removeprefix(PREFIX)
        self.incarnation = lease.record.generation
        self._history: RevisionHistory | None = (
            None  # None: unknown, the register is read before the next submission is judged
        )
        self._waiting: deque[tuple[Submission, Answer]] = deque()  # the first one is being published
        self._stop_reason: LeadershipError | None = None
        self._stopped = False

    # ---- leadership.worker.Worker ----

    def start(self) -> None:
        """Distribute the current revision again: the previous leader may have died before all had it."""
        try:
            self._history = decode_history(self.lease.state, self.customer)
        except ValueError:
            return
        if (entry := self._history.current) is not None:
            self.host.published(self.customer, (self.incarnation, entry.number), entry.draft)

    def before_release(self) -> None:
        """Nothing has to be written before the lease is released."""

    def stop(self, why: LeadershipError | None) -> None:
        """Fail all waiting submissions with `why`, or `Busy` where the lease is released."""
        self._stopped = True
        self._stop_reason = why
        self.host.ended(self)
        waiting = list(self._waiting)
        self._waiting.clear()
        for _, then in waiting:
            then(why or self._being_released())

    def _being_released(self) -> LeaderBusyError:
        return LeaderBusyError(f"{self.lease.name}: it is being given to another")

    # ---- submissions, one after the other ----

    def submit(self, submission: Submission, then: Answer) -> None:
        """Publish; call `then` once with the revision, or with why it was not published as far as is known here."""
        if self._stopped or submission.customer != self.customer:
            then(self._stop_reason or self._being_released())
            return
        if len(self._waiting) >= MAX_WAITING:
            then(LeaderBusyError(f"{self.lease.name}: {MAX_WAITING} submissions wait already"))
            return
        self._waiting.append((submission, then))
        if len(self._waiting) == 1:
            self._process_first()

    def _process_first(self) -> None:
        if self._history is not None:
            self._judge(self._history)
            return

        def read(got: tuple[int, RevisionHistory] | LeadershipError) -> None:
            if self._stopped:
                return
            if isinstance(got, LeadershipError):
                self._done(got)
                return
            incarnation, history = got
            if incarnation != self.incarnation:
                self._done(self._being_released())
                return
            self._history = history
            self._judge(history)

        self.host.history(self.customer, read)

    def _judge(self, history: RevisionHistory) -> None:
        """Check the first submission against the history, and publish it."""
        submission = self._waiting[0][0]
        if (
            before := history.find_submission(submission.submission_id)
        ) is not None:  # a retry: the answer was lost
            self._done((self.incarnation, before.number))
            return
        try:
            draft = draft_to_publish(history, submission)
        except NamespaceError as exc:
            self._done(exc)
            return

        def checked(error: NamespaceError | None) -> None:
            if self._stopped:
                return
            if error is not None:
                self._done(error)
                return
            self._publish(history, submission, draft)

        self.host.check(self.customer, draft, checked)

    def _publish(self, history: RevisionHistory, submission: Submission, draft: bytes) -> None:
        try:
            limits = self.host.publishing_limits(self.customer)
            updated = add_revision(history, submission, draft, self.host.unix_ms(), limits)
        except NamespaceError as exc:
            self._done(exc)
            return

        def finished(outcome: Outcome) -> None:
            if self._stopped:
                return
            if isinstance(outcome, Completed):
                self._history = updated
                revision_id = (self.incarnation, updated.current_number)
                self.host.published(self.customer, revision_id, draft)
                self._done(revision_id)
                return
            if isinstance(outcome, (NoMajorityError, LeaderBusyError)):
                # The change may still be accepted. Judged by the old history, the next draft would get the same number:
                # the register is read first, which also prevents the change from being accepted afterwards.
                self._history = None
            self._done(outcome)

        self.lease.submit(StateUpdate(encode_history(updated)), finished)

    def _done(self, answer: RevisionId | DistributionError) -> None:
        if self._stopped:
            return
        _, then = self._waiting.popleft()
        then(answer)
        if self._waiting and not self._stopped:
            self._process_first()
