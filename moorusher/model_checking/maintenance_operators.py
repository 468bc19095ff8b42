"""Simulated operators, who request and withdraw maintenance and repair stuck machines."""

from __future__ import annotations

from collections.abc import Sequence
from functools import partial
from typing import Protocol

from msgspec import structs

from ..maintenance.schedule import MaintenanceRequest, SlotStage
from ..membership.placement import majority
from ..time_units import SECOND
from .maintenance_scripts import MaintainedProcess, Script, ScriptEnvironment
from .scenario import Scenario

EPOCH_S = 1e9  # Unix time at the start of a simulation.
WORK_S = 1.0
# Share of requests that a script submits for its own machine. The other requests may name several machines.
OWN_SCRIPT_SHARE = 0.4
KILLED_EARLY_SHARE = 0.08  # Share of scripts that are killed between clearance and work.
WITHDRAWN_SHARE = 0.2  # Share of requests that are withdrawn.
MAX_WITHDRAWAL_DELAY_S = 8  # From the request to its withdrawal.
SUBMIT_RETRY_US = 3 * SECOND
PRIORITIES = 3
SHARES_ZONE_SHARE = 0.5  # Share of requests with the flag `shares_zone`.


class OperatorEnvironment(ScriptEnvironment, Protocol):
    """The part of the simulation that operators use."""

    scenario: Scenario

    def live_processes(self) -> Sequence[MaintainedProcess]:
        """Return the processes that are alive."""


class SimulatedOperators:
    """The operators of one simulation.

    Attributes:
        requested: Seats of each submitted request.
        scripts: All scripts, including those that have ended.
        majority_losses: Number of repairs after a majority of the replicas had lost their memory.
    """

    def __init__(self, environment: OperatorEnvironment) -> None:
        self.requested: dict[str, set[str]] = {}
        self.scripts: list[Script] = []
        self.majority_losses = 0
        self._environment = environment

    # ---- requests ----

    def plan_request(self, request_id: str, at_s: float) -> None:
        """Draw a request and whether it is withdrawn later, and schedule both."""
        random = self._environment.random
        seats = self._environment.scenario.seats
        has_own_script = random.random() < OWN_SCRIPT_SHARE
        if has_own_script:
            machines = [random.randrange(seats)]
        else:
            machines = sorted(random.sample(range(seats), random.randint(1, seats)))
        request = MaintenanceRequest(
            request_id,
            "patch",
            "operator",
            WORK_S,
            EPOCH_S + at_s,
            priority=random.randrange(PRIORITIES),
            shares_zone=random.random() < SHARES_ZONE_SHARE,
            queued=tuple(f"n{seat}" for seat in machines),
        )
        self.requested[request_id] = set(request.queued)
        killed_early = {seat for seat in machines if random.random() < KILLED_EARLY_SHARE}
        is_withdrawn = random.random() < WITHDRAWN_SHARE
        at_us = round(at_s * SECOND)
        if has_own_script:
            self._plan_own_script(request, machines[0], at_us, is_killed_early=bool(killed_early))
        else:
            self._environment.at(at_us, None, lambda: self._submit(request, None))
            self._environment.at(
                at_us + 1, None, lambda: self._start_scripts(request_id, machines, killed_early)
            )
        if is_withdrawn:
            withdraw_s = at_s + random.uniform(0, MAX_WITHDRAWAL_DELAY_S)
            self._environment.at(round(withdraw_s * SECOND), None, lambda: self._withdraw(request_id))

    def _plan_own_script(
        self, request: MaintenanceRequest, seat: int, at_us: int, is_killed_early: bool
    ) -> None:
        """Schedule a request that is submitted by a script on its only machine."""
        script = Script(self._environment, seat, request.id, is_killed_early)
        self.scripts.append(script)
        from_script = structs.replace(request, boot_id=str(script.boot))
        self._environment.at(at_us, None, lambda: self._submit(from_script, script))
        self._environment.at(at_us + 1, None, script.wait)

    def _submit(self, request: MaintenanceRequest, script: Script | None) -> None:
        """Send a request repeatedly until a member knows it, or the script that submits it has ended."""
        if self.is_known(request.id):
            return
        if script is not None and not script.is_alive:
            self.requested.pop(request.id, None)  # The script ended before any member knew the request.
            return
        seat = (
            self._environment.random.randrange(self._environment.scenario.seats)
            if script is None
            else script.seat
        )
        process = self._environment.live_process(seat)
        if process is not None:
            submit = partial(process.coordinator.submit, request, lambda result: None)
            self._environment.at(self._environment.now, process, submit)
        self._environment.at(
            self._environment.now + SUBMIT_RETRY_US, None, lambda: self._submit(request, script)
        )

    def _start_scripts(self, request_id: str, machines: list[int], killed_early: set[int]) -> None:
        """Start a script on each queued machine that has none, and repeat this every second."""
        # A machine thus has a waiting script again after each boot.
        for seat in machines:
            if self._is_queued(request_id, f"n{seat}") and not self._has_script(request_id, seat):
                script = Script(self._environment, seat, request_id, seat in killed_early)
                self.scripts.append(script)
                script.wait()
                killed_early.discard(seat)
        self._environment.at(
            self._environment.now + SECOND,
            None,
            lambda: self._start_scripts(request_id, machines, killed_early),
        )

    def _has_script(self, request_id: str, seat: int) -> bool:
        return any(
            script.is_alive and script.seat == seat and script.request_id == request_id
            for script in self.scripts
        )

    def is_known(self, request_id: str) -> bool:
        """Return whether any member's schedule contains the request or records that it is finished."""
        schedules = [process.coordinator.schedule for process in self._environment.live_processes()]
        return any(
            schedule.request(request_id) is not None or schedule.is_finished(request_id)
            for schedule in schedules
        )

    def _is_queued(self, request_id: str, seat: str) -> bool:
        requests = [
            process.coordinator.schedule.request(request_id) for process in self._environment.live_processes()
        ]
        return any(request is not None and seat in request.queued for request in requests)

    def _withdraw(self, request_id: str) -> None:
        live = self._environment.live_processes()
        if live:
            process = self._environment.random.choice(live)
            withdraw = partial(process.coordinator.withdraw, request_id, [], "operator", lambda result: None)
            self._environment.at(self._environment.now, process, withdraw)

    # ---- repairs ----

    def repair_stuck_machines(self) -> None:
        """Finish slots whose work is not in progress, and resume suspended seats.

        If a majority of the replicas has lost its memory, only recover the majority.
        """
        live = self._environment.live_processes()
        if not live:
            return
        if self._has_lost_majority(live):
            self._recover_majority(live)
            return
        coordinator = live[0].coordinator
        for slot in coordinator.schedule.slots:
            seat = int(slot.seat[1:])
            is_open = slot.stage in (SlotStage.CLEARED, SlotStage.SUSPENDED)
            if is_open and not self._is_in_progress(seat, slot.request_id):
                self._environment.machines[seat].is_cleared = False
                self._environment.stuck.discard(seat)
                coordinator.finish(slot.seat, "operator", lambda result: None)
        for request in coordinator.schedule.requests:
            for seat_name, _ in request.suspended:
                coordinator.resume(seat_name, lambda result: None)

    def _is_in_progress(self, seat: int, request_id: str) -> bool:
        machine = self._environment.machines[seat]
        is_work_expected = machine.is_cleared and seat not in self._environment.stuck
        return (
            is_work_expected or self._has_script(request_id, seat) or machine.is_down or machine.is_warming_up
        )

    @staticmethod
    def _replicas(live: Sequence[MaintainedProcess]) -> Sequence[MaintainedProcess]:
        return [process for process in live if process.node.me in process.coordinator.replica.replicas]

    def _has_lost_majority(self, live: Sequence[MaintainedProcess]) -> bool:
        """Return whether all replicas are alive and too few of them have recovered for a majority."""
        replicas = self._replicas(live)
        recovered = sum(process.coordinator.replica.acceptor.recovered for process in replicas)
        is_complete = len(replicas) == len(live[0].coordinator.replica.replicas)
        return is_complete and recovered < majority(len(replicas))

    def _recover_majority(self, live: Sequence[MaintainedProcess]) -> None:
        """Withdraw all clearances, end all scripts, and if no machine is down, bootstrap a replica.

        The bootstrap uses the data that remains and accepts the loss of the rest.
        """
        for seat, machine in enumerate(self._environment.machines):
            machine.is_cleared = False
            self._environment.stuck.discard(seat)
        for script in self.scripts:
            script.is_over = True
        if any(machine.is_down for machine in self._environment.machines):
            return
        unrecovered = next(
            process for process in self._replicas(live) if not process.coordinator.replica.acceptor.recovered
        )
        if unrecovered.coordinator.replica.registers.recovery.bootstrap(accept_loss=True) is None:
            self.majority_losses += 1
