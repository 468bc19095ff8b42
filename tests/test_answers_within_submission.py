"""Requests that end within the call that submits them: rejected by rules, by a claim that fails at once."""

from __future__ import annotations

import json
from typing import Any

import pytest

from moorusher.core.answer import Verdict
from moorusher.core.coordination import NoCoordinator
from moorusher.core.outcomes import EndReason
from moorusher.core.requests import Arrival, Request
from moorusher.frontends.jsonrpc_session import MAX_OPEN_REQUESTS, JsonRpcSession

from .test_core import EngineHarness


class Refusing:
    """Rules that reject every request (`routes.Routes`), and the decision (`routes.Ruling`)."""

    ready = True
    revision_id = (1, 1)
    refusal = "not here"
    path = None

    def rule(self, arrival: Arrival, tenant: str | None) -> Refusing:
        return self


class FailingCluster(NoCoordinator):
    """A cluster in which every claim fails at once."""

    def __init__(self, harness: EngineHarness) -> None:
        self._harness = harness

    def acquire_key(self, request: Request) -> bool:
        self._harness.core.remote_claims.unavailable(request, "no majority", never_ran=False)
        return True


def refuse(harness: EngineHarness) -> None:
    harness.core.hooks.routes = Refusing()


def fail_claims(harness: EngineHarness) -> None:
    harness.core.hooks.coordinator = FailingCluster(harness)


@pytest.mark.parametrize(
    ("cause", "verdict"), [(refuse, Verdict.REJECTED), (fail_claims, Verdict.FAILED)], ids=["rules", "claim"]
)
def test_an_answer_comes_after_the_submission_has_returned(cause: Any, verdict: Verdict) -> None:
    harness = EngineHarness()
    cause(harness)
    harness.submit("a", 1)
    assert not harness.answers and not harness.core.table.by_number
    harness.turn()
    assert harness.verdicts() == [(1, verdict)]
    harness.turn()
    assert len(harness.answers) == 1


def test_a_caller_that_disconnects_before_its_answer_gets_none() -> None:
    harness = EngineHarness()
    refuse(harness)
    request = harness.submit("a", 1)
    harness.core.caller_disconnected(request)
    harness.turn()
    assert not harness.answers


def test_answers_that_are_due_when_the_process_ends_are_sent() -> None:
    harness = EngineHarness()
    refuse(harness)
    harness.submit("a", 1)
    harness.core.answer_all()
    assert harness.verdicts() == [(1, Verdict.REJECTED)]


class Connection:
    """The connection of a session (`jsonrpc_session.JsonRpcConnection`), which records what it is told."""

    def __init__(self) -> None:
        self.busy = False
        self.lines: list[dict[str, Any]] = []

    def send(self, line: bytes) -> None:
        self.lines.append(json.loads(line))

    def mark_idle(self) -> None:
        self.busy = False

    def mark_busy(self) -> None:
        self.busy = True

    def request_close(self) -> None:
        raise AssertionError("asked to leave")

    def stop_reading(self, end_reason: EndReason) -> None:
        raise AssertionError(end_reason)

    def close_if_answered(self) -> None:
        """Do nothing."""


def test_a_connection_whose_requests_are_rejected_by_rules_is_idle_and_takes_any_number_of_them() -> None:
    """Such a connection counted as busy for good: its slot was never freed, and after 32 rejections it failed."""
    harness = EngineHarness()
    refuse(harness)
    connection = Connection()
    session = JsonRpcSession(harness.core, connection, lambda: True)
    for number in range(1, 2 * MAX_OPEN_REQUESTS + 1):
        params = {"rid": f"{number:016x}", "t0": 0, "peer": 1, "mem": 1.0, "prio": 0.5, "content": "eA=="}
        params["t0"] = int(harness.core.clock.to_unix_ms(harness.core.clock.now))
        line = json.dumps({"jsonrpc": "2.0", "id": number, "method": "read", "params": params})
        session.handle(line.encode(), None)
        assert connection.busy
        harness.turn()
        assert not connection.busy and not session.open
        assert connection.lines[-1]["error"]["code"] == -32014 and connection.lines[-1]["id"] == number
