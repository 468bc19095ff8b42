"""Randomly generated customer rules: decisions compared with a simple reference, and the time of a look-up."""

from __future__ import annotations

import json
import random
import statistics
import time
from dataclasses import dataclass
from typing import Any

from ..namespaces.current_revisions import CurrentRevisions
from ..namespaces.draft import parse_draft
from ..namespaces.errors import NamespaceError
from ..namespaces.policy import UNBOUNDED, Grant
from ..namespaces.rules import RequestAttributes, Rule

GRANT = Grant(frozenset({"s"}), {}, UNBOUNDED)
KEYS = [f"{letter}{suffix}" for letter in "abc" for suffix in ("", "x", "y-", "y-1")]
REQUESTS_PER_DRAFT = 200
LARGE_RULE_COUNT = 1_000
_LOOKUPS_PER_REPETITION = 5_000
_REPETITIONS = 7
_REVISION = (1, 1)
_ATTRIBUTES = ("key", "subject", "caller", "class_name", "rank")


def reference_decision(rules: list[Rule], request: RequestAttributes) -> str | None:
    """Return the label of the rule for a request, found by a linear search; None if no rule matches.

    Among the matching rules, those of a team take precedence; then the most specific one wins.
    """
    best: Rule | None = None
    for rule in rules:
        if not _matches(rule, request):
            continue
        if best is None or bool(rule.team) > bool(best.team):
            best = rule
        elif bool(rule.team) == bool(best.team):
            best = _more_specific(best, rule)
    return None if best is None else best.label


def _matches(rule: Rule, request: RequestAttributes) -> bool:
    return all(getattr(request, name) in getattr(rule.matcher, name) for name in _ATTRIBUTES)


def _more_specific(first: Rule, second: Rule) -> Rule:
    """Return the rule with the smaller attribute set, compared in order; `first` if all sizes are equal."""
    for second_set, first_set in zip(
        second.matcher.attribute_sets(), first.matcher.attribute_sets(), strict=True
    ):
        if second_set.size() != first_set.size():
            return second if second_set.size() < first_set.size() else first
    return first


# ---- drawn drafts ----


def draw_draft(rng: random.Random) -> bytes:
    """Generate a draft with a few random rules, which may overlap or contain each other."""
    draft = {
        "default": "main",
        "routes": {"main": {"servers": {"s": 1}}},
        "rules": _draw_rules(rng, rng.randint(1, 6)),
    }
    if rng.random() < 0.4:
        match = _draw_match(rng)
        draft["teams"] = {"t": {"match": match, "rules": _draw_rules(rng, rng.randint(1, 3))}}
    return json.dumps(draft).encode()


def _draw_rules(rng: random.Random, count: int) -> dict[str, Any]:
    return {f"r{index}": {"match": _draw_match(rng), "to": "main"} for index in range(count)}


def _draw_match(rng: random.Random) -> dict[str, Any]:
    match: dict[str, Any] = {}
    if rng.random() < 0.7:
        match["key"] = [rng.choice(KEYS) + rng.choice(("", "*")) for _ in range(rng.randint(1, 2))]
    if rng.random() < 0.4:
        match["class"] = [rng.choice(("check", "submit", "s*"))]
    for name in ("caller", "subject"):
        if rng.random() < 0.4:
            low = rng.randint(0, 6)
            match[name] = [[low, low + rng.randint(1, 5)]]
    if rng.random() < 0.2:
        match["rank"] = [[0.0, rng.choice((0.25, 0.5))]]
    return match


def _draw_request(rng: random.Random) -> RequestAttributes:
    return RequestAttributes(
        rng.choice(("check", "submit", "seek")),
        rng.randint(-1, 10),
        rng.randint(-1, 10),
        rng.choice((0.0, 0.25, 0.3, 0.9)),
        rng.choice(KEYS) + rng.choice(("", "z", "-1")),
    )


@dataclass(slots=True)
class DecisionCounts:
    """Numbers of compared decisions and of rejected drafts."""

    wrong: int = 0
    total: int = 0
    rejected_drafts: int = 0


def count_wrong_decisions(seed: int, decisions: int) -> DecisionCounts:
    """Compare at least `decisions` decisions with the reference, on random drafts and requests."""
    rng = random.Random(seed)
    counts = DecisionCounts()
    while counts.total < decisions:
        try:
            table = parse_draft(draw_draft(rng), GRANT).table
        except NamespaceError:
            counts.rejected_drafts += 1
            continue
        for _ in range(REQUESTS_PER_DRAFT):
            request = _draw_request(rng)
            rule = table.find(request)
            decision = None if rule is None else rule.label
            counts.wrong += decision != reference_decision(table.rules, request)
            counts.total += 1
    return counts


# ---- large drafts ----


def draft_of_size(rules: int, route: str = "main", server: str = "s") -> bytes:
    """Generate a draft with the given number of rules."""
    return json.dumps(
        {
            "default": route,
            "routes": {route: {"servers": {server: 1}}},
            "rules": {f"{index:x}": _numbered_rule(index, route) for index in range(rules)},
        },
        separators=(",", ":"),
    ).encode()


def _numbered_rule(index: int, route: str) -> dict[str, Any]:
    return {"match": {"key": [f"{index:05x}*"], "caller": [[index % 50, 60]]}, "to": route}


@dataclass(frozen=True, slots=True)
class LookupTimes:
    """Time of one look-up, in us: with one customer in the table, and with many."""

    alone_us: float
    many_customers_us: float


def measure_lookups(other_customers: int, rules_per_customer: int) -> LookupTimes:
    """Measure look-ups among a thousand rules, for one customer alone and beside other customers."""
    customers = CurrentRevisions(other_customers + 1)
    customers.install_draft("acme", _REVISION, draft_of_size(LARGE_RULE_COUNT), GRANT)
    alone_us = _measure_lookup_us(customers, "acme", LARGE_RULE_COUNT)
    shared = draft_of_size(rules_per_customer)
    for index in range(other_customers):
        customers.install_draft(f"c{index}", _REVISION, shared, None)
    return LookupTimes(alone_us, _measure_lookup_us(customers, "acme", LARGE_RULE_COUNT))


def _measure_lookup_us(customers: CurrentRevisions, name: str, rules: int) -> float:
    """Return the median time of a request's look-up, which finds the customer by name and then the matching rule."""
    requests = [
        RequestAttributes("submit", index % 60, -1, 0.1, f"{index % rules:05x}-abc")
        for index in range(_LOOKUPS_PER_REPETITION)
    ]
    times_us = []
    for _ in range(_REPETITIONS):
        began = time.perf_counter()
        for request in requests:
            revision = customers.get(name)
            assert revision is not None
            revision.namespace.table.find(request)
        times_us.append((time.perf_counter() - began) / len(requests) * 1e6)
    return statistics.median(times_us)
