"""Submissions at one member: forwarded to the leader of the customer's lease, and retried until it answers."""

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
from .publisher import KIND, Answer, duty_of
from .services import Member

SUBMIT_TIMEOUT_US = 8_000 * MS
LEADER_TIMEOUT_US = 1_500 * MS  # without an answer the leader is looked up again
RETRY_PAUSE_US = 100 * MS
MAX_SUBMISSIONS = 256  # at this member


@dataclass(slots=True, eq=False)
class _Forwarded:
    """One submission that waits for its answer.

    attempt: grows with each one; a timer or an answer of an earlier attempt is recognized by it.
    lease_created: this member has asked for the customer's lease to be created.
    last_error: why it has not been published yet.
    """

    submission: Submission
    then: Answer
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
        """`grant_of`: None for who is no customer. `first_serial`: the process's incarnation, so that an answer to an
        earlier process of this seat matches no submission of this one.
        """
        self._member = member
        self._directory = participant.directory
        self._grant_of = grant_of
        self._serial = first_serial
        self._forwarded: dict[int, _Forwarded] = {}

    def submit(self, submission: Submission, then: Answer) -> None:
        """Call `then` once with the published revision, or with why there is none.

        Given up after `SUBMIT_TIMEOUT_US`; then it may be published yet, and a retry with the same id is safe.
        """
        customer = submission.customer
        if self._grant_of(customer) is None:
            then(UnknownCustomerError(f"{customer!r} is no customer in this runner's settings"))
            return
        if len(self._forwarded) >= MAX_SUBMISSIONS:
            then(LeaderBusyError(f"{MAX_SUBMISSIONS} submissions wait at this runner"))
            return
        self._serial += 1
        deadline_us = self._member.now() + SUBMIT_TIMEOUT_US
        self._forwarded[self._serial] = _Forwarded(submission, then, deadline_us)
        self._attempt(self._serial)

    def _attempt(self, serial: int) -> None:
        """Look up the leader, and forward the submission to it."""
        forwarded = self._forwarded.get(serial)
        if forwarded is None:
            return
        name = duty_of(forwarded.submission.customer)
        if self._member.now() >= forwarded.deadline_us:
            del self._forwarded[serial]
            forwarded.then(forwarded.last_error or NoMajorityError(name))
            return
        forwarded.attempt += 1
        attempt = forwarded.attempt

        def looked_up(got: Reading | LeadershipError) -> None:
            if self._forwarded.get(serial) is forwarded and forwarded.attempt == attempt:
                self._forward(serial, forwarded, got)

        self._directory.read(name, looked_up, state=False)

    def _forward(self, serial: int, forwarded: _Forwarded, got: Reading | LeadershipError) -> None:
        name = duty_of(forwarded.submission.customer)
        if isinstance(got, UnknownLeaseError):
            if not forwarded.lease_created:
                forwarded.lease_created = True
                attempt = forwarded.attempt
                self._directory.create(
                    name, KIND, lambda made: self._retry_after(0, serial, forwarded, attempt)
                )
                return
            self._retry_after(RETRY_PAUSE_US, serial, forwarded, forwarded.attempt)
            return
        if isinstance(got, LeadershipError):
            forwarded.last_error = got
            self._retry_after(RETRY_PAUSE_US, serial, forwarded, forwarded.attempt)
            return
        record = got.record
        if record.status == LeaseStatus.HELD and record.holder is not None:
            self._member.send(record.holder.seat, SubmitDraft(serial, forwarded.submission))
            self._retry_after(LEADER_TIMEOUT_US, serial, forwarded, forwarded.attempt)
            return
        status = LeaseStatus(record.status).api_name
        forwarded.last_error = LeaderBusyError(f"{name}: nobody has it at this time ({status})")
        self._retry_after(RETRY_PAUSE_US, serial, forwarded, forwarded.attempt)

    def _retry_after(self, pause_us: int, serial: int, forwarded: _Forwarded, attempt: int) -> None:
        """Retry after the pause, unless the submission is answered or another attempt has begun by then."""

        def retry() -> None:
            if self._forwarded.get(serial) is forwarded and forwarded.attempt == attempt:
                self._attempt(serial)

        self._member.call_at(self._member.now() + pause_us, retry)

    def on_result(self, seat: str, message: SubmitResult) -> None:
        """A leader has answered. One that leads no more, or is busy, is retried; any other error is final."""
        forwarded = self._forwarded.get(message.serial)
        if forwarded is None:
            return
        if not message.error:
            del self._forwarded[message.serial]
            forwarded.then(message.revision_id)
            return
        error = error_from_wire(message.error, message.error_text)
        if isinstance(error, (LeaderBusyError, NoMajorityError, LeaseSupersededError)):
            forwarded.last_error = error
            forwarded.attempt += 1
            self._retry_after(RETRY_PAUSE_US, message.serial, forwarded, forwarded.attempt)
            return
        del self._forwarded[message.serial]
        forwarded.then(error)
