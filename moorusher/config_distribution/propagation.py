"""Publications and deletions sent to all members, and which members lack one."""

from __future__ import annotations

from ..leadership.errors import LeadershipError
from ..leadership.lease_record import LeaseRecord, LeaseStatus
from ..leadership.participant import Participant
from ..namespaces.revision_id import RevisionId
from ..time_units import MS
from .dissemination import MAX_LACKING, Disseminator, LackingCallback
from .publisher import Answer, duty_of
from .register_reader import RegisterReader
from .revision_fetching import RevisionFetcher
from .services import MemberServices

PROPAGATION_TIMEOUT_US = 2_000 * MS
REGISTER_RETRY_PAUSE_US = 100 * MS
DELETED_NUMBER = (
    1 << 62
)  # the revision number of a deleted namespace: later than all others of its incarnation


class Propagation:
    """Brings revisions to all members, from this one."""

    def __init__(
        self,
        member: MemberServices,
        participant: Participant,
        revisions: RevisionFetcher,
        register: RegisterReader,
        disseminator: Disseminator,
    ) -> None:
        """`disseminator`: broadcasts what this member has."""
        self.disseminator = disseminator
        self._member = member
        self._directory = participant.directory
        self._revisions = revisions
        self._register = register

    def published(self, customer: str, revision_id: RevisionId, draft: bytes) -> None:
        """Make a revision that was published here current here, and broadcast it."""

        def obtained(reason: str) -> None:
            if not reason and self._revisions.customers.latest_id(customer) == revision_id:
                self.disseminator.broadcast(
                    customer, revision_id, False, PROPAGATION_TIMEOUT_US, lambda lacking: None
                )

        self._revisions.obtain(customer, revision_id, False, draft, self._member.me, obtained)

    def everywhere(
        self,
        customer: str,
        revision_id: RevisionId,
        then: LackingCallback,
        timeout_us: int = PROPAGATION_TIMEOUT_US,
    ) -> None:
        """Call `then` with the seats that have neither that revision nor a later one, and why; all others have."""
        deadline_us = self._member.now() + timeout_us
        customers = self._revisions.customers
        deleted = revision_id[1] == DELETED_NUMBER

        def obtained(reason: str) -> None:
            if reason:  # not even here, so no other seat was asked
                seats = self._member.known_seats()[:MAX_LACKING]
                then({seat: reason if seat == self._member.me else "not asked" for seat in seats})
                return
            left_us = max(0, deadline_us - self._member.now())
            self.disseminator.broadcast(customer, *self._revisions.known(customer), left_us, then)

        def fetched(draft: bytes | None) -> None:
            if draft is not None or customers.latest_id(customer) >= revision_id:
                self._revisions.obtain(customer, revision_id, False, draft, self._member.me, obtained)
            elif self._member.now() >= deadline_us:
                obtained("its draft is not to be had")
            else:
                self._member.call_at(self._member.now() + REGISTER_RETRY_PAUSE_US, fetch)

        def fetch() -> None:
            self._register.draft(customer, revision_id, fetched)

        if deleted or customers.latest_id(customer) >= revision_id:
            self._revisions.obtain(customer, revision_id, deleted, None, self._member.me, obtained)
        else:
            fetch()

    def delete(self, customer: str, then: Answer) -> None:
        """Delete a namespace with its history; created again, it has another incarnation."""

        def removed(got: LeaseRecord | LeadershipError) -> None:
            if isinstance(got, LeadershipError):
                then(got)
                return
            incarnation = got.generation
            if got.status != LeaseStatus.REMOVED:
                incarnation -= 1  # it has been created again since
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
            then(revision_id)

        self._directory.remove(duty_of(customer), removed)
