"""The auditor reports each violated rule of a history, and reports nothing for histories without a violation."""

from __future__ import annotations

import pytest

from .faults.auditor import (
    AnswerReceived,
    CallReceived,
    ConnectionEnded,
    Observation,
    ReplyReceived,
    RequestSent,
    Rule,
    RunEnded,
    RunStarted,
    Verdict,
    audit,
)

SLACK_S, END_S = 0.1, 10.0


def make_request(rid: str, effect: str = "single_shot", at: float = 1.0, token: str = "") -> RequestSent:
    return RequestSent(at, rid, effect, "n0", b"body", at + 1.0, token, 5.0 if token else 0.0)


def make_served_request(
    rid: str, effect: str = "single_shot", at: float = 1.0, token: str = ""
) -> list[Observation]:
    """Return the history of a request that was run once and answered with its result."""
    call = rid.encode() + b" 1"
    return [
        make_request(rid, effect, at, token),
        RunStarted(at + 0.1, rid, b"body"),
        CallReceived(at + 0.2, rid, call),
        ReplyReceived(at + 0.3, rid, b"re:" + call, b"re:" + call),
        RunEnded(at + 0.4, rid, b"did " + rid.encode()),
        AnswerReceived(at + 0.5, rid, Verdict.SERVED, b"did " + rid.encode()),
    ]


def find_violations(history: list[Observation]) -> list[tuple[Rule, str]]:
    return [(finding.rule, finding.rid) for finding in audit(history, SLACK_S, END_S)]


SHARED = AnswerReceived(2.5, "b", Verdict.SERVED, b"did a")
REFUSED = AnswerReceived(1.2, "a", Verdict.REFUSED)

VALID_HISTORIES: dict[str, list[Observation]] = {
    "served request": make_served_request("a"),
    "refused request": [make_request("a"), REFUSED],
    "repeated request shares the result": [
        *make_served_request("a", "guarded", token="t"),
        make_request("b", "guarded", 2.0, "t"),
        SHARED,
    ],
    "key is reused after its window": [
        *make_served_request("a", "guarded", token="t"),
        *make_served_request("b", "guarded", at=6.5, token="t"),
    ],
    "call is repeated after one that provably never ran": [
        make_request("a"),
        CallReceived(1.1, "a", b"a 1", never_ran=True),
        *make_served_request("a")[1:],
    ],
    "call without side effects is repeated": [
        *make_served_request("a", "free"),
        CallReceived(1.45, "a", b"a 1"),
    ],
    "client closes the connection": [make_request("a"), ConnectionEnded(1.2, "a", is_excused=True)],
    "answer is not due yet": [make_request("a", at=9.5)],
}
LOST, DUPLICATE = Rule.LOST, Rule.DUPLICATE
INVALID_HISTORIES: dict[str, tuple[Rule, list[Observation]]] = {
    "never answered": (LOST, [make_request("a")]),
    "runner closes the connection": (LOST, [make_request("a"), ConnectionEnded(1.2, "a", is_excused=False)]),
    "answered late": (LOST, [*make_served_request("a")[:-1], AnswerReceived(2.2, "a", Verdict.FAILED)]),
    "served without a run": (LOST, [make_request("a"), AnswerReceived(1.2, "a", Verdict.SERVED, b"x")]),
    "body changed": (
        LOST,
        [make_request("a"), RunStarted(1.1, "a", b"other"), AnswerReceived(1.2, "a", Verdict.FAILED)],
    ),
    "reply changed": (LOST, [*make_served_request("a"), ReplyReceived(1.35, "a", b"re:a 2", b"re:a 1")]),
    "answered twice": (DUPLICATE, [*make_served_request("a"), AnswerReceived(1.6, "a", Verdict.FAILED)]),
    "run twice": (DUPLICATE, [*make_served_request("a"), RunStarted(1.45, "a", b"body")]),
    "refused after a run": (DUPLICATE, [*make_served_request("a")[:-1], REFUSED]),
    "call repeated": (DUPLICATE, [*make_served_request("a"), CallReceived(1.25, "a", b"a 1")]),
}


@pytest.mark.parametrize("name", VALID_HISTORIES)
def test_no_violation_is_reported_for_valid_histories(name: str) -> None:
    assert find_violations(VALID_HISTORIES[name]) == []


@pytest.mark.parametrize("name", INVALID_HISTORIES)
def test_each_violated_rule_is_reported(name: str) -> None:
    rule, history = INVALID_HISTORIES[name]
    assert find_violations(history) == [(rule, "a")]


def test_a_key_that_runs_twice_in_its_window_is_reported() -> None:
    history = [
        *make_served_request("a", "guarded", token="t"),
        *make_served_request("b", "guarded", at=3.0, token="t"),
    ]
    assert find_violations(history) == [(DUPLICATE, "b")]
