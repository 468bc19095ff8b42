"""Decisions of customers' drafts, messages for invalid drafts, and the route that a split assigns to a key.

Guards against a renamed rule or error, because operators' scripts read the messages and kinds of errors. Also guards
against a key that gets another route of a split after an upgrade: its requests would run on servers that don't know it.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from moorusher.namespaces import draft as drafts
from moorusher.namespaces import (
    draft_changes,
    errors,
    names,
    policy,
    revision_history,
    rules,
    weighted_split,
)

from .golden import assert_golden

# ---- adapters: only this section uses the program's names ----

BUDGET_FIELDS = {
    "bytes": "max_draft_bytes",
    "rules": "max_rules",
    "routes": "max_routes",
    "route_servers": "max_route_servers",
    "words": "max_set_members",
    "steps": "max_check_steps",
    "table_bytes": "max_table_bytes",
}
GRANTED = policy.Grant(frozenset({"s1", "s2"}), {"shared": 0.5})
RequestAttributes = rules.RequestAttributes


def parse(draft: bytes, limits: dict[str, int] | None = None) -> Any:
    budget = policy.Budget(**{BUDGET_FIELDS[name]: value for name, value in (limits or {}).items()})
    return drafts.parse_draft(draft, policy.Grant(GRANTED.servers, GRANTED.pools, budget))


def decide(namespace: Any, request: dict[str, Any]) -> list[Any]:
    decision = namespace.table.decide(RequestAttributes(**request))
    chain = () if decision.route is None else namespace.fallback_chain(decision.route)
    return [
        None if decision.rule is None else decision.rule.label,
        decision.route,
        decision.reason,
        [route.name for route in chain],
    ]


def split_routes(weights: dict[str, int], keys: list[str]) -> list[str]:
    split = rules.Split(tuple(sorted(weights.items())))
    return [weighted_split.split_route(split, key) for key in keys]


def add_revision(
    history: Any, fields: list[Any], now_ms: int, max_retained: int = 2, max_per_hour: int = 3
) -> Any:
    submission = revision_history.Submission("acme", *fields)
    limits = policy.PublishingLimits(max_retained, 8 << 10, max_per_hour)
    return revision_history.add_revision(
        history, submission, revision_history.draft_to_publish(history, submission), now_ms, limits
    )


def empty_history() -> Any:
    return revision_history.decode_history(b"", "acme")


def encode_history(history: Any) -> bytes:
    return revision_history.encode_history(history)


def decode_history(state: bytes, customer: str) -> Any:
    return revision_history.decode_history(state, customer)


changes_between = draft_changes.draft_changes
require_name = names.require_name
all_errors = errors.ERRORS


# ---- drafts ----

ROUTES = {"main": {"servers": {"s1": 1, "s2": 3}, "fall_back": "spare"}, "spare": {"pool": "shared"}}
DRAFT: dict[str, Any] = {
    "default": "main",
    "routes": ROUTES,
    "rules": {
        "eu": {"match": {"key": ["eu-*", "x"], "class": ["submit"], "caller": [[0, 100]]}, "to": "spare"},
        "new": {"match": {"rank": [[0, 0.5]]}, "split": {"main": 9, "spare": 1}},
        "subjects": {"match": {"subject": [[5, 9], [1, 6]]}, "to": "spare"},
        "no": {"match": {"class": ["admin"]}, "refuse": "not from here"},
    },
    "teams": {"lab": {"match": {"key": ["lab-*"]}, "rules": {"all": {"to": "spare"}}}},
}
REQUESTS: list[dict[str, Any]] = [
    {"class_name": class_name, "key": key, "rank": rank, "caller": caller, "subject": subject, "spread": "7"}
    for class_name in ("submit", "admin")
    for key in ("", "eu-1", "x", "lab-3", "lab")
    for rank in (0.1, 0.5)
    for caller, subject in ((-1, -1), (7, 1), (100, 8))
]


def rule(**match: Any) -> dict[str, Any]:
    return {"match": match, "to": "main"}


# Changes of `DRAFT`, or whole drafts as bytes, each with the limits that apply.
INVALID_DRAFTS: list[tuple[Any, dict[str, int]]] = [
    (b"{", {}),
    (b"[]", {}),
    ({"default": 7}, {}),
    ({"default": "none"}, {}),
    ({"routes": 7}, {}),
    ({"routes": {"main": 7}}, {}),
    ({"routes": {"a b": {"pool": "shared"}}}, {}),
    ({"routes": {"main": {}}}, {}),
    ({"routes": {"main": {"servers": {"s1": 1}, "pool": "shared"}}}, {}),
    ({"routes": {"main": {"servers": {"s1": -1}}}}, {}),
    ({"routes": {"main": {"servers": {"s1": True}}}}, {}),
    ({"routes": {"main": {"servers": {"s9": 1}}}}, {}),
    ({"routes": {"main": {"pool": "other"}}}, {}),
    ({"routes": {"main": {"pool": 7}}}, {}),
    ({"routes": {"main": {"pool": "shared", "limit": 1_000_001}}}, {}),
    ({"routes": {"main": {"pool": "shared", "tries": 6}}}, {}),
    ({"routes": {"main": {"pool": "shared", "fall_back": 7}}}, {}),
    ({"routes": {"main": {"pool": "shared", "fall_back": "x"}}}, {}),
    (
        {
            "routes": {
                "main": {"pool": "shared", "fall_back": "b"},
                "b": {"pool": "shared", "fall_back": "main"},
            }
        },
        {},
    ),
    ({"rules": {"r": 7}}, {}),
    ({"rules": {"r": {}}}, {}),
    ({"rules": {"r": {"to": "main", "refuse": "x"}}}, {}),
    ({"rules": {"r": {"to": "x"}}}, {}),
    ({"rules": {"r": {"to": 7}}}, {}),
    ({"rules": {"r": {"to": {"main": 1}}}}, {}),
    ({"rules": {"r": {"split": "main"}}}, {}),
    ({"rules": {"r": {"split": {}}}}, {}),
    ({"rules": {"r": {"split": {"main": 0}}}}, {}),
    ({"rules": {"r": {"split": {"main": 1_000_001}}}}, {}),
    ({"rules": {"r": {"split": {"x": 1}}}}, {}),
    ({"rules": {"r": {"refuse": ""}}}, {}),
    ({"rules": {"r": {"refuse": 7}}}, {}),
    ({"rules": {"r": {"match": 7, "to": "main"}}}, {}),
    ({"rules": {"r": rule(key="x")}}, {}),
    ({"rules": {"r": rule(key=["x" * 257])}}, {}),
    ({"rules": {"r": rule(caller=[[5, "x"]])}}, {}),
    ({"rules": {"r": rule(caller=[[-2, 1]])}}, {}),
    ({"rules": {"r": rule(subject=[1, 2])}}, {}),
    ({"rules": {"r": rule(rank=[[0, 2]])}}, {}),
    ({"rules": {"r": rule(rank=[[0, True]])}}, {}),
    ({"rules": {"r": rule(key=[])}}, {}),
    ({"rules": {"a": rule(key=["k*"]), "b": rule(key=["k*"])}}, {}),
    ({"rules": {"a": rule(rank=[[0, 0.5]]), "b": rule(rank=[[0.25, 0.75]])}}, {}),
    ({"rules": {"a": rule(caller=[[-1, 5]]), "b": rule(caller=[[5, 1 << 53]]), "c": rule()}}, {}),
    ({"teams": 7}, {}),
    ({"teams": {"t": 7}}, {}),
    ({"teams": {"t u": {}}}, {}),
    ({"teams": {"t": {"match": {"key": ["a"]}, "rules": {"r": rule(key=["b"])}}}}, {}),
    ({"teams": {"t": {"rules": {"r": rule()}}}, "rules": {"r": rule(key=["b"])}}, {}),
    ({}, {"bytes": 10}),
    ({}, {"rules": 4}),
    ({}, {"routes": 1}),
    ({}, {"route_servers": 1}),
    ({}, {"words": 3}),
    ({}, {"table_bytes": 1_000}),
    ({}, {"steps": 1}),
]


def error_of(call: Callable[[], Any]) -> list[Any] | str:
    """Return the kind, status, message and remedy of the error that is raised."""
    try:
        call()
    except errors.NamespaceError as exc:
        return [exc.kind, exc.status, str(exc), exc.remedy]
    except ValueError as exc:
        return [type(exc).__name__, str(exc)]
    return "accepted"


def test_the_decisions_of_a_draft_are_unchanged() -> None:
    namespace = parse(json.dumps(DRAFT).encode())
    decisions = [[list(request.values()), decide(namespace, request)] for request in REQUESTS]
    assert_golden("namespace_decisions", decisions)


def test_the_route_that_a_split_assigns_to_a_key_is_unchanged() -> None:
    keys = [f"key-{number}" for number in range(40)] + ["", "é"]
    splits: list[dict[str, int]] = [{"a": 1, "b": 1}, {"a": 9, "b": 1, "c": 5}, {"a": 0, "b": 2}]
    assert_golden("namespace_splits", [[weights, split_routes(weights, keys)] for weights in splits])


def test_the_errors_for_invalid_drafts_are_unchanged() -> None:
    def error_for(change: Any, limits: dict[str, int]) -> Any:
        draft = change if isinstance(change, bytes) else json.dumps(DRAFT | change).encode()
        return error_of(lambda: parse(draft, limits))

    results = [
        [change.decode() if isinstance(change, bytes) else change, limits, error_for(change, limits)]
        for change, limits in INVALID_DRAFTS
    ]
    assert_golden("namespace_faults", results)


def test_the_errors_for_invalid_names_are_unchanged() -> None:
    invalid_and_unusual = ["", "a b", "a\u0000", "u\u0308", "x" * 65, 7, None, "\u200d", "ü", "Acme"]
    assert_golden(
        "namespace_names",
        [
            [name, error_of(lambda name=name: require_name(name, "customer"))]  # type: ignore[misc]
            for name in invalid_and_unusual
        ],
    )


def test_the_kinds_statuses_and_remedies_of_errors_are_unchanged() -> None:
    assert_golden("namespace_errors", [[error.kind, error.status, error.remedy] for error in all_errors])


# ---- revisions ----


def draft(**routes: Any) -> bytes:
    return json.dumps({"default": "main", "routes": routes}).encode()


def test_the_stored_histories_after_submissions_are_unchanged() -> None:
    """Covers publications, a retry, rollbacks and refusals: the bytes of each state, or the error, are compared."""
    history, results = empty_history(), []
    for now_ms, submission in (
        (1_000_000, ["a", 0, "me", draft(main=1)]),
        (1_000_001, ["b", 0, "me", draft(main=2)]),
        (1_000_002, ["b", 1, "x" * 70, draft(main=2, spare=3)]),
        (1_000_003, ["c", -1, "you", b"", 1]),
        (1_000_004, ["d", 3, "you", draft(main=4)]),
        (9_000_000, ["d", 3, "you", b"x" * 5_000]),
        (9_000_000, ["d", 3, "you", draft(main=4)]),
        (9_000_001, ["e", 4, "you", b"", 1]),
        (9_000_002, ["e", 9, "you", b"odd"]),
        (9_000_003, ["e", 4, "you", b"odd"]),
        (9_000_004, ["f", 1, "you", b"odd"]),
    ):
        result: list[Any] = []
        error = error_of(lambda: result.append(add_revision(history, submission, now_ms)))  # noqa: B023
        if result:
            history = result[0]
        results.append([now_ms, submission[0], error, encode_history(history).hex()])
    assert_golden("namespace_books", results)


def test_the_errors_for_damaged_histories_are_unchanged() -> None:
    state = encode_history(add_revision(empty_history(), ["a", 0, "me", b"{}"], 5))
    messages = [
        error_of(lambda: decode_history(state, "bolt")),
        error_of(lambda: decode_history(b"\x93", "acme")),
    ]
    assert_golden("namespace_damaged", messages)


def test_the_texts_of_changes_between_drafts_are_unchanged() -> None:
    many = {f"r{number}": number for number in range(30)}
    pairs: list[tuple[Any, Any]] = [
        (DRAFT, DRAFT | {"default": "spare"}),
        (DRAFT, DRAFT | {"rules": {"eu": {"to": "main"}, "more": {"to": "main"}}, "teams": {}}),
        ({}, {"routes": many}),
        ([], DRAFT),
        ({"rules": 7}, {"rules": {"x": 1}}),
    ]
    texts = [
        list(changes_between(json.dumps(before).encode(), json.dumps(after).encode()))
        for before, after in pairs
    ]
    assert_golden("namespace_differences", [*texts, list(changes_between(b"\xff", b""))])
