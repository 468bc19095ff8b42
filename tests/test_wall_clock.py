"""Steps of the Unix clock must not affect deadlines and windows, which are durations of real time."""

from __future__ import annotations

from typing import Any

import pytest

from moorusher.core.answer import Verdict
from moorusher.core.clock import Clock
from moorusher.core.idempotency_keys import WINDOW_MARGIN_US
from moorusher.core.outcomes import EndReason
from moorusher.core.wall_clock import MAX_OFFSETS, WallClock
from moorusher.time_units import MS, SECOND

from .test_core import EngineHarness

HOUR = 3_600 * SECOND
STEPS = [s * sign for s in (2 * SECOND, 10 * SECOND, HOUR) for sign in (1, -1)]


class Clocks:
    """Monotonic time, with the offsets of this process's and the senders' Unix clocks from it, all in us."""

    def __init__(self) -> None:
        self.monotonic_us, self.local_offset_us, self.sender_offset_us = 10**9, 10**15, 10**15
        self.clock = Clock(
            lambda: self.monotonic_us * 1_000, lambda: (self.monotonic_us + self.local_offset_us) * 1_000
        )

    def unix_ms(self) -> float:
        return (self.monotonic_us + self.sender_offset_us) / MS

    def advance(self, us: int) -> None:
        """Advance the time with one turn of the event loop every 100 ms."""
        for _ in range(max(1, us // (100 * MS))):
            self.monotonic_us += min(us, 100 * MS)
            self.clock.read()


@pytest.mark.parametrize("step_us", STEPS)
@pytest.mark.parametrize("stepped", ["this process", "this process and the sender"])
@pytest.mark.parametrize("stamped", ["before", "after"])
def test_a_timestamp_from_before_or_after_a_step_is_converted_correctly(
    step_us: int, stepped: str, stamped: str
) -> None:
    clocks = Clocks()
    clocks.advance(3 * SECOND)
    unix_ms, sent_at_us = clocks.unix_ms(), clocks.monotonic_us
    clocks.local_offset_us += step_us
    clocks.sender_offset_us += step_us if stepped == "this process and the sender" else 0
    if stamped == "after":
        clocks.advance(SECOND)
        unix_ms, sent_at_us = clocks.unix_ms(), clocks.monotonic_us
    clocks.advance(30 * MS)
    assert clocks.clock.from_unix_ms(unix_ms) == pytest.approx(sent_at_us, abs=MS)


@pytest.mark.parametrize("step_us", STEPS)
def test_a_step_that_is_reversed_stores_no_additional_offset(step_us: int) -> None:
    clocks = Clocks()
    for offset in (step_us, -step_us) * (MAX_OFFSETS + 1):
        clocks.local_offset_us += offset
        clocks.sender_offset_us += offset
        clocks.advance(SECOND)
        assert clocks.clock.from_unix_ms(clocks.unix_ms()) == pytest.approx(clocks.monotonic_us, abs=MS)
    assert len(clocks.clock.wall._offsets) == 2


def test_a_timestamp_is_converted_correctly_after_a_pause_of_the_process() -> None:
    clocks = Clocks()
    clocks.local_offset_us += 5 * SECOND
    clocks.sender_offset_us += 5 * SECOND
    clocks.advance(SECOND)
    unix_ms, sent_at_us = clocks.unix_ms(), clocks.monotonic_us
    clocks.monotonic_us += 6 * SECOND  # without a turn of the event loop
    clocks.clock.read()
    assert clocks.clock.from_unix_ms(unix_ms) == pytest.approx(sent_at_us, abs=MS)


def test_the_time_since_the_first_byte_of_a_message_counts_towards_its_plausible_age() -> None:
    clocks = Clocks()
    clocks.local_offset_us += 2 * SECOND
    clocks.sender_offset_us += 2 * SECOND
    clocks.advance(SECOND)
    unix_ms, sent_at_us = clocks.unix_ms(), clocks.monotonic_us
    clocks.advance(2_200 * MS)
    assert clocks.clock.from_unix_ms(unix_ms, waited_us=2_200 * MS) == pytest.approx(sent_at_us, abs=MS)


def test_without_a_step_any_timestamp_is_converted_by_the_current_offset() -> None:
    clocks = Clocks()
    clocks.advance(SECOND)
    for age in (0, 3 * SECOND, 50 * SECOND, 2 * HOUR, -2 * HOUR):
        assert clocks.clock.from_unix_ms(clocks.unix_ms() - age / MS) == pytest.approx(
            clocks.monotonic_us - age, abs=MS
        )


@pytest.mark.parametrize("step_us", [-MS * 300, MS * 300, -2 * SECOND, 2 * SECOND])
def test_a_timestamp_slightly_in_the_future_is_converted_by_the_current_offset(step_us: int) -> None:
    clocks = Clocks()
    clocks.local_offset_us += step_us
    clocks.sender_offset_us += step_us
    clocks.advance(SECOND)
    assert clocks.clock.from_unix_ms(clocks.unix_ms() + 1) == pytest.approx(clocks.monotonic_us, abs=2 * MS)


def test_drift_does_not_count_as_a_step() -> None:
    wall = WallClock()
    for i in range(1_000):
        wall.update(i * SECOND, 10**15 + i * (SECOND + 500))
    assert wall.steps == 0 and wall.to_unix(0) == 10**15 + 999 * 500


def test_a_pause_between_the_reads_of_both_clocks_does_not_count_as_a_step() -> None:
    readings = iter([0, 0, 10, 10 + SECOND // 1, 10 + SECOND, 10 + SECOND])
    unix = iter([0, SECOND, SECOND + 10])
    clock = Clock(lambda: next(readings) * 1_000, lambda: next(unix) * 1_000)
    clock.read()
    assert clock.wall.steps == 0


class SteppedEngineHarness(EngineHarness):
    """Test engine with a Unix clock that can be stepped."""

    def __init__(self, **changes: Any) -> None:
        super().__init__(**changes)
        self.offset_us = 0
        self.core.clock._unix_ns = lambda: self.now_ns + 10**18 + self.offset_us * 1_000

    def unix_ms(self) -> float:
        return (self.now_ns + 10**18 + self.offset_us * 1_000) / 10**6


@pytest.mark.parametrize("step_us", STEPS)
def test_a_step_does_not_change_the_deadline_of_a_request_stamped_before_it(step_us: int) -> None:
    harness = SteppedEngineHarness()
    harness.wait(500)
    unix_ms = harness.unix_ms()
    harness.offset_us += step_us
    harness.wait(20)
    harness.submit("a", 1, t0_unix_ms=unix_ms, budget_ms=3_000.0)
    harness.turn()
    assert harness.runs() == ["a"]
    harness.wait(2_800)
    assert harness.verdicts() == []
    harness.wait(300)
    assert harness.verdicts() == [(1, Verdict.FAILED)]


@pytest.mark.parametrize("step_us", STEPS)
@pytest.mark.parametrize(
    "when", ["before it is stamped", "before it is read", "while it runs", "after its run"]
)
def test_a_step_does_not_shorten_or_lengthen_the_window_of_a_key(step_us: int, when: str) -> None:
    harness = SteppedEngineHarness()
    harness.wait(500)
    harness.offset_us += step_us if when == "before it is stamped" else 0
    harness.wait(100)
    unix_ms = harness.unix_ms()
    harness.offset_us += step_us if when == "before it is read" else 0
    harness.wait(20)
    harness.submit("a", 1, t0_unix_ms=unix_ms)
    harness.turn()
    harness.offset_us += step_us if when == "while it runs" else 0
    harness.wait(100)
    harness.core.execution.run_ended("a", EndReason.RUN_SUCCEEDED, b"r")
    harness.turn()
    harness.offset_us += step_us if when == "after its run" else 0
    harness.wait(7_900)  # the window is 8 s
    harness.submit("b", 2, t0_unix_ms=harness.unix_ms())
    harness.turn()
    assert harness.runs() == ["a"] and harness.verdicts() == [(1, Verdict.SERVED), (2, Verdict.SERVED)]
    harness.wait(8_000 + WINDOW_MARGIN_US / MS)
    harness.submit("c", 3, t0_unix_ms=harness.unix_ms())
    harness.turn()
    assert harness.runs() == ["a", "c"]


def test_an_early_timestamp_of_a_sender_does_not_shorten_the_window() -> None:
    harness = SteppedEngineHarness()
    harness.submit("a", 1, klass="write", t0_unix_ms=harness.unix_ms() - 300)
    harness.turn()
    harness.core.execution.run_ended("a", EndReason.RUN_SUCCEEDED, b"r")
    harness.turn()
    harness.wait(8_000 + WINDOW_MARGIN_US / MS - 100)
    harness.submit("b", 2)
    harness.turn()
    assert harness.runs() == ["a"]
