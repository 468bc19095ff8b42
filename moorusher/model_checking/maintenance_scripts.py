"""Simulated machines, and the scripts that wait on them until they may be worked on."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Protocol

from ..maintenance.coordinator import MaintenanceCoordinator
from ..maintenance.waiters import WaitResult, WaitStatus
from ..time_units import SECOND
from .cluster_process import Process
from .virtual_time import Schedulable

WAIT_TIMEOUT_S = 2
RETRY_S = 3
POLL_S = 0.1
STOPPED_SCRIPT_SHARE = 0.1  # of answers that come to a script which is stopped for up to MAX_STOPPED_S
MAX_STOPPED_S = 4
MAX_ANSWER_S = 0.05
WORK_DELAY_S = (0.01, 1.5)  # least and most time until granted work begins


@dataclass(slots=True)
class SimulatedMachine:
    """A machine, as nobody in the cluster sees it.

    boots: int, what its own file would say.
    is_cleared: bool, its script may begin the work at any time.
    is_down: bool, it is being worked on.
    is_warming_up: bool, it has come back from work, and is not what it was.
    """

    boots: int = 1
    is_cleared: bool = False
    is_down: bool = False
    is_warming_up: bool = False

    @property
    def is_worked_on(self) -> bool:
        """It may be worked on, or is not yet back in service."""
        return self.is_cleared or self.is_down or self.is_warming_up


class MaintainedProcess(Process):
    """A process with a coordinator of maintenance."""

    coordinator: MaintenanceCoordinator


class MaintenanceWorld(Protocol):
    """The simulation, as scripts see it.

    stuck: machines that are cleared, and nobody is there who begins the work.
    """

    now: int
    random: Random
    machines: list[SimulatedMachine]
    stuck: set[int]

    def at(self, when: int, process: Schedulable | None, action: Callable[[], None]) -> None:
        """Call `action` at that time, if the process is alive."""

    def live_process(self, seat: int) -> MaintainedProcess | None:
        """Return the process of a seat, if it is alive."""

    def clear_machine(self, seat: int) -> None:
        """A script was told that it may begin."""

    def work_on(self, seat: int) -> None:
        """The machine goes down, and boots again."""


class Script:
    """`moorusher outage ask --wait && reboot` on the machine itself; asks again by its id whatever becomes of a try.

    seat: int, the machine.
    request_id: str.
    gives_up: bool, it is killed between its two commands.
    is_over: bool, it has ended.
    """

    def __init__(self, world: MaintenanceWorld, seat: int, request_id: str, gives_up: bool) -> None:
        self.seat = seat
        self.request_id = request_id
        self.gives_up = gives_up
        self.is_over = False
        self._world = world
        self._machine = world.machines[seat]
        self.boot = self._machine.boots

    @property
    def is_alive(self) -> bool:
        """It waits, on the boot of the machine that it was started on."""
        return not self.is_over and self._machine.boots == self.boot and not self._machine.is_down

    def wait(self) -> None:
        """Ask the runner of its machine, and again if there is no answer."""
        if not self.is_alive:
            return
        is_answered = False

        def answered(result: WaitResult) -> None:
            nonlocal is_answered
            if is_answered or not self.is_alive:
                return
            is_answered = True
            self._world.at(self._world.now + self._answer_delay_us(), None, lambda: self._on_answer(result))

        def retry() -> None:
            nonlocal is_answered
            if not is_answered:
                is_answered = True
                self.wait()

        self._request_clearance(answered)
        self._world.at(self._world.now + RETRY_S * SECOND, None, retry)

    def _request_clearance(self, answered: Callable[[WaitResult], None]) -> None:
        process = self._world.live_process(self.seat)
        if process is None:
            return

        def wait_for_grant() -> None:
            process.coordinator.wait(self.request_id, f"n{self.seat}", WAIT_TIMEOUT_S * SECOND, answered)

        self._world.at(self._world.now, process, wait_for_grant)

    def _answer_delay_us(self) -> int:
        """An answer is on its way to the script, which may be stopped for long as well."""
        random = self._world.random
        is_stopped = random.random() < STOPPED_SCRIPT_SHARE
        return round(random.uniform(0, MAX_STOPPED_S if is_stopped else MAX_ANSWER_S) * SECOND)

    def _on_answer(self, result: WaitResult) -> None:
        if not self.is_alive:
            return
        if result.status is WaitStatus.GRANTED:
            self.is_over = True
            self._on_granted()
        elif result.status is WaitStatus.QUEUED:
            self._world.at(self._world.now + round(POLL_S * SECOND), None, self.wait)
        else:
            self.is_over = True

    def _on_granted(self) -> None:
        is_first = not self._machine.is_cleared
        self._world.clear_machine(self.seat)
        if self.gives_up:
            if is_first:  # killed between its two commands: nobody works on it, and nobody says so
                self._world.stuck.add(self.seat)
        else:
            self._world.stuck.discard(self.seat)
            delay_s = self._world.random.uniform(*WORK_DELAY_S)
            self._world.at(self._world.now + round(delay_s * SECOND), None, self._start_work)

    def _start_work(self) -> None:
        if self._machine.boots == self.boot and not self._machine.is_down:
            self._world.work_on(self.seat)
