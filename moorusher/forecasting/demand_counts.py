"""Demand as it is counted: first attempts of requests, rejected ones included, by buckets of five minutes (UTC).

Each process of a runner keeps counts that only grow, by seat, incarnation and bucket (a grow-only counter, the CRDT).
Counts are merged by the larger of each figure. So reports that are repeated, late or out of order neither double nor
lose anything, whichever member leads the forecast by then. Each bucket says which span of it was counted: what a lost
runner did not report is a gap, and never a zero.
"""

from __future__ import annotations

import msgspec

BUCKET_MS = 300_000
BUCKETS_PER_HOUR = 12
HOUR_MS = BUCKET_MS * BUCKETS_PER_HOUR


class RouteKey(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Whose demand it is. Sent and stored as an array: the order of the fields is part of the format.

    customer: str, "" for requests without one.
    namespace_incarnation: int; a namespace that was deleted and made anew has no past.
    route: str, "" for requests without one.
    zone: str, of the runner.
    """

    customer: str
    namespace_incarnation: int
    route: str
    zone: str

    def label(self) -> str:
        """Return the key as operators read it."""
        zone = f"@{self.zone}" if self.zone else ""
        return f"{self.customer or '-'}/{self.route or '-'}{zone}"


class DemandCounts(msgspec.Struct, frozen=True, array_like=True):
    """Counts of one route. Sent and stored as an array: the order of the fields is part of the format.

    requests: int, first attempts.
    rejected: int, of them.
    runs: int, that ended.
    core_us: int, processor time of those runs.
    priority_weight: float, the sum over the requests.
    """

    requests: int = 0
    rejected: int = 0
    runs: int = 0
    core_us: int = 0
    priority_weight: float = 0.0

    def plus(self, other: DemandCounts) -> DemandCounts:
        """Return the sum, of counts of different requests."""
        return DemandCounts(
            self.requests + other.requests,
            self.rejected + other.rejected,
            self.runs + other.runs,
            self.core_us + other.core_us,
            self.priority_weight + other.priority_weight,
        )

    def merged(self, other: DemandCounts) -> DemandCounts:
        """Return the later state of the same counter: the larger of each figure."""
        return DemandCounts(
            max(self.requests, other.requests),
            max(self.rejected, other.rejected),
            max(self.runs, other.runs),
            max(self.core_us, other.core_us),
            max(self.priority_weight, other.priority_weight),
        )


class BucketCounts(msgspec.Struct, frozen=True, array_like=True):
    """What one process counted in one bucket.

    Sent and stored as an array: the order of the fields is part of the format.

    seat: str, of the runner.
    incarnation: int, of the process.
    zone: str, of the runner.
    bucket: int, buckets since 1970.
    counted_from_ms, counted_until_ms: int, Unix time; the process counted from the one to the other.
    counts: by encoded `RouteKey`.
    """

    seat: str
    incarnation: int
    zone: str
    bucket: int
    counted_from_ms: int
    counted_until_ms: int
    counts: dict[str, DemandCounts]

    def merged(self, other: BucketCounts) -> BucketCounts:
        """Return the later state of the same process's bucket."""
        counts = dict(self.counts)
        for route, more in other.counts.items():
            counts[route] = counts[route].merged(more) if route in counts else more
        return BucketCounts(
            self.seat,
            self.incarnation,
            self.zone,
            self.bucket,
            min(self.counted_from_ms, other.counted_from_ms),
            max(self.counted_until_ms, other.counted_until_ms),
            counts,
        )

    @property
    def covered_ms(self) -> int:
        """How long the process counted in this bucket."""
        return max(0, self.counted_until_ms - self.counted_from_ms)

    @property
    def is_valid(self) -> bool:
        """Whether the span that was counted lies within the bucket."""
        start = self.bucket * BUCKET_MS
        return start <= self.counted_from_ms <= self.counted_until_ms <= start + BUCKET_MS


_encode = msgspec.json.Encoder().encode
_decoder = msgspec.json.Decoder(RouteKey)


def encode_key(key: RouteKey) -> str:
    """Return a key as text, as it stands in counts that are sent and stored."""
    return _encode(key).decode()


def decode_key(text: str) -> RouteKey:
    """Return the key of such a text.

    :raises ValueError: it is none.
    """
    return _decoder.decode(text)
