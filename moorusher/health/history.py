"""Levels and counts of the last seconds, in buckets of time.

The runner falls over at a mean of runs on the cores over a window. So the level is kept as an integral over short
buckets: its mean is exact, but for where within the oldest bucket the window begins.
"""

from __future__ import annotations

from itertools import pairwise

BUCKET_US = 50_000  # the window's edge is uncertain by this much
BLOCK_BUCKETS = 5  # over which the level is averaged for its trend
SHORT_TREND_BLOCKS = 6  # a second and a half: in less a few runs are no trend
TREND_DEVIATIONS = 1.0  # by which a trend must exceed what chance would show, before it is believed


class LevelHistory:
    """A level over time, such as the count of runs on the cores, as its integral over each bucket of time. The ring of
    buckets is bounded, however often the level changes.

    Attributes:
        window_us: of `mean`.
        value: the level now.
    """

    def __init__(self, window_us: int, now: int) -> None:
        self.window_us = window_us
        self._size = max(-(-window_us // BUCKET_US) + 1, SHORT_TREND_BLOCKS * BLOCK_BUCKETS + 1)
        self._ring = [0] * self._size  # level times us, by bucket
        self._bucket = now // BUCKET_US  # the newest one
        self._advanced_to_us = now
        self.value = 0
        if now % BUCKET_US:  # the first bucket is whole too: before the start the level was 0
            self._advanced_to_us = self._bucket * BUCKET_US
            self.advance(now)

    def set(self, now: int, value: int) -> None:
        """The level changes."""
        self.advance(now)
        self.value = value

    def advance(self, now: int) -> None:
        """The level has stayed until now. Never back: several events of one turn share a time, and an older time
        changes nothing."""
        if now <= self._advanced_to_us:
            return
        if (
            now - self._advanced_to_us > (self._size + 1) * BUCKET_US
        ):  # all of the ring is older than what stands now
            self._ring = [self.value * BUCKET_US] * self._size
            self._bucket = now // BUCKET_US
            self._ring[self._bucket % self._size] = self.value * (now % BUCKET_US)
            self._advanced_to_us = now
            return
        while self._advanced_to_us < now:
            end = min(now, (self._bucket + 1) * BUCKET_US)
            self._ring[self._bucket % self._size] += self.value * (end - self._advanced_to_us)
            self._advanced_to_us = end
            if end == (self._bucket + 1) * BUCKET_US:
                self._bucket += 1
                self._ring[self._bucket % self._size] = 0

    def integral(self, since: int) -> float:
        """Level times us from `since` until the last advance; nothing counts from before the ring's reach."""
        total = 0.0
        bucket = self._bucket
        whole = -(-since // BUCKET_US)  # the first bucket that begins at `since` or later
        if bucket - whole + 1 >= self._size:
            return float(sum(self._ring))
        for index in range(whole, bucket + 1):
            total += self._ring[index % self._size]
        if since < whole * BUCKET_US:  # a part of the bucket before: as if the level had been even in it
            before = whole - 1
            end = min(self._advanced_to_us, whole * BUCKET_US)
            if bucket - before < self._size and end > since:
                total += self._ring[before % self._size] * (end - since) / (end - before * BUCKET_US)
        return total

    def mean(self, now: int) -> float:
        """Over the window that ends now."""
        self.advance(now)
        return self.integral(now - self.window_us) / self.window_us

    def trend(self, now: int) -> float:
        """Growth a second that is more than chance, at least 0: the larger of those over the last second and a half and
        over the whole window.

        A count that runs come to and leave at random is a random walk. A least-squares slope over a time T of a walk of
        rate R (the variance that it gains a second) has a variance of 6/5 R / T; `TREND_DEVIATIONS` of that are taken
        off. Without it a healthy runner's slope would forecast an overload now and then, its load would fall upon its
        neighbours, and they would do so too. R is measured, not derived from arrivals: a runner whose count is bounded
        by its own slots walks less.
        """
        self.advance(now)
        blocks = self._block_means()
        seconds = BLOCK_BUCKETS * BUCKET_US / 1e6
        walk = _walk_rate(blocks, seconds)
        best = 0.0
        for count in {min(SHORT_TREND_BLOCKS, len(blocks)), len(blocks)}:
            slope = _least_squares_slope(blocks[-count:]) / seconds
            deviation = (1.2 * walk / (count * seconds)) ** 0.5
            best = max(best, slope - TREND_DEVIATIONS * deviation)
        return best

    def _block_means(self) -> list[float]:
        """The mean level of each whole block in the ring, the oldest first."""
        ring = self._ring
        size = self._size
        last = self._bucket
        count = (size - 1) // BLOCK_BUCKETS
        return [
            sum(ring[(last - BLOCK_BUCKETS * back - i) % size] for i in range(1, BLOCK_BUCKETS + 1))
            / (BLOCK_BUCKETS * BUCKET_US)
            for back in range(count - 1, -1, -1)
        ]


def _walk_rate(blocks: list[float], block_s: float) -> float:
    """The variance that a random walk gains a second, from its means over blocks of length B: they differ from one to
    the next by 2/3 R B."""
    count = len(blocks)
    gains = [later - earlier for earlier, later in pairwise(blocks)]
    drift = (blocks[-1] - blocks[0]) / (count - 1)
    return 1.5 * sum((gain - drift) ** 2 for gain in gains) / max(1, count - 2) / block_s


def _least_squares_slope(values: list[float]) -> float:
    """Growth from one value to the next."""
    middle = (len(values) - 1) / 2
    spread = sum((x - middle) ** 2 for x in range(len(values)))
    return sum((x - middle) * value for x, value in enumerate(values)) / spread


class WindowedCount:
    """Events of the last window, counted by buckets."""

    def __init__(self, window_us: int, now: int) -> None:
        self.window_us = window_us
        self._size = -(-window_us // BUCKET_US)
        self._ring = [0] * self._size
        self._bucket = now // BUCKET_US

    def _advance(self, now: int) -> None:
        bucket = now // BUCKET_US
        for index in range(max(self._bucket + 1, bucket - self._size + 1), bucket + 1):
            self._ring[index % self._size] = 0
        self._bucket = max(self._bucket, bucket)

    def add(self, now: int, by: int = 1) -> None:
        """So many events have happened."""
        self._advance(now)
        self._ring[self._bucket % self._size] += by

    def count(self, now: int) -> int:
        """How many events there were in the window that ends now."""
        self._advance(now)
        return sum(self._ring)

    def per_second(self, now: int) -> float:
        """The rate of events in the window that ends now."""
        return self.count(now) / (self.window_us / 1e6)
