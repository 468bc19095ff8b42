"""The interface of a member for the components of a participant: identity, timers, messages, registers, disk."""

from __future__ import annotations

from collections.abc import Callable

from ..membership.failure_detector import FailureDetector
from ..replication.component_channel import ComponentChannel
from ..replication.node import Node
from ..replication.proposer import CarriedPromise, ChangeResult
from ..replication.register_space import DUTY_SPACE, RegisterSpace
from ..replication.work_record import KeyDigest, Owner
from ..time_units import MS
from . import messages
from .lease_transitions import Change

NEVER_EXPIRES_US = 1 << 60
# Receives None if no majority answered in time.
RegisterCallback = Callable[[ChangeResult | None], None]


class MemberServices:
    """Interface of one member for the components of its participant. Times are those of the member's clock in us.

    Attributes:
        node: Node of the member.
        registers: Register space of the duties.
        send, reply, replier: Send a message, see `ComponentChannel`.
    """

    def __init__(
        self,
        node: Node,
        registers: RegisterSpace,
        deliver_locally: Callable[[str, messages.Message], None],
    ) -> None:
        self.node = node
        self.registers = registers
        channel = ComponentChannel(node, node.me, messages.PART, messages.encode, deliver_locally)
        self.send = channel.send
        self.reply = channel.reply
        self.replier = channel.replier

    @property
    def owner(self) -> Owner:
        """Seat and incarnation of this process."""
        return self.node.owner

    @property
    def me(self) -> str:
        """Seat of this member."""
        return self.node.me

    @property
    def incarnation(self) -> int:
        """Incarnation of this process."""
        return self.node.owner.incarnation

    @property
    def members(self) -> FailureDetector:
        """All members according to the failure detector."""
        return self.node.detector

    @property
    def replica_count(self) -> int:
        """Number of replicas of each register."""
        return self.node.placement.copies

    def now(self) -> int:
        """Return the current time in us."""
        return self.node.clock()

    def at(self, when_us: int, action: Callable[[], None]) -> None:
        """Call `action` at the given time."""
        self.node.at(when_us, action)

    def after(self, delay_us: int, action: Callable[[], None]) -> None:
        """Call `action` after the delay."""
        self.node.at(self.node.clock() + delay_us, action)

    def count(self, counter: str) -> None:
        """Increment a counter of the member."""
        self.node.count(counter)

    def replicas(self, key: KeyDigest) -> tuple[str, ...]:
        """Return the seats that replicate a register, in their order."""
        return self.node.placement.replicas(key)

    def latest_incarnation(self, seat: str) -> int:
        """Return the highest known incarnation of a seat, or 0 if none is known."""
        return self.registers.acceptor.incarnations.get(seat, 0)

    def when_durable(self, callback: Callable[[], None]) -> None:
        """Call `callback` once all stored data is on the disk; immediately if there is no disk."""
        self.node.call_when_durable(callback, DUTY_SPACE)

    def read_register(self, key: KeyDigest, callback: RegisterCallback) -> None:
        """Read a register without conflicting with its changes."""
        self.registers.read(key, self._register_timeout_us(), callback)

    def change_register(
        self,
        key: KeyDigest,
        change: Change,
        carried_promise: CarriedPromise | None,
        callback: RegisterCallback,
    ) -> None:
        """Change a register at a majority. `carried_promise` comes from this proposer's previous change, if any."""
        self.registers.change(
            key, change, NEVER_EXPIRES_US, self._register_timeout_us(), callback, carried_promise
        )

    def _register_timeout_us(self) -> int:
        return round(self.node.policy.claim_timeout_ms * MS)
