"""Levels and event counts of the last seconds, in time buckets."""

# The overload limit applies to the mean number of runs on the cores over a window. Therefore the level is stored as
# its integral over short buckets: the mean is exact, except for the position of the window's beginning in the oldest
# bucket.

from __future__ import annotations

from itertools import pairwise

BUCKET_US = 50_000  # duration of a bucket, and uncertainty of the window's beginning
BLOCK_BUCKETS = 5  # buckets averaged into one block for the trend
SHORT_TREND_BLOCKS = 6  # 1.5 s; over a shorter time a few runs would look like a trend
TREND_DEVIATIONS = 1.0  # standard deviations of a random walk that are subtracted from a trend


class LevelHistory:
    """A level over time, such as the number of runs on the cores, stored as its integral over each time bucket.

    The number of buckets does not depend on how often the level changes.

    Attributes:
        window_us: Window of `mean`.
        value: Current level.
    """

    def __init__(self, window_us: int, now: int) -> None:
        """Create a history of level 0."""
        self.window_us = window_us
        self._size = max(-(-window_us // BUCKET_US) + 1, SHORT_TREND_BLOCKS * BLOCK_BUCKETS + 1)
        self._buckets = [0] * self._size  # integral of the level over each bucket
        self._bucket = now // BUCKET_US  # number of the latest bucket
        self._advanced_to_us = now
        self.value = 0
        if now % BUCKET_US:  # count the first bucket from its beginning; the level was 0 before the start
            self._advanced_to_us = self._bucket * BUCKET_US
            self.advance(now)

    def set(self, now: int, value: int) -> None:
        """Change the level."""
        self.advance(now)
        self.value = value

    def advance(self, now: int) -> None:
        """Integrate the current level until `now`. A time that is not later than the last one has no effect."""
        # Events that are processed in the same turn of the event loop can have equal or earlier times.
        if now <= self._advanced_to_us:
            return
        if now - self._advanced_to_us > (self._size + 1) * BUCKET_US:
            # Every bucket of the ring has expired, so the current level fills the whole ring.
            self._buckets = [self.value * BUCKET_US] * self._size
            self._bucket = now // BUCKET_US
            self._buckets[self._bucket % self._size] = self.value * (now % BUCKET_US)
            self._advanced_to_us = now
            return
        while self._advanced_to_us < now:
            end = min(now, (self._bucket + 1) * BUCKET_US)
            self._buckets[self._bucket % self._size] += self.value * (end - self._advanced_to_us)
            self._advanced_to_us = end
            if end == (self._bucket + 1) * BUCKET_US:
                self._bucket += 1
                self._buckets[self._bucket % self._size] = 0

    def integral(self, since: int) -> float:
        """Return the integral of the level over time in us, from `since` to the last advance, within the ring."""
        total = 0.0
        bucket = self._bucket
        first_full = -(-since // BUCKET_US)  # first bucket that begins at `since` or later
        if bucket - first_full + 1 >= self._size:
            return float(sum(self._buckets))
        for index in range(first_full, bucket + 1):
            total += self._buckets[index % self._size]
        if since < first_full * BUCKET_US:
            # Add a part of the previous bucket, assuming a constant level in it.
            previous = first_full - 1
            end = min(self._advanced_to_us, first_full * BUCKET_US)
            if bucket - previous < self._size and end > since:
                total += self._buckets[previous % self._size] * (end - since) / (end - previous * BUCKET_US)
        return total

    def mean(self, now: int) -> float:
        """Return the mean level over the window that ends now."""
        self.advance(now)
        return self.integral(now - self.window_us) / self.window_us

    def trend(self, now: int) -> float:
        """Return the statistically significant growth per second, at least 0.

        This is the larger of the growth over the last 1.5 s and over the whole history, each reduced by
        `TREND_DEVIATIONS` standard deviations of a random walk.
        """
        # Random arrivals and ends make the level a random walk. If its variance grows by R per second, a least-squares
        # slope over a time T has a variance of 6/5 R / T. Without the reduction a healthy runner would sometimes
        # forecast an overload, its load would move to other runners, and they would do the same. R is measured, not
        # derived from arrivals, because a level that is limited by the runner's own slots varies less.
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
        """Return the mean level of each whole block in the ring, oldest first."""
        buckets = self._buckets
        size = self._size
        last = self._bucket
        count = (size - 1) // BLOCK_BUCKETS
        return [
            sum(buckets[(last - BLOCK_BUCKETS * back - i) % size] for i in range(1, BLOCK_BUCKETS + 1))
            / (BLOCK_BUCKETS * BUCKET_US)
            for back in range(count - 1, -1, -1)
        ]


def _walk_rate(blocks: list[float], block_s: float) -> float:
    """Return the variance that a random walk gains per second, estimated from its means over blocks of `block_s`."""
    # For a walk that gains the variance R per second, the difference of two consecutive means over blocks of length B
    # has a variance of 2/3 R B.
    count = len(blocks)
    gains = [later - earlier for earlier, later in pairwise(blocks)]
    drift = (blocks[-1] - blocks[0]) / (count - 1)
    return 1.5 * sum((gain - drift) ** 2 for gain in gains) / max(1, count - 2) / block_s


def _least_squares_slope(values: list[float]) -> float:
    """Return the least-squares growth from one value to the next."""
    middle = (len(values) - 1) / 2
    spread = sum((x - middle) ** 2 for x in range(len(values)))
    return sum((x - middle) * value for x, value in enumerate(values)) / spread


class WindowedCount:
    """Number of events in a sliding window, counted by time bucket."""

    def __init__(self, window_us: int, now: int) -> None:
        """Create a count without events."""
        self.window_us = window_us
        self._size = -(-window_us // BUCKET_US)
        self._buckets = [0] * self._size
        self._bucket = now // BUCKET_US

    def _advance(self, now: int) -> None:
        bucket = now // BUCKET_US
        for index in range(max(self._bucket + 1, bucket - self._size + 1), bucket + 1):
            self._buckets[index % self._size] = 0
        self._bucket = max(self._bucket, bucket)

    def add(self, now: int, by: int = 1) -> None:
        """Add `by` events."""
        self._advance(now)
        self._buckets[self._bucket % self._size] += by

    def count(self, now: int) -> int:
        """Return the number of events in the window that ends now."""
        self._advance(now)
        return sum(self._buckets)

    def per_second(self, now: int) -> float:
        """Return the rate of events in the window that ends now."""
        return self.count(now) / (self.window_us / 1e6)
