"""What the parts of a replica use of their member (identity, time, messages, who is alive) and of the process."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from ..leadership.participant import Participant
from ..membership.member import MemberState
from ..namespaces.errors import NamespaceError
from ..namespaces.namespace import Namespace
from ..namespaces.policy import Grant, PublishingLimits
from ..namespaces.revision_id import RevisionId
from ..replication.messages import ComponentMessage
from . import messages
from .messages import PART

ObtainCallback = Callable[[str], None]  # "" once the revision is current here, else the reason why it is not
UNREACHABLE_REASONS = {
    MemberState.SUSPECT: "suspected",
    MemberState.DEAD: "down",
    MemberState.UNKNOWN: "never heard of",
}


class Member(Protocol):
    """One member of the cluster. Times are in us of its clock."""

    @property
    def me(self) -> str:
        """This member's seat."""
        ...

    def send(self, seat: str, message: Any) -> None:
        """Send a message of `messages` to a seat."""
        ...

    def call_at(self, when: int, action: Callable[[], None]) -> None:
        """Call `action` at that time."""
        ...

    def now(self) -> int:
        """Return the time."""
        ...


class ObtainsRevisions(Protocol):
    """The revisions of one member."""

    def obtain(
        self,
        customer: str,
        revision_id: RevisionId,
        deleted: bool,
        draft: bytes | None,
        source: str,
        then: ObtainCallback,
    ) -> None:
        """Make that revision, or a later one, current here; without a draft it is requested from `source`."""
        ...


class DraftReader(Protocol):
    """What reads drafts: the process."""

    def read(self, draft: bytes, then: Callable[[Namespace | NamespaceError], None]) -> None:
        """Parse a draft, and call `then` in a later turn."""
        ...


class ReplicaHost(DraftReader, Protocol):
    """What a replica uses of the process."""

    def grant_of(self, customer: str) -> Grant | None:
        """Return what is granted to a customer; None where the settings have no such customer."""
        ...

    def publishing_limits(self, customer: str) -> PublishingLimits:
        """Return how much a customer may publish and retain."""
        ...

    def check(self, draft: bytes, grant: Grant, then: Callable[[NamespaceError | None], None]) -> None:
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


class MemberServices:
    """A participant of the cluster as a `Member`."""

    def __init__(self, participant: Participant, deliver_locally: Callable[[str, Any], None]) -> None:
        """`deliver_locally`: takes messages that this member sends to itself."""
        self.participant = participant
        self._deliver_locally = deliver_locally

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
        """Of this process."""
        return self.participant.node.owner.incarnation

    def send(self, seat: str, message: Any) -> None:
        """Send a message; one to this member is delivered in a turn of its own."""
        if seat == self.me:
            self.call_at(self.now(), lambda: self._deliver_locally(seat, message))
        else:
            self.participant.node.send(seat, ComponentMessage(PART, messages.encode(message)))

    def call_at(self, when: int, action: Callable[[], None]) -> None:
        """Call `action` at that time (us)."""
        self.participant.services.at(when, action)

    def now(self) -> int:
        """Return the time in us."""
        return self.participant.services.now()

    def count(self, name: str) -> None:
        """Increment a counter."""
        self.participant.services.count(name)

    def random(self) -> float:
        """Return a number from 0 up to, without, 1."""
        return self.participant.node.random()

    def known_seats(self) -> list[str]:
        """Return all seats in the failure detector's order."""
        return list(self.participant.node.detector.by_seat)

    def live_peers(self) -> list[str]:
        """Return the other seats that are alive."""
        members = self.participant.node.detector.by_seat
        return [seat for seat, member in members.items() if member.is_alive and seat != self.me]

    def unreachable_reason(self, seat: str) -> str:
        """Return why nothing is sent to a seat; "" where it is alive."""
        return UNREACHABLE_REASONS.get(self.participant.node.detector.by_seat[seat].state, "")
