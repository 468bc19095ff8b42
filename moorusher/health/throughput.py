"""Throughput of this runner compared with its recent best; limits how far an overload lowers the runner's weight."""

# Overload alone must not reduce a runner's traffic: the other runners are overloaded as well, and would get the load
# that it sheds. A runner that has become slow should get less traffic. Both cases show the same queue; they differ in
# the number of runs that leave the cores per second of busy core time.

from __future__ import annotations

from .history import LevelHistory, WindowedCount

# The best value decays over this time, so that a permanently slower machine counts as normal.
BEST_DECAY_US = 300_000_000
# Minimum sum of a window's busy core seconds and its number of runs that left the cores. With less data, no throughput
# is calculated.
MIN_SAMPLE = 12
LEARNING_RATE = 0.2  # weight of a better throughput in the best value; one lucky window must not determine it
IDLE_FRACTION = 0.1  # fraction of busy cores below which the runner counts as idle, and not as slow


class Throughput:
    """Measures the throughput (runs that left the cores per second of busy core time), and compares it with the best.

    Attributes:
        ratio: Latest throughput as a fraction of the best, 0 to 1.
    """

    def __init__(self, cores: int, window_us: int, now: int) -> None:
        """Create a measurement without runs."""
        self._cores = cores
        self._departures = WindowedCount(window_us, now)  # runs that left the cores
        self._busy_cores = LevelHistory(window_us, now)
        self._best = 0.0
        self._updated_at_us = now
        self.ratio = 1.0

    def runs_on_cores(self, now: int, before: int, on_cores: int) -> None:
        """Record that the number of runs on the cores changes from `before` to `on_cores`."""
        if on_cores < before:
            self._departures.add(now, before - on_cores)
        self._busy_cores.set(now, min(on_cores, self._cores))

    def relative_to_best(self, now: int) -> float:
        """Return the throughput as a fraction of the best, 0 to 1; the previous value if there is too little data."""
        window_s = self._busy_cores.window_us / 1e6
        busy_s = self._busy_cores.mean(now) * window_s
        departures = self._departures.count(now)
        self._best *= max(0.0, 1 - (now - self._updated_at_us) / BEST_DECAY_US)
        self._updated_at_us = now
        if busy_s > 0 and departures + busy_s >= MIN_SAMPLE:
            # The sum includes the busy time, so that a long busy time with few departures counts as slow.
            throughput = departures / busy_s
            if throughput > self._best:
                self._best += (LEARNING_RATE if self._best else 1.0) * (throughput - self._best)
            self.ratio = min(1.0, throughput / self._best) if self._best else 1.0
        elif busy_s < IDLE_FRACTION * self._cores * window_s:
            self.ratio = 1.0
        return self.ratio
