"""The history of one route: its requests hour by hour, and which share of each hour was counted."""

from __future__ import annotations

from array import array
from dataclasses import dataclass, field
from math import floor, nan

from .demand_counts import DemandCounts
from .time_units import HOURS_PER_WEEK

MAX_HOURS = 8 * HOURS_PER_WEEK  # kept of a route
FULL_COVERAGE = 200  # a share of 1, as coverage is stored
MEAN_DECAY = (
    0.98  # weight that an hour leaves to the running means of a request's cost, priority and rejections
)
MAX_COUNT = 0xFFFF_FFFF  # of an hour, as it is stored


@dataclass(slots=True)
class HourlySeries:
    """Consecutive hours of one route.

    first_hour: int, hours since 1970, UTC.
    requests: by hour.
    coverage: by hour, the share of it that was counted, in units of 1 / `FULL_COVERAGE`; 0 where it is unknown.
    core_us: float, processor time of a request, a running mean; 0 before the first run.
    priority_weight: float, of a request, a running mean.
    rejected_share: float, of the requests, a running mean.
    """

    first_hour: int
    requests: array[int] = field(default_factory=lambda: array("I"))
    coverage: array[int] = field(default_factory=lambda: array("B"))
    core_us: float = 0.0
    priority_weight: float = 0.0
    rejected_share: float = 0.0

    def append(self, hour: int, counts: DemandCounts, covered_share: float) -> None:
        """Add an hour (since 1970, UTC). Hours between are unknown; one that is there already is left as it is."""
        gap = hour - self.first_hour - len(self.requests)
        if gap < 0:
            return
        unknown_hours = bytes(min(gap, MAX_HOURS))
        self.requests.extend(unknown_hours)
        self.coverage.extend(unknown_hours)
        self.requests.append(min(counts.requests, MAX_COUNT))
        # Rounded down: an hour of which a second is missing must not count as complete.
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
        """Return what each hour from that one on would have had if all of it had been counted.

        NaN where less than half of it was.
        """
        start = max(0, hour - self.first_hour)
        return [
            requests * FULL_COVERAGE / coverage if 2 * coverage >= FULL_COVERAGE else nan
            for requests, coverage in zip(self.requests[start:], self.coverage[start:], strict=True)
        ]


def _running_mean(mean: float, value: float) -> float:
    return MEAN_DECAY * mean + (1 - MEAN_DECAY) * value if mean else value
