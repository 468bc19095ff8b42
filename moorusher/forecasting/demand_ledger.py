"""The ledger: counts of all runners, as open buckets and as closed hours per route.

A bucket is closed once all expected seats have reported it or its deadline has passed. Later reports of it are
ignored. So the closed hours do not depend on which member leads the forecast.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from .demand_counts import (
    BUCKET_MS,
    BUCKETS_PER_HOUR,
    BucketCounts,
    DemandCounts,
    decode_key,
)
from .hourly_series import FULL_COVERAGE, HourlySeries

# Time after the end of a bucket until which it waits for reports.
REPORT_DEADLINE_MS = 900_000
# Buckets after its last report for which a seat is still expected to report: one day. A seat that is down for longer
# must not make all later hours incomplete.
SEAT_EXPIRY_BUCKETS = 288


class DemandLedger:
    """Records reports, closes buckets, and stores the closed hours of each route.

    Attributes:
        zones: Zone of each seat of the cluster.
        max_routes: Maximum number of routes that are stored.
        series: Closed hours by encoded `RouteKey`.
        changed_routes: Routes whose series changed or was deleted since the set was last emptied.
        first_bucket: First bucket of the hour in which counting began; 0 before the first report.
        next_bucket: First bucket that is not closed; 0 before the first report.
        last_bucket_by_seat: Last bucket that each seat reported.
        open_buckets: Reports by bucket, and in each bucket by seat and incarnation.
        hour_counts: Counts of the closed buckets of the current hour, by route.
        hour_coverage: Sum of the covered shares of these buckets, by zone.
        late_reports: Number of reports of closed buckets.
        invalid_reports: Number of reports whose span is not within their bucket.
    """

    def __init__(self, zones: Mapping[str, str], max_routes: int = 1_000) -> None:
        self.zones = zones
        self.max_routes = max_routes
        self.series: dict[str, HourlySeries] = {}
        self.changed_routes: set[str] = set()
        self.first_bucket = self.next_bucket = 0
        self.last_bucket_by_seat: dict[str, int] = {}
        self.open_buckets: dict[int, dict[tuple[str, int], BucketCounts]] = {}
        self.hour_counts: dict[str, DemandCounts] = {}
        self.hour_coverage: dict[str, float] = {}
        self.late_reports = self.invalid_reports = 0

    @property
    def next_hour(self) -> int:
        """First hour that is not closed, in hours since 1970, UTC."""
        return self.next_bucket // BUCKETS_PER_HOUR

    # ---- reports ----

    def record(self, report: BucketCounts) -> bool:
        """Record a report. Return False if it is ignored because its bucket is closed or it is invalid."""
        if not report.is_valid:
            self.invalid_reports += 1
            return False
        if report.bucket < self.next_bucket:
            self.late_reports += 1
            return False
        if not self.next_bucket:
            self.first_bucket = self.next_bucket = report.bucket - report.bucket % BUCKETS_PER_HOUR
        reports = self.open_buckets.setdefault(report.bucket, {})
        process = report.seat, report.incarnation
        reports[process] = self.merge(reports[process], report) if process in reports else report
        last = self.last_bucket_by_seat.get(report.seat, 0)
        self.last_bucket_by_seat[report.seat] = max(last, report.bucket)
        return True

    def merge(self, known: BucketCounts, report: BucketCounts) -> BucketCounts:
        """Merge two reports of one process for the same bucket. Their order does not matter."""
        return known.merged(report)

    def requests_this_hour(self) -> dict[str, int]:
        """Return the number of reported requests in hours that are not closed, by route."""
        requests = {route: counts.requests for route, counts in self.hour_counts.items()}
        for reports in self.open_buckets.values():
            for report in reports.values():
                for route, counts in report.counts.items():
                    requests[route] = requests.get(route, 0) + counts.requests
        return requests

    # ---- imported history ----

    def can_import(self, route: str, first_hour: int, requests: Sequence[int]) -> bool:
        """Return whether hours can be imported: they must not overlap hours that were counted here."""
        series = self.series.get(route)
        counted_from = self.next_hour if series is None else series.first_hour
        return first_hour + len(requests) <= counted_from

    def import_history(
        self, route: str, first_hour: int, requests: Sequence[int], core_us: float, priority_weight: float
    ) -> None:
        """Insert hours that were counted elsewhere before the stored ones; `can_import` must be true for them.

        :param first_hour: Hours since 1970, UTC.
        :param core_us: Processor time per request.
        :param priority_weight: Priority weight per request.
        """
        imported = HourlySeries(first_hour, core_us=core_us)
        for index, count in enumerate(requests):
            imported.append(first_hour + index, DemandCounts(count), 1.0)
        imported.priority_weight = priority_weight
        if (known := self.series.get(route)) is not None:
            for index, (count, coverage) in enumerate(zip(known.requests, known.coverage, strict=True)):
                imported.append(known.first_hour + index, DemandCounts(count), coverage / FULL_COVERAGE)
            imported.core_us = known.core_us or core_us
            imported.priority_weight = known.priority_weight or priority_weight
            imported.rejected_share = known.rejected_share
        self.series[route] = imported
        self.changed_routes.add(route)

    # ---- closing ----

    def close_buckets(self, now_ms: int) -> int:
        """Close, in order, all buckets that can be closed at that Unix time. Return their number."""
        first = self.next_bucket
        while self.next_bucket and self._can_close(self.next_bucket, now_ms):
            self._close(self.next_bucket)
        return self.next_bucket - first

    def _can_close(self, bucket: int, now_ms: int) -> bool:
        end_ms = (bucket + 1) * BUCKET_MS
        if now_ms < end_ms:
            return False
        if now_ms >= end_ms + REPORT_DEADLINE_MS:
            return True
        reports = self.open_buckets.get(bucket, {}).values()
        complete_seats = {report.seat for report in reports if report.counted_until_ms >= end_ms}
        return complete_seats >= self._expected_seats(bucket).keys()

    def _expected_seats(self, bucket: int) -> dict[str, str]:
        """Return the seats that should report the bucket, with their zones; excludes seats silent for a day."""
        return {
            seat: zone
            for seat, zone in self.zones.items()
            if bucket - self.last_bucket_by_seat.get(seat, self.first_bucket) < SEAT_EXPIRY_BUCKETS
        }

    def covered_shares(self, bucket: int) -> dict[str, float]:
        """Return the share of an open bucket that each seat counted, summed over its processes."""
        covered_ms: dict[str, int] = {}
        for report in self.open_buckets.get(bucket, {}).values():
            covered_ms[report.seat] = covered_ms.get(report.seat, 0) + report.covered_ms
        return {seat: min(1.0, ms / BUCKET_MS) for seat, ms in covered_ms.items()}

    def _close(self, bucket: int) -> None:
        self._add_coverage(bucket)
        for report in self.open_buckets.pop(bucket, {}).values():
            for route, counts in report.counts.items():
                self.hour_counts[route] = self.hour_counts.get(route, DemandCounts()).plus(counts)
        self.next_bucket = bucket + 1
        if self.next_bucket % BUCKETS_PER_HOUR == 0:
            self._close_hour(bucket // BUCKETS_PER_HOUR)

    def _add_coverage(self, bucket: int) -> None:
        """Add the covered share of each zone: the mean over its expected seats, 0 for a seat without a report."""
        shares = self.covered_shares(bucket)
        by_zone: dict[str, list[float]] = {}
        for seat, zone in self._expected_seats(bucket).items():
            by_zone.setdefault(zone, []).append(shares.get(seat, 0.0))
        for zone, seat_shares in by_zone.items():
            self.hour_coverage[zone] = self.hour_coverage.get(zone, 0.0) + sum(seat_shares) / len(seat_shares)

    def _close_hour(self, hour: int) -> None:
        # Sorted, so that another leader that closes the same hour again stores the same routes.
        for route in sorted(self.hour_counts.keys() - self.series.keys()):
            if len(self.series) < self.max_routes:
                self.series[route] = HourlySeries(hour)
        for route, series in list(self.series.items()):
            share = self.hour_coverage.get(decode_key(route).zone, 0.0) / BUCKETS_PER_HOUR
            series.append(hour, self.hour_counts.get(route, DemandCounts()), share)
            self.changed_routes.add(route)
            if not any(series.requests):
                del self.series[route]
        self.hour_counts, self.hour_coverage = {}, {}
