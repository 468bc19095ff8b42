"""Demand counts: first attempts of requests, including rejected ones, in buckets of five minutes (UTC).

Each process of a runner keeps counts that only grow, keyed by seat, incarnation and bucket (a grow-only counter CRDT).
Counts are merged by the maximum of each field. So repeated, late and reordered reports neither double nor lose
counts, even if the leader of the forecast changes. Each bucket states which span of it was counted, so that missing
reports of a failed runner appear as a gap and not as zero demand.
"""

from __future__ import annotations

import msgspec

BUCKET_MS = 300_000
BUCKETS_PER_HOUR = 12
HOUR_MS = BUCKET_MS * BUCKETS_PER_HOUR


class RouteKey(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Key of the counts of one route in one zone. Encoded as an array: the field order is part of the format.

    Attributes:
        customer: Name of the customer; "" for requests without one.
        namespace_incarnation: Incarnation of the customer's namespace. A namespace that is deleted and created again
            starts without a history.
        route: Name of the route; "" for requests without one.
        zone: Zone of the runner.
    """

    customer: str
    namespace_incarnation: int
    route: str
    zone: str

    def label(self) -> str:
        """Return the key in readable form, for operators."""
        zone = f"@{self.zone}" if self.zone else ""
        return f"{self.customer or '-'}/{self.route or '-'}{zone}"


class DemandCounts(msgspec.Struct, frozen=True, array_like=True):
    """Counts of one route. Encoded as an array: the field order is part of the format.

    Attributes:
        requests: First attempts.
        rejected: First attempts that were rejected.
        runs: Ended runs.
        core_us: Processor time of the ended runs.
        priority_weight: Sum of the priority weights of the requests.
    """

    requests: int = 0
    rejected: int = 0
    runs: int = 0
    core_us: int = 0
    priority_weight: float = 0.0

    def plus(self, other: DemandCounts) -> DemandCounts:
        """Return the sum of these and other counts, which must be of different requests."""
        return DemandCounts(
            self.requests + other.requests,
            self.rejected + other.rejected,
            self.runs + other.runs,
            self.core_us + other.core_us,
            self.priority_weight + other.priority_weight,
        )

    def merged(self, other: DemandCounts) -> DemandCounts:
        """Merge two states of the same counter: return the maximum of each field."""
        return DemandCounts(
            max(self.requests, other.requests),
            max(self.rejected, other.rejected),
            max(self.runs, other.runs),
            max(self.core_us, other.core_us),
            max(self.priority_weight, other.priority_weight),
        )


class BucketCounts(msgspec.Struct, frozen=True, array_like=True):
    """Counts of one process in one bucket. Encoded as an array: the field order is part of the format.

    Attributes:
        seat: Seat of the runner.
        incarnation: Incarnation of the process.
        zone: Zone of the runner.
        bucket: Number of the bucket, counted from 1970.
        counted_from_ms: Unix time at which counting began.
        counted_until_ms: Unix time up to which requests are counted.
        counts: Counts by encoded `RouteKey`.
    """

    seat: str
    incarnation: int
    zone: str
    bucket: int
    counted_from_ms: int
    counted_until_ms: int
    counts: dict[str, DemandCounts]

    def merged(self, other: BucketCounts) -> BucketCounts:
        """Merge two states of the same bucket of the same process."""
        counts = dict(self.counts)
        for route, other_counts in other.counts.items():
            counts[route] = counts[route].merged(other_counts) if route in counts else other_counts
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
        """Duration for which the process counted in this bucket."""
        return max(0, self.counted_until_ms - self.counted_from_ms)

    @property
    def is_valid(self) -> bool:
        """Whether the counted span lies within the bucket."""
        start = self.bucket * BUCKET_MS
        return start <= self.counted_from_ms <= self.counted_until_ms <= start + BUCKET_MS


_encode = msgspec.json.Encoder().encode
_decoder = msgspec.json.Decoder(RouteKey)


def encode_key(key: RouteKey) -> str:
    """Return a key as text, in the form used in counts that are sent and stored."""
    return _encode(key).decode()


def decode_key(text: str) -> RouteKey:
    """Return the key that `encode_key` encoded as this text.

    :raises ValueError: if the text is not an encoded key.
    """
    return _decoder.decode(text)
