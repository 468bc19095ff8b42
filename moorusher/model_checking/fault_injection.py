"""Fault injection: draws the schedule of faults before a simulation runs, and carries out each fault."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from ..time_units import MS, SECOND
from .cluster_process import Process
from .scenario import FaultKind
from .simulated_network import Link

if TYPE_CHECKING:
    from .cluster_simulation import ClusterSimulation

MAX_SHORT_FAULT_S = 0.6
MIN_LONG_FAULT_S = 0.5
MAX_LONG_FAULT_S = 4
QUICK_RESTART_US = 20 * MS
MIN_RESTART_DELAY_S = 0.02
MAX_RESTART_DELAY_S = 1
INCARNATION_DECREASE = 5  # Decrease of the incarnation in a restart after the clock was set back.


class FaultInjector:
    """Injects the faults of a scenario.

    Attributes:
        log: One line for each injected fault.
    """

    def __init__(self, sim: ClusterSimulation) -> None:
        self.log: list[str] = []
        self._sim = sim

    def plan(self) -> None:
        """Draw kind, member, start time and duration of each fault, and schedule it."""
        random = self._sim.random
        scenario = self._sim.scenario
        for _ in range(scenario.faults):
            kind = random.choice(scenario.fault_kinds)
            seat = random.randrange(scenario.seats)
            at_s = random.uniform(0, scenario.seconds)
            duration_s = random.choice(
                (random.uniform(0, MAX_SHORT_FAULT_S), random.uniform(MIN_LONG_FAULT_S, MAX_LONG_FAULT_S))
            )
            self._sim.at(round(at_s * SECOND), None, partial(self.inject, kind, seat, duration_s))

    def inject(self, kind: FaultKind, seat: int, duration_s: float) -> None:
        """Inject a fault at a member, unless its process is not alive.

        :raises ValueError: If this kind of simulation does not support the fault.
        """
        process = self._sim.processes[seat]
        if not process.alive:
            return
        self.log.append(f"{self._sim.now / SECOND:.3f} s: {kind} n{seat} for {duration_s:.3f} s")
        end_us = self._sim.now + round(duration_s * SECOND)
        match kind:
            case FaultKind.POWER_FAILURE:
                self._fail_power(duration_s)
            case FaultKind.CRASH:
                self._sim.crash(process)
                self._sim.restart_later(seat, end_us)
            case FaultKind.QUICK_RESTART:
                self._sim.crash(process)
                self._sim.restart_later(seat, self._sim.now + QUICK_RESTART_US)
            case FaultKind.CLOCK_SET_BACK:
                self._set_clock_back(process)
            case FaultKind.PAUSE:
                process.stopped_until = end_us
            case FaultKind.KERNEL_OUTAGE:
                process.engine.kernel_is_up = False
                self._sim.at(end_us, process, process.engine.restore_kernel)
            case FaultKind.DRAIN:
                self._drain(process, end_us)
            case FaultKind.PARTITION | FaultKind.ONE_WAY_PARTITION:
                self._cut_links(self._draw_links(kind, seat), end_us)
            case _:
                raise ValueError(f"this simulation does not support the fault {kind}")

    def _fail_power(self, duration_s: float) -> None:
        """Crash all processes at once, and restart each after a delay drawn for it."""
        for process in self._sim.processes:
            if process.alive:
                self._sim.crash(process)
                delay_s = self._sim.random.uniform(MIN_RESTART_DELAY_S, min(duration_s, MAX_RESTART_DELAY_S))
                self._sim.restart_later(process.seat, self._sim.now + round(delay_s * SECOND))

    def _set_clock_back(self, process: Process) -> None:
        # The incarnation is lower than before, unless the scenario has journals.
        self._sim.crash(process)
        incarnation: int | None = None
        if not self._sim.scenario.journals:
            incarnation = max(1, process.node.owner.incarnation - INCARNATION_DECREASE)
        self._sim.restart_later(process.seat, self._sim.now + QUICK_RESTART_US, incarnation)

    def _drain(self, process: Process, end_us: int) -> None:
        def end() -> None:
            process.draining = False

        process.draining = True
        self._sim.at(end_us, process, end)

    def _draw_links(self, kind: FaultKind, seat: int) -> set[Link]:
        other_seats = [other for other in range(self._sim.scenario.seats) if other != seat]
        if kind is FaultKind.ONE_WAY_PARTITION:
            return {(seat, other) for other in other_seats}
        other_seats = self._sim.random.sample(other_seats, self._sim.random.randint(1, len(other_seats)))
        return {link for other in other_seats for link in ((seat, other), (other, seat))}

    def _cut_links(self, links: set[Link], end_us: int) -> None:
        cut_links = self._sim.network.cut_links
        cut_links |= links
        self._sim.at(end_us, None, lambda: cut_links.difference_update(links))
