"""How fast this runner gets through its runs, against the best that it did lately: what it is worth while all runners
are overloaded.

Overload alone is no reason for less traffic: the other runners have no less of it, and one that sheds its share only
overloads them. A runner that has become slow is a reason. The two look alike in the queue; they differ in how many runs
leave the cores for each second that a core was busy.
"""

from __future__ import annotations

from .history import LevelHistory, WindowedCount

BEST_FORGOTTEN_US = 300_000_000  # a slowness that stays for so long is what the machine is
MIN_SAMPLE = 12  # runs that left and busy seconds, under which a window tells nothing
LEARNING_RATE = 0.2  # of a better throughput, at each look: a lucky window must not set the mark
IDLE_FRACTION = 0.1  # of the cores: with less to do nothing tells that the runner is slow


class Throughput:
    """Runs that leave the cores, for each second that a core was busy.

    Attributes:
        ratio: of the best, 0 to 1, as of the last look.
    """

    def __init__(self, cores: int, window_us: int, now: int) -> None:
        self._cores = cores
        self._left = WindowedCount(window_us, now)
        self._busy_cores = LevelHistory(window_us, now)
        self._best = 0.0
        self._looked_at_us = now
        self.ratio = 1.0

    def runs_on_cores(self, now: int, before: int, on_cores: int) -> None:
        """The count of runs on the cores changes."""
        if on_cores < before:
            self._left.add(now, before - on_cores)
        self._busy_cores.set(now, min(on_cores, self._cores))

    def relative_to_best(self, now: int) -> float:
        """Share of the best throughput, 0 to 1; what it was where too little has ended to tell."""
        window_s = self._busy_cores.window_us / 1e6
        busy_s = self._busy_cores.mean(now) * window_s
        left = self._left.count(now)
        self._best *= max(0.0, 1 - (now - self._looked_at_us) / BEST_FORGOTTEN_US)
        self._looked_at_us = now
        if busy_s > 0 and left + busy_s >= MIN_SAMPLE:  # much time and few ends: that is slow, not unknown
            throughput = left / busy_s
            if throughput > self._best:
                self._best += (LEARNING_RATE if self._best else 1.0) * (throughput - self._best)
            self.ratio = min(1.0, throughput / self._best) if self._best else 1.0
        elif busy_s < IDLE_FRACTION * self._cores * window_s:
            self.ratio = 1.0
        return self.ratio
