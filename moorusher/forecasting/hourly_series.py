"""Demand history of one route: requests per hour, and the share of each hour that was counted."""

from __future__ import annotations

from array import array
from dataclasses import dataclass, field
from math import floor, nan

from .demand_counts import DemandCounts
from .time_units import HOURS_PER_WEEK

# Hours that are stored per route.
MAX_HOURS = 8 * HOURS_PER_WEEK
# Stored coverage of an hour that was counted completely.
FULL_COVERAGE = 200
# Weight of the previous value when an hour updates the running means of cost, priority weight and rejected share.
MEAN_DECAY = 0.98
# Maximum number of requests per hour that can be stored.
MAX_COUNT = 0xFFFF_FFFF


@dataclass(slots=True)
class HourlySeries:
    """Consecutive hours of one route.

    Attributes:
        first_hour: Hours since 1970, UTC.
        requests: Requests by hour.
        coverage: Counted share of each hour, in units of 1 / `FULL_COVERAGE`; 0 if unknown.
        core_us: Running mean of the processor time per request; 0 before the first run.
        priority_weight: Running mean of the priority weight per request.
        rejected_share: Running mean of the share of rejected requests.
    """

    first_hour: int
    requests: array[int] = field(default_factory=lambda: array("I"))
    coverage: array[int] = field(default_factory=lambda: array("B"))
    core_us: float = 0.0
    priority_weight: float = 0.0
    rejected_share: float = 0.0

    def append(self, hour: int, counts: DemandCounts, covered_share: float) -> None:
        """Append an hour (since 1970, UTC). Skipped hours become unknown; an hour that exists is not changed."""
        gap = hour - self.first_hour - len(self.requests)
        if gap < 0:
            return
        unknown_hours = bytes(min(gap, MAX_HOURS))
        self.requests.extend(unknown_hours)
        self.coverage.extend(unknown_hours)
        self.requests.append(min(counts.requests, MAX_COUNT))
        # Rounded down, so that an hour with a missing second does not count as complete.
        self.coverage.append(floor(FULL_COVERAGE * min(1.0, max(0.0, covered_share)) + 1e-9))
        if gap > MAX_HOURS:
            self.first_hour = hour - MAX_HOURS
        self._drop_oldest()
        self._update_means(counts)

    def _drop_oldest(self) -> None:
        surplus = len(self.requests) - MAX_HOURS
        if surplus > 0:
            del self.requests[:surplus], self.coverage[:surplus]
            self.first_hour += surplus

    def _update_means(self, counts: DemandCounts) -> None:
        if counts.runs:
            self.core_us = _running_mean(self.core_us, counts.core_us / counts.runs)
        if counts.requests:
            self.priority_weight = _running_mean(
                self.priority_weight, counts.priority_weight / counts.requests
            )
            rejected_share = (1 - MEAN_DECAY) * counts.rejected / counts.requests
            self.rejected_share = MEAN_DECAY * self.rejected_share + rejected_share

    def demand_since(self, hour: int) -> list[float]:
        """Return the demand of each hour from `hour` on, scaled up to a completely counted hour.

        NaN if less than half of an hour was counted.
        """
        start = max(0, hour - self.first_hour)
        return [
            requests * FULL_COVERAGE / coverage if 2 * coverage >= FULL_COVERAGE else nan
            for requests, coverage in zip(self.requests[start:], self.coverage[start:], strict=True)
        ]


def _running_mean(mean: float, value: float) -> float:
    return MEAN_DECAY * mean + (1 - MEAN_DECAY) * value if mean else value
