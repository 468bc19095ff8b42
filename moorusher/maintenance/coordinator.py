"""One member's part in maintenance: composes its copy of the schedule, its planner, its machine and its callers."""

from __future__ import annotations

from collections.abc import Callable

from ..membership.failure_detector import MS
from ..replication.acceptor import Acceptor
from ..replication.node import Node
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
FIRST_READ_INTERVAL_US = 500 * MS  # until the schedule was read once
ACTIVE_READ_INTERVAL_US = 1_000 * MS  # with a slot of its own, or a caller that waits here
REPLICA_READ_INTERVAL_US = 3_000 * MS  # of a replica, while requests are open
QUEUED_READ_INTERVAL_US = 5_000 * MS  # of a machine that is queued: it is told of its grant
IDLE_READ_INTERVAL_US = 30_000 * MS  # of any other member
MIN_READ_INTERVAL_PER_SEAT_US = 100 * MS  # the replicas are read as seldom in a large fleet as in a small one
MAX_WAITERS = 256
OPERATOR_TIMEOUT_US = 2_500 * MS  # for a majority, before an operator is told that there is none


class MaintenanceCoordinator:
    """One member's part in maintenance. Callbacks of operations get an MaintenanceError if the operation failed.

    policy: settings.
    replica: this member's copy of the schedule.
    machine: what this member's machine does.
    waiters: callers that wait here.
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
        """`remembers`: nothing that this seat has ever promised is forgotten."""
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
        """The schedule, as last read."""
        return self.replica.schedule

    def reconfigure(self, policy: MaintenancePolicy) -> None:
        """Follow other settings."""
        self.policy = policy
        self._planner.reconfigure(policy)

    # ---- ticks ----

    def start(self) -> None:
        """Begin the ticks."""
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
        """Withdraw seats of a request; all if none is named.

        Errors: UnknownRequestError, AlreadyClearedError, NoMajorityError.
        """
        change = WithdrawRequest(
            request_id, seats, self._host.unix_s(), requested_by, self.policy.max_history
        )
        self.replica.write(change, OPERATOR_TIMEOUT_US, callback)

    def pause(self, reason: str, callback: ScheduleCallback) -> None:
        """Grant no slots until resumed. Errors: NoMajorityError."""
        self.replica.write(PauseAll(reason), OPERATOR_TIMEOUT_US, callback)

    def resume(self, seat: str, callback: ScheduleCallback) -> None:
        """End the pause, or queue a suspended seat again. Errors: MachineInServiceError, NoMajorityError."""
        self.replica.write(Resume(seat), OPERATOR_TIMEOUT_US, callback)

    def finish(self, seat: str, stated_by: str, callback: ScheduleCallback) -> None:
        """State that the work on a machine is over.

        Errors: UnknownSeatError, MachineInServiceError, NoMajorityError.
        """
        if seat not in self._node.placement.by_name:
            return callback(UnknownSeatError(f"{seat}: no such seat"))
        change = FinishSlot(seat, self._host.unix_s(), stated_by, self.policy.max_history)
        return self.replica.write(change, OPERATOR_TIMEOUT_US, callback)

    def read(self, callback: Callable[[Schedule, bool], None]) -> None:
        """Read the schedule. The bool is False if no majority answers, and the schedule the last known one."""
        self.replica.read(lambda is_current: callback(self.schedule, is_current))

    def explain(self) -> NextStep:
        """Return the next step, with the reason of each machine that waits."""
        return self._planner.explain(self.schedule, self._node.clock(), self._host.unix_s())

    def waiting_reason(self, request_id: str, seat: str) -> str:
        """Return why a queued machine waits; empty if it is not queued."""
        return self.explain().reasons.get((request_id, seat), "")

    def wait(self, request_id: str, seat: str, timeout_us: int, callback: WaitCallback) -> Callable[[], None]:
        """Call back once: as soon as the machine may be worked on or will not be, or after the timeout.

        Returns a function that takes the caller off the list. Raises NotLocalError for another machine, if the next
        boot of it ends the slot: a caller that is told late would work on a machine that nobody counts as out.
        """
        request = self.schedule.request(request_id)
        if seat != self.me and (request is None or request.completion == CompletionProof.REBOOT):
            raise NotLocalError(f"{seat}: this is {self.me}")
        if len(self.waiters) >= MAX_WAITERS:
            callback(WaitResult(WaitStatus.QUEUED, "too many wait at this runner; ask another one"))
            return lambda: None
        self.replica.read_soon()
        deadline_us = self._node.clock() + timeout_us
        return self.waiters.add(Waiter(request_id, seat, deadline_us, callback))
