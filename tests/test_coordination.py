"""The engine's interface to the cluster, with a stub in place of the cluster's decisions on idempotency keys."""

from __future__ import annotations

import pytest

from moorusher.core.answer import Answer, Cause, Verdict
from moorusher.core.outcomes import EndReason
from moorusher.core.requests import Arrival, Request

from .test_core import EngineHarness


class RecordingCoordinator:
    """Records requests that wait for their key or their start. The test passes the decisions to `RemoteClaims`."""

    def __init__(self) -> None:
        self.acquiring: list[Request] = []
        self.starting: list[Request] = []

    def acquire_key(self, request: Request) -> bool:
        if request.key is None or request.retry_of is not None:
            return False
        self.acquiring.append(request)
        return True

    def announce_start(self, request: Request) -> bool:
        self.starting.append(request)
        return True

    def must_confirm_rejection(self, request: Request) -> bool:
        return request.retry_of is None


def coordinated_engine() -> tuple[EngineHarness, RecordingCoordinator]:
    harness, coordinator = EngineHarness(), RecordingCoordinator()
    harness.core.hooks.coordinator = coordinator
    return harness, coordinator


def submit_until_starting(
    harness: EngineHarness, coordinator: RecordingCoordinator, rid: str = "a", tag: int = 1
) -> Request:
    """Submit a request that has its key and waits for the acknowledgement of its start."""
    request = harness.submit(rid, tag)
    harness.core.remote_claims.granted(request)
    harness.turn()
    assert coordinator.starting == [request] and harness.runs() == []
    return request


def test_a_run_is_not_commanded_before_its_start_is_confirmed() -> None:
    harness, coordinator = coordinated_engine()
    request = harness.submit("a", 1)
    harness.turn()
    assert coordinator.acquiring == [request] and coordinator.starting == [] and harness.runs() == []
    harness.core.remote_claims.granted(request)
    harness.turn()
    assert harness.runs() == []
    harness.core.remote_claims.start_confirmed(request)
    harness.core.remote_claims.start_confirmed(request)
    harness.turn()
    assert harness.runs() == ["a"]
    harness.core.execution.run_ended("a", EndReason.RUN_SUCCEEDED, b"r")
    harness.turn()
    assert harness.verdicts() == [(1, Verdict.SERVED)]


def test_a_request_without_a_key_runs_without_coordination() -> None:
    harness, coordinator = coordinated_engine()
    harness.submit("a", 1, "read", None)
    harness.turn()
    assert harness.runs() == ["a"] and coordinator.acquiring == [] == coordinator.starting


def test_a_starting_request_whose_caller_disconnects_does_not_run_and_frees_its_key() -> None:
    harness, coordinator = coordinated_engine()
    request = submit_until_starting(harness, coordinator)
    harness.core.caller_disconnected(request)
    harness.turn()
    harness.core.remote_claims.start_confirmed(request)
    harness.turn()
    assert harness.runs() == [] and len(harness.core.keys) == 0 and len(harness.core.table) == 0


def test_a_request_whose_start_is_unconfirmed_fails_and_never_runs() -> None:
    """Other runners may run the request, so it must not be rejected: a rejection promises that it never runs."""
    harness, coordinator = coordinated_engine()
    request = submit_until_starting(harness, coordinator)
    harness.core.remote_claims.start_unconfirmed(request, "no majority")
    harness.core.remote_claims.start_confirmed(request)
    harness.turn()
    assert (
        harness.verdicts() == [(1, Verdict.FAILED)] and harness.runs() == [] and len(harness.core.table) == 0
    )


@pytest.mark.parametrize("is_starting", [True, False], ids=["starting", "queued"])
def test_a_request_that_moved_away_is_answered_with_the_remote_result_and_does_not_run(
    is_starting: bool,
) -> None:
    harness, _ = coordinated_engine()
    request = harness.submit("a", 1)
    if is_starting:
        harness.core.remote_claims.granted(request)
        harness.turn()
    harness.core.remote_claims.moved_away(request)
    harness.turn()
    harness.core.remote_claims.start_confirmed(request)
    harness.turn()
    assert harness.runs() == [] and harness.verdicts() == []
    assert request.key is not None
    harness.core.remote_claims.result_received(request.key, b"remote")
    harness.core.remote_claims.result_received(request.key, b"other")
    harness.turn()
    assert [(tag, answer.verdict, answer.content) for tag, answer in harness.answers] == [
        (1, Verdict.SERVED, b"remote")
    ]


def test_a_request_that_moved_away_and_gets_no_result_fails_at_its_deadline() -> None:
    harness, coordinator = coordinated_engine()
    harness.core.remote_claims.moved_away(submit_until_starting(harness, coordinator))
    harness.turn()
    harness.wait(2_900)
    assert harness.verdicts() == []
    harness.wait(100)
    assert harness.verdicts() == [(1, Verdict.FAILED)] and len(harness.core.table) == 0


def test_a_request_that_moved_away_and_never_ran_is_rejected() -> None:
    harness, coordinator = coordinated_engine()
    request = submit_until_starting(harness, coordinator)
    harness.core.remote_claims.moved_away(request)
    assert request.key is not None
    harness.core.remote_claims.never_ran(request.key)
    harness.turn()
    assert harness.verdicts() == [(1, Verdict.REJECTED)] and len(harness.core.keys) == 0


def rejected_request(harness: EngineHarness) -> Request:
    """Submit a request, which gets its key and is then rejected."""
    request = harness.submit("a", 1)
    harness.core.remote_claims.granted(request)
    harness.core.completion.answer(request, Answer(Verdict.REJECTED, cause=Cause.REJECTED))
    harness.core.completion.drop_unstarted(request.number)
    harness.turn()
    assert harness.verdicts() == [] and len(harness.core.table) == len(harness.core.keys) == 0
    return request


@pytest.mark.parametrize("is_confirmed, verdict", [(True, Verdict.REJECTED), (False, Verdict.FAILED)])
def test_a_rejection_is_sent_once_the_release_of_its_key_is_confirmed(
    is_confirmed: bool, verdict: Verdict
) -> None:
    """A runner that was cut off promised that requests never ran, which the others had taken over and ran."""
    harness, _ = coordinated_engine()
    request = rejected_request(harness)
    harness.core.completion.key_released(request.number, is_confirmed)
    harness.core.completion.key_released(request.number, True)
    assert harness.verdicts() == [(1, verdict)]


def test_a_rejection_that_is_not_confirmed_in_time_becomes_a_failure() -> None:
    harness, _ = coordinated_engine()
    request = rejected_request(harness)
    harness.wait(2_900)
    assert harness.verdicts() == []
    harness.wait(130)
    harness.core.completion.key_released(request.number, True)
    assert harness.verdicts() == [(1, Verdict.FAILED)]


def test_an_unconfirmed_rejection_fails_when_the_process_exits() -> None:
    harness, _ = coordinated_engine()
    rejected_request(harness)
    harness.core.answer_all()
    assert harness.verdicts() == [(1, Verdict.FAILED)]


def test_an_unconfirmed_rejection_is_dropped_when_its_caller_disconnects() -> None:
    harness, _ = coordinated_engine()
    request = rejected_request(harness)
    harness.core.caller_disconnected(request)
    harness.core.completion.key_released(request.number, True)
    harness.wait(4_000)
    assert harness.verdicts() == []


def test_a_request_that_is_taken_over_runs_here_and_its_result_is_shared_with_its_retries() -> None:
    harness, coordinator = coordinated_engine()
    retry = harness.submit("b", 2)
    harness.core.remote_claims.joined(retry)
    harness.turn()
    assert retry.retry_of is not None and harness.runs() == []
    request = harness.core.remote_claims.take_over(
        Arrival("a", "write", b"x", token="t", memory_kb=10.0), harness, 1
    )
    harness.turn()
    assert isinstance(request, Request) and coordinator.starting == [request]
    harness.core.remote_claims.start_confirmed(request)
    harness.turn()
    assert harness.runs() == ["a"]
    harness.core.execution.run_ended("a", EndReason.RUN_SUCCEEDED, b"r")
    harness.turn()
    assert sorted(harness.verdicts(), key=str) == [(1, Verdict.SERVED), (2, Verdict.SERVED)]
    assert [a.content for _, a in harness.answers] == [b"r", b"r"]
