"""One member's replica of all customers' revisions, with its components for publishing and distributing them."""

# The leases of the package `leadership` determine which members publish. The process parses and stores drafts, and
# routes requests by the current revisions. The replica connects the two.

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from ..leadership.lease_holder import LeaseHolder
from ..leadership.participant import Participant
from ..namespaces.current_revisions import CurrentRevisions
from ..namespaces.revision_history import Submission
from ..namespaces.revision_id import RevisionId
from . import messages
from .anti_entropy import AntiEntropy
from .dissemination import Disseminator
from .local_publishers import LocalPublishers
from .messages import (
    PART,
    DigestDifference,
    DigestSummary,
    Disseminate,
    DisseminateReceived,
    DisseminateResult,
    RevisionReply,
    RevisionRequest,
    SubmitDraft,
    SubmitResult,
)
from .propagation import Propagation
from .publisher import Publisher, RevisionCallback
from .register_reader import RegisterReader
from .revision_fetching import RevisionFetcher
from .services import MemberServices, ReplicaHost
from .submission_forwarding import SubmissionForwarder


class Replica:
    """One member's replica of all customers' revisions. Creates and connects its components.

    Attributes:
        member: Services of the member that the components use.
        revisions: Current revisions, and fetches of later ones.
        disseminator: Broadcasts revisions.
        anti_entropy: Finds and fetches missing revisions.
        submissions: Forwards submissions to the leaders.
        publishers: Publishers of the customers whose leases this member holds.
        register: Reads from a majority of the register.
        propagation: Distributes publications and deletions.
    """

    def __init__(self, participant: Participant, host: ReplicaHost, max_customers: int) -> None:
        """Create the components; retain at most `max_customers` deleted namespaces."""
        self._host = host
        self.member = member = MemberServices(participant, self._handle)
        self.revisions = RevisionFetcher(member, CurrentRevisions(max_customers), host, self._changed)
        self.disseminator = Disseminator(member, self.revisions, member.seats, member.incarnation)
        self.anti_entropy = AntiEntropy(member, self.revisions, len(member.seats), host.became_ready)
        self.submissions = SubmissionForwarder(member, participant, host.grant_of, member.incarnation)
        by_lease: dict[str, Publisher] = {}
        self.publishers = LocalPublishers(member, host, by_lease)
        self.register = RegisterReader(participant, by_lease, self.revisions, host)
        self.propagation = Propagation(member, participant, self.revisions, self.register, self.disseminator)
        self.publishers.connect(self.register, self.propagation)
        self._handlers: dict[type, Callable[[str, Any], None]] = {
            SubmitDraft: self.publishers.on_submit,
            SubmitResult: self.submissions.on_result,
            RevisionRequest: self.revisions.on_request,
            RevisionReply: self.revisions.on_reply,
            Disseminate: self.disseminator.on_disseminate,
            DisseminateReceived: self.disseminator.on_received,
            DisseminateResult: self.disseminator.on_result,
            DigestSummary: self.anti_entropy.on_summary,
            DigestDifference: self.anti_entropy.on_difference,
        }
        participant.node.components[PART] = self._on_message

    @property
    def customers(self) -> CurrentRevisions:
        """The current revisions."""
        return self.revisions.customers

    def start(self, stored: list[tuple[str, RevisionId, bytes | None]], ready_timeout_us: int) -> None:
        """Load the revisions stored on this runner's disk, and start comparing with the other members.

        :param stored: Customer, revision and draft; the draft is None if the namespace is deleted.
        """
        for customer, revision_id, draft in stored:
            self.revisions.obtain(
                customer, revision_id, draft is None, draft, self.member.me, lambda reason: None
            )
        self.anti_entropy.start(ready_timeout_us)

    def work(self, lease: LeaseHolder) -> Publisher:
        """Create the worker (`leadership.worker.Worker`) for a lease that this member has acquired."""
        return self.publishers.create(lease)

    def submit(self, submission: Submission, callback: RevisionCallback) -> None:
        """Forward a submission to the leader; see `SubmissionForwarder.submit`."""
        self.submissions.submit(submission, callback)

    def delete(self, customer: str, callback: RevisionCallback) -> None:
        """Delete a namespace; see `Propagation.delete`."""
        self.propagation.delete(customer, callback)

    def _on_message(self, seat: str, body: bytes) -> None:
        try:
            message = messages.decode(body)
        except msgspec.MsgspecError:
            self.member.count("namespaces: a message that can't be read")
            return
        self._handle(seat, message)

    def _handle(self, seat: str, message: Any) -> None:
        self._handlers[type(message)](seat, message)

    def _changed(self, customer: str, draft: bytes | None) -> None:
        self.anti_entropy.mark_changed(customer)
        self._host.store_revision(customer, self.customers.latest_id(customer), draft)
        self._host.changed(customer)
