"""Maintenance of a cluster in virtual time: the real pure parts, scripts that wait on their machines, and faults.

One seed is one simulation of `cluster_simulation`. What is checked is the machines themselves: how many of them may be
worked on at any moment, and whether all that was requested comes about in the end.
"""

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
RECOVERY_S = 60.0  # after the faults, until all that was requested must have come about
CLOCK_SET_BACK_US = 3600 * SECOND
FULL_WEIGHT = 100
WARM_UP_WEIGHT = 35
HUNDREDTHS = 100
REFAIL_SHARE = 0.08  # of machines, shortly after they have come back
REFAIL_DELAY_S = 0.4
REFAIL_DURATION_S = 0.5
WORK_FACTORS = (0.5, 1.5)  # of the time that work was announced to take
FIRST_REQUEST_S = 1
MAX_POWER_LOSS_S = 2


class MaintenanceProcess(MaintainedProcess):
    """One process of a simulated cluster, with the real coordinator."""

    def __init__(self, sim: ClusterSimulation, start: ProcessStart) -> None:
        super().__init__(sim, start)
        assert isinstance(sim, MaintenanceSimulation)
        self.world = sim
        self.boot = sim.machines[start.seat].boots
        self.started_at_us = sim.now
        self.mode = MachineMode.SERVING
        self.mode_since_us = 0
        self.coordinator = sim.coordinator_class(
            self.node, self, sim.policy, start.recovered, sim.acceptor_class
        )

    # ---- `machine_controller.MachineHost` ----

    def unix_s(self) -> float:
        """Return the time of the machine's own clock."""
        return EPOCH_S + (self.sim.now + self.world.clock_skews_us[self.seat]) / 1e6

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
            self.world.machines[self.seat].is_warming_up = False
        return is_warm

    def set_mode(self, mode: MachineMode, reason: str) -> None:
        """Act by the mode."""
        if mode is not self.mode:
            self.mode = mode
            self.mode_since_us = self.sim.now
        self.draining = mode in (MachineMode.DRAINING, MachineMode.CLEARED)

    def alert(self, text: str) -> None:
        """Nobody reads it: `MaintenanceSimulation` finds by itself what is stuck."""

    def check_self(self) -> None:
        """Publish weight and load, too."""
        self.node.load_figures = self._weight(), self.world.load, self.world.load
        super().check_self()

    def _weight(self) -> int:
        if self.draining:
            return 0
        return FULL_WEIGHT if self._check_warm() else WARM_UP_WEIGHT

    def lost(self, key: bytes) -> None:
        """Of keyed work, which there is none of here."""
        raise AssertionError(key)


class MaintenanceFaultInjector(FaultInjector):
    """Injects faults of machines as well."""

    def __init__(self, sim: ClusterSimulation) -> None:
        super().__init__(sim)
        assert isinstance(sim, MaintenanceSimulation)
        self._world = sim

    def inject(self, kind: FaultKind, seat: int, duration_s: float) -> None:
        """Inject a fault at a member, or at its machine."""
        if kind is FaultKind.MACHINE_POWER_LOSS:
            self._lose_power(seat, duration_s)
        elif kind is FaultKind.LOWERED_LIMIT:
            self._lower_limit(seat, duration_s)
        else:
            if kind is FaultKind.CLOCK_SET_BACK:
                self._world.clock_skews_us[seat] -= CLOCK_SET_BACK_US
            super().inject(kind, seat, duration_s)

    def _lose_power(self, seat: int, duration_s: float) -> None:
        world = self._world
        machine = world.machines[seat]
        process = world.processes[seat]
        if not process.alive or machine.is_down:
            return
        self.log.append(f"{world.now / SECOND:.3f} s: n{seat} loses power")
        world.crash(process)
        machine.is_cleared = False
        machine.boots += 1
        world.stuck.discard(seat)
        world.restart_later(seat, world.now + round(min(duration_s, MAX_POWER_LOSS_S) * SECOND))

    def _lower_limit(self, seat: int, duration_s: float) -> None:
        """One member's settings have a lower limit for a while, under whatever is granted."""
        process = self._world.live_process(seat)
        if process is not None:
            coordinator = process.coordinator
            coordinator.reconfigure(replace(self._world.policy, max_out=1))
            restore = partial(coordinator.reconfigure, self._world.policy)
            self._world.at(self._world.now + round(duration_s * SECOND), process, restore)


class MaintenanceSimulation(ClusterSimulation):
    """One simulation of a cluster whose machines are maintained.

    coordinator_class, acceptor_class: the real ones, or those with a seeded mistake.
    load: int, of each member, in hundredths of a core.
    operators: who make requests.
    stuck: machines that are cleared, and nobody is there who begins the work.
    max_cleared: int, machines that could be worked on at one time.
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
        """`load`: of each member, in cores."""
        self.machines = [SimulatedMachine() for _ in range(scenario.seats)]
        self.clock_skews_us = [0] * scenario.seats
        self.policy = policy
        self.load = round(load * HUNDREDTHS)
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
        made = super().start_process(seat, recovered, incarnation)
        assert isinstance(made, MaintenanceProcess)
        self.at(self.now, made, made.coordinator.start)
        return made

    def live_processes(self) -> list[MaintenanceProcess]:
        """Return the processes that are alive."""
        return [
            process for process in self.processes if process.alive and isinstance(process, MaintenanceProcess)
        ]

    def live_process(self, seat: int) -> MaintenanceProcess | None:
        """Return the process of a seat, if it is alive."""
        process = self.processes[seat]
        return process if process.alive and isinstance(process, MaintenanceProcess) else None

    # ---- machines ----

    def clear_machine(self, seat: int) -> None:
        """A script was told that it may begin."""
        self.machines[seat].is_cleared = True
        worked_on = [seat for seat, machine in enumerate(self.machines) if machine.is_worked_on]
        self.max_cleared = max(self.max_cleared, len(worked_on))
        by_zone = Counter(seat % 2 for seat in worked_on)
        if len(worked_on) > self.policy.max_out or max(by_zone.values()) > self.policy.max_out_per_zone:
            self.violations.append(
                f"{self.now / SECOND:.3f} s: n{seat} was told to go, and {worked_on} may be worked on"
            )

    def work_on(self, seat: int) -> None:
        """The machine goes down, and boots again."""
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
        """Start a further process of a member at that time, in us, unless its machine is being worked on then."""

        def restart() -> None:
            if not self.processes[seat].alive and not self.machines[seat].is_down:
                self.processes[seat] = self.start_process(seat, not self._has_amnesia, incarnation)

        self.at(when, None, restart)

    # ---- the whole simulation ----

    def play(self) -> str | None:
        """Run the simulation to its end, and check it.

        :returns: what is violated, in words; None where nothing is.
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
                return f"{request_id} is not over: {request}, {last.slots}"
            if not last.is_finished(request_id):
                return f"{request_id} is forgotten"
        return None
