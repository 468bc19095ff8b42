"""Latency estimates of one endpoint: a decaying peak to choose by, means to limit by, and quantiles to hedge by."""

from __future__ import annotations

import math

PEAK_DECAY_US = 5_000_000  # time constant with which a peak decays towards faster answers
SHORT_WEIGHT = 0.2  # of a new sample in the short-term mean
LONG_WEIGHT = 0.02  # of a new sample in the long-term mean
QUANTILE_WINDOW = 64  # samples that a quantile is taken from
MIN_QUANTILE_SAMPLES = 20


class LatencyEstimate:
    """Latencies of answered calls, in microseconds. Failures never enter: what fails at once is not fast.

    peak: the highest latency, decaying with time (float).
    short, long: exponentially weighted means (float).
    spread: exponentially weighted mean deviation from `short` (float).
    samples: answers recorded so far (int).
    """

    def __init__(self) -> None:
        """Start without a sample."""
        self.peak = 0.0
        self.short = 0.0
        self.long = 0.0
        self.spread = 0.0
        self.samples = 0
        self._last_sample_at = 0
        self._recent: list[float] = []
        self._sorted_recent: list[float] | None = None  # None: `_recent` has changed since it was sorted

    def add(self, now: int, latency_us: float) -> None:
        """Record one answer."""
        if not self.samples:
            self.peak = self.short = self.long = latency_us
        else:
            # Up at once, down by time: an endpoint that has just become slow must not look fast on average.
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
        """The factor by which a peak has decayed since the last sample."""
        if now <= self._last_sample_at:
            return 1.0
        return math.exp(-(now - self._last_sample_at) / PEAK_DECAY_US)

    def expected(self, now: int) -> float:
        """Return the decayed peak, at least the short-term mean, in microseconds; 0 without samples."""
        if not self.samples:
            return 0.0
        return max(self.short, self.peak * self._decay(now))

    def quantile(self, fraction: float) -> float | None:
        """Return a quantile of the recent answers in microseconds; None while they are too few."""
        if len(self._recent) < MIN_QUANTILE_SAMPLES:
            return None
        if self._sorted_recent is None:
            self._sorted_recent = sorted(self._recent)
        index = min(len(self._sorted_recent) - 1, int(fraction * len(self._sorted_recent)))
        return self._sorted_recent[index]


def median(values: list[float]) -> float:
    """Return the median; 0 of an empty list."""
    if not values:
        return 0.0
    ordered = sorted(values)
    middle = len(ordered) // 2
    return ordered[middle] if len(ordered) % 2 else (ordered[middle - 1] + ordered[middle]) / 2
