"""The publishers at one member: one for each customer whose lease the member holds."""

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
    """The publishers at this member, one for each customer whose lease it holds (`publisher.PublisherHost`).

    Attributes:
        publisher_type: Class of the publishers to create.
        by_lease: Publishers by lease name.
        register: Reader of histories from the register.
        propagation: Distributes published revisions.
    """

    publisher_type: type[Publisher] = Publisher

    def __init__(self, member: MemberServices, host: ReplicaHost, by_lease: dict[str, Publisher]) -> None:
        self.by_lease = by_lease
        self._member = member
        self._host = host
        # Set by `connect`, because they are created after this object.
        self.register: RegisterReader
        self.propagation: Propagation

    def connect(self, register: RegisterReader, propagation: Propagation) -> None:
        """Set the reader of histories and the distributor of published revisions."""
        self.register = register
        self.propagation = propagation

    def create(self, lease: LeaseHolder) -> Publisher:
        """Create the publisher for a lease that this member has acquired."""
        publisher = self.publisher_type(lease, self)
        self.by_lease[lease.name] = publisher
        return publisher

    def on_submit(self, seat: str, message: SubmitDraft) -> None:
        """Publish a submission that a member has forwarded, and send it the result."""
        reply = self._member.replier(seat)

        def send_result(result: RevisionId | DistributionError) -> None:
            if isinstance(result, Exception):
                reply(SubmitResult(message.serial, (0, 0), result.kind, str(result)))
            else:
                reply(SubmitResult(message.serial, result))

        name = duty_of(message.submission.customer)
        publisher = self.by_lease.get(name)
        if publisher is None:
            send_result(LeaderBusyError(f"{name}: not with this runner"))
        else:
            publisher.submit(message.submission, send_result)

    # ---- publisher.PublisherHost ----

    def check(self, customer: str, draft: bytes, callback: Callable[[NamespaceError | None], None]) -> None:
        """Check a draft against the customer's current grant."""
        grant = self._host.grant_of(customer)
        if grant is None:
            callback(UnknownCustomerError(f"{customer!r} is no customer in this runner's settings"))
        else:
            self._host.check(draft, grant, callback)

    def history(self, customer: str, callback: HistoryCallback) -> None:
        """Read the customer's history from a majority of the register."""
        self.register.history(customer, callback)

    def published(self, customer: str, revision_id: RevisionId, draft: bytes) -> None:
        """Distribute a published revision."""
        self._member.count("namespaces: published")
        self.propagation.distribute(customer, revision_id, draft)

    def publishing_limits(self, customer: str) -> PublishingLimits:
        """Return the customer's limits on publishing and retaining revisions."""
        return self._host.publishing_limits(customer)

    def ended(self, publisher: Publisher) -> None:
        """Remove a publisher whose term has ended."""
        if self.by_lease.get(publisher.lease.name) is publisher:
            del self.by_lease[publisher.lease.name]

    def unix_ms(self) -> int:
        """Return the wall-clock time (Unix ms)."""
        return self._host.unix_ms()
