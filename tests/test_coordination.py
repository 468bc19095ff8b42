"""The core's seam to a fleet, without one: what waits for others' word, and what becomes of it."""

from __future__ import annotations

import pytest

from moorusher.core.answer import Verdict
from moorusher.core.outcomes import Ending
from moorusher.core.requests import Arrival, Request

from .test_core import World


class KeyCoordinator:
    """Others that say nothing until the test does."""

    def __init__(self) -> None:
        self.held: list[Request] = []
        self.beginning: list[Request] = []

    def hold_back(self, request: Request) -> bool:
        if request.key is None or request.repeats is not None:
            return False
        self.held.append(request)
        return True

    def begins(self, request: Request) -> bool:
        self.beginning.append(request)
        return True


def world() -> tuple[World, KeyCoordinator]:
    w, coordinator = World(), KeyCoordinator()
    w.core.coordinator = coordinator
    return w, coordinator


def started(w: World, coordinator: KeyCoordinator, rid: str = "a", tag: int = 1) -> Request:
    request = w.take(rid, tag)
    w.core.others.granted(request)
    w.turn()
    assert coordinator.beginning == [request] and w.runs() == []
    return request


def test_nothing_is_commanded_before_others_know_that_it_may_run() -> None:
    w, coordinator = world()
    request = w.take("a", 1)
    w.turn()
    assert coordinator.held == [request] and coordinator.beginning == [] and w.runs() == []
    w.core.others.granted(request)
    w.turn()
    assert w.runs() == []
    w.core.others.begun(request)
    w.core.others.begun(request)
    w.turn()
    assert w.runs() == ["a"]
    w.core.run_over("a", Ending.RUN_PASSED, b"r")
    w.turn()
    assert w.verdicts() == [(1, Verdict.SERVED)]


def test_a_request_without_a_key_waits_for_nobody() -> None:
    w, coordinator = world()
    w.take("a", 1, "read", None)
    w.turn()
    assert w.runs() == ["a"] and coordinator.held == [] == coordinator.beginning


def test_what_nobody_waits_for_any_more_is_not_commanded_and_its_key_is_free() -> None:
    w, coordinator = world()
    request = started(w, coordinator)
    w.core.gone(request)
    w.turn()
    w.core.others.begun(request)
    w.turn()
    assert w.runs() == [] and len(w.core.keys) == 0 and len(w.core.table) == 0


def test_what_could_not_be_told_to_others_never_runs_here_and_is_no_promise_for_them() -> None:
    w, coordinator = world()
    request = started(w, coordinator)
    w.core.others.not_begun(request, "nobody answers")
    w.core.others.begun(request)
    w.turn()
    assert w.verdicts() == [(1, Verdict.FAILED)] and w.runs() == [] and len(w.core.table) == 0


@pytest.mark.parametrize("begins", [True, False], ids=["about to begin", "held"])
def test_work_that_others_took_ends_with_their_result_and_none_of_it_runs_here(begins: bool) -> None:
    w, _ = world()
    request = w.take("a", 1)
    if begins:
        w.core.others.granted(request)
        w.turn()
    w.core.others.given(request)
    w.turn()
    w.core.others.begun(request)
    w.turn()
    assert w.runs() == [] and w.verdicts() == []
    assert request.key is not None
    w.core.others.result_of_another(request.key, b"theirs")
    w.core.others.result_of_another(request.key, b"other")
    w.turn()
    assert [(t, a.verdict, a.content) for t, a in w.answers] == [(1, Verdict.SERVED, b"theirs")]


def test_work_that_others_took_and_never_end_is_answered_once_when_it_is_due() -> None:
    w, coordinator = world()
    w.core.others.given(started(w, coordinator))
    w.turn()
    w.wait(2_900)
    assert w.verdicts() == []
    w.wait(100)
    assert w.verdicts() == [(1, Verdict.FAILED)] and len(w.core.table) == 0


def test_work_that_nobody_goes_on_with_is_refused_as_it_never_ran() -> None:
    w, coordinator = world()
    request = started(w, coordinator)
    w.core.others.given(request)
    assert request.key is not None
    w.core.others.none_ran(request.key)
    w.turn()
    assert w.verdicts() == [(1, Verdict.REFUSED)] and len(w.core.keys) == 0


def test_work_taken_up_runs_here_and_its_result_goes_to_those_who_wait_for_it() -> None:
    w, coordinator = world()
    repeat = w.take("b", 2)
    w.core.others.joined(repeat)
    w.turn()
    assert repeat.repeats is not None and w.runs() == []
    taken = w.core.others.take_up(Arrival("a", "write", b"x", token="t", memory_kb=10.0), w, 1)
    w.turn()
    assert isinstance(taken, Request) and coordinator.beginning == [taken]
    w.core.others.begun(taken)
    w.turn()
    assert w.runs() == ["a"]
    w.core.run_over("a", Ending.RUN_PASSED, b"r")
    w.turn()
    assert sorted(w.verdicts(), key=str) == [(1, Verdict.SERVED), (2, Verdict.SERVED)]
    assert [a.content for _, a in w.answers] == [b"r", b"r"]
