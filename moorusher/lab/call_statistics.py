"""Statistics of the calls of a simulation."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass
from typing import NamedTuple

_US_PER_S = 1_000_000
_SHIFT_STEP_S = 0.25


class SentAttempt(NamedTuple):
    """An attempt that was sent.

    Attributes:
        at_s: Seconds from the start of the simulation.
        server: Name of the server.
    """

    at_s: float
    server: str


@dataclass(slots=True)
class ArrivalBin:
    """Calls that arrived within one interval of time.

    Attributes:
        calls: Number of calls.
        in_time: Number of the calls that were answered in time.
    """

    calls: int = 0
    in_time: int = 0


def share_in_time(bins: list[ArrivalBin]) -> float:
    """Return the share of the calls in these bins that were answered in time; 0 if there were no calls."""
    calls = sum(each.calls for each in bins)
    return sum(each.in_time for each in bins) / max(1, calls)


class CallStatistics:
    """Counts of calls and attempts.

    :param bin_s: length of an arrival bin, in seconds.
    :param seconds: time during which calls arrive.

    Attributes:
        calls: Number of calls.
        in_time: Number of calls that were answered in time.
        outcomes: Number of calls by outcome.
        latencies_ms: Latencies of the answered calls.
        sent: Attempts that were sent, in order.
        bins: Calls by time of arrival.
        executed_twice: Number of calls with an idempotency key that servers began more than once.
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
        """Record a call that arrived at a time in us."""
        self.calls += 1
        self.bins[now // self._bin_us].calls += 1

    def record_attempt(self, now: int, server: str) -> None:
        """Record an attempt that was sent at a time in us."""
        self.sent.append(SentAttempt(now / _US_PER_S, server))

    def record_answer(self, arrived_us: int, latency_ms: float, in_time: bool) -> None:
        """Record the answer to a call."""
        self.latencies_ms.append(latency_ms)
        if in_time:
            self.in_time += 1
            self.bins[arrived_us // self._bin_us].in_time += 1

    @property
    def attempts(self) -> int:
        """Number of attempts that were sent."""
        return len(self.sent)

    @property
    def share_in_time(self) -> float:
        """Share of all calls that were answered in time."""
        return self.in_time / max(1, self.calls)

    @property
    def attempts_per_call(self) -> float:
        """Mean number of attempts per call."""
        return self.attempts / self.calls

    def latency_percentile_ms(self, share: float) -> float:
        """Return a percentile of the answered calls' latencies; infinite if no call was answered.

        :param share: 0.99 for the 99th percentile.
        """
        ordered = sorted(self.latencies_ms)
        return ordered[int(share * (len(ordered) - 1))] if ordered else math.inf

    def seconds_until_shifted(self, servers: set[str], since_s: float, even_share: float) -> float:
        """Return the time until `servers` together get less than half of their even share of one second's attempts.

        :param since_s: time from which the attempts are considered.
        :param even_share: share of all attempts that `servers` would get under even balancing.
        :returns: seconds from `since_s` to the first such second; infinite if there is none.
        """
        at_s = since_s
        end_s = self.sent[-1].at_s if self.sent else since_s
        while at_s < end_s:
            names = [attempt.server for attempt in self.sent if at_s <= attempt.at_s < at_s + 1]
            if names and sum(name in servers for name in names) / len(names) < even_share / 2:
                return at_s - since_s
            at_s += _SHIFT_STEP_S
        return math.inf
