"""Counts of demand: told twice, late, out of order, to two owners: neither doubled nor lost, gaps no zeros."""

from __future__ import annotations

import itertools
import random
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from moorusher.forecast_service.errors import ERRORS, BadPast, ForecastError, NotYet, Unreadable
from moorusher.forecast_service.forecaster import Forecaster
from moorusher.forecast_service.messages import Past, Report, Took
from moorusher.forecasting.demand import (
    BUCKET_MS,
    HOUR_BUCKETS,
    MOST_BUCKETS,
    Count,
    Key,
    Part,
    Tally,
    pack_key,
    unpack_key,
)
from moorusher.forecasting.ledger import HOURS, PATIENCE_MS, WHOLE, Ledger, Series
from moorusher.forecasting.policy import Policy
from moorusher.leadership.effects import Completed
from moorusher.leadership.errors import NoMajority
from moorusher.leadership.fencing_token import FencingToken
from moorusher.model_checking.forecast_simulation import DISK_SCENARIO, SCENARIO, ForecastSimulation

HOUR_MS = BUCKET_MS * HOUR_BUCKETS
T0 = 500_000 * HOUR_MS
KEY = Key("acme", 1, "main", "z")
SEATS = {"n0": "z", "n1": "z"}


def told(tally: Tally, now: int) -> list[tuple[int, int]]:
    return [(p.bucket, p.until_ms) for p in tally.parts(now)]


# ---- a runner's own ----


def test_what_is_not_acknowledged_is_told_again_with_all_that_came_since() -> None:
    tally = Tally("n0", 1, "z", T0)
    tally.count(T0 + 10, KEY, asked=1, worth=2.0)
    first = tally.parts(T0 + 20)
    tally.count(T0 + 30, KEY, asked=1, refused=1, worth=2.0)
    again = tally.parts(T0 + 40)
    assert [p.rows[pack_key(KEY)].asked for p in first + again] == [1, 2]
    tally.acknowledged([(p.bucket, p.until_ms) for p in again])
    assert not tally.parts(T0 + 40) and len(tally) == 1, "the open bucket stays"
    tally.tick(T0 + 40_000)
    for minute in range(1, 8):
        tally.tick(T0 + minute * 50_000)
    assert [(p.since_ms - T0, p.until_ms - T0) for p in tally.parts(T0 + 350_000)] == [
        (0, 300_000),
        (300_000, 350_000),
    ]
    tally.acknowledged(told(tally, T0 + 350_000))
    assert len(tally) == 1


def test_a_process_that_was_stopped_or_has_just_begun_says_from_when_it_counts() -> None:
    tally = Tally("n0", 1, "z", T0 + 100_000)
    tally.tick(T0 + 120_000)
    tally.tick(T0 + 2 * BUCKET_MS + 5_000)  # stopped meanwhile
    assert [(p.bucket * BUCKET_MS - T0, p.covered_ms) for p in tally.parts(T0 + 2 * BUCKET_MS + 9_000)] == [
        (0, 20_000),
        (2 * BUCKET_MS, 4_000),
    ]


def test_a_clock_that_is_set_back_enters_no_bucket_twice() -> None:
    tally = Tally("n0", 1, "z", T0 + BUCKET_MS + 5)
    tally.count(T0 + BUCKET_MS + 10, KEY, asked=1)
    tally.count(T0 + 7, KEY, asked=1)
    parts = tally.parts(T0 + 8)
    assert [(p.bucket * BUCKET_MS - T0, p.rows[pack_key(KEY)].asked) for p in parts] == [(BUCKET_MS, 2)]


def test_what_nobody_acknowledges_is_bounded_and_said() -> None:
    tally = Tally("n0", 1, "z", T0, most=2)
    for i in range(MOST_BUCKETS + 40):
        tally.tick(T0 + i * BUCKET_MS)
    assert len(tally) == MOST_BUCKETS and tally.dropped == 40
    now = T0 + (MOST_BUCKETS + 40) * BUCKET_MS
    for i in range(5):
        tally.count(now, Key("acme", 1, f"r{i}", "z"), asked=1)
    rows = tally._rows[now // BUCKET_MS]
    assert len(rows) == 3 and rows[pack_key(Key("acme", 1, "", "z"))].asked == 3, (
        "beyond its bound, under no route"
    )


def test_names_are_kept_exactly() -> None:
    for key in (KEY, Key("a/b", 0, "", ""), Key("a", 0, "b/", ""), Key("ac\u00fcme", 1 << 60, "x,y", '"')):
        assert unpack_key(pack_key(key)) == key


# ---- the owner's ----

COUNTS = st.builds(Count, st.integers(0, 9), st.integers(0, 9), st.integers(0, 9), st.integers(0, 9))


@settings(max_examples=200)
@given(
    st.lists(
        st.tuples(st.sampled_from(["n0", "n1"]), st.integers(1, 2), st.integers(0, 3), st.integers(1, 9)),
        min_size=1,
        max_size=12,
    ),
    st.randoms(use_true_random=False),
)
def test_told_in_any_order_and_any_number_of_times_it_is_the_same(
    steps: list[tuple[str, int, int, int]], rng: random.Random
) -> None:
    """Counts of a process only grow; what is merged is what its largest report said."""
    grown: dict[tuple[str, int, int], int] = {}
    parts: list[Part] = []
    for seat, inc, bucket, more in steps:
        grown[seat, inc, bucket] = grown.get((seat, inc, bucket), 0) + more
        start = T0 + bucket * BUCKET_MS
        parts.append(
            Part(
                seat,
                inc,
                "z",
                start // BUCKET_MS,
                start,
                start + min(BUCKET_MS, 1000 * len(parts)),
                {pack_key(KEY): Count(grown[seat, inc, bucket])},
            )
        )
    again = parts + rng.choices(parts, k=len(parts))
    rng.shuffle(again)
    again.insert(0, parts[0])
    one, other = Ledger(SEATS), Ledger(SEATS)
    one.closed = other.closed = one.began = other.began = T0 // BUCKET_MS
    for part in parts:
        one.take(part)
    for i, part in enumerate(again):
        other.take(part)
        if i % 3 == 0:  # another owner goes on from what was kept
            other = Ledger.unpack(other.pack(), SEATS)
    end = T0 + 2 * HOUR_MS + PATIENCE_MS
    one.close(end), other.close(end)
    assert one.pack() == other.pack()
    assert sum(one.series[pack_key(KEY)].asked) == sum(grown.values())


def whole(seat: str, inc: int, bucket: int, asked: int, since: int = 0, until: int = BUCKET_MS) -> Part:
    start = T0 + bucket * BUCKET_MS
    return Part(
        seat, inc, "z", start // BUCKET_MS, start + since, start + until, {pack_key(KEY): Count(asked)}
    )


def test_a_bucket_waits_for_all_seats_and_not_for_ever_and_what_is_missing_is_a_gap() -> None:
    ledger = Ledger(SEATS)
    for bucket in range(HOUR_BUCKETS):
        ledger.take(whole("n0", 1, bucket, 10))
    end = T0 + HOUR_MS
    assert ledger.close(T0 + BUCKET_MS + PATIENCE_MS - 1) == 0, "n1 has not told"
    for bucket in range(HOUR_BUCKETS // 2):
        ledger.take(whole("n1", 1, bucket, 10))
    assert ledger.close(T0 + HOUR_MS // 2) == HOUR_BUCKETS // 2
    assert not ledger.take(whole("n1", 1, 0, 99)) and ledger.late == 1, "what is closed stays as it is"
    ledger.close(end + PATIENCE_MS)
    series = ledger.series[pack_key(KEY)]
    assert (list(series.asked), list(series.counted)) == ([180], [WHOLE * 3 // 4])


def test_a_lost_runners_last_seconds_are_no_zero() -> None:
    ledger = Ledger(SEATS)
    for bucket in range(HOUR_BUCKETS):
        ledger.take(whole("n0", 1, bucket, 10))
        if bucket == 3:  # lost after 100 s; another process of the seat counts from 160 s on
            ledger.take(whole("n1", 1, bucket, 4, until=100_000))
            ledger.take(whole("n1", 2, bucket, 5, since=160_000))
        else:
            ledger.take(whole("n1", 1 if bucket < 3 else 2, bucket, 10))
    ledger.close(T0 + HOUR_MS)
    series = ledger.series[pack_key(KEY)]
    assert list(series.asked) == [10 * 23 + 9]
    assert list(series.counted) == [WHOLE - 2], "60 s of 7,200, and rounded down"


def test_parts_that_can_not_be_are_not_taken() -> None:
    ledger = Ledger(SEATS)
    start = T0
    for since, until in ((-1, 5), (5, 4), (0, BUCKET_MS + 1)):
        assert not ledger.take(Part("n0", 1, "z", T0 // BUCKET_MS, start + since, start + until, {}))
    assert ledger.odd == 3 and not ledger.open


def test_eight_weeks_are_kept_hours_without_word_are_unknown_and_a_state_is_small() -> None:
    rng, series = random.Random(1), Series(100)
    for hour in range(100, 100 + HOURS + 50):
        if hour % 97:
            series.add(hour, Count(rng.randint(0, 3_000), 0, 1, 500, 2.0), 1.0)
    series.add(50, Count(9), 1.0)
    assert len(series.asked) == HOURS and series.first == 150
    assert [i for i, c in enumerate(series.counted) if not c][:2] == [(-150) % 97, (-150) % 97 + 97]
    ledger = Ledger(SEATS)
    ledger.series[pack_key(KEY)] = series
    ledger._changed.add(pack_key(KEY))
    state = ledger.pack()
    assert len(state) < 3_500
    back = Ledger.unpack(state, SEATS).series[pack_key(KEY)]
    assert (back.asked, back.counted, back.core_us, back.worth) == (
        series.asked,
        series.counted,
        500.0,
        series.worth,
    )
    for cut in (state[:-1], state[:40] + b"x" + state[41:], b"nonsense"):
        with pytest.raises(ValueError):
            Ledger.unpack(cut, SEATS)


class Owning:
    """A duty's lease and its process, as a forecaster sees them: changes wait for what is said of them."""

    name, state, record = "forecast", b"", None

    def __init__(self) -> None:
        self.changes: list[Any] = []
        self.said: list[tuple[str, Took]] = []
        self.alarms: list[Any] = []
        self.now = T0 + 1_000

    def submit(self, effect: Any, then: Any) -> None:
        self.changes.append((effect.state, then))

    def say(self, seat: str, message: Took) -> None:
        self.said.append((seat, message))

    def at(self, when: int, action: Any) -> None:
        self.alarms.append(action)

    def clock(self) -> int:
        return 0

    def unix_ms(self) -> int:
        return self.now

    def count(self, name: str) -> None:
        return None

    def ended(self, worker: Any) -> None:
        return None

    def ring(self) -> None:
        alarms, self.alarms = self.alarms, []
        for action in alarms:
            action()


def test_counts_are_acknowledged_once_a_majority_has_them_and_not_before() -> None:
    there = Owning()
    owner = Forecaster(there, there, Policy(on=True), SEATS)  # type: ignore[arg-type]
    owner.start()
    owner.report("n0", Report(7, [whole("n0", 1, 0, 5, until=900)]))
    owner.report("n1", Report(8, [whole("n0", 1, 0, 99, until=900)]))  # of a seat that is not its own
    there.ring()
    assert not there.said
    state, then = there.changes.pop()
    then(NoMajority("forecast"))
    assert not there.said, "it may not have come about"
    there.ring()
    state, then = there.changes.pop()
    then(Completed(FencingToken(1, 1, 2)))
    assert [(seat, m.serial) for seat, m in there.said] == [("n0", 7), ("n1", 8)]
    kept = Ledger.unpack(state, SEATS).open[T0 // BUCKET_MS]["n0", 1]
    assert kept.rows[pack_key(KEY)].asked == 5
    owner.stop(None)
    owner.report("n0", Report(9, []))
    there.ring()
    assert not there.changes, "what an owner of before is told comes to nothing"


def test_a_past_is_brought_whole_or_not_at_all() -> None:
    there, got = Owning(), list[Any]()
    owner = Forecaster(there, there, Policy(on=True, routes=2), SEATS)  # type: ignore[arg-type]
    owner.start()
    owner.load([Past(KEY, 5, [1], 0.0, 0.0)], got.append)
    assert isinstance(got.pop(), NotYet)
    owner.report("n0", Report(7, [whole("n0", 1, 0, 5)]))
    hour = T0 // HOUR_MS
    good, late = (
        Past(KEY, hour - 3, [1, 2, 3], 0.0, 0.0),
        Past(Key("acme", 1, "b", "z"), hour - 3, [1] * 4, 0.0, 0.0),
    )
    more = [Past(Key("acme", 1, f"r{i}", "z"), hour - 3, [1], 0.0, 0.0) for i in range(3)]
    for wrong in ([good, late], [good, good], more):
        owner.load(wrong, got.append)
        assert isinstance(got.pop(), BadPast) and not owner.ledger.series and not there.changes
    owner.load([good], got.append)
    there.changes.pop()[1](Completed(FencingToken(1, 1, 2)))
    assert got == [None] and list(owner.ledger.series[pack_key(KEY)].asked) == [1, 2, 3]


def test_a_state_that_can_not_be_read_is_left_as_it_is_and_said() -> None:
    there = Owning()
    there.state = b"nonsense"
    owner = Forecaster(there, there, Policy(on=True), SEATS)  # type: ignore[arg-type]
    owner.start()
    owner.report("n0", Report(7, [whole("n0", 1, 0, 5)]))
    there.ring()
    assert not there.changes and not there.said
    with pytest.raises(Unreadable, match="can't be read"):
        owner.told("")


# ---- seeds, and mistakes that must be found ----


@pytest.mark.parametrize("seed", range(3))
def test_hours_that_say_they_are_whole_are_and_none_says_too_much(seed: int) -> None:
    for scenario, has_disks in ((SCENARIO, False), (DISK_SCENARIO, True)):
        sim = ForecastSimulation(seed, scenario, has_disks)
        assert sim.play() is None, sim.faults.log
        assert sim.ledger() is None or sim.complete_hours > 0


class Adds(Ledger):
    @staticmethod
    def merge(old: Part, new: Part) -> Part:
        rows = {
            name: (old.rows[name].more(c.asked) if name in old.rows else c) for name, c in new.rows.items()
        }
        return Part(
            old.seat,
            old.inc,
            old.zone,
            old.bucket,
            min(old.since_ms, new.since_ms),
            max(old.until_ms, new.until_ms),
            {**old.rows, **rows},
        )


class Adding(Forecaster):
    make = Adds


class ZeroLedger(Ledger):
    """Takes a runner that has told nothing for one that nobody asked."""

    def _shares(self, bucket: int) -> dict[str, float]:
        return dict.fromkeys(self.seats, 1.0)


class Zeros(Forecaster):
    make = ZeroLedger


@pytest.mark.parametrize(
    ("kind", "how"), [(Adding, "are said to have been asked"), (Zeros, "said to be whole")]
)
def test_a_seeded_mistake_is_found(kind: type[Forecaster], how: str) -> None:
    found: Any = next(
        (
            f
            for seed in itertools.islice(itertools.count(), 12)
            if (f := ForecastSimulation(seed, forecaster_class=kind).play()) is not None
        ),
        None,
    )
    assert found is not None and how in found


def test_each_error_says_what_helps_and_stands_on_the_page_for_on_call_staff() -> None:
    page = (Path(__file__).parent.parent / "docs" / "operate" / "forecast.md").read_text()
    assert {*ERRORS} == set(ForecastError.__subclasses__())
    for kind in ERRORS:
        assert kind.remedy and kind.status in (400, 409, 503) and f"| `{kind.__name__}` |" in page
