"""One member of the cluster, as another one knows it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from .messages import MemberStatus


class MemberState(Enum):
    """Whether a member is there, as far as this one knows. The values are on the wire; the names are in the API."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    UNKNOWN = 3  # never heard of


# Of two updates of one version, that of the higher precedence counts.
STATE_PRECEDENCE = {
    MemberState.UNKNOWN: 0,
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.DEAD: 2,
}


@dataclass(slots=True)
class Member:
    """A seat, and the process that has it.

    Attributes:
        seat: `str`.
        incarnation: `int`, of its process; 0 where none was heard of.
        version: `int`, of the last update by the member itself.
        state: `MemberState`.
        status: `MemberStatus`, what it says of itself.
        state_since: `int`, us.
        connection_refused: `bool`, no process listens at its address.
        last_heard: `int`, us, of its last message to this member; -1 where there was none.
    """

    seat: str
    incarnation: int = 0
    version: int = 0
    state: MemberState = MemberState.UNKNOWN
    status: MemberStatus = MemberStatus()  # noqa: RUF009 - it is frozen
    state_since: int = 0
    connection_refused: bool = False
    last_heard: int = -1

    @property
    def is_alive(self) -> bool:
        """Neither suspected, nor dead, nor unknown."""
        return self.state is MemberState.ALIVE

    def is_lost(self, incarnation: int) -> bool:
        """That process of the seat is lost, as far as is known."""
        is_replaced = incarnation < self.incarnation and incarnation != self.status.predecessor
        return self.state is MemberState.DEAD or is_replaced

    @property
    def accepts_work(self) -> bool:
        """Alive, and able to take work over."""
        return self.is_alive and self.status.accepts_work
