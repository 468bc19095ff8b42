"""Publication of submissions as revisions, one at a time, by the holder of the lease `namespace/<customer>`."""

# A revision is published once a majority of the register's replicas has accepted it in this leader's term. Neither
# clients nor other members are notified earlier. If the outcome of an attempt is unknown, the register is read before
# the next attempt, so that no number is ever used for two drafts.

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

KIND = "namespace"  # Kind of the lease in its record.
LEASE_PREFIX = "namespace/"
MAX_WAITING = 16  # Maximum number of waiting submissions per customer.
RevisionCallback = Callable[[RevisionId | DistributionError], None]
# Called with the namespace's incarnation and its history, or with an error.
HistoryCallback = Callable[[tuple[int, RevisionHistory] | LeadershipError], None]


def duty_of(customer: str) -> str:
    """Return the name of the lease whose leader publishes for a customer."""
    return LEASE_PREFIX + customer


class PublisherHost(Protocol):
    """The interface of the leading member that a publisher uses."""

    def check(self, customer: str, draft: bytes, callback: Callable[[NamespaceError | None], None]) -> None:
        """Check a draft, and call `callback` with the error, or None if the draft is valid."""
        ...

    def history(self, customer: str, callback: HistoryCallback) -> None:
        """Read the customer's history from a majority of the register."""
        ...

    def published(self, customer: str, revision_id: RevisionId, draft: bytes) -> None:
        """Called when a revision has been published, to distribute it."""
        ...

    def publishing_limits(self, customer: str) -> PublishingLimits:
        """Return the customer's limits on publishing and retaining revisions."""
        ...

    def ended(self, publisher: Publisher) -> None:
        """Called when the publisher's term has ended."""
        ...

    def unix_ms(self) -> int:
        """Return the wall-clock time (Unix ms)."""
        ...


class Publisher:
    """Publishes one customer's revisions while its lease is held (`leadership.worker.Worker`).

    Attributes:
        lease: Holder of the lease, which changes the lease's state.
        host: The leading member.
        customer: Name of the customer.
        incarnation: Incarnation of the namespace.
    """

    def __init__(self, lease: LeaseHolder, host: PublisherHost) -> None:
        self.lease = lease
        self.host = host
        self.customer = lease.name.removeprefix(LEASE_PREFIX)
        self.incarnation = lease.record.generation
        # None if unknown: the register must be read before the next submission is processed.
        self._history: RevisionHistory | None = None
        # The first submission is being published.
        self._waiting: deque[tuple[Submission, RevisionCallback]] = deque()
        self._stop_reason: LeadershipError | None = None
        self._stopped = False

    # ---- leadership.worker.Worker ----

    def start(self) -> None:
        """Distribute the current revision again, because the previous leader may have failed before doing so."""
        try:
            self._history = decode_history(self.lease.state, self.customer)
        except ValueError:
            return
        if (entry := self._history.current) is not None:
            self.host.published(self.customer, (self.incarnation, entry.number), entry.draft)

    def before_release(self) -> None:
        """Do nothing: no state has to be written before the lease is released."""

    def stop(self, reason: LeadershipError | None) -> None:
        """Fail all waiting submissions with `reason`, or with `LeaderBusyError` if the lease is being released."""
        self._stopped = True
        self._stop_reason = reason
        self.host.ended(self)
        waiting = list(self._waiting)
        self._waiting.clear()
        for _, callback in waiting:
            callback(reason or self._lease_released_error())

    def _lease_released_error(self) -> LeaderBusyError:
        return LeaderBusyError(f"{self.lease.name}: it is being given to another")

    # ---- submissions, one at a time ----

    def submit(self, submission: Submission, callback: RevisionCallback) -> None:
        """Publish a submission, and call `callback` once with its revision or with an error.

        After some errors (`NoMajorityError`, `LeaderBusyError`) the submission may still have been published.
        """
        if self._stopped or submission.customer != self.customer:
            callback(self._stop_reason or self._lease_released_error())
            return
        if len(self._waiting) >= MAX_WAITING:
            callback(LeaderBusyError(f"{self.lease.name}: {MAX_WAITING} submissions wait already"))
            return
        self._waiting.append((submission, callback))
        if len(self._waiting) == 1:
            self._process_first()

    def _process_first(self) -> None:
        if self._history is not None:
            self._evaluate(self._history)
            return

        def on_read(result: tuple[int, RevisionHistory] | LeadershipError) -> None:
            if self._stopped:
                return
            if isinstance(result, LeadershipError):
                self._finish_first(result)
                return
            incarnation, history = result
            if incarnation != self.incarnation:
                self._finish_first(self._lease_released_error())
                return
            self._history = history
            self._evaluate(history)

        self.host.history(self.customer, on_read)

    def _evaluate(self, history: RevisionHistory) -> None:
        """Check the first submission against the history, and publish it."""
        submission = self._waiting[0][0]
        # A submission that is already in the history is a retry after a lost answer.
        if (published := history.find_submission(submission.submission_id)) is not None:
            self._finish_first((self.incarnation, published.number))
            return
        try:
            draft = draft_to_publish(history, submission)
        except NamespaceError as exc:
            self._finish_first(exc)
            return

        def on_checked(error: NamespaceError | None) -> None:
            if self._stopped:
                return
            if error is not None:
                self._finish_first(error)
                return
            self._publish(history, submission, draft)

        self.host.check(self.customer, draft, on_checked)

    def _publish(self, history: RevisionHistory, submission: Submission, draft: bytes) -> None:
        try:
            limits = self.host.publishing_limits(self.customer)
            updated = add_revision(history, submission, draft, self.host.unix_ms(), limits)
        except NamespaceError as exc:
            self._finish_first(exc)
            return

        def on_outcome(outcome: Outcome) -> None:
            if self._stopped:
                return
            if isinstance(outcome, Completed):
                self._history = updated
                revision_id = (self.incarnation, updated.current_number)
                self.host.published(self.customer, revision_id, draft)
                self._finish_first(revision_id)
                return
            if isinstance(outcome, (NoMajorityError, LeaderBusyError)):
                # The register may still accept this change. If the next draft were added to the old history, the two
                # revisions could get the same number. So the next draft is processed only after the register has been
                # read again. That read also prevents the register from accepting this change later.
                self._history = None
            self._finish_first(outcome)

        self.lease.submit(StateUpdate(encode_history(updated)), on_outcome)

    def _finish_first(self, result: RevisionId | DistributionError) -> None:
        """Report the result of the first submission, and process the next one."""
        if self._stopped:
            return
        _, callback = self._waiting.popleft()
        callback(result)
        if self._waiting and not self._stopped:
            self._process_first()
