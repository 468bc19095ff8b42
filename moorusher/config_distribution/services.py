"""Interfaces of the member (identity, time, messages, liveness) and of the process that a replica's components use."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from ..leadership.participant import Participant
from ..membership.member import MemberState
from ..namespaces.errors import NamespaceError
from ..namespaces.namespace import Namespace
from ..namespaces.policy import Grant, PublishingLimits
from ..namespaces.revision_id import RevisionId
from ..replication.component_channel import ComponentChannel
from . import messages
from .messages import PART

# Called with "" once the revision is current at this member, or else with the reason why it is not.
ObtainCallback = Callable[[str], None]
UNREACHABLE_REASONS = {
    MemberState.SUSPECT: "suspected",
    MemberState.DEAD: "down",
    MemberState.UNKNOWN: "never heard of",
}


class Member(Protocol):
    """One member of the cluster. Times are in microseconds of its clock."""

    @property
    def me(self) -> str:
        """This member's seat."""
        ...

    def send(self, seat: str, message: Any) -> None:
        """Send a message of `messages` to a seat."""
        ...

    def reply(self, seat: str, message: Any) -> None:
        """Answer the process whose message is being handled."""
        ...

    def replier(self, seat: str) -> Callable[[Any], None]:
        """Return a function that answers later the process whose message is being handled now."""
        ...

    def call_at(self, when: int, action: Callable[[], None]) -> None:
        """Call `action` at a time (us)."""
        ...

    def now(self) -> int:
        """Return the current time (us)."""
        ...


class RevisionObtainer(Protocol):
    """The revisions of one member."""

    def obtain(
        self,
        customer: str,
        revision_id: RevisionId,
        deleted: bool,
        draft: bytes | None,
        source: str,
        callback: ObtainCallback,
    ) -> None:
        """Make that revision, or a later one, current at this member.

        :param draft: None to request it from the seat `source`.
        """
        ...


class DraftReader(Protocol):
    """Parses drafts. Implemented by the process."""

    def read(self, draft: bytes, callback: Callable[[Namespace | NamespaceError], None]) -> None:
        """Parse a draft, and call `callback` in a later turn of the event loop."""
        ...


class ReplicaHost(DraftReader, Protocol):
    """The interface of the process that a replica uses."""

    def grant_of(self, customer: str) -> Grant | None:
        """Return the customer's grant, or None if the settings have no such customer."""
        ...

    def publishing_limits(self, customer: str) -> PublishingLimits:
        """Return the customer's limits on publishing and retaining revisions."""
        ...

    def check(self, draft: bytes, grant: Grant, callback: Callable[[NamespaceError | None], None]) -> None:
        """Check a draft; in a later turn of the event loop, call `callback` with the error or None."""
        ...

    def store_revision(self, customer: str, revision_id: RevisionId, draft: bytes | None) -> None:
        """Store the current revision on disk; the draft is None if the namespace is deleted."""
        ...

    def unix_ms(self) -> int:
        """Return the wall-clock time (Unix ms)."""
        ...

    def became_ready(self) -> None:
        """Called when the replica knows the other members' revisions, or has stopped waiting for them."""
        ...

    def changed(self, customer: str) -> None:
        """Called when another revision has become current, or the namespace was deleted."""
        ...


class MemberServices:
    """Implements `Member` for a participant of the cluster.

    Attributes:
        participant: The participant.
        send, reply, replier: Send a message, see `ComponentChannel`.
    """

    def __init__(self, participant: Participant, deliver_locally: Callable[[str, Any], None]) -> None:
        """Initialize; `deliver_locally` is called with this member's seat and a message that it sends to itself."""
        self.participant = participant
        channel = ComponentChannel(participant.node, self.me, PART, messages.encode, deliver_locally)
        self.send = channel.send
        self.reply = channel.reply
        self.replier = channel.replier

    @property
    def me(self) -> str:
        """This member's seat."""
        return self.participant.services.me

    @property
    def seats(self) -> tuple[str, ...]:
        """All seats of the cluster."""
        return self.participant.node.placement.names

    @property
    def incarnation(self) -> int:
        """Incarnation of this process."""
        return self.participant.node.owner.incarnation

    def call_at(self, when: int, action: Callable[[], None]) -> None:
        """Call `action` at a time (us)."""
        self.participant.services.at(when, action)

    def now(self) -> int:
        """Return the current time (us)."""
        return self.participant.services.now()

    def count(self, name: str) -> None:
        """Increment a counter."""
        self.participant.services.count(name)

    def random(self) -> float:
        """Return a random number in [0, 1)."""
        return self.participant.node.random()

    def known_seats(self) -> list[str]:
        """Return all seats in the order of the failure detector."""
        return list(self.participant.node.detector.by_seat)

    def live_peers(self) -> list[str]:
        """Return the other seats that are alive."""
        members = self.participant.node.detector.by_seat
        return [seat for seat, member in members.items() if member.is_alive and seat != self.me]

    def unreachable_reason(self, seat: str) -> str:
        """Return why nothing is sent to a seat; empty if it is alive."""
        return UNREACHABLE_REASONS.get(self.participant.node.detector.by_seat[seat].state, "")
