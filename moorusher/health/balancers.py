"""Who probes, and how often. A report must hold until the slowest balancer has asked again and acted on it."""

from __future__ import annotations

MOST = 256  # sources that are kept apart; the one heard longest ago makes room
HEARD = 3  # of its intervals after which a balancer that asks no more counts no more
MOST_INTERVAL = 10_000_000  # us: a forecast further ahead is a guess
LEAST_INTERVAL = 10_000  # us: several probes of one round (one from each of its threads) count as one


class _Source:
    __slots__ = ("at", "interval")

    def __init__(self, at: int) -> None:
        self.at, self.interval = at, 0  # 0: asked once so far


class Balancers:
    """The balancers that probe this runner, and how often each does."""

    def __init__(self) -> None:
        self._sources: dict[str, _Source] = {}

    def __len__(self) -> int:
        return len(self._sources)

    def asked(self, now: int, source: str) -> None:
        known = self._sources.pop(source, None)
        if known is None:
            if len(self._sources) >= MOST:
                del self._sources[next(iter(self._sources))]
            known = _Source(now)
        elif now - known.at >= LEAST_INTERVAL:
            gap = min(now - known.at, MOST_INTERVAL)
            # Longer at once, shorter slowly: a probe that came early says nothing of the next.
            known.interval = gap if gap > known.interval else known.interval + (gap - known.interval) // 8
            known.at = now
        self._sources[source] = known

    def live(self, now: int) -> int:
        """Balancers that still ask; one that has asked once counts for as long as one with the longest interval."""
        return sum(now - s.at <= HEARD * (s.interval or MOST_INTERVAL) for s in self._sources.values())

    def slowest(self, now: int) -> int:
        """The longest interval, in us, of those that still ask; 0 where none has asked twice."""
        return max(
            (s.interval for s in self._sources.values() if s.interval and now - s.at <= HEARD * s.interval),
            default=0,
        )
