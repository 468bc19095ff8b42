"""One member's copy of the schedule: reads and changes it through its register, and notifies others of changes."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from ..replication.acceptor import Acceptor, RegisterState
from ..replication.messages import ComponentMessage
from ..replication.node import Node
from ..replication.proposer import ChangeResult
from ..replication.register_space import CLUSTER_SPACE, FOREVER_US, RegisterSpace
from ..replication.work_record import KeyDigest
from ..time_units import MS
from . import messages
from .errors import MaintenanceError, NoMajorityError
from .messages import ScheduleChanged
from .schedule import EMPTY, KEY, Schedule, decode_schedule
from .transitions import Change

MAX_REGISTERS = 4  # limit of the acceptor; one register is in use
NEVER_READ = -1
# A read interval is multiplied by a random factor from READ_JITTER_MIN to READ_JITTER_MIN + READ_JITTER_RANGE.
READ_JITTER_MIN = 0.75
READ_JITTER_RANGE = 0.5

ScheduleCallback = Callable[[Schedule | MaintenanceError], None]


class ScheduleReplica:
    """One member's copy of the schedule.

    Attributes:
        replicas: Seats that replicate the register.
        acceptor: This member's acceptor of the register.
        registers: The space of the register.
        schedule: The schedule as last read.
        read_at_us: Time of the last read; NEVER_READ if there was none.
        is_writing: Whether a change that this member made without a callback is in progress.
        next_read_us: Time of the next read.
    """

    def __init__(
        self,
        node: Node,
        remembers: bool,
        acceptor_class: type[Acceptor],
        read_interval_us: Callable[[], int],
        on_read: Callable[[bool], None],
    ) -> None:
        """:param remembers: Whether this seat has every promise that it ever made as an acceptor.
        :param on_read: Called after each read that is not outdated, with whether the revision is new.
        """
        self._node = node
        self._read_interval_us = read_interval_us
        self._on_read = on_read
        self.replicas = node.placement.replicas(KEY)
        self.acceptor = self._create_acceptor(acceptor_class, remembers)
        self.registers = RegisterSpace(CLUSTER_SPACE, self.acceptor, node, None)
        node.add_space(self.registers)
        node.components[messages.PART] = self._on_message
        self.schedule = EMPTY
        self.read_at_us = NEVER_READ
        self.is_writing = False
        self.next_read_us = 0

    def _create_acceptor(self, acceptor_class: type[Acceptor], remembers: bool) -> Acceptor:
        node = self._node
        placement = node.placement
        acceptor = acceptor_class(
            node.me,
            node.owner.incarnation,
            placement.replicas,
            frozenset(placement.names) - {node.me},
            remembers,
            MAX_REGISTERS,
            on_change=self._on_register_changed,
            permanent=True,
            slice_of=placement.slice_of,
            slice_replicas=placement.slice_replicas,
        )
        acceptor.own_slices = [placement.slice_of(KEY)] if node.me in self.replicas else []
        return acceptor

    @property
    def is_known(self) -> bool:
        """Whether the schedule has been read."""
        return self.read_at_us != NEVER_READ

    def _register_timeout_us(self) -> int:
        return round(self._node.policy.claim_timeout_ms * MS)

    # ---- reading ----

    def read_on_next_tick(self) -> None:
        """Have the schedule read on the next tick."""
        self.next_read_us = 0

    def read(self, callback: Callable[[bool], None] = lambda is_current: None) -> None:
        """Read the schedule from a majority.

        :param callback: Called with whether a majority answered.
        """
        jitter = READ_JITTER_MIN + READ_JITTER_RANGE * self._node.random()
        self.next_read_us = self._node.clock() + round(self._read_interval_us() * jitter)

        def answered(result: ChangeResult | None) -> None:
            if result is not None:
                self._learn(result.value)
            callback(result is not None)

        self.registers.read(KEY, self._register_timeout_us(), answered)

    def _learn(self, value: bytes | None) -> None:
        schedule = decode_schedule(value)
        is_first = not self.is_known
        self.read_at_us = self._node.clock()
        if schedule.revision < self.schedule.revision:
            return  # a delayed answer with an older revision
        is_new = is_first or schedule.revision > self.schedule.revision
        self.schedule = schedule
        if is_new:
            self.next_read_us = min(self.next_read_us, self.read_at_us + self._read_interval_us())
        self._on_read(is_new)

    def _on_register_changed(self, key: KeyDigest, register: RegisterState) -> None:
        self.read_on_next_tick()

    # ---- changing ----

    def write(self, change: Change, timeout_us: int = 0, callback: ScheduleCallback | None = None) -> None:
        """Make a change.

        :param timeout_us: 0 for the default.
        :param callback: Called with the schedule, NoMajorityError, or the error of the change. If None, `is_writing` is
            True while the change is in progress.
        """
        if callback is None:
            self.is_writing = True

        def answered(result: ChangeResult | None) -> None:
            if callback is None:
                self.is_writing = False
            if result is None:
                self.read_on_next_tick()  # the change may have taken effect all the same
                if callback is not None:
                    callback(NoMajorityError("no majority of the seats that keep the order answers"))
                return
            self._learn(result.value)
            if result.applied:
                self._notify_all(change)
            if callback is not None:
                callback(self.schedule if change.error is None else change.error)

        expires_us = self._node.clock() + FOREVER_US
        self.registers.change(KEY, change, expires_us, timeout_us or self._register_timeout_us(), answered)

    # ---- announcing ----

    def _notify_all(self, change: Change) -> None:
        for seat in change.affected_seats():
            self.notify(seat)

    def notify(self, seat: str) -> None:
        """Notify a member of a change of the schedule that affects it."""
        if seat == self._node.me:
            self.read_on_next_tick()
        elif seat in self._node.detector.by_seat:
            body = messages.encode(ScheduleChanged(self.schedule.revision))
            self._node.send(seat, ComponentMessage(messages.PART, body))

    def _on_message(self, seat: str, body: bytes) -> None:
        try:
            message = messages.decode(body)
        except msgspec.MsgspecError:
            return self._node.count("outage: a message that can't be read")
        if message.revision > self.schedule.revision:
            self.read()
