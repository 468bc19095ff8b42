"""Latency estimates of one endpoint: a decaying peak for selection, means for limits, quantiles for hedging."""

from __future__ import annotations

import math

PEAK_DECAY_US = 5_000_000  # time constant of the peak's exponential decay
SHORT_WEIGHT = 0.2  # weight of a new sample in the short-term mean
LONG_WEIGHT = 0.02  # weight of a new sample in the long-term mean
QUANTILE_WINDOW = 64  # number of recent samples used for quantiles
MIN_QUANTILE_SAMPLES = 20


class LatencyEstimate:
    """Latencies of answered calls in microseconds. Failures are excluded: a fast failure must not look like speed.

    Attributes:
        peak: Highest latency, decaying with time.
        short, long: Exponentially weighted means.
        spread: Exponentially weighted mean deviation from `short`.
        samples: Number of recorded answers.
    """

    def __init__(self) -> None:
        """Create an estimate without samples."""
        self.peak = 0.0
        self.short = 0.0
        self.long = 0.0
        self.spread = 0.0
        self.samples = 0
        self._last_sample_at = 0
        self._recent: list[float] = []
        self._sorted_recent: list[float] | None = None  # None if `_recent` has changed since it was sorted

    def add(self, now: int, latency_us: float) -> None:
        """Record the latency of one answer."""
        if not self.samples:
            self.peak = self.short = self.long = latency_us
        else:
            # The peak rises at once and decays with time: a mean would hide that an endpoint has just become slow.
            self.peak = max(latency_us, latency_us + (self.peak - latency_us) * self._decay(now))
            self.spread += SHORT_WEIGHT * (abs(latency_us - self.short) - self.spread)
            self.short += SHORT_WEIGHT * (latency_us - self.short)
            self.long += max(LONG_WEIGHT, 1 / (self.samples + 1)) * (latency_us - self.long)
        self._last_sample_at = max(self._last_sample_at, now)
        if len(self._recent) < QUANTILE_WINDOW:
            self._recent.append(latency_us)
        else:
            self._recent[self.samples % QUANTILE_WINDOW] = latency_us
        self.samples += 1
        self._sorted_recent = None

    def _decay(self, now: int) -> float:
        """Return the factor by which a peak has decayed since the last sample."""
        if now <= self._last_sample_at:
            return 1.0
        return math.exp(-(now - self._last_sample_at) / PEAK_DECAY_US)

    def expected(self, now: int) -> float:
        """Return the larger of decayed peak and short-term mean in microseconds; 0 without samples."""
        if not self.samples:
            return 0.0
        return max(self.short, self.peak * self._decay(now))

    def quantile(self, fraction: float) -> float | None:
        """Return a quantile of the recent latencies in microseconds; None if there are too few samples."""
        if len(self._recent) < MIN_QUANTILE_SAMPLES:
            return None
        if self._sorted_recent is None:
            self._sorted_recent = sorted(self._recent)
        index = min(len(self._sorted_recent) - 1, int(fraction * len(self._sorted_recent)))
        return self._sorted_recent[index]


def median(values: list[float]) -> float:
    """Return the median; 0 for an empty list."""
    if not values:
        return 0.0
    ordered = sorted(values)
    middle = len(ordered) // 2
    return ordered[middle] if len(ordered) % 2 else (ordered[middle - 1] + ordered[middle]) / 2
