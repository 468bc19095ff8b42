"""The load that a member reports: coarsely and seldom, as each report goes to all the others."""

from __future__ import annotations

from dataclasses import dataclass

STEPS = 16  # of its cores, to which the load is rounded
CHANGE_THRESHOLD = 0.75  # of a step: below it the report stays, so that it does not flap between two steps
MEAN_US = 4_000_000  # time constant of the mean
HUNDREDTHS = 100


@dataclass(slots=True)
class LoadGauge:
    """Busy cores of one member. Times in us.

    cores: float.
    peak_us: int, how long a peak is remembered.
    """

    cores: float
    peak_us: int
    _mean: float = 0.0
    _sampled_at_us: int = -1
    _reported: float = 0.0
    _peak: float = 0.0  # of the present half of `peak_us`
    _former_peak: float = 0.0  # of the half before
    _half: int = 0

    def sample(self, now_us: int, busy_cores: float) -> tuple[int, int]:
        """Return the load and its recent peak, in hundredths of a core."""
        self._update_mean(now_us, busy_cores)
        step = self.cores / STEPS
        if abs(self._mean - self._reported) > CHANGE_THRESHOLD * step:
            self._reported = round(self._mean / step) * step
        self._update_peak(now_us)
        peak = max(self._peak, self._former_peak)
        return round(HUNDREDTHS * self._reported), round(HUNDREDTHS * peak)

    def _update_mean(self, now_us: int, busy_cores: float) -> None:
        is_first = self._sampled_at_us < 0
        share = 1.0 if is_first else min(1.0, (now_us - self._sampled_at_us) / MEAN_US)
        self._sampled_at_us = now_us
        self._mean += share * (min(busy_cores, self.cores) - self._mean)

    def _update_peak(self, now_us: int) -> None:
        half = now_us // max(1, self.peak_us // 2)
        if half != self._half:
            self._former_peak = self._peak if half == self._half + 1 else self._reported
            self._peak = self._reported
            self._half = half
        self._peak = max(self._peak, self._reported)
