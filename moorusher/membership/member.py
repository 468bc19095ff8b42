"""A member of the cluster, as another member knows it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from .messages import MemberStatus


class MemberState(Enum):
    """The state of a member, as far as this member knows. The values are on the wire, the names in the API."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    UNKNOWN = 3  # Nothing has been received from or about the member yet.


# Of two updates with the same version, the one with the higher precedence applies.
STATE_PRECEDENCE = {
    MemberState.UNKNOWN: 0,
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.DEAD: 2,
}


@dataclass(slots=True)
class Member:
    """A seat and the process that occupies it.

    Attributes:
        seat: Name of the seat.
        incarnation: Incarnation of the process; 0 if none is known.
        version: Version of the last known update about the member.
        state: State of the member.
        status: Status that the member publishes.
        state_since: Time (us) of the last change of state.
        connection_refused: Whether the member's address refuses connections.
        last_message_us: Time (us) of its last message to this member; -1 if there was none.
    """

    seat: str
    incarnation: int = 0
    version: int = 0
    state: MemberState = MemberState.UNKNOWN
    status: MemberStatus = MemberStatus()  # noqa: RUF009 - it is frozen
    state_since: int = 0
    connection_refused: bool = False
    last_message_us: int = -1

    @property
    def is_alive(self) -> bool:
        """Whether the member is not suspected, dead or unknown."""
        return self.state is MemberState.ALIVE

    def is_lost(self, incarnation: int) -> bool:
        """Return whether that process of the seat is lost, as far as this member knows."""
        is_replaced = incarnation < self.incarnation and incarnation != self.status.predecessor
        return self.state is MemberState.DEAD or is_replaced

    @property
    def accepts_work(self) -> bool:
        """Whether the member is alive and can take over work."""
        return self.is_alive and self.status.accepts_work
