"""What the calls of a simulation came to."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass
from typing import NamedTuple

_US_PER_S = 1_000_000
_SHIFT_STEP_S = 0.25


class SentAttempt(NamedTuple):
    """An attempt, by its time and server."""

    at_s: float
    server: str


@dataclass(slots=True)
class ArrivalBin:
    """Calls that arrived within a bin of time, and those of them that were answered in time."""

    calls: int = 0
    in_time: int = 0


def share_in_time(bins: list[ArrivalBin]) -> float:
    """Of the calls of some bins, 0 where there was none."""
    calls = sum(each.calls for each in bins)
    return sum(each.in_time for each in bins) / max(1, calls)


class CallStatistics:
    """Counts of calls and attempts.

    :param bin_s: length of a bin of arrivals.
    :param seconds: for how long calls arrive.
    :ivar outcomes: calls by outcome.
    :ivar latencies_ms: of the answered calls.
    :ivar executed_twice: calls with an idempotency key that servers began more than once.
    """

    def __init__(self, bin_s: float, seconds: float) -> None:
        self.calls = 0
        self.in_time = 0
        self.outcomes: Counter[str] = Counter()
        self.latencies_ms: list[float] = []
        self.sent: list[SentAttempt] = []
        self.bins = [ArrivalBin() for _ in range(int(seconds / bin_s) + 1)]
        self.executed_twice = 0
        self._bin_us = round(bin_s * _US_PER_S)

    def record_arrival(self, now: int) -> None:
        """A call that arrived now, in us."""
        self.calls += 1
        self.bins[now // self._bin_us].calls += 1

    def record_attempt(self, now: int, server: str) -> None:
        """An attempt that was sent now, in us."""
        self.sent.append(SentAttempt(now / _US_PER_S, server))

    def record_answer(self, arrived_us: int, latency_ms: float, in_time: bool) -> None:
        """The answer to a call."""
        self.latencies_ms.append(latency_ms)
        if in_time:
            self.in_time += 1
            self.bins[arrived_us // self._bin_us].in_time += 1

    @property
    def attempts(self) -> int:
        """Attempts that were sent."""
        return len(self.sent)

    @property
    def share_in_time(self) -> float:
        """Of all calls."""
        return self.in_time / max(1, self.calls)

    @property
    def attempts_per_call(self) -> float:
        """In the mean."""
        return self.attempts / self.calls

    def latency_percentile_ms(self, share: float) -> float:
        """Of the answered calls; infinite where there is none.

        :param share: 0.99 for the 99th percentile.
        """
        ordered = sorted(self.latencies_ms)
        return ordered[int(share * (len(ordered) - 1))] if ordered else math.inf

    def seconds_until_shifted(self, servers: set[str], since_s: float, even_share: float) -> float:
        """Until some servers get less than half of their even share of a second's calls; infinite for never."""
        at_s = since_s
        end_s = self.sent[-1].at_s if self.sent else since_s
        while at_s < end_s:
            names = [attempt.server for attempt in self.sent if at_s <= attempt.at_s < at_s + 1]
            if names and sum(name in servers for name in names) / len(names) < even_share / 2:
                return at_s - since_s
            at_s += _SHIFT_STEP_S
        return math.inf
