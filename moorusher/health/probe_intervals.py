"""Which balancers probe this runner, and how often: a report must hold until the slowest of them has probed again."""

from __future__ import annotations

MAX_SOURCES = 256  # that are kept apart; the one heard longest ago makes room
INTERVALS_UNTIL_GONE = 3  # without a probe, after which a balancer counts no more
MAX_INTERVAL_US = 10_000_000  # a forecast further ahead is a guess
MIN_INTERVAL_US = 10_000  # several probes of one round (one from each of its threads) count as one
SHORTENING = 8  # an interval shortens by one in so many parts of the difference, a probe


class _Source:
    __slots__ = ("interval_us", "probed_at_us")

    def __init__(self, now: int) -> None:
        self.probed_at_us = now
        self.interval_us = 0  # it has probed once so far

    def is_active(self, now: int) -> bool:
        """One that has probed once counts for as long as one with the longest interval."""
        interval_us = self.interval_us or MAX_INTERVAL_US
        return now - self.probed_at_us <= INTERVALS_UNTIL_GONE * interval_us


class ProbeIntervals:
    """The probing balancers, by a name of their own."""

    def __init__(self) -> None:
        self._sources: dict[str, _Source] = {}

    def __len__(self) -> int:
        return len(self._sources)

    def probed(self, now: int, name: str) -> None:
        """A balancer has probed this runner."""
        source = self._sources.pop(name, None)
        if source is None:
            if len(self._sources) >= MAX_SOURCES:
                del self._sources[next(iter(self._sources))]
            source = _Source(now)
        elif now - source.probed_at_us >= MIN_INTERVAL_US:
            gap_us = min(now - source.probed_at_us, MAX_INTERVAL_US)
            # Longer at once, shorter slowly: a probe that came early says nothing of the next.
            if gap_us > source.interval_us:
                source.interval_us = gap_us
            else:
                source.interval_us += (gap_us - source.interval_us) // SHORTENING
            source.probed_at_us = now
        self._sources[name] = source

    def active(self, now: int) -> int:
        """How many balancers still probe."""
        return sum(source.is_active(now) for source in self._sources.values())

    def longest_us(self, now: int) -> int:
        """The longest interval of those that still probe; 0 where none has probed twice."""
        return max(
            (source.interval_us for source in self._sources.values() if source.is_active(now)), default=0
        )
