"""Forwarding of submissions from one member to the leader of the customer's lease, with retries until it answers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..leadership.directory import Reading
from ..leadership.errors import (
    LeaderBusyError,
    LeadershipError,
    LeaseSupersededError,
    NoMajorityError,
    UnknownLeaseError,
)
from ..leadership.lease_record import LeaseStatus
from ..leadership.participant import Participant
from ..namespaces.errors import UnknownCustomerError
from ..namespaces.policy import Grant
from ..namespaces.revision_history import Submission
from ..time_units import MS
from .errors import DistributionError, error_from_wire
from .messages import SubmitDraft, SubmitResult
from .publisher import KIND, RevisionCallback, duty_of
from .services import Member

SUBMIT_TIMEOUT_US = 8_000 * MS
LEADER_TIMEOUT_US = 1_500 * MS  # If there is no answer in this time, the leader is looked up again.
RETRY_PAUSE_US = 100 * MS
MAX_SUBMISSIONS = 256  # Maximum number of pending submissions at this member.


@dataclass(slots=True, eq=False)
class _PendingSubmission:
    """One submission without an answer yet.

    Attributes:
        attempt: Number of the attempt, by which timers and look-ups of earlier attempts are recognized.
        lease_created: Whether this member has requested the creation of the customer's lease.
        last_error: Why the submission has not been published yet.
    """

    submission: Submission
    callback: RevisionCallback
    deadline_us: int
    attempt: int = 0
    lease_created: bool = False
    last_error: DistributionError | None = None


class SubmissionForwarder:
    """Forwards submissions to the leaders of their customers' leases."""

    def __init__(
        self,
        member: Member,
        participant: Participant,
        grant_of: Callable[[str], Grant | None],
        first_serial: int,
    ) -> None:
        """Initialize; `grant_of` returns None for a name that is not a customer's."""
        self._member = member
        self._directory = participant.directory
        self._grant_of = grant_of
        # Serials start at the process's incarnation, so that an answer to an earlier process of this seat matches no
        # submission of this one.
        self._serial = first_serial
        self._pending: dict[int, _PendingSubmission] = {}

    def submit(self, submission: Submission, callback: RevisionCallback) -> None:
        """Forward a submission, and call `callback` once with its revision or with an error.

        Attempts end after `SUBMIT_TIMEOUT_US`. The submission may still be published later, so a retry must use the
        same id.
        """
        customer = submission.customer
        if self._grant_of(customer) is None:
            callback(UnknownCustomerError(f"{customer!r} is no customer in this runner's settings"))
            return
        if len(self._pending) >= MAX_SUBMISSIONS:
            callback(LeaderBusyError(f"{MAX_SUBMISSIONS} submissions wait at this runner"))
            return
        self._serial += 1
        deadline_us = self._member.now() + SUBMIT_TIMEOUT_US
        self._pending[self._serial] = _PendingSubmission(submission, callback, deadline_us)
        self._attempt(self._serial)

    def _attempt(self, serial: int) -> None:
        """Look up the leader and forward the submission, unless its deadline has passed."""
        pending = self._pending.get(serial)
        if pending is None:
            return
        name = duty_of(pending.submission.customer)
        if self._member.now() >= pending.deadline_us:
            del self._pending[serial]
            pending.callback(pending.last_error or NoMajorityError(name))
            return
        pending.attempt += 1
        attempt = pending.attempt

        def on_lookup(result: Reading | LeadershipError) -> None:
            if self._pending.get(serial) is pending and pending.attempt == attempt:
                self._forward(serial, pending, result)

        self._directory.read(name, on_lookup, state=False)

    def _forward(self, serial: int, pending: _PendingSubmission, result: Reading | LeadershipError) -> None:
        name = duty_of(pending.submission.customer)
        if isinstance(result, UnknownLeaseError):
            if not pending.lease_created:
                pending.lease_created = True
                attempt = pending.attempt
                self._directory.create(
                    name, KIND, lambda created: self._retry_after(0, serial, pending, attempt)
                )
                return
            self._retry_after(RETRY_PAUSE_US, serial, pending, pending.attempt)
            return
        if isinstance(result, LeadershipError):
            pending.last_error = result
            self._retry_after(RETRY_PAUSE_US, serial, pending, pending.attempt)
            return
        record = result.record
        if record.status == LeaseStatus.HELD and record.holder is not None:
            self._member.send(record.holder.seat, SubmitDraft(serial, pending.submission))
            self._retry_after(LEADER_TIMEOUT_US, serial, pending, pending.attempt)
            return
        status = LeaseStatus(record.status).api_name
        pending.last_error = LeaderBusyError(f"{name}: nobody has it at this time ({status})")
        self._retry_after(RETRY_PAUSE_US, serial, pending, pending.attempt)

    def _retry_after(self, pause_us: int, serial: int, pending: _PendingSubmission, attempt: int) -> None:
        """Retry after a pause, unless the submission is answered or another attempt has started by then."""

        def retry() -> None:
            if self._pending.get(serial) is pending and pending.attempt == attempt:
                self._attempt(serial)

        self._member.call_at(self._member.now() + pause_us, retry)

    def on_result(self, seat: str, message: SubmitResult) -> None:
        """Process a leader's answer.

        Retries the submission if the leader was superseded, was busy or had no majority. Any other error is final.
        """
        pending = self._pending.get(message.serial)
        if pending is None:
            return
        if not message.error:
            del self._pending[message.serial]
            pending.callback(message.revision_id)
            return
        error = error_from_wire(message.error, message.error_text)
        if isinstance(error, (LeaderBusyError, NoMajorityError, LeaseSupersededError)):
            pending.last_error = error
            pending.attempt += 1
            self._retry_after(RETRY_PAUSE_US, message.serial, pending, pending.attempt)
            return
        del self._pending[message.serial]
        pending.callback(error)
