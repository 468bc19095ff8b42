"""Distribution of publications and deletions to all members, and detection of the members that lack a change."""

from __future__ import annotations

from ..leadership.errors import LeadershipError
from ..leadership.lease_record import LeaseRecord, LeaseStatus
from ..leadership.participant import Participant
from ..namespaces.revision_id import RevisionId
from ..time_units import MS
from .dissemination import MAX_LACKING, Disseminator, LackingCallback
from .publisher import RevisionCallback, duty_of
from .register_reader import RegisterReader
from .revision_fetching import RevisionFetcher
from .services import MemberServices

PROPAGATION_TIMEOUT_US = 2_000 * MS
REGISTER_RETRY_PAUSE_US = 100 * MS
# Revision number of a deleted namespace. It is later than all other numbers of the incarnation.
DELETED_NUMBER = 1 << 62


class Propagation:
    """Distributes revisions and deletions from this member to all others.

    Attributes:
        disseminator: Broadcasts the revisions that this member has.
    """

    def __init__(
        self,
        member: MemberServices,
        participant: Participant,
        revisions: RevisionFetcher,
        register: RegisterReader,
        disseminator: Disseminator,
    ) -> None:
        self.disseminator = disseminator
        self._member = member
        self._directory = participant.directory
        self._revisions = revisions
        self._register = register

    def distribute(self, customer: str, revision_id: RevisionId, draft: bytes) -> None:
        """Make a newly published revision current at this member, and broadcast it."""

        def on_obtained(reason: str) -> None:
            if not reason and self._revisions.customers.latest_id(customer) == revision_id:
                self.disseminator.broadcast(
                    customer, revision_id, False, PROPAGATION_TIMEOUT_US, lambda lacking: None
                )

        self._revisions.obtain(customer, revision_id, False, draft, self._member.me, on_obtained)

    def propagate(
        self,
        customer: str,
        revision_id: RevisionId,
        callback: LackingCallback,
        timeout_us: int = PROPAGATION_TIMEOUT_US,
    ) -> None:
        """Broadcast a revision, after reading it from the register if this member lacks it.

        :param callback: receives the seats that have neither this nor a later revision, each with the reason.
        """
        deadline_us = self._member.now() + timeout_us
        customers = self._revisions.customers
        deleted = revision_id[1] == DELETED_NUMBER

        def on_obtained(reason: str) -> None:
            if reason:  # This member could not obtain the revision, so it has not asked any other seat.
                seats = self._member.known_seats()[:MAX_LACKING]
                callback({seat: reason if seat == self._member.me else "not asked" for seat in seats})
                return
            remaining_us = max(0, deadline_us - self._member.now())
            self.disseminator.broadcast(customer, *self._revisions.known(customer), remaining_us, callback)

        def on_fetched(draft: bytes | None) -> None:
            if draft is not None or customers.latest_id(customer) >= revision_id:
                self._revisions.obtain(customer, revision_id, False, draft, self._member.me, on_obtained)
            elif self._member.now() >= deadline_us:
                on_obtained("its draft is not to be had")
            else:
                self._member.call_at(self._member.now() + REGISTER_RETRY_PAUSE_US, fetch)

        def fetch() -> None:
            self._register.draft(customer, revision_id, on_fetched)

        if deleted or customers.latest_id(customer) >= revision_id:
            self._revisions.obtain(customer, revision_id, deleted, None, self._member.me, on_obtained)
        else:
            fetch()

    def delete(self, customer: str, callback: RevisionCallback) -> None:
        """Delete a namespace with its history. If it is created again, it has another incarnation."""

        def on_removed(result: LeaseRecord | LeadershipError) -> None:
            if isinstance(result, LeadershipError):
                callback(result)
                return
            incarnation = result.generation
            if result.status != LeaseStatus.REMOVED:
                incarnation -= 1  # The namespace has been created again since.
            revision_id = (incarnation, DELETED_NUMBER)
            self._revisions.obtain(
                customer,
                revision_id,
                True,
                None,
                self._member.me,
                lambda reason: self.disseminator.broadcast(
                    customer, revision_id, True, PROPAGATION_TIMEOUT_US, lambda lacking: None
                ),
            )
            callback(revision_id)

        self._directory.remove(duty_of(customer), on_removed)
