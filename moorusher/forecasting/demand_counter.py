"""Demand counter of one process. Retains each bucket until a majority of the cluster has replicated it."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from .demand_counts import BUCKET_MS, BucketCounts, DemandCounts, RouteKey, encode_key

# Unacknowledged buckets that are retained: two days.
MAX_BUCKETS = 600
MAX_BUCKETS_PER_REPORT = 24
# A longer gap between two ticks means that the process was stopped (SIGSTOP, a suspended machine). Requests that
# arrived in the gap were not counted, so it must not appear as a period without demand.
MAX_TICK_GAP_MS = 60_000


@dataclass(slots=True)
class _Bucket:
    """One bucket of this process.

    Attributes:
        counted_from_ms: Unix time at which counting began.
        counted_until_ms: Unix time up to which requests are counted.
        acknowledged_until_ms: Unix time up to which a majority has the counts; None before the first acknowledgement.
        counts: Counts by encoded `RouteKey`.
    """

    counted_from_ms: int
    counted_until_ms: int
    acknowledged_until_ms: int | None = None
    counts: dict[str, DemandCounts] = field(default_factory=dict)

    @property
    def is_acknowledged(self) -> bool:
        """Whether a majority has all counts of the bucket so far."""
        return self.acknowledged_until_ms is not None and self.acknowledged_until_ms >= self.counted_until_ms


class DemandCounter:
    """Counts the demand at one process.

    Attributes:
        seat: Seat of the runner.
        incarnation: Incarnation of the process.
        zone: Zone of the runner.
        dropped_buckets: Number of buckets that were not acknowledged within two days.
    """

    def __init__(self, seat: str, incarnation: int, zone: str, now_ms: int, max_routes: int = 1_000) -> None:
        """:param max_routes: Routes per bucket; requests for more routes are counted under the route ""."""
        self.seat = seat
        self.incarnation = incarnation
        self.zone = zone
        self.dropped_buckets = 0
        self._max_routes = max_routes
        self._buckets = {now_ms // BUCKET_MS: _Bucket(now_ms, now_ms)}
        self._last_tick_ms = now_ms

    def __len__(self) -> int:
        """Return the number of retained buckets."""
        return len(self._buckets)

    def tick(self, now_ms: int) -> None:
        """Record that the process is running. Must be called at intervals shorter than `MAX_TICK_GAP_MS`.

        If the clock is set back, counting continues in the bucket that was already reached.
        """
        previous_ms = self._last_tick_ms
        now_ms = max(previous_ms, now_ms)
        self._last_tick_ms = now_ms
        if now_ms // BUCKET_MS != previous_ms // BUCKET_MS:
            self._start_bucket(previous_ms, now_ms)
        self._current_bucket.counted_until_ms = now_ms

    @property
    def _current_bucket_number(self) -> int:
        return self._last_tick_ms // BUCKET_MS

    @property
    def _current_bucket(self) -> _Bucket:
        return self._buckets[self._current_bucket_number]

    def _start_bucket(self, previous_ms: int, now_ms: int) -> None:
        number = now_ms // BUCKET_MS
        was_stopped = now_ms - previous_ms > MAX_TICK_GAP_MS
        previous = self._buckets.get(previous_ms // BUCKET_MS)
        if previous is not None and not was_stopped:
            previous.counted_until_ms = (previous_ms // BUCKET_MS + 1) * BUCKET_MS
        start_ms = now_ms if was_stopped else number * BUCKET_MS
        self._buckets[number] = _Bucket(start_ms, now_ms)
        while len(self._buckets) > MAX_BUCKETS:
            del self._buckets[min(self._buckets)]
            self.dropped_buckets += 1

    def count(self, now_ms: int, key: RouteKey, counts: DemandCounts) -> None:
        """Add counts to those of a route."""
        self.tick(now_ms)
        by_route = self._current_bucket.counts
        encoded_key = encode_key(key)
        if encoded_key not in by_route and len(by_route) >= self._max_routes:
            encoded_key = encode_key(RouteKey(key.customer, key.namespace_incarnation, "", key.zone))
        by_route[encoded_key] = by_route.get(encoded_key, DemandCounts()).plus(counts)

    def unacknowledged_buckets(self, now_ms: int) -> list[BucketCounts]:
        """Return the oldest buckets with unacknowledged counts, for a report."""
        self.tick(now_ms)
        pending = sorted(number for number, bucket in self._buckets.items() if not bucket.is_acknowledged)
        return [self._report(number) for number in pending[:MAX_BUCKETS_PER_REPORT]]

    def _report(self, number: int) -> BucketCounts:
        bucket = self._buckets[number]
        return BucketCounts(
            self.seat,
            self.incarnation,
            self.zone,
            number,
            bucket.counted_from_ms,
            bucket.counted_until_ms,
            dict(bucket.counts),
        )

    def acknowledge(self, reported: Iterable[tuple[int, int]]) -> None:
        """Record that a majority has replicated buckets.

        :param reported: Number of each bucket, and the Unix time in ms up to which it had been counted.
        """
        for number, until_ms in reported:
            bucket = self._buckets.get(number)
            if bucket is None:
                continue
            bucket.acknowledged_until_ms = max(bucket.acknowledged_until_ms or 0, until_ms)
            if number < self._current_bucket_number and until_ms >= bucket.counted_until_ms:
                del self._buckets[number]
