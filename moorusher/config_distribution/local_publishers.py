"""The publishers of the leases that one member holds: created, reached by messages, connected to the replica."""

from __future__ import annotations

from collections.abc import Callable

from ..leadership.errors import LeaderBusyError
from ..leadership.lease_holder import LeaseHolder
from ..namespaces.errors import NamespaceError, UnknownCustomerError
from ..namespaces.policy import PublishingLimits
from ..namespaces.revision_id import RevisionId
from .errors import DistributionError
from .messages import SubmitDraft, SubmitResult
from .propagation import Propagation
from .publisher import HistoryCallback, Publisher, duty_of
from .register_reader import RegisterReader
from .services import MemberServices, ReplicaHost


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
        """Set where histories are read, and who distributes what is published."""
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
                self._member.send(seat, SubmitResult(message.serial, (0, 0), got.kind, str(got)))
            else:
                self._member.send(seat, SubmitResult(message.serial, got))

        name = duty_of(message.submission.customer)
        publisher = self.by_lease.get(name)
        if publisher is None:
            answer(LeaderBusyError(f"{name}: not with this runner"))
        else:
            publisher.submit(message.submission, answer)

    # ---- publisher.PublisherHost ----

    def check(self, customer: str, draft: bytes, then: Callable[[NamespaceError | None], None]) -> None:
        """Check a draft against what is granted to the customer now."""
        grant = self._host.grant_of(customer)
        if grant is None:
            then(UnknownCustomerError(f"{customer!r} is no customer in this runner's settings"))
        else:
            self._host.check(draft, grant, then)

    def history(self, customer: str, then: HistoryCallback) -> None:
        """Read the customer's history from a majority of the register."""
        self.register.history(customer, then)

    def published(self, customer: str, revision_id: RevisionId, draft: bytes) -> None:
        """Distribute a published revision."""
        self._member.count("namespaces: published")
        self.propagation.published(customer, revision_id, draft)

    def publishing_limits(self, customer: str) -> PublishingLimits:
        """Return how much the customer may publish and retain."""
        return self._host.publishing_limits(customer)

    def ended(self, publisher: Publisher) -> None:
        """Forget a publisher whose term is over."""
        if self.by_lease.get(publisher.lease.name) is publisher:
            del self.by_lease[publisher.lease.name]

    def unix_ms(self) -> int:
        """Return the wall-clock time."""
        return self._host.unix_ms()
