"""Maintenance of a cluster in virtual time: real coordinators, scripts that wait on their machines, and faults."""

# The invariants concern the machines: how many of them may be worked on at the same time, and that every request is
# finished in the end.

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from functools import partial

from ..maintenance.coordinator import MaintenanceCoordinator
from ..maintenance.local_machine import MachineMode, MachineState
from ..maintenance.policy import MaintenancePolicy
from ..replication.acceptor import Acceptor
from ..time_units import MS, SECOND
from .cluster_process import Process, ProcessStart
from .cluster_simulation import ClusterSimulation
from .fault_injection import FaultInjector
from .maintenance_operators import EPOCH_S, WORK_S, SimulatedOperators
from .maintenance_scripts import MaintainedProcess, SimulatedMachine
from .scenario import FaultKind, Scenario

POLICY = MaintenancePolicy(
    enabled=True,
    max_out=2,
    max_out_per_zone=1,
    min_capacity_share=0.3,
    capacity_stable_s=0.3,
    drain_timeout_s=3.0,
    departure_timeout_s=4.0,
    return_timeout_s=8.0,
)
SCENARIO = Scenario(
    seats=6,
    keys=0,
    seconds=25.0,
    faults=9,
    loss=0.01,
    fault_kinds=(
        FaultKind.CRASH,
        FaultKind.QUICK_RESTART,
        FaultKind.PAUSE,
        FaultKind.PARTITION,
        FaultKind.ONE_WAY_PARTITION,
        FaultKind.CLOCK_SET_BACK,
        FaultKind.MACHINE_POWER_LOSS,
        FaultKind.LOWERED_LIMIT,
    ),
)
WARM_UP_S = 0.6
DRAIN_US = 300 * MS
RECOVERY_S = 60.0  # Time after the faults in which all requests must be finished.
CLOCK_SET_BACK_US = 3600 * SECOND
FULL_WEIGHT = 100
WARM_UP_WEIGHT = 35
HUNDREDTHS = 100
REFAIL_SHARE = 0.08  # Share of machines that lose power shortly after their return from work.
REFAIL_DELAY_S = 0.4
REFAIL_DURATION_S = 0.5
WORK_FACTORS = (0.5, 1.5)  # Minimum and maximum ratio of the actual to the announced duration of work.
FIRST_REQUEST_S = 1
MAX_POWER_LOSS_S = 2


class MaintenanceProcess(MaintainedProcess):
    """One process of a simulated cluster with a maintenance coordinator. Implements `MachineHost`.

    Attributes:
        maintenance_simulation: Simulation that the process belongs to.
        boot: Boot of the machine on which the process was started.
        started_at_us: Start time.
        mode: Mode of the machine.
        mode_since_us: Time of the last change of the mode.
        coordinator: Coordinator of the class `MaintenanceSimulation.coordinator_class`.
    """

    def __init__(self, sim: ClusterSimulation, start: ProcessStart) -> None:
        super().__init__(sim, start)
        assert isinstance(sim, MaintenanceSimulation)
        self.maintenance_simulation = sim
        self.boot = sim.machines[start.seat].boots
        self.started_at_us = sim.now
        self.mode = MachineMode.SERVING
        self.mode_since_us = 0
        self.coordinator = sim.coordinator_class(
            self.node, self, sim.policy, start.recovered, sim.acceptor_class
        )

    # ---- `machine_controller.MachineHost` ----

    def unix_s(self) -> float:
        """Return the Unix time by the machine's clock."""
        return EPOCH_S + (self.sim.now + self.maintenance_simulation.clock_skews_us[self.seat]) / 1e6

    def machine_state(self) -> MachineState:
        """Return the state of the machine."""
        mode_us = self.sim.now - self.mode_since_us
        return MachineState(
            seat="",
            incarnation=0,
            is_first_process=True,
            boot_id=str(self.boot),
            settings_digest="s",
            is_drained=self.mode is MachineMode.DRAINING and mode_us >= DRAIN_US,
            is_warm=self._check_warm(),
            recovered=self.coordinator.replica.acceptor.recovered,
        )

    def _check_warm(self) -> bool:
        is_warm = self.sim.now - self.started_at_us >= WARM_UP_S * SECOND
        if is_warm:
            self.maintenance_simulation.machines[self.seat].is_warming_up = False
        return is_warm

    def set_mode(self, mode: MachineMode, reason: str) -> None:
        """Enter a mode, and accept no new work in the modes DRAINING and CLEARED."""
        if mode is not self.mode:
            self.mode = mode
            self.mode_since_us = self.sim.now
        self.draining = mode in (MachineMode.DRAINING, MachineMode.CLEARED)

    def alert(self, text: str) -> None:
        """Ignore an alert: `SimulatedOperators` finds stuck machines without alerts."""

    def check_self(self) -> None:
        """Publish weight and load in addition to the status."""
        self.node.load_figures = (
            self._weight(),
            self.maintenance_simulation.load,
            self.maintenance_simulation.load,
        )
        super().check_self()

    def _weight(self) -> int:
        if self.draining:
            return 0
        return FULL_WEIGHT if self._check_warm() else WARM_UP_WEIGHT

    def lost(self, key: bytes) -> None:
        """Called when keyed work is lost, which does not occur in this simulation."""
        raise AssertionError(key)


class MaintenanceFaultInjector(FaultInjector):
    """Injects faults of processes and machines."""

    def __init__(self, sim: ClusterSimulation) -> None:
        super().__init__(sim)
        assert isinstance(sim, MaintenanceSimulation)
        self._simulation = sim

    def inject(self, kind: FaultKind, seat: int, duration_s: float) -> None:
        """Inject a fault at a member or at its machine."""
        if kind is FaultKind.MACHINE_POWER_LOSS:
            self._lose_power(seat, duration_s)
        elif kind is FaultKind.LOWERED_LIMIT:
            self._lower_limit(seat, duration_s)
        else:
            if kind is FaultKind.CLOCK_SET_BACK:
                self._simulation.clock_skews_us[seat] -= CLOCK_SET_BACK_US
            super().inject(kind, seat, duration_s)

    def _lose_power(self, seat: int, duration_s: float) -> None:
        simulation = self._simulation
        machine = simulation.machines[seat]
        process = simulation.processes[seat]
        if not process.alive or machine.is_down:
            return
        self.log.append(f"{simulation.now / SECOND:.3f} s: n{seat} loses power")
        simulation.crash(process)
        machine.is_cleared = False
        machine.boots += 1
        simulation.stuck.discard(seat)
        simulation.restart_later(seat, simulation.now + round(min(duration_s, MAX_POWER_LOSS_S) * SECOND))

    def _lower_limit(self, seat: int, duration_s: float) -> None:
        """Set a member's limit of machines that are out to 1 until the fault ends, even if more are out already."""
        process = self._simulation.live_process(seat)
        if process is not None:
            coordinator = process.coordinator
            coordinator.reconfigure(replace(self._simulation.policy, max_out=1))
            restore = partial(coordinator.reconfigure, self._simulation.policy)
            self._simulation.at(self._simulation.now + round(duration_s * SECOND), process, restore)


class MaintenanceSimulation(ClusterSimulation):
    """One simulation of a cluster whose machines are maintained.

    Attributes:
        machines: Machines by seat number.
        clock_skews_us: Deviation of each machine's clock.
        policy: Maintenance policy of all members.
        coordinator_class: Class of the coordinators.
        acceptor_class: Class of the coordinators' acceptors.
        load: Load of each member in hundredths of a core.
        operators: Simulated operators.
        stuck: Seat numbers of cleared machines on which no script is left to begin the work.
        max_cleared: Maximum number of machines that could be worked on at the same time.
        violations: Descriptions of violations found so far.
    """

    fault_injector_class = MaintenanceFaultInjector

    def __init__(
        self,
        seed: int,
        scenario: Scenario = SCENARIO,
        policy: MaintenancePolicy = POLICY,
        load: float = 0.4,
        requests: int = 3,
        coordinator_class: type[MaintenanceCoordinator] = MaintenanceCoordinator,
        acceptor_class: type[Acceptor] = Acceptor,
        process_class: type[MaintenanceProcess] = MaintenanceProcess,
    ) -> None:
        """Prepare a simulation.

        :param load: Load of each member in cores.
        """
        self.machines = [SimulatedMachine() for _ in range(scenario.seats)]
        self.clock_skews_us = [0] * scenario.seats
        self.policy = policy
        self.load = round(load * HUNDREDTHS)
        # Tests replace these classes by ones with a deliberate mistake.
        self.coordinator_class = coordinator_class
        self.acceptor_class = acceptor_class
        self.max_cleared = 0
        self.stuck: set[int] = set()
        self.violations: list[str] = []
        super().__init__(seed, scenario, process_class=process_class)
        self.operators = SimulatedOperators(self)
        for number in range(requests):
            self.operators.plan_request(
                f"ask {number}", self.random.uniform(FIRST_REQUEST_S, scenario.seconds / 2)
            )

    def start_process(self, seat: int, recovered: bool, incarnation: int | None = None) -> Process:
        """Start a process of a member, see `ClusterSimulation`."""
        process = super().start_process(seat, recovered, incarnation)
        assert isinstance(process, MaintenanceProcess)
        self.at(self.now, process, process.coordinator.start)
        return process

    def live_processes(self) -> list[MaintenanceProcess]:
        """Return the processes that are alive."""
        return [
            process for process in self.processes if process.alive and isinstance(process, MaintenanceProcess)
        ]

    def live_process(self, seat: int) -> MaintenanceProcess | None:
        """Return the process of a seat, or None if it is not alive."""
        process = self.processes[seat]
        return process if process.alive and isinstance(process, MaintenanceProcess) else None

    # ---- machines ----

    def clear_machine(self, seat: int) -> None:
        """Record that a script was granted its clearance, and check the limits."""
        self.machines[seat].is_cleared = True
        worked_on = [seat for seat, machine in enumerate(self.machines) if machine.is_worked_on]
        self.max_cleared = max(self.max_cleared, len(worked_on))
        by_zone = Counter(seat % 2 for seat in worked_on)
        if len(worked_on) > self.policy.max_out or max(by_zone.values()) > self.policy.max_out_per_zone:
            self.violations.append(
                f"{self.now / SECOND:.3f} s: n{seat} was cleared, so {worked_on} may be worked on at the same time"
            )

    def work_on(self, seat: int) -> None:
        """Shut the machine down for work, and boot it afterwards."""
        machine = self.machines[seat]
        machine.is_cleared = False
        machine.is_down = True
        process = self.processes[seat]
        if process.alive:
            self.crash(process)
        refails = self.random.random() < REFAIL_SHARE

        def boot() -> None:
            machine.is_down = False
            machine.is_warming_up = True
            machine.boots += 1
            self.processes[seat] = self.start_process(seat, recovered=False)
            if refails:
                fail_at_us = self.now + round(REFAIL_DELAY_S * SECOND)
                self.at(
                    fail_at_us,
                    None,
                    lambda: self.faults.inject(FaultKind.MACHINE_POWER_LOSS, seat, REFAIL_DURATION_S),
                )

        work_s = self.random.uniform(*WORK_FACTORS) * WORK_S
        self.at(self.now + round(work_s * SECOND), None, boot)

    def restart_later(self, seat: int, when: int, incarnation: int | None = None) -> None:
        """Start a new process of a member at a time in us, unless one is alive or its machine is down then."""

        def restart() -> None:
            if not self.processes[seat].alive and not self.machines[seat].is_down:
                self.processes[seat] = self.start_process(seat, not self._has_amnesia, incarnation)

        self.at(when, None, restart)

    # ---- run and check ----

    def play(self) -> str | None:
        """Run the simulation to its end, and check its invariants.

        :returns: Description of a violation, or None.
        """
        self.run(round(self.scenario.seconds * SECOND))
        self.end_faults()
        end = self.now + round(RECOVERY_S * SECOND)
        while self.now < end and not (self.violations or self._is_all_finished()):
            self.run(self.now + SECOND)
            self.operators.repair_stuck_machines()
        return self.violations[0] if self.violations else self._unfinished()

    def _is_all_finished(self) -> bool:
        is_idle = all(not process.coordinator.schedule.requests for process in self.live_processes())
        return is_idle and all(self.operators.is_known(request_id) for request_id in self.operators.requested)

    def _unfinished(self) -> str | None:
        schedules = [process.coordinator.schedule for process in self.live_processes()]
        last = max(schedules, key=lambda schedule: schedule.revision)
        for request_id in self.operators.requested:
            request = last.request(request_id)
            if request is not None:
                return f"{request_id} is not finished: {request}, {last.slots}"
            if not last.is_finished(request_id):
                return f"{request_id} is missing from the schedule"
        return None
