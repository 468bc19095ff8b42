"""The core's seam to a fleet, without one: what waits for others' word, and what becomes of it."""

from __future__ import annotations

import pytest

from moorusher.core.answer import Verdict
from moorusher.core.outcomes import EndReason
from moorusher.core.requests import Arrival, Request

from .test_core import World


class KeyCoordinator:
    """Others that say nothing until the test does."""

    def __init__(self) -> None:
        self.held: list[Request] = []
        self.beginning: list[Request] = []

    def acquire_key(self, request: Request) -> bool:
        if request.key is None or request.retry_of is not None:
            return False
        self.held.append(request)
        return True

    def announce_start(self, request: Request) -> bool:
        self.beginning.append(request)
        return True


def world() -> tuple[World, KeyCoordinator]:
    w, coordinator = World(), KeyCoordinator()
    w.core.hooks.coordinator = coordinator
    return w, coordinator


def started(w: World, coordinator: KeyCoordinator, rid: str = "a", tag: int = 1) -> Request:
    request = w.take(rid, tag)
    w.core.remote_claims.granted(request)
    w.turn()
    assert coordinator.beginning == [request] and w.runs() == []
    return request


def test_nothing_is_commanded_before_others_know_that_it_may_run() -> None:
    w, coordinator = world()
    request = w.take("a", 1)
    w.turn()
    assert coordinator.held == [request] and coordinator.beginning == [] and w.runs() == []
    w.core.remote_claims.granted(request)
    w.turn()
    assert w.runs() == []
    w.core.remote_claims.start_confirmed(request)
    w.core.remote_claims.start_confirmed(request)
    w.turn()
    assert w.runs() == ["a"]
    w.core.execution.run_ended("a", EndReason.RUN_SUCCEEDED, b"r")
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
    w.core.caller_disconnected(request)
    w.turn()
    w.core.remote_claims.start_confirmed(request)
    w.turn()
    assert w.runs() == [] and len(w.core.keys) == 0 and len(w.core.table) == 0


def test_what_could_not_be_told_to_others_never_runs_here_and_is_no_promise_for_them() -> None:
    w, coordinator = world()
    request = started(w, coordinator)
    w.core.remote_claims.start_unconfirmed(request, "nobody answers")
    w.core.remote_claims.start_confirmed(request)
    w.turn()
    assert w.verdicts() == [(1, Verdict.FAILED)] and w.runs() == [] and len(w.core.table) == 0


@pytest.mark.parametrize("begins", [True, False], ids=["about to begin", "held"])
def test_work_that_others_took_ends_with_their_result_and_none_of_it_runs_here(begins: bool) -> None:
    w, _ = world()
    request = w.take("a", 1)
    if begins:
        w.core.remote_claims.granted(request)
        w.turn()
    w.core.remote_claims.moved_away(request)
    w.turn()
    w.core.remote_claims.start_confirmed(request)
    w.turn()
    assert w.runs() == [] and w.verdicts() == []
    assert request.key is not None
    w.core.remote_claims.result_received(request.key, b"theirs")
    w.core.remote_claims.result_received(request.key, b"other")
    w.turn()
    assert [(t, a.verdict, a.content) for t, a in w.answers] == [(1, Verdict.SERVED, b"theirs")]


def test_work_that_others_took_and_never_end_is_answered_once_when_it_is_due() -> None:
    w, coordinator = world()
    w.core.remote_claims.moved_away(started(w, coordinator))
    w.turn()
    w.wait(2_900)
    assert w.verdicts() == []
    w.wait(100)
    assert w.verdicts() == [(1, Verdict.FAILED)] and len(w.core.table) == 0


def test_work_that_nobody_goes_on_with_is_refused_as_it_never_ran() -> None:
    w, coordinator = world()
    request = started(w, coordinator)
    w.core.remote_claims.moved_away(request)
    assert request.key is not None
    w.core.remote_claims.never_ran(request.key)
    w.turn()
    assert w.verdicts() == [(1, Verdict.REJECTED)] and len(w.core.keys) == 0


def test_work_taken_up_runs_here_and_its_result_goes_to_those_who_wait_for_it() -> None:
    w, coordinator = world()
    repeat = w.take("b", 2)
    w.core.remote_claims.joined(repeat)
    w.turn()
    assert repeat.retry_of is not None and w.runs() == []
    taken = w.core.remote_claims.take_over(Arrival("a", "write", b"x", token="t", memory_kb=10.0), w, 1)
    w.turn()
    assert isinstance(taken, Request) and coordinator.beginning == [taken]
    w.core.remote_claims.start_confirmed(taken)
    w.turn()
    assert w.runs() == ["a"]
    w.core.execution.run_ended("a", EndReason.RUN_SUCCEEDED, b"r")
    w.turn()
    assert sorted(w.verdicts(), key=str) == [(1, Verdict.SERVED), (2, Verdict.SERVED)]
    assert [a.content for _, a in w.answers] == [b"r", b"r"]
