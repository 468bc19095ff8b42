"""Demand counting: reports that are repeated, late or sent to two leaders neither double nor lose counts.

Hours that were not counted are gaps, and not hours without demand.
"""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from moorusher.forecasting.demand_counter import MAX_BUCKETS, DemandCounter
from moorusher.forecasting.demand_counts import (
    BUCKET_MS,
    BUCKETS_PER_HOUR,
    HOUR_MS,
    BucketCounts,
    DemandCounts,
    RouteKey,
    decode_key,
    encode_key,
)
from moorusher.forecasting.demand_ledger import REPORT_DEADLINE_MS, DemandLedger
from moorusher.forecasting.hourly_series import FULL_COVERAGE, MAX_HOURS, HourlySeries
from moorusher.forecasting.ledger_codec import decode_ledger, encode_ledger

START_MS = 500_000 * HOUR_MS  # Unix time at the start of an hour.
KEY = RouteKey("acme", 1, "main", "z")
ROUTE = encode_key(KEY)
ZONES = {"n0": "z", "n1": "z"}  # Zone of each seat.


def one_request(priority_weight: float = 0.0) -> DemandCounts:
    return DemandCounts(requests=1, priority_weight=priority_weight)


def report_of(
    seat: str, incarnation: int, bucket: int, requests: int, from_ms: int = 0, until_ms: int = BUCKET_MS
) -> BucketCounts:
    """Return a report of one bucket.

    :param bucket: Number of the bucket, counted from `START_MS`.
    :param from_ms: Start of the reported part of the bucket, relative to the bucket's start.
    :param until_ms: End of the reported part, relative to the bucket's start.
    """
    start_ms = START_MS + bucket * BUCKET_MS
    return BucketCounts(
        seat,
        incarnation,
        "z",
        start_ms // BUCKET_MS,
        start_ms + from_ms,
        start_ms + until_ms,
        {ROUTE: DemandCounts(requests)},
    )


# ---- the counter of one process ----


def test_unacknowledged_counts_are_reported_again_with_later_counts() -> None:
    counter = DemandCounter("n0", 1, "z", START_MS)
    counter.count(START_MS + 10, KEY, one_request(priority_weight=2.0))
    first = counter.unacknowledged_buckets(START_MS + 20)
    counter.count(START_MS + 30, KEY, DemandCounts(requests=1, rejected=1, priority_weight=2.0))
    again = counter.unacknowledged_buckets(START_MS + 40)
    assert [report.counts[ROUTE].requests for report in first + again] == [1, 2]
    counter.acknowledge([(report.bucket, report.counted_until_ms) for report in again])
    assert not counter.unacknowledged_buckets(START_MS + 40)
    assert len(counter) == 1, "the current bucket is retained"


def test_each_bucket_is_reported_with_its_span_until_it_is_acknowledged() -> None:
    counter = DemandCounter("n0", 1, "z", START_MS)
    counter.tick(START_MS + 40_000)
    for step in range(1, 8):
        counter.tick(START_MS + step * 50_000)
    reports = counter.unacknowledged_buckets(START_MS + 350_000)
    spans = [(report.counted_from_ms - START_MS, report.counted_until_ms - START_MS) for report in reports]
    assert spans == [(0, 300_000), (300_000, 350_000)]
    counter.acknowledge([(report.bucket, report.counted_until_ms) for report in reports])
    assert len(counter) == 1


def test_reported_span_excludes_the_time_before_the_start_and_while_the_process_was_stopped() -> None:
    """A process is stopped (SIGSTOP) and continues two buckets later. In between it answers no callers and counts
    nothing. If its buckets were reported as complete, they would look like a time of low demand."""
    counter = DemandCounter("n0", 1, "z", START_MS + 100_000)
    counter.tick(START_MS + 120_000)
    counter.tick(START_MS + 2 * BUCKET_MS + 5_000)
    reports = counter.unacknowledged_buckets(START_MS + 2 * BUCKET_MS + 9_000)
    assert [(report.bucket * BUCKET_MS - START_MS, report.covered_ms) for report in reports] == [
        (0, 20_000),
        (2 * BUCKET_MS, 4_000),
    ]


def test_counting_does_not_return_to_an_earlier_bucket_after_the_clock_is_set_back() -> None:
    """The clock of a machine is set back by some minutes. If counting continued in the earlier bucket, its new report
    would have fewer counts than the acknowledged one, and the later bucket would be counted again."""
    counter = DemandCounter("n0", 1, "z", START_MS + BUCKET_MS + 5)
    counter.count(START_MS + BUCKET_MS + 10, KEY, one_request())
    counter.count(START_MS + 7, KEY, one_request())
    reports = counter.unacknowledged_buckets(START_MS + 8)
    assert [(report.bucket * BUCKET_MS - START_MS, report.counts[ROUTE].requests) for report in reports] == [
        (BUCKET_MS, 2)
    ]


def test_unacknowledged_buckets_are_bounded_and_counted_when_dropped() -> None:
    """No member leads the forecast for more than two days, because a majority of the members is down."""
    counter = DemandCounter("n0", 1, "z", START_MS)
    for bucket in range(MAX_BUCKETS + 40):
        counter.tick(START_MS + bucket * BUCKET_MS)
    assert len(counter) == MAX_BUCKETS
    assert counter.dropped_buckets == 40


def test_routes_beyond_the_limit_of_a_bucket_are_counted_under_the_empty_route() -> None:
    counter = DemandCounter("n0", 1, "z", START_MS, max_routes=2)
    for index in range(5):
        counter.count(START_MS, RouteKey("acme", 1, f"r{index}", "z"), one_request())
    (report,) = counter.unacknowledged_buckets(START_MS)
    assert len(report.counts) == 3
    assert report.counts[encode_key(RouteKey("acme", 1, "", "z"))].requests == 3


def test_keys_are_encoded_and_decoded_without_loss() -> None:
    for key in (
        KEY,
        RouteKey("a/b", 0, "", ""),
        RouteKey("a", 0, "b/", ""),
        RouteKey("ac\u00fcme", 1 << 60, "x,y", '"'),
    ):
        assert decode_key(encode_key(key)) == key


# ---- the ledger ----


@settings(max_examples=200)
@given(
    st.lists(
        st.tuples(st.sampled_from(["n0", "n1"]), st.integers(1, 2), st.integers(0, 3), st.integers(1, 9)),
        min_size=1,
        max_size=12,
    ),
    st.randoms(use_true_random=False),
)
def test_ledger_does_not_depend_on_the_order_and_repetition_of_reports(
    steps: list[tuple[str, int, int, int]], rng: random.Random
) -> None:
    """Counts of a process only grow, so the merged counts are those of its largest report."""
    totals: dict[tuple[str, int, int], int] = {}
    reports: list[BucketCounts] = []
    for seat, incarnation, bucket, requests in steps:
        process_bucket = seat, incarnation, bucket
        totals[process_bucket] = totals.get(process_bucket, 0) + requests
        until_ms = min(BUCKET_MS, 1000 * len(reports))
        reports.append(report_of(seat, incarnation, bucket, totals[process_bucket], until_ms=until_ms))
    shuffled = reports + rng.choices(reports, k=len(reports))
    rng.shuffle(shuffled)
    shuffled.insert(0, reports[0])
    expected, ledger = DemandLedger(ZONES), DemandLedger(ZONES)
    expected.next_bucket = ledger.next_bucket = expected.first_bucket = ledger.first_bucket = (
        START_MS // BUCKET_MS
    )
    for report in reports:
        expected.record(report)
    for index, report in enumerate(shuffled):
        ledger.record(report)
        if index % 3 == 0:  # Another leader starts from the stored state.
            ledger = decode_ledger(encode_ledger(ledger), ZONES)
    end_ms = START_MS + 2 * HOUR_MS + REPORT_DEADLINE_MS
    expected.close_buckets(end_ms)
    ledger.close_buckets(end_ms)
    assert encode_ledger(expected) == encode_ledger(ledger)
    assert sum(expected.series[ROUTE].requests) == sum(totals.values())


def test_bucket_waits_for_all_seats_until_its_deadline_and_a_missing_report_is_a_gap() -> None:
    """A runner is disconnected in the middle of an hour. The hour is closed without it, and its coverage shows that a
    quarter is missing. Later reports of the runner must not change an hour that a forecast has used."""
    ledger = DemandLedger(ZONES)
    for bucket in range(BUCKETS_PER_HOUR):
        ledger.record(report_of("n0", 1, bucket, 10))
    assert ledger.close_buckets(START_MS + BUCKET_MS + REPORT_DEADLINE_MS - 1) == 0, "n1 has not reported"
    for bucket in range(BUCKETS_PER_HOUR // 2):
        ledger.record(report_of("n1", 1, bucket, 10))
    assert ledger.close_buckets(START_MS + HOUR_MS // 2) == BUCKETS_PER_HOUR // 2
    assert not ledger.record(report_of("n1", 1, 0, 99))
    assert ledger.late_reports == 1, "a closed bucket does not change"
    ledger.close_buckets(START_MS + HOUR_MS + REPORT_DEADLINE_MS)
    series = ledger.series[ROUTE]
    assert list(series.requests) == [180]
    assert list(series.coverage) == [FULL_COVERAGE * 3 // 4]


def test_the_time_between_two_processes_of_a_runner_is_a_gap() -> None:
    """A runner is killed 100 s into a bucket, and its next process counts from 160 s on. The minute in between is a
    gap, and not a time without demand."""
    ledger = DemandLedger(ZONES)
    for bucket in range(BUCKETS_PER_HOUR):
        ledger.record(report_of("n0", 1, bucket, 10))
        if bucket == 3:
            ledger.record(report_of("n1", 1, bucket, 4, until_ms=100_000))
            ledger.record(report_of("n1", 2, bucket, 5, from_ms=160_000))
        else:
            ledger.record(report_of("n1", 1 if bucket < 3 else 2, bucket, 10))
    ledger.close_buckets(START_MS + HOUR_MS)
    series = ledger.series[ROUTE]
    assert list(series.requests) == [10 * 23 + 9]
    assert list(series.coverage) == [FULL_COVERAGE - 2], (
        "60 s of 7,200 s are missing; the share is rounded down"
    )


def test_reports_whose_span_is_not_within_their_bucket_are_rejected() -> None:
    ledger = DemandLedger(ZONES)
    for from_ms, until_ms in ((-1, 5), (5, 4), (0, BUCKET_MS + 1)):
        assert not ledger.record(report_of("n0", 1, 0, 0, from_ms, until_ms))
    assert ledger.invalid_reports == 3
    assert not ledger.open_buckets


def test_all_leaders_store_the_same_routes_if_there_are_too_many() -> None:
    """A leader fails before a majority has the hour that it closed, and the next leader closes the hour again. New
    routes were added in the iteration order of a set of strings, which differs between processes, so the next leader
    stored other routes."""
    routes = sorted(encode_key(RouteKey("acme", 1, f"r{index}", "z")) for index in range(20))
    ledger = DemandLedger(ZONES, max_routes=3)
    counts = dict.fromkeys(routes, DemandCounts(1))
    ledger.record(BucketCounts("n0", 1, "z", START_MS // BUCKET_MS, START_MS, START_MS + BUCKET_MS, counts))
    ledger.close_buckets(START_MS + HOUR_MS + REPORT_DEADLINE_MS)
    assert sorted(ledger.series) == routes[:3]


# ---- hourly series and their stored form ----


def long_series() -> HourlySeries:
    """Return a series with more hours than are stored, from hour 100 on. Each 97th hour was not counted."""
    rng, series = random.Random(1), HourlySeries(100)
    for hour in range(100, 100 + MAX_HOURS + 50):
        if hour % 97:
            series.append(hour, DemandCounts(rng.randint(0, 3_000), 0, 1, 500, 2.0), 1.0)
    return series


def test_eight_weeks_are_stored_and_hours_that_were_not_counted_are_unknown() -> None:
    series = long_series()
    series.append(50, DemandCounts(9), 1.0)  # Ignored, since it is before the stored hours.
    assert len(series.requests) == MAX_HOURS
    assert series.first_hour == 150
    unknown = [index for index, coverage in enumerate(series.coverage) if not coverage]
    assert unknown[:2] == [(-150) % 97, (-150) % 97 + 97]


def test_stored_ledger_is_small_and_decoded_without_loss() -> None:
    series, ledger = long_series(), DemandLedger(ZONES)
    ledger.series[ROUTE] = series
    state = encode_ledger(ledger)
    assert len(state) < 3_500
    stored = decode_ledger(state, ZONES).series[ROUTE]
    assert (stored.requests, stored.coverage) == (series.requests, series.coverage)
    assert (stored.core_us, stored.priority_weight) == (500.0, series.priority_weight)


def test_damaged_ledger_is_rejected() -> None:
    ledger = DemandLedger(ZONES)
    ledger.series[ROUTE] = long_series()
    state = encode_ledger(ledger)
    for damaged in (state[:-1], state[:40] + b"x" + state[41:], b"nonsense"):
        with pytest.raises(ValueError):
            decode_ledger(damaged, ZONES)
