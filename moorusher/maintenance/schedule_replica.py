"""One member's copy of the schedule: reads it through its register, changes it, and announces changes."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from ..membership.failure_detector import MS
from ..replication.acceptor import Acceptor, RegisterState
from ..replication.messages import ComponentMessage
from ..replication.node import Node
from ..replication.proposer import ChangeResult
from ..replication.register_space import CLUSTER_SPACE, FOREVER_US, RegisterSpace
from ..replication.work_record import Key
from . import messages
from .errors import MaintenanceError, NoMajorityError
from .messages import ScheduleChanged
from .schedule import EMPTY, KEY, Schedule, decode_schedule
from .transitions import Change

MAX_REGISTERS = 4  # that the acceptor takes; there is one
NEVER_READ = -1
READ_JITTER_MIN = 0.75  # times the interval
READ_JITTER_RANGE = 0.5

ScheduleCallback = Callable[[Schedule | MaintenanceError], None]


class ScheduleReplica:
    """One member's copy of the schedule.

    replicas: seats that replicate the register.
    acceptor: of the register, at this member.
    registers: the space of the register.
    schedule: as last read.
    read_at_us: int, when; NEVER_READ before.
    is_writing: bool, a change of this member's own is under way.
    next_read_us: int, when to read again.
    """

    def __init__(
        self,
        node: Node,
        remembers: bool,
        acceptor_class: type[Acceptor],
        read_interval_us: Callable[[], int],
        on_read: Callable[[bool], None],
    ) -> None:
        """`remembers`: nothing that this seat has ever promised is forgotten. `on_read`: called after each read that is
        not outdated, with whether it brought something new."""
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
        """The schedule has been read."""
        return self.read_at_us != NEVER_READ

    def _register_timeout_us(self) -> int:
        return round(self._node.policy.claim_timeout_ms * MS)

    # ---- reading ----

    def read_soon(self) -> None:
        """Read with the next tick."""
        self.next_read_us = 0

    def read(self, callback: Callable[[bool], None] = lambda is_current: None) -> None:
        """Read what is chosen. `callback(False)` if no majority answers."""
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
            return  # an answer that came late
        is_new = is_first or schedule.revision > self.schedule.revision
        self.schedule = schedule
        if is_new:
            self.next_read_us = min(self.next_read_us, self.read_at_us + self._read_interval_us())
        self._on_read(is_new)

    def _on_register_changed(self, key: Key, register: RegisterState) -> None:
        self.read_soon()

    # ---- changing ----

    def write(self, change: Change, timeout_us: int = 0, callback: ScheduleCallback | None = None) -> None:
        """Make a change. Without a callback it is of this member's own, and `is_writing` until it is answered.

        `callback` gets the schedule, or why the change was not made: NoMajorityError, or the error of the change.
        """
        if callback is None:
            self.is_writing = True

        def answered(result: ChangeResult | None) -> None:
            if callback is None:
                self.is_writing = False
            if result is None:
                self.read_soon()  # it may have come about
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
        """Tell a member that the schedule has changed for it."""
        if seat == self._node.me:
            self.read_soon()
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
