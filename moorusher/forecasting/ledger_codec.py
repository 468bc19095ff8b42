"""Encoding of the ledger as the replicated state of the duty `forecast`."""

from __future__ import annotations

import zlib
from collections.abc import Mapping

import msgspec

from .demand_counts import BucketCounts, DemandCounts, decode_key
from .demand_ledger import DemandLedger
from .hourly_series import HourlySeries

COMPRESSION_LEVEL = 6
# Bytes per hour.
REQUESTS_BYTES = 4
COVERAGE_BYTES = 1


class StoredSeries(msgspec.Struct, array_like=True):
    """Stored form of a series. `hours`: compressed requests of all hours, followed by all coverages."""

    first_hour: int
    hours: bytes
    core_us: float
    priority_weight: float
    rejected_share: float


class StoredLedger(msgspec.Struct, array_like=True):
    """Stored form of a ledger; see `DemandLedger` for the fields.

    Fields that rarely change come first, so that most chunks of the replicated state stay the same.
    """

    series: dict[str, StoredSeries]
    next_bucket: int
    first_bucket: int
    last_bucket_by_seat: dict[str, int]
    hour_counts: dict[str, DemandCounts]
    hour_coverage: dict[str, float]
    open_buckets: list[BucketCounts]
    late_reports: int
    invalid_reports: int


_encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(StoredLedger)


class LedgerCodec:
    """Encodes and decodes one ledger. Only series that have changed are compressed again."""

    def __init__(self, ledger: DemandLedger) -> None:
        self._ledger = ledger
        self._compressed: dict[str, StoredSeries] = {}
        ledger.changed_routes.update(ledger.series)

    def compress_some(self, max_series: int) -> bool:
        """Compress at most `max_series` changed series. Return whether all are compressed.

        Hundreds of routes change each hour, and compressing all of them in one turn would block the reactor.
        """
        changed = self._ledger.changed_routes
        for route in list(changed)[:max_series]:
            changed.discard(route)
            series = self._ledger.series.get(route)
            if series is None:
                self._compressed.pop(route, None)
            else:
                self._compressed[route] = _compress(series)
        return not changed

    def encode(self) -> bytes:
        """Return the stored form of the ledger. Equal ledgers are encoded as the same bytes."""
        ledger = self._ledger
        self.compress_some(len(ledger.changed_routes))
        buckets = sorted(ledger.open_buckets.items())
        return _encode(
            StoredLedger(
                dict(sorted(self._compressed.items())),
                ledger.next_bucket,
                ledger.first_bucket,
                dict(sorted(ledger.last_bucket_by_seat.items())),
                dict(sorted(ledger.hour_counts.items())),
                dict(sorted(ledger.hour_coverage.items())),
                [report for _, reports in buckets for _, report in sorted(reports.items())],
                ledger.late_reports,
                ledger.invalid_reports,
            )
        )

    def decode(self, state: bytes) -> None:
        """Fill the ledger, which must be new, from its stored form; b"" is a ledger without reports.

        :raises ValueError: if the state is damaged; the ledger is unchanged.
        """
        if not state:
            return
        try:
            stored = _decoder.decode(state)
            for route in stored.series:
                decode_key(route)
            series = {route: _decompress(stored_series) for route, stored_series in stored.series.items()}
        except (msgspec.MsgspecError, zlib.error) as error:
            raise ValueError(str(error)) from error
        self._compressed = stored.series
        self._fill(stored, series)

    def _fill(self, stored: StoredLedger, series: dict[str, HourlySeries]) -> None:
        ledger = self._ledger
        ledger.series = series
        ledger.next_bucket = stored.next_bucket
        ledger.first_bucket = stored.first_bucket
        ledger.last_bucket_by_seat = stored.last_bucket_by_seat
        ledger.hour_counts = stored.hour_counts
        ledger.hour_coverage = stored.hour_coverage
        ledger.late_reports = stored.late_reports
        ledger.invalid_reports = stored.invalid_reports
        for report in stored.open_buckets:
            reports = ledger.open_buckets.setdefault(report.bucket, {})
            reports[report.seat, report.incarnation] = report


def encode_ledger(ledger: DemandLedger) -> bytes:
    """Return the stored form of a ledger."""
    return LedgerCodec(ledger).encode()


def decode_ledger(state: bytes, zones: Mapping[str, str]) -> DemandLedger:
    """Return the ledger of a stored form.

    :param zones: Zone of each seat of the cluster.
    :raises ValueError: if the state is damaged.
    """
    ledger = DemandLedger(zones)
    LedgerCodec(ledger).decode(state)
    return ledger


def _compress(series: HourlySeries) -> StoredSeries:
    hours = zlib.compress(series.requests.tobytes() + series.coverage.tobytes(), COMPRESSION_LEVEL)
    return StoredSeries(
        series.first_hour, hours, series.core_us, series.priority_weight, series.rejected_share
    )


def _decompress(stored: StoredSeries) -> HourlySeries:
    hours = zlib.decompress(stored.hours)
    count, remainder = divmod(len(hours), REQUESTS_BYTES + COVERAGE_BYTES)
    if remainder:
        raise ValueError("hours and shares differ in number")
    series = HourlySeries(
        stored.first_hour,
        core_us=stored.core_us,
        priority_weight=stored.priority_weight,
        rejected_share=stored.rejected_share,
    )
    series.requests.frombytes(hours[: REQUESTS_BYTES * count])
    series.coverage.frombytes(hours[REQUESTS_BYTES * count :])
    return series
