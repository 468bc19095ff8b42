"""Steps of the Unix clock: deadlines and windows are spans of real time, whatever it shows."""

from __future__ import annotations

from typing import Any

import pytest

from moorusher.core.answer import Verdict
from moorusher.core.clock import Clock
from moorusher.core.idempotency_keys import MARGIN
from moorusher.core.outcomes import EndReason
from moorusher.core.wall_clock import MAX_OFFSETS, WallClock
from moorusher.time_units import MS, SECOND

from .test_core import World

HOUR = 3_600 * SECOND
STEPS = [s * sign for s in (2 * SECOND, 10 * SECOND, HOUR) for sign in (1, -1)]


class Clocks:
    """Real time, and what the Unix clocks of this process and of the senders show."""

    def __init__(self) -> None:
        self.real, self.ours, self.theirs = 10**9, 10**15, 10**15
        self.clock = Clock(lambda: self.real * 1_000, lambda: (self.real + self.ours) * 1_000)

    def stamp(self) -> float:
        return (self.real + self.theirs) / MS

    def go_on(self, us: int) -> None:
        """The loop has a turn each 100 ms."""
        for _ in range(max(1, us // (100 * MS))):
            self.real += min(us, 100 * MS)
            self.clock.read()


@pytest.mark.parametrize("by", STEPS)
@pytest.mark.parametrize("whose", ["ours", "the machine's"])
@pytest.mark.parametrize("stamped", ["before", "after"])
def test_a_time_stamped_around_a_step_is_read_as_what_it_was(by: int, whose: str, stamped: str) -> None:
    c = Clocks()
    c.go_on(3 * SECOND)
    stamp, at = c.stamp(), c.real
    c.ours += by
    c.theirs += by if whose == "the machine's" else 0
    if stamped == "after":
        c.go_on(SECOND)
        stamp, at = c.stamp(), c.real
    c.go_on(30 * MS)
    assert c.clock.from_unix_ms(stamp) == pytest.approx(at, abs=MS)


@pytest.mark.parametrize("by", STEPS)
def test_a_step_that_is_taken_back_leaves_no_trace(by: int) -> None:
    c = Clocks()
    for offset in (by, -by) * (MAX_OFFSETS + 1):
        c.ours += offset
        c.theirs += offset
        c.go_on(SECOND)
        assert c.clock.from_unix_ms(c.stamp()) == pytest.approx(c.real, abs=MS)
    assert len(c.clock.wall._offsets) == 2


def test_a_process_that_stood_still_takes_an_old_request_for_what_it_is() -> None:
    c = Clocks()
    c.ours += 5 * SECOND
    c.theirs += 5 * SECOND
    c.go_on(SECOND)
    stamp, at = c.stamp(), c.real
    c.real += 6 * SECOND  # no turn meanwhile
    c.clock.read()
    assert c.clock.from_unix_ms(stamp) == pytest.approx(at, abs=MS)


def test_a_message_whose_first_byte_came_long_ago_is_as_old() -> None:
    c = Clocks()
    c.ours += 2 * SECOND
    c.theirs += 2 * SECOND
    c.go_on(SECOND)
    stamp, at = c.stamp(), c.real
    c.go_on(2_200 * MS)
    assert c.clock.from_unix_ms(stamp, waited_us=2_200 * MS) == pytest.approx(at, abs=MS)


def test_without_a_step_a_sender_is_believed() -> None:
    c = Clocks()
    c.go_on(SECOND)
    for age in (0, 3 * SECOND, 50 * SECOND, 2 * HOUR, -2 * HOUR):
        assert c.clock.from_unix_ms(c.stamp() - age / MS) == pytest.approx(c.real - age, abs=MS)


@pytest.mark.parametrize("by", [-MS * 300, MS * 300, -2 * SECOND, 2 * SECOND])
def test_a_fresh_stamp_that_seems_to_be_ahead_is_fresh(by: int) -> None:
    c = Clocks()
    c.ours += by
    c.theirs += by
    c.go_on(SECOND)
    assert c.clock.from_unix_ms(c.stamp() + 1) == pytest.approx(c.real, abs=2 * MS)


def test_drift_is_no_step() -> None:
    wall = WallClock()
    for i in range(1_000):
        wall.follow(i * SECOND, 10**15 + i * (SECOND + 500))
    assert wall.steps == 0 and wall.to_unix(0) == 10**15 + 999 * 500


def test_a_reading_that_was_held_up_between_both_clocks_is_no_step() -> None:
    readings = iter([0, 0, 10, 10 + SECOND // 1, 10 + SECOND, 10 + SECOND])
    unix = iter([0, SECOND, SECOND + 10])
    clock = Clock(lambda: next(readings) * 1_000, lambda: next(unix) * 1_000)
    clock.read()
    assert clock.wall.steps == 0


class SteppedWorld(World):
    """The core with a Unix clock that can be stepped."""

    def __init__(self, **changes: Any) -> None:
        super().__init__(**changes)
        self.by = 0
        self.core.clock._unix_ns = lambda: self.at + 10**18 + self.by * 1_000

    def stamp(self) -> float:
        return (self.at + 10**18 + self.by * 1_000) / 10**6


@pytest.mark.parametrize("by", STEPS)
def test_a_request_stamped_before_a_step_runs_and_is_due_when_it_was(by: int) -> None:
    w = SteppedWorld()
    w.wait(500)
    stamp = w.stamp()
    w.by += by
    w.wait(20)
    w.take("a", 1, t0_unix_ms=stamp, budget_ms=3_000.0)
    w.turn()
    assert w.runs() == ["a"]
    w.wait(2_800)
    assert w.verdicts() == []
    w.wait(300)
    assert w.verdicts() == [(1, Verdict.FAILED)]


@pytest.mark.parametrize("by", STEPS)
@pytest.mark.parametrize(
    "when", ["before it is stamped", "before it is read", "while it runs", "after its run"]
)
def test_a_key_is_kept_for_its_whole_window(by: int, when: str) -> None:
    w = SteppedWorld()
    w.wait(500)
    w.by += by if when == "before it is stamped" else 0
    w.wait(100)
    stamp = w.stamp()
    w.by += by if when == "before it is read" else 0
    w.wait(20)
    w.take("a", 1, t0_unix_ms=stamp)
    w.turn()
    w.by += by if when == "while it runs" else 0
    w.wait(100)
    w.core.execution.run_ended("a", EndReason.RUN_SUCCEEDED, b"r")
    w.turn()
    w.by += by if when == "after its run" else 0
    w.wait(7_900)  # the window is 8 s
    w.take("b", 2, t0_unix_ms=w.stamp())
    w.turn()
    assert w.runs() == ["a"] and w.verdicts() == [(1, Verdict.SERVED), (2, Verdict.SERVED)]
    w.wait(8_000 + MARGIN / MS)
    w.take("c", 3, t0_unix_ms=w.stamp())
    w.turn()
    assert w.runs() == ["a", "c"]


def test_a_sender_that_states_an_early_time_shortens_no_window() -> None:
    w = SteppedWorld()
    w.take("a", 1, klass="write", t0_unix_ms=w.stamp() - 300)
    w.turn()
    w.core.execution.run_ended("a", EndReason.RUN_SUCCEEDED, b"r")
    w.turn()
    w.wait(8_000 + MARGIN / MS - 100)
    w.take("b", 2)
    w.turn()
    assert w.runs() == ["a"]
