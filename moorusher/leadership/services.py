"""What the parts of a participant use of their member: identity, timers, messages, registers, disk."""

from __future__ import annotations

from collections.abc import Callable

from ..membership.failure_detector import FailureDetector
from ..replication.messages import ComponentMessage
from ..replication.node import Node
from ..replication.proposer import CarriedPromise, ChangeResult
from ..replication.register_space import DUTY_SPACE, RegisterSpace
from ..replication.work_record import KeyDigest, Owner
from ..time_units import MS
from . import messages
from .lease_transitions import Change

NEVER_EXPIRES_US = 1 << 60
RegisterCallback = Callable[[ChangeResult | None], None]  # None: no majority answered in time


class MemberServices:
    """One member, as the parts of its participant see it. Times are those of the member's clock, in us."""

    def __init__(
        self,
        node: Node,
        registers: RegisterSpace,
        deliver_locally: Callable[[str, messages.Message], None],
    ) -> None:
        """`deliver_locally`: takes messages that this member sends to itself."""
        self.node = node
        self.registers = registers
        self._deliver_locally = deliver_locally

    @property
    def owner(self) -> Owner:
        """The process: its seat and its incarnation."""
        return self.node.owner

    @property
    def me(self) -> str:
        """This member's seat."""
        return self.node.me

    @property
    def incarnation(self) -> int:
        """Of this process."""
        return self.node.owner.incarnation

    @property
    def members(self) -> FailureDetector:
        """All members, as the failure detector sees them."""
        return self.node.detector

    @property
    def replica_count(self) -> int:
        """Replicas of each register."""
        return self.node.placement.copies

    def now(self) -> int:
        """Return the time in us."""
        return self.node.clock()

    def at(self, when_us: int, action: Callable[[], None]) -> None:
        """Call `action` at that time."""
        self.node.at(when_us, action)

    def after(self, delay_us: int, action: Callable[[], None]) -> None:
        """Call `action` once the delay is over."""
        self.node.at(self.node.clock() + delay_us, action)

    def count(self, counter: str) -> None:
        """Increment a counter of the member."""
        self.node.count(counter)

    def replicas(self, key: KeyDigest) -> tuple[str, ...]:
        """Return the seats that replicate a register, in their order."""
        return self.node.placement.replicas(key)

    def latest_incarnation(self, seat: str) -> int:
        """Return the highest incarnation of a seat that was heard of; 0 if none."""
        return self.registers.acceptor.incarnations.get(seat, 0)

    def send(self, seat: str, message: messages.Message) -> None:
        """Send a message; one to this member itself is delivered by a timer of its own."""
        if seat == self.me:
            self.at(self.now(), lambda: self._deliver_locally(seat, message))
        else:
            self.node.send(seat, ComponentMessage(messages.PART, messages.encode(message)))

    def when_durable(self, callback: Callable[[], None]) -> None:
        """Call back once everything stored so far is on the disk; at once if there is none."""
        self.node.call_when_durable(callback, DUTY_SPACE)

    def read_register(self, key: KeyDigest, callback: RegisterCallback) -> None:
        """Read a register without hindering changes of it."""
        self.registers.read(key, self._register_timeout_us(), callback)

    def change_register(
        self, key: KeyDigest, change: Change, hold: CarriedPromise | None, callback: RegisterCallback
    ) -> None:
        """Change a register by a majority. `hold`: the promise from this proposer's last change, if it has one."""
        self.registers.change(key, change, NEVER_EXPIRES_US, self._register_timeout_us(), callback, hold)

    def _register_timeout_us(self) -> int:
        return round(self.node.policy.claim_timeout_ms * MS)
