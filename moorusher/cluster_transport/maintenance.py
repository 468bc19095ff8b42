"""Connects the fleet's planned maintenance to this process: its journal, its load and its operators."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from ..core.request_engine import RequestEngine
from ..health_reporting.reporter import Reporter
from ..maintenance.coordinator import MaintenanceCoordinator
from ..maintenance.errors import MaintenanceError, NotLocalError, UnknownSeatError
from ..maintenance.load_report import LoadGauge
from ..maintenance.next_step import NextStep
from ..maintenance.policy import MaintenancePolicy
from ..maintenance.schedule import CompletionProof, MaintenanceRequest, Schedule
from ..maintenance.start_estimate import estimate_starts
from ..maintenance.waiters import WaitCallback
from ..replication.journal import JournalImage
from ..replication.register_space import CLUSTER_SPACE
from ..time_units import SECOND
from .cluster_member import ClusterMember
from .machine_host import LocalMachineHost, read_boot_id

MAX_WAIT_S = 30.0  # limit of one `wait`; a caller that needs longer calls again


@dataclass(frozen=True, slots=True)
class SeatSelection:
    """The machines that a request applies to: all, those of a zone or group, or named ones. Default: this machine."""

    every: bool = False
    zone: str = ""
    group: str = ""
    names: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class RequestForm:
    """A request as an operator submits it; see `MaintenanceRequest`.

    Attributes:
        selection: The machines.
        ends_with_caller: Whether the request is withdrawn when the caller that waits on this machine has exited.
    """

    id: str
    reason: str
    requested_by: str
    duration_s: float
    not_before_s: float
    due_at_s: float
    priority: int
    shares_zone: bool
    completion: CompletionProof
    selection: SeatSelection
    ends_with_caller: bool


@dataclass(frozen=True, slots=True)
class MaintenanceStatus:
    """The schedule as seen by this runner.

    Attributes:
        seat: Seat of this runner.
        schedule: The schedule.
        is_current: Whether a majority has just confirmed the schedule.
        age_us: Time since the schedule was last read; None if it was never read.
        policy: This runner's settings.
        step: The slots to grant next, and why each of the other queued machines has to wait.
        starts_in_s: Estimated time until the start, by request id and seat.
        alive_seats: Seats whose members are alive.
        now_s: Unix time.
    """

    seat: str
    schedule: Schedule
    is_current: bool
    age_us: int | None
    policy: MaintenancePolicy
    step: NextStep
    starts_in_s: dict[tuple[str, str], float]
    alive_seats: frozenset[str]
    now_s: float


StatusCallback = Callable[[MaintenanceStatus | MaintenanceError], None]


class MaintenanceLink:
    """Connects the maintenance coordinator to its journal, its load report and the operators.

    Attributes:
        fleet: This runner as a member of its fleet.
        policy: Settings of planned maintenance.
        machine: This runner's machine.
        coordinator: Planned maintenance as run by this member.
    """

    def __init__(self, fleet: ClusterMember, policy: MaintenancePolicy, reporter: Reporter) -> None:
        self.fleet = fleet
        self.policy = policy
        self.machine = LocalMachineHost(fleet, reporter, read_boot_id(policy.boot_id_path))
        self.core: RequestEngine = fleet.core
        self._reporter = reporter
        self._journal_image: JournalImage | None = None
        self._gauge = LoadGauge(self.core.settings.cores, round(policy.peak_window_s * SECOND))
        journal = fleet.open_part_journal("outage")
        if journal is not None:
            self._journal_image = journal.image
        self.coordinator = MaintenanceCoordinator(fleet.node, self.machine, policy)
        if journal is not None:
            acceptor = self.coordinator.replica.acceptor
            acceptor.journaled = True
            fleet.node.is_durable = True
            fleet.attach_journal(journal, CLUSTER_SPACE, acceptor)
        fleet.maintenance = self

    @property
    def is_out_of_service(self) -> bool:
        """Whether this runner accepts no new work, and hands work that has not started to others."""
        return self.machine.is_out_of_service

    def start(self) -> None:
        """Restore the journal. Must precede the start of the node, which requests missing state from other members."""
        if self._journal_image is not None:
            self.coordinator.replica.acceptor.restore(self.core.clock.now, self._journal_image)
            self._journal_image = None
        self.coordinator.start()

    def reconfigure(self, policy: MaintenancePolicy) -> None:
        """Apply changed settings to future grants."""
        self.policy = policy
        self.coordinator.reconfigure(policy)

    def report_load(self) -> None:
        """Update the load that this member publishes to the others. Called periodically."""
        self._gauge.cores = self.core.settings.cores
        load, peak_load = self._gauge.sample(self.core.clock.now, self.core.runs.on_cores)
        self.fleet.node.load_figures = self._reporter.report().weight, load, peak_load

    # ---- operators ----

    def submit(self, form: RequestForm, callback: StatusCallback) -> None:
        """Add a request.

        `callback` may get UnknownSeatError, NotLocalError, or an error of `MaintenanceCoordinator.submit`.
        """
        self.core.start_turn()
        seats = self._selected_seats(form.selection)
        if not seats:
            return callback(UnknownSeatError("no seat of that zone or group"))
        if form.ends_with_caller and seats != (self.fleet.name,):
            return callback(NotLocalError(f"{', '.join(seats[:3])}: this is {self.fleet.name}"))
        request = MaintenanceRequest(
            id=form.id,
            reason=form.reason,
            requested_by=form.requested_by,
            duration_s=form.duration_s,
            requested_at_s=self.machine.unix_s(),
            not_before_s=form.not_before_s,
            due_at_s=form.due_at_s,
            priority=form.priority,
            shares_zone=form.shares_zone,
            completion=form.completion.value,
            queued=seats,
            boot_id=self.machine.boot_id if form.ends_with_caller else "",
        )
        return self.coordinator.submit(request, self._status_to(callback))

    def _selected_seats(self, selection: SeatSelection) -> tuple[str, ...]:
        if not (selection.every or selection.zone or selection.group):
            return tuple(dict.fromkeys(selection.names or (self.fleet.name,)))
        return tuple(
            name
            for name, seat in self.fleet.node.placement.by_name.items()
            if (not selection.zone or seat.zone == selection.zone)
            and (not selection.group or seat.group == selection.group)
        )

    def withdraw(
        self, request_id: str, seats: Sequence[str], requested_by: str, callback: StatusCallback
    ) -> None:
        """Withdraw the named seats of a request, or all of its seats if none is named."""
        self.core.start_turn()
        self.coordinator.withdraw(request_id, list(seats), requested_by, self._status_to(callback))

    def pause(self, reason: str, callback: StatusCallback) -> None:
        """Stop granting slots until `resume`."""
        self.core.start_turn()
        self.coordinator.pause(reason, self._status_to(callback))

    def resume(self, seat: str, callback: StatusCallback) -> None:
        """End the pause, or queue a suspended seat again if one is given."""
        self.core.start_turn()
        self.coordinator.resume(seat, self._status_to(callback))

    def finish(self, seat: str, stated_by: str, callback: StatusCallback) -> None:
        """Record an operator's statement that the maintenance of a machine is complete."""
        self.core.start_turn()
        self.coordinator.finish(seat, stated_by, self._status_to(callback))

    def show(self, callback: StatusCallback) -> None:
        """Read the schedule."""
        self.core.start_turn()
        self.coordinator.read(lambda schedule, is_current: callback(self.status(schedule, is_current)))

    def wait(
        self, request_id: str, seat: str, timeout_s: float, callback: WaitCallback
    ) -> Callable[[], None]:
        """See `MaintenanceCoordinator.wait`. Raises NotLocalError."""
        self.core.start_turn()
        timeout_us = round(min(timeout_s, MAX_WAIT_S) * SECOND)
        return self.coordinator.wait(request_id, seat, timeout_us, callback)

    def _status_to(self, callback: StatusCallback) -> Callable[[Schedule | MaintenanceError], None]:
        def on_result(result: Schedule | MaintenanceError) -> None:
            callback(result if isinstance(result, MaintenanceError) else self.status(result, True))

        return on_result

    def status(self, schedule: Schedule, is_current: bool) -> MaintenanceStatus:
        """Return the status for a schedule as this runner sees it."""
        now_s = self.machine.unix_s()
        step = self.coordinator.explain()
        placement = self.fleet.node.placement
        zones = {name: seat.zone for name, seat in placement.by_name.items()}
        members = self.fleet.node.detector.by_seat
        replica = self.coordinator.replica
        return MaintenanceStatus(
            seat=self.fleet.name,
            schedule=schedule,
            is_current=is_current,
            age_us=self.core.clock.now - replica.read_at_us if replica.is_known else None,
            policy=self.policy,
            step=step,
            starts_in_s=estimate_starts(schedule, step.order, zones, self.policy, now_s),
            alive_seats=frozenset(seat for seat, member in members.items() if member.is_alive),
            now_s=now_s,
        )
