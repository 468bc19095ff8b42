"""Simulated operators: they request and withdraw maintenance, and look after what is stuck."""

from __future__ import annotations

from collections.abc import Sequence
from functools import partial
from typing import Protocol

from msgspec import structs

from ..maintenance.schedule import MaintenanceRequest, SlotStage
from ..membership.placement import majority
from ..time_units import SECOND
from .maintenance_scripts import MaintainedProcess, MaintenanceWorld, Script
from .scenario import Scenario

EPOCH_S = 1e9  # Unix time at the begin of a simulation
WORK_S = 1.0
OWN_SCRIPT_SHARE = 0.4  # of requests, for one machine by a script of its own; else for several at once
GIVES_UP_SHARE = 0.08  # of scripts
WITHDRAWN_SHARE = 0.2  # of requests
MAX_WITHDRAWAL_DELAY_S = 8  # after the request
SUBMIT_RETRY_US = 3 * SECOND
PRIORITIES = 3
SHARES_ZONE_SHARE = 0.5  # of requests


class OperatedWorld(MaintenanceWorld, Protocol):
    """The simulation, as operators see it."""

    scenario: Scenario

    def live_processes(self) -> Sequence[MaintainedProcess]:
        """Return the processes that are alive."""


class SimulatedOperators:
    """The operators of one simulation.

    requested: seats of each request that was made.
    scripts: that wait, or have ended.
    majority_losses: int, times that too many replicas had forgotten.
    """

    def __init__(self, world: OperatedWorld) -> None:
        self.requested: dict[str, set[str]] = {}
        self.scripts: list[Script] = []
        self.majority_losses = 0
        self._world = world

    # ---- requests ----

    def plan_request(self, request_id: str, at_s: float) -> None:
        """Draw a request that is made at that time, and whether it is withdrawn later."""
        random = self._world.random
        seats = self._world.scenario.seats
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
        gives_up = {seat for seat in machines if random.random() < GIVES_UP_SHARE}
        is_withdrawn = random.random() < WITHDRAWN_SHARE
        at_us = round(at_s * SECOND)
        if has_own_script:
            self._plan_own_script(request, machines[0], at_us, gives_up=bool(gives_up))
        else:
            self._world.at(at_us, None, lambda: self._submit(request, None))
            self._world.at(at_us + 1, None, lambda: self._start_scripts(request_id, machines, gives_up))
        if is_withdrawn:
            withdraw_s = at_s + random.uniform(0, MAX_WITHDRAWAL_DELAY_S)
            self._world.at(round(withdraw_s * SECOND), None, lambda: self._withdraw(request_id))

    def _plan_own_script(self, request: MaintenanceRequest, seat: int, at_us: int, gives_up: bool) -> None:
        """The request for one machine is made by a script on it, which is there already."""
        script = Script(self._world, seat, request.id, gives_up)
        self.scripts.append(script)
        from_script = structs.replace(request, boot_id=str(script.boot))
        self._world.at(at_us, None, lambda: self._submit(from_script, script))
        self._world.at(at_us + 1, None, script.wait)

    def _submit(self, request: MaintenanceRequest, script: Script | None) -> None:
        """Send a request until somebody knows it, or its own script is gone."""
        if self.is_known(request.id):
            return
        if script is not None and not script.is_alive:
            self.requested.pop(request.id, None)  # it has gone before anybody heard of it
            return
        seat = self._world.random.randrange(self._world.scenario.seats) if script is None else script.seat
        process = self._world.live_process(seat)
        if process is not None:
            submit = partial(process.coordinator.submit, request, lambda result: None)
            self._world.at(self._world.now, process, submit)
        self._world.at(self._world.now + SUBMIT_RETRY_US, None, lambda: self._submit(request, script))

    def _start_scripts(self, request_id: str, machines: list[int], gives_up: set[int]) -> None:
        """On each machine of a request something waits that is there after each boot."""
        for seat in machines:
            if self._is_queued(request_id, f"n{seat}") and not self._has_script(request_id, seat):
                script = Script(self._world, seat, request_id, seat in gives_up)
                self.scripts.append(script)
                script.wait()
                gives_up.discard(seat)
        self._world.at(
            self._world.now + SECOND, None, lambda: self._start_scripts(request_id, machines, gives_up)
        )

    def _has_script(self, request_id: str, seat: int) -> bool:
        return any(
            script.is_alive and script.seat == seat and script.request_id == request_id
            for script in self.scripts
        )

    def is_known(self, request_id: str) -> bool:
        """Return whether any member's schedule has the request, or has had it."""
        schedules = [process.coordinator.schedule for process in self._world.live_processes()]
        return any(
            schedule.request(request_id) is not None or schedule.is_finished(request_id)
            for schedule in schedules
        )

    def _is_queued(self, request_id: str, seat: str) -> bool:
        requests = [
            process.coordinator.schedule.request(request_id) for process in self._world.live_processes()
        ]
        return any(request is not None and seat in request.queued for request in requests)

    def _withdraw(self, request_id: str) -> None:
        live = self._world.live_processes()
        if live:
            process = self._world.random.choice(live)
            withdraw = partial(process.coordinator.withdraw, request_id, [], "operator", lambda result: None)
            self._world.at(self._world.now, process, withdraw)

    # ---- what is stuck ----

    def repair_stuck_machines(self) -> None:
        """As an operator does: finish what is stuck, resume what was suspended."""
        live = self._world.live_processes()
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
                self._world.machines[seat].is_cleared = False
                self._world.stuck.discard(seat)
                coordinator.finish(slot.seat, "operator", lambda result: None)
        for request in coordinator.schedule.requests:
            for seat_name, _ in request.suspended:
                coordinator.resume(seat_name, lambda result: None)

    def _is_in_progress(self, seat: int, request_id: str) -> bool:
        machine = self._world.machines[seat]
        will_begin = machine.is_cleared and seat not in self._world.stuck
        return will_begin or self._has_script(request_id, seat) or machine.is_down or machine.is_warming_up

    @staticmethod
    def _replicas(live: Sequence[MaintainedProcess]) -> Sequence[MaintainedProcess]:
        return [process for process in live if process.node.me in process.coordinator.replica.replicas]

    def _has_lost_majority(self, live: Sequence[MaintainedProcess]) -> bool:
        """All replicas are there, and too many have forgotten."""
        replicas = self._replicas(live)
        recovered = sum(process.coordinator.replica.acceptor.recovered for process in replicas)
        is_complete = len(replicas) == len(live[0].coordinator.replica.replicas)
        return is_complete and recovered < majority(len(replicas))

    def _recover_majority(self, live: Sequence[MaintainedProcess]) -> None:
        """Once nobody works on anything, an operator says that what is left counts."""
        for seat, machine in enumerate(self._world.machines):
            machine.is_cleared = False
            self._world.stuck.discard(seat)
        for script in self.scripts:
            script.is_over = True
        if any(machine.is_down for machine in self._world.machines):
            return
        forgetful = next(
            process for process in self._replicas(live) if not process.coordinator.replica.acceptor.recovered
        )
        if forgetful.coordinator.replica.registers.recovery.bootstrap(accept_loss=True) is None:
            self.majority_losses += 1
