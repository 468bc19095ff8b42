"""The forecast of runs on the cores, and how many a runner survives.

The rule is on a mean: more than a number for each core in the mean of a window (3 s), and the runner falls over.
"""

from __future__ import annotations

from dataclasses import dataclass

from .history import LevelHistory

POINTS_AHEAD = 6  # of the time ahead, at which the mean is worked out


@dataclass(frozen=True, slots=True)
class _Projection:
    """What is expected of the runs on the cores: a straight line to the turn, when balancers have acted, then another.

    Attributes:
        level: now.
        turn_level: at the turn.
        turn_us: the turn, from now.
        falls_per_s: from the turn on; negative where the count rises.
        max_level: that the runner itself lets onto its cores.
    """

    level: float
    turn_level: float
    turn_us: int
    falls_per_s: float
    max_level: float

    def integral(self, begin_us: float, end_us: float) -> float:
        """Count times us between two times from now."""
        total = 0.0
        turn_us = float(self.turn_us)
        if begin_us < turn_us:
            until = min(end_us, turn_us)
            slope = (self.turn_level - self.level) / turn_us
            total += (until - begin_us) * (self.level + slope * (begin_us + until) / 2)
        if end_us > turn_us:
            total += self._integral_after_turn(max(begin_us, turn_us) - turn_us, end_us - turn_us)
        return total

    def _integral_after_turn(self, begin_us: float, end_us: float) -> float:
        """The same between two times from the turn: the line ends where nothing is left, or nothing more is let in."""
        last_level = 0.0 if self.falls_per_s > 0 else max(self.turn_level, self.max_level)
        line_end_us = end_us
        if self.falls_per_s:
            line_end_us = (self.turn_level - last_level) / self.falls_per_s * 1e6
        total = 0.0
        line_until = min(end_us, line_end_us)
        if line_until > begin_us:
            mean = self.turn_level - self.falls_per_s * (begin_us + line_until) / 2e6
            total += (line_until - begin_us) * mean
        if end_us > line_end_us:
            total += (end_us - max(begin_us, line_end_us)) * last_level
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
    """The highest mean of the window that ends at any time from now on, if balancers act on what they are told now
    within `horizon_us`.

    Until then the count goes on by its trend and never falls: that runs will end is not certain. From then on nothing
    new is sent; the count falls as runs were seen to end, and what is queued or at calls comes onto the cores within a
    window: a runner with a full queue goes on filling by itself. The mean goes on rising for a while after that turn,
    as the window's older and emptier part leaves it: a forecast that ended at the turn would come too late.

    Args:
        min_level: that runs now, whatever the own count says.
        waiting: what may come onto the cores: queued, or at calls. Growth that neither it nor arrivals can feed is not
            believed.
        max_level: that the runner itself lets onto its cores.
    """
    level = max(float(history.value), min_level)
    highest = history.mean(now)
    if not level and not highest:
        return 0.0  # nothing runs and nothing did: the usual case of an idle runner
    window_us = history.window_us
    horizon_s = horizon_us / 1e6
    growth = min(history.trend(now) * horizon_s, waiting + arrivals_per_s * horizon_s)
    turn_level = max(level, min(level + growth, max_level))
    falls_per_s = ends_per_s - waiting / (window_us / 1e6)
    projection = _Projection(level, turn_level, max(1, horizon_us), falls_per_s, max_level)
    last_us = horizon_us + window_us
    for point in range(1, POINTS_AHEAD + 1):
        at_us = last_us * point // POINTS_AHEAD
        future = projection.integral(max(0, at_us - window_us), at_us)
        past = history.integral(now + at_us - window_us) if at_us < window_us else 0.0
        highest = max(highest, (past + future) / window_us)
    return highest


def survivable_runs(cores: int, runs_per_core: float, speed: float) -> float:
    """Runs on the cores, in the mean of the window, up to which a runner survives. `runs_per_core` holds for a warm
    one; at a `speed` below 1, the share of full speed, it survives fewer."""
    return cores * (1.0 + (runs_per_core - 1.0) * min(1.0, max(0.0, speed)))
