"""Observed health check intervals of load balancers.

A report must remain valid until the load balancer with the longest interval sends its next health check.
"""

from __future__ import annotations

MAX_SOURCES = 256  # the least recently active load balancer is discarded above this number
MAX_MISSED_INTERVALS = 3  # intervals without a health check after which a load balancer is inactive
MAX_INTERVAL_US = 10_000_000  # limits the forecast horizon; a longer forecast would be unreliable
# Health checks closer together count as one, for example one from each thread of a load balancer.
MIN_INTERVAL_US = 10_000
# A health check that comes earlier than the interval shortens it by the difference divided by this.
SHORTENING_DIVISOR = 8


class _Source:
    """A load balancer that sends health checks."""

    __slots__ = ("interval_us", "probed_at_us")

    def __init__(self, now: int) -> None:
        self.probed_at_us = now
        self.interval_us = 0  # unknown until the second health check

    def is_active(self, now: int) -> bool:
        """Return whether the load balancer still sends health checks."""
        # An unknown interval counts as MAX_INTERVAL_US.
        interval_us = self.interval_us or MAX_INTERVAL_US
        return now - self.probed_at_us <= MAX_MISSED_INTERVALS * interval_us


class ProbeIntervals:
    """Health check intervals of the load balancers, by load balancer name."""

    def __init__(self) -> None:
        """Create an empty registry."""
        self._sources: dict[str, _Source] = {}

    def __len__(self) -> int:
        """Return the number of known load balancers."""
        return len(self._sources)

    def probed(self, now: int, name: str) -> None:
        """Record that a load balancer has sent a health check."""
        source = self._sources.pop(name, None)
        if source is None:
            if len(self._sources) >= MAX_SOURCES:
                del self._sources[next(iter(self._sources))]
            source = _Source(now)
        elif now - source.probed_at_us >= MIN_INTERVAL_US:
            gap_us = min(now - source.probed_at_us, MAX_INTERVAL_US)
            # The interval lengthens at once and shortens slowly: the next health check may be late again.
            if gap_us > source.interval_us:
                source.interval_us = gap_us
            else:
                source.interval_us += (gap_us - source.interval_us) // SHORTENING_DIVISOR
            source.probed_at_us = now
        self._sources[name] = source

    def active(self, now: int) -> int:
        """Return the number of load balancers that still send health checks."""
        return sum(source.is_active(now) for source in self._sources.values())

    def longest_us(self, now: int) -> int:
        """Return the longest interval of the active load balancers; 0 if none has sent two health checks."""
        return max(
            (source.interval_us for source in self._sources.values() if source.is_active(now)), default=0
        )
