"""The cores of an emulated machine.

All runs share them. Throughput drops while too many runs are active or while the machine is cold, and the machine
collapses under too many runs for too long. Times are in us. The module does no I/O and reads no clock, so it works with
real sockets as well as in virtual time.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass

from ..health.congestion import survivable_runs
from ..health.history import LevelHistory

NEVER = 1 << 60
"""A time that is never reached, in us."""
_ROUNDING_US = 1e-6
"""A run counts as completed if its remaining work is at most this."""


@dataclass(frozen=True, slots=True)
class MachineSpec:
    """The cores of a machine, and the loads at which they become slower or the machine collapses.

    Attributes:
        cores: Number of cores.
        speed: Work that one core does, in us per us.
        degradation_threshold: Runs per core above which the total throughput drops.
        degradation_per_run: Slowdown for each run per core above the threshold.
        initial_speed: Share of the full speed right after a cold start.
        warm_up_us: Time from a cold start to full speed.
        collapse_runs_per_core: Mean runs per core above which the machine collapses.
        window_us: Window over which the mean is taken.
    """

    cores: int = 2
    speed: float = 1.0
    degradation_threshold: float = 3.0
    degradation_per_run: float = 0.08
    initial_speed: float = 1.0
    warm_up_us: int = 0
    collapse_runs_per_core: float = 5.0
    window_us: int = 3_000_000


class Cores:
    """Runs that share the cores of a machine equally.

    All runs progress at the same rate. One counter, the work done per run since the beginning, therefore tracks all of
    them: a run completes when the counter reaches its value at the run's start plus the run's own work.

    :param starts_cold: whether the machine starts cold.

    Attributes:
        machine: Cores of the machine and their limits.
        started_at: Start of the machine, in us.
        starts_cold: Whether the machine started cold.
        factor: External speed factor: 0.25 is four times as slow, 0 is a pause.
        concurrency: Number of concurrent runs over the window of the machine.
        busy_us: Total time that cores were in use.
    """

    def __init__(self, machine: MachineSpec, now: int, starts_cold: bool = False) -> None:
        self.machine = machine
        self.started_at = now
        self.starts_cold = starts_cold
        self.factor = 1.0
        self.concurrency = LevelHistory(machine.window_us, now)
        self.busy_us = 0.0
        self._advanced_to = now
        self._work_per_run_us = 0.0
        self._ends: list[tuple[float, str]] = []
        self._end_of: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._end_of)

    def warm_up_factor(self, now: int) -> float:
        """Return the share of its full speed that the machine has reached, 0 to 1."""
        machine = self.machine
        if not self.starts_cold or not machine.warm_up_us:
            return 1.0
        progress = min(1.0, (now - self.started_at) / machine.warm_up_us)
        return machine.initial_speed + (1 - machine.initial_speed) * progress

    def _work_rate(self, now: int) -> float:
        """Return the work done for each run in one us."""
        machine = self.machine
        runs = len(self._end_of)
        if not runs:
            return 0.0
        excess = max(0.0, runs / machine.cores - machine.degradation_threshold)
        speed = machine.speed * self.factor * self.warm_up_factor(now)
        return speed * min(1.0, machine.cores / runs) / (1 + machine.degradation_per_run * excess)

    def advance(self, now: int) -> None:
        """Advance all runs to the current time."""
        elapsed = now - self._advanced_to
        if elapsed <= 0:
            return
        middle = (now + self._advanced_to) // 2
        self._work_per_run_us += self._work_rate(middle) * elapsed
        self.busy_us += min(len(self._end_of), self.machine.cores) * elapsed
        self._advanced_to = now

    def start(self, now: int, name: str, work_us: float) -> None:
        """Start a run.

        :param work_us: time that the run takes on an idle core of speed 1.
        """
        self.advance(now)
        end = self._work_per_run_us + work_us
        self._end_of[name] = end
        heapq.heappush(self._ends, (end, name))
        self.concurrency.set(now, len(self._end_of))

    def stop(self, now: int, name: str) -> bool:
        """Stop a run before its work is done; return whether the run was active."""
        self.advance(now)
        if self._end_of.pop(name, None) is None:
            return False
        self.concurrency.set(now, len(self._end_of))
        return True

    def completed(self, now: int) -> list[str]:
        """Remove the runs whose work is done and return their names."""
        self.advance(now)
        names = []
        while self._ends and (self._first_was_stopped() or self._first_is_done()):
            end, name = heapq.heappop(self._ends)
            if self._end_of.get(name) == end:
                del self._end_of[name]
                names.append(name)
        if names:
            self.concurrency.set(now, len(self._end_of))
        return names

    def _first_was_stopped(self) -> bool:
        end, name = self._ends[0]
        return self._end_of.get(name) != end

    def _first_is_done(self) -> bool:
        return self._ends[0][0] <= self._work_per_run_us + _ROUNDING_US

    def next_completion(self, now: int) -> int:
        """Return the time of the next completion, in us; `NEVER` if no run is active or the cores are paused."""
        while self._ends and self._first_was_stopped():
            heapq.heappop(self._ends)
        rate = self._work_rate(now)
        if not self._ends or rate <= 0:
            return NEVER
        return now + max(1, round((self._ends[0][0] - self._work_per_run_us) / rate))

    def survivable_runs(self, now: int) -> float:
        """Return the mean number of runs above which the machine collapses."""
        machine = self.machine
        return survivable_runs(machine.cores, machine.collapse_runs_per_core, self.warm_up_factor(now))

    def has_collapsed(self, now: int) -> bool:
        """Return whether the mean number of runs in the window exceeds `survivable_runs`."""
        return self.concurrency.mean(now) > self.survivable_runs(now)
