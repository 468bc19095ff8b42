"""The cores of an emulated machine.

All runs share them. Less gets done while too many run, or while the machine is cold; too many for too long, and the
machine collapses. Times are in us. Pure, so that it serves on sockets and in virtual time alike.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass

from ..health.congestion import survivable_runs
from ..health.history import LevelHistory

NEVER = 1 << 60
"""A time that does not come, in us."""
_ROUNDING_US = 1e-6
"""Work that is done up to this much is done."""


@dataclass(frozen=True, slots=True)
class MachineSpec:
    """A machine's cores, and how many runs they bear.

    Attributes:
        cores: how many.
        speed: work of one core, in us a us.
        degradation_threshold: runs a core past which less gets done in all.
        degradation_per_run: how much less, for each further run a core.
        cold_speed: share of the speed right after a start.
        warm_up_us: from a cold start to full speed.
        collapse_runs_per_core: the machine collapses when the mean number of runs a core exceeds this.
        window_us: of that mean.
    """

    cores: int = 2
    speed: float = 1.0
    degradation_threshold: float = 3.0
    degradation_per_run: float = 0.08
    cold_speed: float = 1.0
    warm_up_us: int = 0
    collapse_runs_per_core: float = 5.0
    window_us: int = 3_000_000


class Cores:
    """Runs that share the cores of a machine: each gets the same part.

    All runs progress alike, so that one number, the work that each has got since the beginning, says how far a run is:
    a run ends when that number reaches what it was at the run's start plus the run's own work.

    :ivar started_at: when the machine started, in us.
    :ivar factor: an outside slowdown: 0.25 is four times as slow, 0 a pause.
    :ivar concurrency: runs at a time, over the window of the machine.
    :ivar busy_us: time of cores that were in use.
    """

    def __init__(self, machine: MachineSpec, now: int, cold: bool = False) -> None:
        self.machine = machine
        self.started_at = now
        self.cold = cold
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
        """The share of its full speed that the machine has reached."""
        machine = self.machine
        if not self.cold or not machine.warm_up_us:
            return 1.0
        progress = min(1.0, (now - self.started_at) / machine.warm_up_us)
        return machine.cold_speed + (1 - machine.cold_speed) * progress

    def _work_rate(self, now: int) -> float:
        """Work of each run in a us."""
        machine = self.machine
        runs = len(self._end_of)
        if not runs:
            return 0.0
        excess = max(0.0, runs / machine.cores - machine.degradation_threshold)
        speed = machine.speed * self.factor * self.warm_up_factor(now)
        return speed * min(1.0, machine.cores / runs) / (1 + machine.degradation_per_run * excess)

    def advance(self, now: int) -> None:
        """Let all runs work until now."""
        elapsed = now - self._advanced_to
        if elapsed <= 0:
            return
        middle = (now + self._advanced_to) // 2
        self._work_per_run_us += self._work_rate(middle) * elapsed
        self.busy_us += min(len(self._end_of), self.machine.cores) * elapsed
        self._advanced_to = now

    def start(self, now: int, name: str, work_us: float) -> None:
        """Begin a run of so much work."""
        self.advance(now)
        end = self._work_per_run_us + work_us
        self._end_of[name] = end
        heapq.heappush(self._ends, (end, name))
        self.concurrency.set(now, len(self._end_of))

    def stop(self, now: int, name: str) -> bool:
        """End a run before its work is done; whether it was there."""
        self.advance(now)
        if self._end_of.pop(name, None) is None:
            return False
        self.concurrency.set(now, len(self._end_of))
        return True

    def completed(self, now: int) -> list[str]:
        """Take out the runs whose work is done by now."""
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
        """When to look again, in us; `NEVER` where nothing runs, or nothing progresses."""
        while self._ends and self._first_was_stopped():
            heapq.heappop(self._ends)
        rate = self._work_rate(now)
        if not self._ends or rate <= 0:
            return NEVER
        return now + max(1, round((self._ends[0][0] - self._work_per_run_us) / rate))

    def survivable_runs(self, now: int) -> float:
        """The mean number of runs that the machine bears."""
        machine = self.machine
        return survivable_runs(machine.cores, machine.collapse_runs_per_core, self.warm_up_factor(now))

    def has_collapsed(self, now: int) -> bool:
        """Whether more ran, in the mean of the window, than the machine bears."""
        return self.concurrency.mean(now) > self.survivable_runs(now)
