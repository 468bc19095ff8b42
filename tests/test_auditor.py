"""The auditor finds each broken rule in a history that breaks it once, and nothing in one that keeps them."""

from __future__ import annotations

import pytest

from .faults.auditor import (
    Answered,
    Asked,
    Called,
    Given,
    Hung,
    Ran,
    Result,
    Rule,
    Seen,
    Verdict,
    judge,
)

SLACK_S, ENDS = 0.1, 10.0


def asked(rid: str, effect: str = "single_shot", at: float = 1.0, token: str = "") -> Asked:
    return Asked(at, rid, effect, "n0", b"body", at + 1.0, token, 5.0 if token else 0.0)


def whole(rid: str, effect: str = "single_shot", at: float = 1.0, token: str = "") -> list[Seen]:
    """A request as it should be."""
    call = rid.encode() + b" 1"
    return [
        asked(rid, effect, at, token),
        Ran(at + 0.1, rid, b"body"),
        Called(at + 0.2, rid, call),
        Given(at + 0.3, rid, b"re:" + call, b"re:" + call),
        Result(at + 0.4, rid, b"did " + rid.encode()),
        Answered(at + 0.5, rid, Verdict.SERVED, b"did " + rid.encode()),
    ]


def found(history: list[Seen]) -> list[tuple[Rule, str]]:
    return [(finding.rule, finding.rid) for finding in judge(history, SLACK_S, ENDS)]


SHARED = Answered(2.5, "b", Verdict.SERVED, b"did a")
REFUSED = Answered(1.2, "a", Verdict.REFUSED)

KEPT: dict[str, list[Seen]] = {
    "whole": whole("a"),
    "refused": [asked("a"), REFUSED],
    "a repeat shares the result": [
        *whole("a", "guarded", token="t"),
        asked("b", "guarded", 2.0, "t"),
        SHARED,
    ],
    "a key after its window": [
        *whole("a", "guarded", token="t"),
        *whole("b", "guarded", at=6.5, token="t"),
    ],
    "a call after a proof": [asked("a"), Called(1.1, "a", b"a 1", never_ran=True), *whole("a")[1:]],
    "a safe call twice": [*whole("a", "free"), Called(1.45, "a", b"a 1")],
    "the client has gone": [asked("a"), Hung(1.2, "a", by_client=True)],
    "not due yet": [asked("a", at=9.5)],
}
LOST, DUPLICATE = Rule.LOST, Rule.DUPLICATE
BROKEN: dict[str, tuple[Rule, list[Seen]]] = {
    "never answered": (LOST, [asked("a")]),
    "hung up on": (LOST, [asked("a"), Hung(1.2, "a", by_client=False)]),
    "late": (LOST, [*whole("a")[:-1], Answered(2.2, "a", Verdict.FAILED)]),
    "served with nothing": (LOST, [asked("a"), Answered(1.2, "a", Verdict.SERVED, b"x")]),
    "body changed": (LOST, [asked("a"), Ran(1.1, "a", b"other"), Answered(1.2, "a", Verdict.FAILED)]),
    "reply changed": (LOST, [*whole("a"), Given(1.35, "a", b"re:a 2", b"re:a 1")]),
    "answered twice": (DUPLICATE, [*whole("a"), Answered(1.6, "a", Verdict.FAILED)]),
    "run twice": (DUPLICATE, [*whole("a"), Ran(1.45, "a", b"body")]),
    "refused after a run": (DUPLICATE, [*whole("a")[:-1], REFUSED]),
    "call again": (DUPLICATE, [*whole("a"), Called(1.25, "a", b"a 1")]),
}


@pytest.mark.parametrize("name", KEPT)
def test_nothing_is_found_where_the_rules_are_kept(name: str) -> None:
    assert found(KEPT[name]) == []


@pytest.mark.parametrize("name", BROKEN)
def test_each_broken_rule_is_found(name: str) -> None:
    rule, history = BROKEN[name]
    assert found(history) == [(rule, "a")]


def test_a_key_that_runs_twice_in_its_window_is_found() -> None:
    history = [*whole("a", "guarded", token="t"), *whole("b", "guarded", at=3.0, token="t")]
    assert found(history) == [(DUPLICATE, "b")]
