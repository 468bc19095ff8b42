"""Counts of demand, reported twice, late or to two leaders: neither doubled nor lost, and gaps are no zeros."""

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

START_MS = 500_000 * HOUR_MS  # Unix time, the begin of an hour
KEY = RouteKey("acme", 1, "main", "z")
ROUTE = encode_key(KEY)
ZONES = {"n0": "z", "n1": "z"}  # of the seats


def one_request(priority_weight: float = 0.0) -> DemandCounts:
    return DemandCounts(requests=1, priority_weight=priority_weight)


def report_of(
    seat: str, incarnation: int, bucket: int, requests: int, from_ms: int = 0, until_ms: int = BUCKET_MS
) -> BucketCounts:
    """Counts of a bucket, numbered from `START_MS`; the span that was counted is relative to its begin."""
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


def test_what_is_not_acknowledged_is_reported_again_with_all_that_came_since() -> None:
    counter = DemandCounter("n0", 1, "z", START_MS)
    counter.count(START_MS + 10, KEY, one_request(priority_weight=2.0))
    first = counter.unacknowledged_buckets(START_MS + 20)
    counter.count(START_MS + 30, KEY, DemandCounts(requests=1, rejected=1, priority_weight=2.0))
    again = counter.unacknowledged_buckets(START_MS + 40)
    assert [report.counts[ROUTE].requests for report in first + again] == [1, 2]
    counter.acknowledge([(report.bucket, report.counted_until_ms) for report in again])
    assert not counter.unacknowledged_buckets(START_MS + 40)
    assert len(counter) == 1, "the open bucket stays"


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


def test_a_process_that_was_stopped_or_has_just_begun_says_from_when_it_counts() -> None:
    """A process is stopped (SIGSTOP) and goes on two buckets later. Callers had no answer meanwhile, and nothing was
    counted: a full bucket of its few requests would look like a time of low demand."""
    counter = DemandCounter("n0", 1, "z", START_MS + 100_000)
    counter.tick(START_MS + 120_000)
    counter.tick(START_MS + 2 * BUCKET_MS + 5_000)
    reports = counter.unacknowledged_buckets(START_MS + 2 * BUCKET_MS + 9_000)
    assert [(report.bucket * BUCKET_MS - START_MS, report.covered_ms) for report in reports] == [
        (0, 20_000),
        (2 * BUCKET_MS, 4_000),
    ]


def test_a_clock_that_is_set_back_enters_no_bucket_twice() -> None:
    """The clock of a machine is corrected by some minutes. If counting went on in the earlier bucket, its report would
    say less than the one that was acknowledged, and the later bucket would be counted again."""
    counter = DemandCounter("n0", 1, "z", START_MS + BUCKET_MS + 5)
    counter.count(START_MS + BUCKET_MS + 10, KEY, one_request())
    counter.count(START_MS + 7, KEY, one_request())
    reports = counter.unacknowledged_buckets(START_MS + 8)
    assert [(report.bucket * BUCKET_MS - START_MS, report.counts[ROUTE].requests) for report in reports] == [
        (BUCKET_MS, 2)
    ]


def test_buckets_that_nobody_acknowledges_are_bounded_and_counted_as_dropped() -> None:
    """No member leads the forecast for more than two days, as a majority is gone."""
    counter = DemandCounter("n0", 1, "z", START_MS)
    for bucket in range(MAX_BUCKETS + 40):
        counter.tick(START_MS + bucket * BUCKET_MS)
    assert len(counter) == MAX_BUCKETS
    assert counter.dropped_buckets == 40


def test_routes_of_a_bucket_beyond_the_bound_are_counted_under_no_route() -> None:
    counter = DemandCounter("n0", 1, "z", START_MS, max_routes=2)
    for index in range(5):
        counter.count(START_MS, RouteKey("acme", 1, f"r{index}", "z"), one_request())
    (report,) = counter.unacknowledged_buckets(START_MS)
    assert len(report.counts) == 3
    assert report.counts[encode_key(RouteKey("acme", 1, "", "z"))].requests == 3


def test_keys_are_kept_exactly() -> None:
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
def test_reported_in_any_order_and_any_number_of_times_the_ledger_is_the_same(
    steps: list[tuple[str, int, int, int]], rng: random.Random
) -> None:
    """Counts of a process only grow; what is merged is what its largest report said."""
    grown: dict[tuple[str, int, int], int] = {}
    reports: list[BucketCounts] = []
    for seat, incarnation, bucket, more in steps:
        process_bucket = seat, incarnation, bucket
        grown[process_bucket] = grown.get(process_bucket, 0) + more
        until_ms = min(BUCKET_MS, 1000 * len(reports))
        reports.append(report_of(seat, incarnation, bucket, grown[process_bucket], until_ms=until_ms))
    again = reports + rng.choices(reports, k=len(reports))
    rng.shuffle(again)
    again.insert(0, reports[0])
    one, other = DemandLedger(ZONES), DemandLedger(ZONES)
    one.next_bucket = other.next_bucket = one.first_bucket = other.first_bucket = START_MS // BUCKET_MS
    for report in reports:
        one.record(report)
    for index, report in enumerate(again):
        other.record(report)
        if index % 3 == 0:  # another leader goes on from what was stored
            other = decode_ledger(encode_ledger(other), ZONES)
    end_ms = START_MS + 2 * HOUR_MS + REPORT_DEADLINE_MS
    one.close_buckets(end_ms)
    other.close_buckets(end_ms)
    assert encode_ledger(one) == encode_ledger(other)
    assert sum(one.series[ROUTE].requests) == sum(grown.values())


def test_a_bucket_waits_for_all_seats_until_its_deadline_and_what_is_missing_is_a_gap() -> None:
    """A runner is cut off in the middle of an hour: the hour is closed without it, and says that a quarter of it is
    missing. What the runner reports afterwards must not change an hour that was forecast from."""
    ledger = DemandLedger(ZONES)
    for bucket in range(BUCKETS_PER_HOUR):
        ledger.record(report_of("n0", 1, bucket, 10))
    assert ledger.close_buckets(START_MS + BUCKET_MS + REPORT_DEADLINE_MS - 1) == 0, "n1 has not reported"
    for bucket in range(BUCKETS_PER_HOUR // 2):
        ledger.record(report_of("n1", 1, bucket, 10))
    assert ledger.close_buckets(START_MS + HOUR_MS // 2) == BUCKETS_PER_HOUR // 2
    assert not ledger.record(report_of("n1", 1, 0, 99))
    assert ledger.late_reports == 1, "what is closed stays as it is"
    ledger.close_buckets(START_MS + HOUR_MS + REPORT_DEADLINE_MS)
    series = ledger.series[ROUTE]
    assert list(series.requests) == [180]
    assert list(series.coverage) == [FULL_COVERAGE * 3 // 4]


def test_the_last_seconds_of_a_lost_runner_are_no_zero() -> None:
    """A runner is killed 100 s into a bucket; its next process counts from 160 s on. The minute between is a gap."""
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
    assert list(series.coverage) == [FULL_COVERAGE - 2], "60 s of 7,200, and rounded down"


def test_reports_of_a_span_outside_of_their_bucket_are_rejected() -> None:
    ledger = DemandLedger(ZONES)
    for from_ms, until_ms in ((-1, 5), (5, 4), (0, BUCKET_MS + 1)):
        assert not ledger.record(report_of("n0", 1, 0, 0, from_ms, until_ms))
    assert ledger.invalid_reports == 3
    assert not ledger.open_buckets


def test_routes_beyond_the_bound_are_the_same_at_each_leader() -> None:
    """A leader is lost before a majority has the hour that it closed, and the next one closes the hour again. Routes
    were taken in the order of a set of texts, which each process has for itself: other ones were followed then."""
    routes = sorted(encode_key(RouteKey("acme", 1, f"r{index}", "z")) for index in range(20))
    ledger = DemandLedger(ZONES, max_routes=3)
    counts = dict.fromkeys(routes, DemandCounts(1))
    ledger.record(BucketCounts("n0", 1, "z", START_MS // BUCKET_MS, START_MS, START_MS + BUCKET_MS, counts))
    ledger.close_buckets(START_MS + HOUR_MS + REPORT_DEADLINE_MS)
    assert sorted(ledger.series) == routes[:3]


# ---- hourly series and their stored form ----


def long_series() -> HourlySeries:
    """More hours than are kept, from hour 100 on; each 97th was not counted."""
    rng, series = random.Random(1), HourlySeries(100)
    for hour in range(100, 100 + MAX_HOURS + 50):
        if hour % 97:
            series.append(hour, DemandCounts(rng.randint(0, 3_000), 0, 1, 500, 2.0), 1.0)
    return series


def test_eight_weeks_are_kept_and_hours_that_were_not_counted_are_unknown() -> None:
    series = long_series()
    series.append(50, DemandCounts(9), 1.0)  # it is too late for that one
    assert len(series.requests) == MAX_HOURS
    assert series.first_hour == 150
    unknown = [index for index, coverage in enumerate(series.coverage) if not coverage]
    assert unknown[:2] == [(-150) % 97, (-150) % 97 + 97]


def test_a_stored_ledger_is_small_and_read_as_it_was() -> None:
    series, ledger = long_series(), DemandLedger(ZONES)
    ledger.series[ROUTE] = series
    state = encode_ledger(ledger)
    assert len(state) < 3_500
    stored = decode_ledger(state, ZONES).series[ROUTE]
    assert (stored.requests, stored.coverage) == (series.requests, series.coverage)
    assert (stored.core_us, stored.priority_weight) == (500.0, series.priority_weight)


def test_a_damaged_ledger_is_not_read() -> None:
    ledger = DemandLedger(ZONES)
    ledger.series[ROUTE] = long_series()
    state = encode_ledger(ledger)
    for damaged in (state[:-1], state[:40] + b"x" + state[41:], b"nonsense"):
        with pytest.raises(ValueError):
            decode_ledger(damaged, ZONES)
