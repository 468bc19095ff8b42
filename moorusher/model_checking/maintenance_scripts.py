"""Simulated machines, and the operators' scripts that wait on them for clearance to begin the work."""

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
PAUSED_SCRIPT_SHARE = 0.1  # Share of answers that a script receives late because it is paused.
MAX_PAUSE_S = 4
MAX_ANSWER_S = 0.05
WORK_DELAY_S = (0.01, 1.5)  # Minimum and maximum time from the clearance to the start of the work.


@dataclass(slots=True)
class SimulatedMachine:
    """The true state of a machine, which no process of the cluster sees.

    Attributes:
        boots: Number of the machine's boots, which serves as its boot id.
        is_cleared: Whether the script on the machine may begin the work at any time.
        is_down: Whether the machine is shut down for work.
        is_warming_up: Whether the machine has returned from work and has not reached full capacity.
    """

    boots: int = 1
    is_cleared: bool = False
    is_down: bool = False
    is_warming_up: bool = False

    @property
    def is_worked_on(self) -> bool:
        """Whether the machine may be worked on, or has not yet returned to full service after the work."""
        return self.is_cleared or self.is_down or self.is_warming_up


class MaintainedProcess(Process):
    """A process with a maintenance coordinator."""

    coordinator: MaintenanceCoordinator


class ScriptEnvironment(Protocol):
    """The part of the simulation that scripts use.

    Attributes:
        now: Time in us.
        machines: Machines by seat number.
        stuck: Seat numbers of cleared machines on which no script is left to begin the work.
    """

    now: int
    random: Random
    machines: list[SimulatedMachine]
    stuck: set[int]

    def at(self, when: int, process: Schedulable | None, action: Callable[[], None]) -> None:
        """Call `action` at a time in us, if the process is alive then."""

    def live_process(self, seat: int) -> MaintainedProcess | None:
        """Return the process of a seat, or None if it is not alive."""

    def clear_machine(self, seat: int) -> None:
        """Record that a script was granted its clearance."""

    def work_on(self, seat: int) -> None:
        """Shut the machine down for work, and boot it afterwards."""


class Script:
    """Simulates `moorusher outage ask --wait && reboot` on a machine, and repeats the wait if no answer arrives.

    Attributes:
        seat: Seat number of the machine.
        request_id: Id of the maintenance request.
        is_killed_early: Whether the script is killed after the wait and before the reboot.
        is_over: Whether the script has ended.
        boot: Boot of the machine on which the script was started.
    """

    def __init__(
        self, environment: ScriptEnvironment, seat: int, request_id: str, is_killed_early: bool
    ) -> None:
        self.seat = seat
        self.request_id = request_id
        self.is_killed_early = is_killed_early
        self.is_over = False
        self._environment = environment
        self._machine = environment.machines[seat]
        self.boot = self._machine.boots

    @property
    def is_alive(self) -> bool:
        """Whether the script has not ended and the machine has not shut down or rebooted since the script's start."""
        return not self.is_over and self._machine.boots == self.boot and not self._machine.is_down

    def wait(self) -> None:
        """Wait for clearance from the machine's runner, and retry if there is no answer."""
        if not self.is_alive:
            return
        is_answered = False

        def on_result(result: WaitResult) -> None:
            nonlocal is_answered
            if is_answered or not self.is_alive:
                return
            is_answered = True
            self._environment.at(
                self._environment.now + self._answer_delay_us(), None, lambda: self._on_answer(result)
            )

        def retry() -> None:
            nonlocal is_answered
            if not is_answered:
                is_answered = True
                self.wait()

        self._request_clearance(on_result)
        self._environment.at(self._environment.now + RETRY_S * SECOND, None, retry)

    def _request_clearance(self, on_result: Callable[[WaitResult], None]) -> None:
        process = self._environment.live_process(self.seat)
        if process is None:
            return

        def wait_for_grant() -> None:
            process.coordinator.wait(self.request_id, f"n{self.seat}", WAIT_TIMEOUT_S * SECOND, on_result)

        self._environment.at(self._environment.now, process, wait_for_grant)

    def _answer_delay_us(self) -> int:
        """Draw the time until the script handles an answer, which is long if the script is paused."""
        random = self._environment.random
        is_paused = random.random() < PAUSED_SCRIPT_SHARE
        return round(random.uniform(0, MAX_PAUSE_S if is_paused else MAX_ANSWER_S) * SECOND)

    def _on_answer(self, result: WaitResult) -> None:
        if not self.is_alive:
            return
        if result.status is WaitStatus.GRANTED:
            self.is_over = True
            self._on_granted()
        elif result.status is WaitStatus.QUEUED:
            self._environment.at(self._environment.now + round(POLL_S * SECOND), None, self.wait)
        else:
            self.is_over = True

    def _on_granted(self) -> None:
        is_first = not self._machine.is_cleared
        self._environment.clear_machine(self.seat)
        if self.is_killed_early:
            # The script is killed after the wait and before the reboot, so the work never begins.
            if is_first:
                self._environment.stuck.add(self.seat)
        else:
            self._environment.stuck.discard(self.seat)
            delay_s = self._environment.random.uniform(*WORK_DELAY_S)
            self._environment.at(self._environment.now + round(delay_s * SECOND), None, self._start_work)

    def _start_work(self) -> None:
        if self._machine.boots == self.boot and not self._machine.is_down:
            self._environment.work_on(self.seat)
