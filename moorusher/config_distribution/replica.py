"""One member's replica of all customers' revisions, and its part in publishing and distributing them.

Between leadership, whose leases say who publishes, and the process, which reads drafts, stores them and routes by them.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

import msgspec

from ..leadership.errors import Busy
from ..leadership.lease_holder import LeaseHolder
from ..leadership.participant import Participant
from ..namespaces.customers import Customers
from ..namespaces.errors import NamespaceError, NoSuchCustomer
from ..namespaces.policy import Bounds, Granted
from ..namespaces.revisions import Submission
from . import messages
from .anti_entropy import AntiEntropy
from .dissemination import Disseminator
from .errors import DistributionError
from .messages import (
    PART,
    DigestDifference,
    DigestSummary,
    Disseminate,
    DisseminateReceived,
    DisseminateResult,
    RevisionId,
    RevisionReply,
    RevisionRequest,
    SubmitDraft,
    SubmitResult,
)
from .propagation import Propagation
from .publisher import Answer, BookCallback, Publisher, duty_of
from .register_reader import RegisterReader
from .revision_fetching import DraftReader, RevisionFetcher
from .services import MemberServices
from .submission_forwarding import SubmissionForwarder


class ReplicaHost(DraftReader, Protocol):
    """What a replica uses of the process."""

    def granted(self, customer: str) -> Granted | None:
        """Return what is granted to a customer; None where the settings have no such customer."""
        ...

    def bounds(self, customer: str) -> Bounds:
        """Return how much a customer may publish and retain."""
        ...

    def check(self, draft: bytes, granted: Granted, then: Callable[[NamespaceError | None], None]) -> None:
        """Call `then` in a later turn with what is wrong with a draft, or None."""
        ...

    def keep(self, customer: str, revision_id: RevisionId, draft: bytes | None) -> None:
        """Store the current revision; None: the namespace is deleted."""
        ...

    def unix_ms(self) -> int:
        """Return the wall-clock time."""
        ...

    def became_ready(self) -> None:
        """The replica knows what the other members have, or has stopped waiting for it."""
        ...

    def changed(self, customer: str) -> None:
        """Another revision is current, or none."""
        ...


class LocalPublishers:
    """The publishers of the leases that this member holds (`publisher.PublisherHost`).

    publisher_type: type of Publisher that is created.
    by_lease: dict of lease name to Publisher.
    """

    publisher_type: type[Publisher] = Publisher

    def __init__(self, member: MemberServices, host: ReplicaHost, by_lease: dict[str, Publisher]) -> None:
        """The parts that need the publishers and are needed by them are set with `connect`."""
        self.by_lease = by_lease
        self._member = member
        self._host = host
        self.register: RegisterReader
        self.propagation: Propagation

    def connect(self, register: RegisterReader, propagation: Propagation) -> None:
        """Set where books are read, and who distributes what is published."""
        self.register = register
        self.propagation = propagation

    def create(self, lease: LeaseHolder) -> Publisher:
        """Create the publisher for a lease that this member has acquired."""
        publisher = self.publisher_type(lease, self)
        self.by_lease[lease.name] = publisher
        return publisher

    def on_submit(self, seat: str, message: SubmitDraft) -> None:
        """Publish what a member has forwarded, and answer it."""

        def answer(got: RevisionId | DistributionError) -> None:
            if isinstance(got, Exception):
                self._member.send(seat, SubmitResult(message.serial, (0, 0), type(got).__name__, str(got)))
            else:
                self._member.send(seat, SubmitResult(message.serial, got))

        name = duty_of(message.submission.customer)
        publisher = self.by_lease.get(name)
        if publisher is None:
            answer(Busy(f"{name}: not with this runner"))
        else:
            publisher.submit(message.submission, answer)

    # ---- publisher.PublisherHost ----

    def check(self, customer: str, draft: bytes, then: Callable[[NamespaceError | None], None]) -> None:
        """Check a draft against what is granted to the customer now."""
        granted = self._host.granted(customer)
        if granted is None:
            then(NoSuchCustomer(f"{customer!r} is no customer in this runner's settings"))
        else:
            self._host.check(draft, granted, then)

    def book(self, customer: str, then: BookCallback) -> None:
        """Read the customer's book from a majority of the register."""
        self.register.book(customer, then)

    def published(self, customer: str, revision_id: RevisionId, draft: bytes) -> None:
        """Distribute a published revision."""
        self._member.count("namespaces: published")
        self.propagation.published(customer, revision_id, draft)

    def bounds(self, customer: str) -> Bounds:
        """Return how much the customer may publish and retain."""
        return self._host.bounds(customer)

    def ended(self, publisher: Publisher) -> None:
        """Forget a publisher whose term is over."""
        if self.by_lease.get(publisher.lease.name) is publisher:
            del self.by_lease[publisher.lease.name]

    def unix_ms(self) -> int:
        """Return the wall-clock time."""
        return self._host.unix_ms()


class Replica:
    """One member's replica of all customers' revisions: its parts, connected.

    member: MemberServices, what the parts use of the member.
    revisions: RevisionFetcher, the current revisions.
    disseminator, anti_entropy: how revisions come here and go on.
    submissions: SubmissionForwarder, for what is submitted at this member.
    publishers: LocalPublishers, for the leases that this member holds.
    register: RegisterReader, for what a majority has.
    propagation: Propagation, for publications and deletions from this member.
    """

    def __init__(self, participant: Participant, host: ReplicaHost, max_customers: int) -> None:
        """`max_customers`: deleted namespaces that are remembered."""
        self._host = host
        self.member = member = MemberServices(participant, self._handle)
        self.revisions = RevisionFetcher(member, Customers(max_customers), host, self._changed)
        self.disseminator = Disseminator(member, self.revisions, member.seats, member.incarnation)
        self.anti_entropy = AntiEntropy(member, self.revisions, len(member.seats), host.became_ready)
        self.submissions = SubmissionForwarder(member, participant, host.granted, member.incarnation)
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
    def customers(self) -> Customers:
        """The current revisions."""
        return self.revisions.customers

    def start(self, stored: list[tuple[str, RevisionId, bytes | None]], ready_timeout_us: int) -> None:
        """Begin with what this runner's disk has, and compare with the other members."""
        for customer, revision_id, draft in stored:
            self.revisions.obtain(
                customer, revision_id, draft is None, draft, self.member.me, lambda reason: None
            )
        self.anti_entropy.start(ready_timeout_us)

    def work(self, lease: LeaseHolder) -> Publisher:
        """Create the worker for a lease that this member has acquired (`leadership.worker.Worker`)."""
        return self.publishers.create(lease)

    def submit(self, submission: Submission, then: Answer) -> None:
        """Publish at the leader; see `SubmissionForwarder.submit`."""
        self.submissions.submit(submission, then)

    def delete(self, customer: str, then: Answer) -> None:
        """Delete a namespace; see `Propagation.delete`."""
        self.propagation.delete(customer, then)

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
        self.anti_entropy.note_changed(customer)
        self._host.keep(customer, self.customers.at(customer), draft)
        self._host.changed(customer)
