"""Forecast of the number of runs on the cores, and the highest number at which a runner does not collapse.

A runner collapses if the mean number of runs per core over a window (3 s) exceeds a limit.
"""

from __future__ import annotations

from dataclasses import dataclass

from .history import LevelHistory

FORECAST_POINTS = 6  # future times at which the mean is calculated


@dataclass(frozen=True, slots=True)
class _Projection:
    """Projected number of runs on the cores: linear until load balancers have reacted, then linear at another slope.

    Attributes:
        level: Runs now.
        reaction_level: Runs when load balancers have reacted.
        reaction_us: Time from now until load balancers have reacted.
        decline_per_s: Decrease after the reaction; negative if the number rises.
        max_level: Maximum number of runs that the runner puts on its cores.
    """

    level: float
    reaction_level: float
    reaction_us: int
    decline_per_s: float
    max_level: float

    def integral(self, start_us: float, end_us: float) -> float:
        """Return the number of runs integrated over time in us, between two times relative to now."""
        total = 0.0
        reaction_us = float(self.reaction_us)
        if start_us < reaction_us:
            until = min(end_us, reaction_us)
            slope = (self.reaction_level - self.level) / reaction_us
            total += (until - start_us) * (self.level + slope * (start_us + until) / 2)
        if end_us > reaction_us:
            total += self._integral_after_reaction(
                max(start_us, reaction_us) - reaction_us, end_us - reaction_us
            )
        return total

    def _integral_after_reaction(self, start_us: float, end_us: float) -> float:
        """Return the integral between two times relative to the reaction; the level is bounded by 0 and max_level."""
        last_level = 0.0 if self.decline_per_s > 0 else max(self.reaction_level, self.max_level)
        line_end_us = end_us
        if self.decline_per_s:
            line_end_us = (self.reaction_level - last_level) / self.decline_per_s * 1e6
        total = 0.0
        line_until = min(end_us, line_end_us)
        if line_until > start_us:
            mean = self.reaction_level - self.decline_per_s * (start_us + line_until) / 2e6
            total += (line_until - start_us) * mean
        if end_us > line_end_us:
            total += (end_us - max(start_us, line_end_us)) * last_level
        return total


def forecast_peak_mean(
    history: LevelHistory,
    now: int,
    horizon_us: int,
    min_level: float = 0.0,
    waiting: int = 0,
    arrivals_per_s: float = 0.0,
    ends_per_s: float = 0.0,
    max_level: float = float("inf"),
) -> float:
    """Return the highest window mean of runs on the cores, if load balancers react to a report within `horizon_us`.

    :param min_level: Lower bound of the current number of runs, if other evidence exceeds the runner's own count.
    :param waiting: Queued requests and runs at calls. Growth is limited to these and the arrivals.
    :param max_level: Maximum number of runs that the runner puts on its cores.
    """
    # Until the reaction the number of runs follows its trend and never falls, since it is not certain that runs end.
    # After the reaction no new requests arrive: runs end at the measured rate, and queued requests and runs at calls
    # come onto the cores within one window, so the number of runs continues to rise if the queue is full. The forecast
    # extends one window beyond the reaction, because the mean continues to rise while older, lower values leave the
    # window.
    level = max(float(history.value), min_level)
    highest = history.mean(now)
    if not level and not highest:
        return 0.0  # idle runner
    window_us = history.window_us
    horizon_s = horizon_us / 1e6
    growth = min(history.trend(now) * horizon_s, waiting + arrivals_per_s * horizon_s)
    reaction_level = max(level, min(level + growth, max_level))
    decline_per_s = ends_per_s - waiting / (window_us / 1e6)
    projection = _Projection(level, reaction_level, max(1, horizon_us), decline_per_s, max_level)
    last_us = horizon_us + window_us
    for point in range(1, FORECAST_POINTS + 1):
        at_us = last_us * point // FORECAST_POINTS
        future = projection.integral(max(0, at_us - window_us), at_us)
        past = history.integral(now + at_us - window_us) if at_us < window_us else 0.0
        highest = max(highest, (past + future) / window_us)
    return highest


def survivable_runs(cores: int, runs_per_core: float, speed: float) -> float:
    """Return the highest number of runs on the cores, as a mean over the window, at which a runner does not collapse.

    :param runs_per_core: The result per core for a warm runner.
    :param speed: Fraction of full speed; the result is lower below 1.
    """
    return cores * (1.0 + (runs_per_core - 1.0) * min(1.0, max(0.0, speed)))
