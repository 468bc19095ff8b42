"""The load that a member reports. It is rounded and changes rarely, since each change is sent to all other members."""

from __future__ import annotations

from dataclasses import dataclass

LOAD_STEPS = 16  # the load is rounded to multiples of cores / LOAD_STEPS
# Change of the mean load, in steps, that updates the report. More than half a step, so that the report does not flap
# between two steps.
CHANGE_THRESHOLD_STEPS = 0.75
MEAN_TIME_CONSTANT_US = 4_000_000
HUNDREDTHS_PER_CORE = 100


@dataclass(slots=True)
class LoadGauge:
    """Measures the busy cores of one member.

    Attributes:
        cores: Cores of the member.
        peak_us: Time for which a peak is reported, in microseconds.
    """

    cores: float
    peak_us: int
    _mean: float = 0.0
    _sampled_at_us: int = -1
    _reported: float = 0.0
    _peak: float = 0.0  # in the current half of the peak window
    _previous_peak: float = 0.0  # in the previous half
    _half_window: int = 0  # number of the current half, counted since time 0 of the clock

    def sample(self, now_us: int, busy_cores: float) -> tuple[int, int]:
        """Take a sample, and return the load to report and its recent peak, in hundredths of a core."""
        self._update_mean(now_us, busy_cores)
        step = self.cores / LOAD_STEPS
        if abs(self._mean - self._reported) > CHANGE_THRESHOLD_STEPS * step:
            self._reported = round(self._mean / step) * step
        self._update_peak(now_us)
        peak = max(self._peak, self._previous_peak)
        return round(HUNDREDTHS_PER_CORE * self._reported), round(HUNDREDTHS_PER_CORE * peak)

    def _update_mean(self, now_us: int, busy_cores: float) -> None:
        is_first = self._sampled_at_us < 0
        share = 1.0 if is_first else min(1.0, (now_us - self._sampled_at_us) / MEAN_TIME_CONSTANT_US)
        self._sampled_at_us = now_us
        self._mean += share * (min(busy_cores, self.cores) - self._mean)

    def _update_peak(self, now_us: int) -> None:
        half_window = now_us // max(1, self.peak_us // 2)
        if half_window != self._half_window:
            self._previous_peak = self._peak if half_window == self._half_window + 1 else self._reported
            self._peak = self._reported
            self._half_window = half_window
        self._peak = max(self._peak, self._reported)
