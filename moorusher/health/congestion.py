"""The crowd on the cores over the last seconds: its mean, its trend, and when it will be too much.

The rule is on a mean: more than a figure for each core in the mean of a window (3 s) and the runner is gone. So the
count is kept as an integral over short buckets, exact but for where within the oldest bucket the window begins.
"""

from __future__ import annotations

from dataclasses import dataclass
from itertools import pairwise

BUCKET = 50_000  # us; the window's edge is uncertain by this much
BLOCK = 5  # buckets over which the count is averaged for its trend
TREND = 6  # blocks of the shorter trend: under a second and a half few runs are no trend
SURE = 1.0  # deviations by which a trend must exceed what chance would show, before it is believed
AHEAD = 6  # points of the time ahead at which the mean is worked out


class History:
    """A figure over time, as an integral for each bucket. Bounded: one ring, whatever happens how often."""

    def __init__(self, window_us: int, now: int) -> None:
        self.window = window_us
        self._size = max(-(-window_us // BUCKET) + 1, TREND * BLOCK + 1)
        self._ring = [0] * self._size  # figure times us; the newest is `_bucket`'s
        self._bucket, self._at, self.value = now // BUCKET, now, 0
        if now % BUCKET:
            self._at = (
                self._bucket * BUCKET
            )  # the first bucket is whole too: before the start the figure was 0
            self.advance(now)

    def set(self, now: int, value: int) -> None:
        self.advance(now)
        self.value = value

    def advance(self, now: int) -> None:
        """Never back: several events of one turn share a time, and an older one changes nothing."""
        if now <= self._at:
            return
        if now - self._at > (self._size + 1) * BUCKET:  # all of the ring is older than what stands now
            self._ring = [self.value * BUCKET] * self._size
            self._bucket = now // BUCKET
            self._ring[self._bucket % self._size] = self.value * (now % BUCKET)
            self._at = now
            return
        while self._at < now:
            end = min(now, (self._bucket + 1) * BUCKET)
            self._ring[self._bucket % self._size] += self.value * (end - self._at)
            self._at = end
            if end == (self._bucket + 1) * BUCKET:
                self._bucket += 1
                self._ring[self._bucket % self._size] = 0

    def integral(self, since: int) -> float:
        """Figure times us from `since` until the last time it was told. Before the ring's reach: nothing."""
        total, bucket = 0.0, self._bucket
        whole = -(-since // BUCKET)  # the first bucket that begins at `since` or later
        if bucket - whole + 1 >= self._size:
            return float(sum(self._ring))
        for b in range(whole, bucket + 1):
            total += self._ring[b % self._size]
        if since < whole * BUCKET:  # a part of the bucket before: as if the figure had been even in it
            before = whole - 1
            end = min(self._at, whole * BUCKET)
            if bucket - before < self._size and end > since:
                total += self._ring[before % self._size] * (end - since) / (end - before * BUCKET)
        return total

    def mean(self, now: int) -> float:
        """Over the window that ends now."""
        self.advance(now)
        return self.integral(now - self.window) / self.window

    def trend(self, now: int) -> float:
        """Growth a second that is more than chance: the larger of those over the last second and a half, and over
        the whole window; 0 and more.

        A count that runs come to and leave at random walks up and down. A least-squares slope over a time T of a
        walk of rate R (the variance that it gains a second) has a variance of 6/5 R / T; that much is taken off.
        Taken at its word, a healthy runner's slope forecasts its end now and then, its load falls upon its
        neighbours, and they do so too. R is measured, not derived from arrivals: a runner whose count is held by
        its own slots walks less. The mean over blocks of length B of a walk differs from one to the next by 2/3 R B.
        """
        self.advance(now)
        ring, size, last = self._ring, self._size, self._bucket
        count = (size - 1) // BLOCK
        blocks = [
            sum(ring[(last - BLOCK * back - i) % size] for i in range(1, BLOCK + 1)) / (BLOCK * BUCKET)
            for back in range(count - 1, -1, -1)
        ]
        gains = [b - a for a, b in pairwise(blocks)]
        drift = (blocks[-1] - blocks[0]) / (count - 1)
        seconds = BLOCK * BUCKET / 1e6
        walk = 1.5 * sum((g - drift) ** 2 for g in gains) / max(1, count - 2) / seconds
        best = 0.0
        for part in {min(TREND, count), count}:
            middle = (part - 1) / 2
            over = sum((x - middle) ** 2 for x in range(part))
            slope = sum((x - middle) * b for x, b in enumerate(blocks[-part:])) / over / seconds
            best = max(best, slope - SURE * (1.2 * walk / (part * seconds)) ** 0.5)
        return best


class Counts:
    """Events of the last window, counted by buckets."""

    def __init__(self, window_us: int, now: int) -> None:
        self.window, self._size = window_us, -(-window_us // BUCKET)
        self._ring, self._bucket = [0] * self._size, now // BUCKET

    def _advance(self, now: int) -> None:
        bucket = now // BUCKET
        for b in range(max(self._bucket + 1, bucket - self._size + 1), bucket + 1):
            self._ring[b % self._size] = 0
        self._bucket = max(self._bucket, bucket)

    def add(self, now: int, by: int = 1) -> None:
        self._advance(now)
        self._ring[self._bucket % self._size] += by

    def count(self, now: int) -> int:
        self._advance(now)
        return sum(self._ring)


@dataclass(frozen=True, slots=True)
class Ahead:
    """What is expected of the next seconds: the count goes from `level` to `end` until balancers have acted, in
    `turn_us`, and then falls by `falls` a second, or rises where that is negative; never over `most` by itself."""

    level: float
    end: float
    turn_us: int
    falls: float
    most: float

    def integral(self, a: float, b: float) -> float:
        """Count times us from a to b us ahead."""
        total, turn = 0.0, float(self.turn_us)
        if a < turn:  # a straight line
            until = min(b, turn)
            slope = (self.end - self.level) / turn
            total += (until - a) * (self.level + slope * (a + until) / 2)
        if b > turn:  # another, until nothing is left or nothing more is let in
            since, until = max(a, turn) - turn, b - turn
            edge = 0.0 if self.falls > 0 else max(self.end, self.most)
            bend = (self.end - edge) / self.falls * 1e6 if self.falls else until
            line = min(until, bend)
            if line > since:
                total += (line - since) * (self.end - self.falls * (since + line) / 2e6)
            if until > bend:
                total += (until - max(since, bend)) * edge
        return total


def highest_mean(
    history: History,
    now: int,
    horizon_us: int,
    floor: float = 0.0,
    waiting: int = 0,
    came_per_s: float = 0.0,
    ended_per_s: float = 0.0,
    most: float = float("inf"),
) -> float:
    """The highest mean of the window that ends at any time from now on, if balancers act on what they are told now
    within `horizon_us`.

    Until then the count goes on by its trend and never falls: that what runs will end is hope, not measurement.
    From then on nothing new is sent; the count falls as runs were seen to end, and what is held or at calls comes onto
    the cores within a window: a runner with a full hold goes on filling by itself. The mean goes on rising for a
    while after that turn, as the window's older and emptier part leaves it: a forecast that ends at the turn says
    'not yet' until it is too late.

    `floor` is the least that runs whatever the own count says; `waiting` what may come onto the cores (held, or at
    calls); growth that neither it nor arrivals can feed is not believed. `most` is what the runner itself lets onto
    its cores.
    """
    level = max(float(history.value), floor)
    highest = history.mean(now)
    if not level and not highest:
        return 0.0  # nothing runs and nothing did: the usual case of an idle runner
    window, seconds = history.window, horizon_us / 1e6
    slope = history.trend(now)
    end = level + min(slope * seconds, waiting + came_per_s * seconds)
    end = max(level, min(end, most))
    ahead = Ahead(level, end, max(1, horizon_us), ended_per_s - waiting / (window / 1e6), most)
    last = horizon_us + window
    for i in range(1, AHEAD + 1):
        at = last * i // AHEAD
        future = ahead.integral(max(0, at - window), at)
        past = history.integral(now + at - window) if at < window else 0.0
        highest = max(highest, (past + future) / window)
    return highest


def survived(cores: int, tip_per_core: float, speed: float) -> float:
    """Runs on the cores, in the mean of the window, up to which a runner lives. `speed` is its share of full speed:
    a cold runner survives fewer."""
    return cores * (1.0 + (tip_per_core - 1.0) * min(1.0, max(0.0, speed)))
