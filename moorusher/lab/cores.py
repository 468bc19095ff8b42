"""The cores of an emulated machine: shared by all that runs, less done in a crowd, slow while cold, and gone when too
many have run on them for too long. Times in us; pure, so that it serves on sockets and in virtual time alike."""

from __future__ import annotations

import heapq
from dataclasses import dataclass

from ..health.congestion import survivable_runs
from ..health.history import LevelHistory

FAR = 1 << 60


@dataclass(frozen=True, slots=True)
class Machine:
    """A server's cores, and what crowd they bear."""

    cores: int = 2
    speed: float = 1.0
    knee: float = 3.0  # runs a core past which less is got done in all,
    loss: float = 0.08  # by so much for each further run a core
    cold_speed: float = 1.0
    warm_us: int = 0
    tip_per_core: float = 5.0
    window_us: int = 3_000_000


class Cores:
    """Runs that share the cores of a machine, in virtual or real time."""

    def __init__(self, machine: Machine, now: int, cold: bool = False) -> None:
        self.machine, self.born = machine, now
        self.cold = cold
        self.factor = 1.0  # an outside slowdown: 0.25 is four times as slow, 0 a pause
        self.crowd = LevelHistory(machine.window_us, now)
        self._at, self._service, self.busy_us = now, 0.0, 0.0  # service: work done by each run so far
        self._ends: list[tuple[float, str]] = []
        self._runs: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._runs)

    def warmth(self, now: int) -> float:
        m = self.machine
        if not self.cold or not m.warm_us:
            return 1.0
        return m.cold_speed + (1 - m.cold_speed) * min(1.0, (now - self.born) / m.warm_us)

    def _rate(self, now: int) -> float:
        """Work of each run in a us."""
        m, n = self.machine, len(self._runs)
        if not n:
            return 0.0
        over = max(0.0, n / m.cores - m.knee)
        return m.speed * self.factor * self.warmth(now) * min(1.0, m.cores / n) / (1 + m.loss * over)

    def advance(self, now: int) -> None:
        if now > self._at:
            self._service += self._rate((now + self._at) // 2) * (now - self._at)
            self.busy_us += min(len(self._runs), self.machine.cores) * (now - self._at)
            self._at = now

    def start(self, now: int, name: str, work_us: float) -> None:
        self.advance(now)
        self._runs[name] = self._service + work_us
        heapq.heappush(self._ends, (self._runs[name], name))
        self.crowd.set(now, len(self._runs))

    def stop(self, now: int, name: str) -> bool:
        self.advance(now)
        if self._runs.pop(name, None) is None:
            return False
        self.crowd.set(now, len(self._runs))
        return True

    def ended(self, now: int) -> list[str]:
        """What has its work done by now."""
        self.advance(now)
        over = []
        while self._ends and (
            self._runs.get(self._ends[0][1]) != self._ends[0][0] or self._ends[0][0] <= self._service + 1e-6
        ):
            end, name = heapq.heappop(self._ends)
            if self._runs.get(name) == end:
                del self._runs[name]
                over.append(name)
        if over:
            self.crowd.set(now, len(self._runs))
        return over

    def next_end(self, now: int) -> int:
        """When to look again; FAR where nothing runs, or nothing gets on."""
        while self._ends and self._runs.get(self._ends[0][1]) != self._ends[0][0]:
            heapq.heappop(self._ends)
        rate = self._rate(now)
        if not self._ends or rate <= 0:
            return FAR
        return now + max(1, round((self._ends[0][0] - self._service) / rate))

    def survives(self, now: int) -> float:
        return survivable_runs(self.machine.cores, self.machine.tip_per_core, self.warmth(now))

    def fallen(self, now: int) -> bool:
        return self.crowd.mean(now) > self.survives(now)
