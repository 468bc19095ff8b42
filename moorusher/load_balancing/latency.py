"""What a server's answers have taken: peak-sensitive for choosing, short and long means for limits, a quantile."""

from __future__ import annotations

import math

DECAY = 5_000_000  # us in which a peak fades to a third, where answers are faster
SHORT, LONG = 0.2, 0.02  # weight of a new sample in the short and the long mean
RECENT = 64  # samples that the quantile is taken from
LEAST = 20  # samples under which there is no quantile


class Latency:
    """Times in us. Only answers count: what fails at once is not fast."""

    def __init__(self) -> None:
        self.peak = self.short = self.long = self.spread = 0.0
        self.samples = 0
        self._at = 0
        self._recent: list[float] = []
        self._sorted: list[float] | None = None

    def add(self, now: int, took: float) -> None:
        if not self.samples:
            self.peak = self.short = self.long = took
        else:
            fades = math.exp(-(now - self._at) / DECAY) if now > self._at else 1.0
            # Up at once, down by time: a server that has just become slow must not look fast on average.
            self.peak = max(took, took + (self.peak - took) * fades)
            self.spread += SHORT * (abs(took - self.short) - self.spread)
            self.short += SHORT * (took - self.short)
            self.long += max(LONG, 1 / (self.samples + 1)) * (took - self.long)
        self._at = max(self._at, now)
        if len(self._recent) < RECENT:
            self._recent.append(took)
        else:
            self._recent[self.samples % RECENT] = took
        self.samples += 1
        self._sorted = None

    def expected(self, now: int) -> float:
        """The peak as it has faded by now, never under the short mean; 0 where nothing is known."""
        if not self.samples:
            return 0.0
        faded = self.peak * math.exp(-(now - self._at) / DECAY) if now > self._at else self.peak
        return max(self.short, faded)

    def quantile(self, share: float) -> float | None:
        """Of the last answers; None while they are too few to tell."""
        if len(self._recent) < LEAST:
            return None
        if self._sorted is None:
            self._sorted = sorted(self._recent)
        return self._sorted[min(len(self._sorted) - 1, int(share * len(self._sorted)))]


def median(values: list[float]) -> float:
    """0 of none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    middle = len(ordered) // 2
    return ordered[middle] if len(ordered) % 2 else (ordered[middle - 1] + ordered[middle]) / 2
