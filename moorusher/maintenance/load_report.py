"""What a member says of its load: coarsely and seldom, since each word goes to all the others."""

from __future__ import annotations

from dataclasses import dataclass

STEPS = 16  # of its cores, in which it is told
OVER_US = 4_000_000  # the mean is taken over about so long


@dataclass(slots=True)
class Gauge:
    """Of busy cores. Times in us."""

    cores: float
    peak_us: int
    _mean: float = 0.0
    _at: int = -1
    _told: float = 0.0
    _peaks: tuple[float, float] = (0.0, 0.0)  # of this half of the while, and of the one before
    _half: int = 0

    def sample(self, now: int, busy: float) -> tuple[int, int]:
        """The load and the highest of the last while, in hundredths of a core."""
        part = 1.0 if self._at < 0 else min(1.0, (now - self._at) / OVER_US)
        self._at = now
        self._mean += part * (min(busy, self.cores) - self._mean)
        step = self.cores / STEPS
        if abs(self._mean - self._told) > 0.75 * step:  # not to and fro between two of them
            self._told = round(self._mean / step) * step
        half = now // max(1, self.peak_us // 2)
        if half != self._half:
            self._peaks = (self._told, self._peaks[0] if half == self._half + 1 else self._told)
            self._half = half
        self._peaks = max(self._peaks[0], self._told), self._peaks[1]
        return round(100 * self._told), round(100 * max(self._peaks))
