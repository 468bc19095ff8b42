"""The counter of one process: counts demand by buckets, and keeps each until a majority of the cluster has it."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from .demand_counts import BUCKET_MS, BucketCounts, DemandCounts, RouteKey, encode_key

MAX_BUCKETS = 600  # kept until they are acknowledged: two days
MAX_BUCKETS_PER_REPORT = 24
# A longer pause between two ticks means that the process was stopped (SIGSTOP, a suspended machine): requests that came
# meanwhile were not counted, so the pause must not look like a time without demand.
MAX_TICK_GAP_MS = 60_000


@dataclass(slots=True)
class _Bucket:
    """One bucket of this process.

    counted_from_ms, counted_until_ms: int, Unix time.
    acknowledged_until_ms: int, until when what a majority has was counted; None before the first acknowledgement.
    counts: by encoded `RouteKey`.
    """

    counted_from_ms: int
    counted_until_ms: int
    acknowledged_until_ms: int | None = None
    counts: dict[str, DemandCounts] = field(default_factory=dict)

    @property
    def is_acknowledged(self) -> bool:
        """A majority has all that was counted so far."""
        return self.acknowledged_until_ms is not None and self.acknowledged_until_ms >= self.counted_until_ms


class DemandCounter:
    """Counts the demand at one process.

    seat, incarnation, zone: of the process, as its reports name them.
    dropped_buckets: int, buckets that nobody acknowledged within two days.
    """

    def __init__(self, seat: str, incarnation: int, zone: str, now_ms: int, max_routes: int = 1_000) -> None:
        """:param max_routes: of one bucket; further ones are counted under no route of their customer."""
        self.seat = seat
        self.incarnation = incarnation
        self.zone = zone
        self.dropped_buckets = 0
        self._max_routes = max_routes
        self._buckets = {now_ms // BUCKET_MS: _Bucket(now_ms, now_ms)}
        self._last_tick_ms = now_ms

    def __len__(self) -> int:
        """The number of buckets that are kept."""
        return len(self._buckets)

    def tick(self, now_ms: int) -> None:
        """Note that the process runs and counts. Has to be called more often than `MAX_TICK_GAP_MS`.

        Where the clock was set back, counting goes on in the bucket that it had reached.
        """
        previous_ms = self._last_tick_ms
        now_ms = max(previous_ms, now_ms)
        self._last_tick_ms = now_ms
        if now_ms // BUCKET_MS != previous_ms // BUCKET_MS:
            self._begin_bucket(previous_ms, now_ms)
        self._current.counted_until_ms = now_ms

    @property
    def _current_number(self) -> int:
        return self._last_tick_ms // BUCKET_MS

    @property
    def _current(self) -> _Bucket:
        return self._buckets[self._current_number]

    def _begin_bucket(self, previous_ms: int, now_ms: int) -> None:
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
        """Add counts to a route's."""
        self.tick(now_ms)
        by_route = self._current.counts
        name = encode_key(key)
        if name not in by_route and len(by_route) >= self._max_routes:
            name = encode_key(RouteKey(key.customer, key.namespace_incarnation, "", key.zone))
        by_route[name] = by_route.get(name, DemandCounts()).plus(counts)

    def unacknowledged(self, now_ms: int) -> list[BucketCounts]:
        """Return what is to be reported: the oldest buckets that have counted more than was acknowledged."""
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
        """Note that a majority has these buckets: each a number, and until when (Unix ms) it had counted by then."""
        for number, until_ms in reported:
            bucket = self._buckets.get(number)
            if bucket is None:
                continue
            bucket.acknowledged_until_ms = max(bucket.acknowledged_until_ms or 0, until_ms)
            if number < self._current_number and until_ms >= bucket.counted_until_ms:
                del self._buckets[number]
