"""How fast this runner gets through its runs, against the best it did lately: what it is worth while all are crowded.

Overload alone is no reason to weigh less: the neighbours have no less of it, and a runner that sheds its share only
makes them shed theirs. A runner that has become slow is one. The two look alike from the queue; they differ in how
many stretches of work end for each second that a core was busy.
"""

from __future__ import annotations

from .congestion import Counts, History

FADES = 300_000_000  # us in which the best pace is forgotten: a slowness that stays is what the machine is
LEAST_ENDED = 12  # stretches in a window under which a pace says nothing
LEARN = 0.2  # of a better pace, at each look: a lucky window must not set the mark


class Pace:
    """Times in us. `left` counts the runs that left the cores, `busy` the cores that were taken."""

    def __init__(self, cores: int, window_us: int, now: int) -> None:
        self._cores = cores
        self._left, self._busy = Counts(window_us, now), History(window_us, now)
        self._best = 0.0
        self._looked = now
        self.ratio = 1.0

    def crowd_is(self, now: int, before: int, on_cores: int) -> None:
        if on_cores < before:
            self._left.add(now, before - on_cores)
        self._busy.set(now, min(on_cores, self._cores))

    def look(self, now: int) -> float:
        """Share of the best pace, 0 to 1; what it was where too little has ended to tell."""
        busy = self._busy.mean(now) * self._busy.window / 1e6
        ended = self._left.count(now)
        fades = max(0.0, 1 - (now - self._looked) / FADES)
        self._looked = now
        self._best *= fades
        if busy > 0 and ended + busy >= LEAST_ENDED:  # much time and few ends: that is slow, not unknown
            pace = ended / busy
            if pace > self._best:
                self._best += (LEARN if self._best else 1.0) * (pace - self._best)
            self.ratio = min(1.0, pace / self._best) if self._best else 1.0
        elif busy < 0.1 * self._cores * self._busy.window / 1e6:
            self.ratio = 1.0  # as good as idle: nothing that would be worth less
        return self.ratio
