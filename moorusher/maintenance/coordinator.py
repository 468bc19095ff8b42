"""Connects one member's copy of the schedule, its planner, its machine controller and its waiting callers."""

from __future__ import annotations

from collections.abc import Callable

from ..replication.acceptor import Acceptor
from ..replication.node import Node
from ..time_units import MS
from .errors import NotLocalError, UnknownSeatError
from .machine_controller import MachineController, MachineHost
from .next_step import NextStep
from .operator_changes import FinishSlot, PauseAll, Resume, SubmitRequest, WithdrawRequest
from .planner import MaintenancePlanner
from .policy import MaintenancePolicy
from .schedule import CompletionProof, MaintenanceRequest, Schedule
from .schedule_replica import ScheduleCallback, ScheduleReplica
from .waiters import WaitCallback, Waiter, Waiters, WaitResult, WaitStatus

TICK_US = 200 * MS
FIRST_READ_INTERVAL_US = 500 * MS  # before the first successful read
ACTIVE_READ_INTERVAL_US = 1_000 * MS  # for a member with a slot or a waiting caller
REPLICA_READ_INTERVAL_US = 3_000 * MS  # for a replica while requests are open
QUEUED_READ_INTERVAL_US = 5_000 * MS  # for a member whose machine is queued; it is also notified of its grant
IDLE_READ_INTERVAL_US = 30_000 * MS  # for any other member
# A queued or idle member waits at least this long between two reads, multiplied by the number of seats of the fleet.
# This bounds the rate at which all members together read from the replicas, whatever the size of the fleet.
MIN_READ_INTERVAL_PER_SEAT_US = 100 * MS
MAX_WAITERS = 256
# Wait for a majority before an operator's change is answered with NoMajorityError.
OPERATOR_TIMEOUT_US = 2_500 * MS


class MaintenanceCoordinator:
    """One member's part in maintenance. Callbacks of operations get a MaintenanceError if the operation failed.

    Attributes:
        policy: The settings.
        replica: This member's copy of the schedule.
        machine: Controller of this member's machine.
        waiters: Callers that wait at this member.
    """

    waiters_class: type[Waiters] = Waiters

    def __init__(
        self,
        node: Node,
        host: MachineHost,
        policy: MaintenancePolicy,
        remembers: bool = False,
        acceptor_class: type[Acceptor] = Acceptor,
    ) -> None:
        """:param remembers: Whether this seat still has every promise that it has made as an acceptor."""
        self.policy = policy
        self._node = node
        self._host = host
        self.replica = ScheduleReplica(node, remembers, acceptor_class, self._read_interval_us, self._on_read)
        self._planner = MaintenancePlanner(
            node.me, node.placement, node.detector, self.replica.replicas, policy
        )
        self._is_replica = node.me in self.replica.replicas
        self.waiters = self.waiters_class(host.machine_state)
        self.machine = MachineController(
            node, host, self.replica, lambda: self.policy, lambda: self.waiters.request_ids
        )

    @property
    def me(self) -> str:
        """This member's seat."""
        return self._node.me

    @property
    def schedule(self) -> Schedule:
        """The schedule as last read."""
        return self.replica.schedule

    def reconfigure(self, policy: MaintenancePolicy) -> None:
        """Apply changed settings."""
        self.policy = policy
        self._planner.reconfigure(policy)

    # ---- ticks ----

    def start(self) -> None:
        """Start the periodic ticks."""
        self._node.at(self._node.clock() + TICK_US, self._tick)

    def _tick(self) -> None:
        now = self._node.clock()
        self._node.at(now + TICK_US, self._tick)
        if now >= self.replica.next_read_us:
            self.replica.read()
        self.machine.step()
        if self._is_replica and self.replica.is_known and not self.replica.is_writing:
            self._plan(now)
        self.waiters.answer_expired(self.schedule, self.replica.is_known, now, self.waiting_reason)

    def _plan(self, now_us: int) -> None:
        for seat in self._planner.seats_to_notify(self.schedule, now_us):
            self.replica.notify(seat)
        grant = self._planner.next_grants(self.schedule, now_us, self._host.unix_s())
        if grant is not None:
            self.replica.write(grant)

    def _on_read(self, is_new: bool) -> None:
        if is_new:
            self.machine.step()
        self.waiters.answer_ready(self.schedule, self.replica.is_known)

    def _read_interval_us(self) -> int:
        if not self.replica.is_known:
            return FIRST_READ_INTERVAL_US
        if self.schedule.slot(self.me) is not None or len(self.waiters):
            return ACTIVE_READ_INTERVAL_US
        if self._is_replica and self.schedule.requests:
            return REPLICA_READ_INTERVAL_US
        is_queued = any(self.me in request.queued for request in self.schedule.requests)
        interval_us = QUEUED_READ_INTERVAL_US if is_queued else IDLE_READ_INTERVAL_US
        return max(interval_us, MIN_READ_INTERVAL_PER_SEAT_US * len(self._node.placement.names))

    # ---- operators ----

    def submit(self, request: MaintenanceRequest, callback: ScheduleCallback) -> None:
        """Add a request; idempotent by its id.

        Errors: UnknownSeatError, RequestIdConflictError, TooManyRequestsError, NoMajorityError.
        """
        unknown = [seat for seat in request.queued if seat not in self._node.placement.by_name]
        if unknown or not request.queued:
            return callback(UnknownSeatError(f"{', '.join(unknown) or 'none named'}: no such seat"))
        change = SubmitRequest(request, self.policy.max_open_requests)
        return self.replica.write(change, OPERATOR_TIMEOUT_US, callback)

    def withdraw(
        self, request_id: str, seats: list[str], requested_by: str, callback: ScheduleCallback
    ) -> None:
        """Withdraw the named seats of a request, or all if `seats` is empty.

        Errors: UnknownRequestError, AlreadyClearedError, NoMajorityError.
        """
        change = WithdrawRequest(
            request_id, seats, self._host.unix_s(), requested_by, self.policy.max_history
        )
        self.replica.write(change, OPERATOR_TIMEOUT_US, callback)

    def pause(self, reason: str, callback: ScheduleCallback) -> None:
        """Stop granting slots until resumed. Errors: NoMajorityError."""
        self.replica.write(PauseAll(reason), OPERATOR_TIMEOUT_US, callback)

    def resume(self, seat: str, callback: ScheduleCallback) -> None:
        """End the pause, or queue a suspended seat again. Errors: MachineInServiceError, NoMajorityError."""
        self.replica.write(Resume(seat), OPERATOR_TIMEOUT_US, callback)

    def finish(self, seat: str, stated_by: str, callback: ScheduleCallback) -> None:
        """Finish the slot of a machine by an operator's statement.

        Errors: UnknownSeatError, MachineInServiceError, NoMajorityError.
        """
        if seat not in self._node.placement.by_name:
            return callback(UnknownSeatError(f"{seat}: no such seat"))
        change = FinishSlot(seat, self._host.unix_s(), stated_by, self.policy.max_history)
        return self.replica.write(change, OPERATOR_TIMEOUT_US, callback)

    def read(self, callback: Callable[[Schedule, bool], None]) -> None:
        """Read the schedule.

        :param callback: Called with the schedule and whether it is current. It is the last known schedule if no
            majority answered.
        """
        self.replica.read(lambda is_current: callback(self.schedule, is_current))

    def explain(self) -> NextStep:
        """Return the slots that should be granted next, and why each of the other queued machines has to wait."""
        return self._planner.explain(self.schedule, self._node.clock(), self._host.unix_s())

    def waiting_reason(self, request_id: str, seat: str) -> str:
        """Return why a queued machine waits; an empty string if it is not queued."""
        return self.explain().reasons.get((request_id, seat), "")

    def wait(self, request_id: str, seat: str, timeout_us: int, callback: WaitCallback) -> Callable[[], None]:
        """Wait until the machine may be worked on, its request has ended, or the timeout expires.

        :param callback: Called once with the result.
        :returns: A function that cancels the wait.
        :raises NotLocalError: If the seat is another machine, and a reboot ends its slot or the request is unknown.
        """
        # With a delayed answer, the caller could begin to work on the other machine after that machine's reboot, when
        # it no longer counts as out of service.
        request = self.schedule.request(request_id)
        if seat != self.me and (request is None or request.completion == CompletionProof.REBOOT):
            raise NotLocalError(f"{seat}: this is {self.me}")
        if len(self.waiters) >= MAX_WAITERS:
            callback(WaitResult(WaitStatus.QUEUED, "too many wait at this runner; ask another one"))
            return lambda: None
        self.replica.read_on_next_tick()
        deadline_us = self._node.clock() + timeout_us
        return self.waiters.add(Waiter(request_id, seat, deadline_us, callback))
