"""Parsing of a draft's rules: matchers and outcomes."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from .draft_values import is_number, read_integer, read_mapping, read_object
from .errors import MalformedInputError, NotGrantedError
from .names import require_name
from .namespace import Route
from .rules import MATCH_ALL, Matcher, Outcome, RejectRequest, RouteTo, Rule, Split
from .sets import ALL_NUMBERS, ALL_RANKS, ALL_STRINGS, MAX_NUMBER, MIN_NUMBER, NumberRanges, StringSet

MAX_REASON_LENGTH = 200  # characters
MAX_STRING_LENGTH = 256  # characters
MAX_WEIGHT = 1_000_000


def parse_rules(
    raw: Any, path: str, routes: Mapping[str, Route], scope: Matcher = MATCH_ALL, team: str = ""
) -> list[Rule]:
    """Parse the rules of a customer or of one of its teams.

    :param scope: Matcher of the team's requests; each rule is restricted to it.
    :param team: Name of the team; empty for rules of the whole customer.
    :raises MalformedInputError: a key is missing, unknown or of the wrong type.
    :raises NotGrantedError: a rule names a route that is not in the draft.
    """
    rules = []
    for name, raw_rule in read_mapping(raw, path).items():
        rule_path = f"{path}.{require_name(name, path)}"
        values = read_object(raw_rule, rule_path, {"match", "to", "split", "refuse"})
        matcher = parse_matcher(values.get("match", {}), f"{rule_path}.match")
        if scope is not MATCH_ALL:
            matcher = matcher.intersect(scope)
        rules.append(Rule(name, matcher, _parse_outcome(values, rule_path, routes), team))
    return rules


def parse_matcher(raw: Any, path: str) -> Matcher:
    """Parse a matcher.

    :raises MalformedInputError: a key is unknown or of the wrong type.
    """
    values = read_object(raw, path, {"key", "class", "caller", "subject", "rank"})
    return Matcher(
        _parse_strings(values, "key", path),
        _parse_numbers(values, "subject", path),
        _parse_numbers(values, "caller", path),
        _parse_strings(values, "class", path),
        _parse_ranks(values, path),
    )


def _parse_strings(values: Mapping[str, Any], key: str, path: str) -> StringSet:
    if key not in values:
        return ALL_STRINGS
    listed = values[key]
    if not isinstance(listed, list) or not all(
        isinstance(text, str) and len(text) <= MAX_STRING_LENGTH for text in listed
    ):
        raise MalformedInputError(
            f"{path}.{key}: expected a list of strings of at most {MAX_STRING_LENGTH} characters; "
            "a last * is a prefix"
        )
    literals = [text for text in listed if not text.endswith("*")]
    prefixes = [text[:-1] for text in listed if text.endswith("*")]
    return StringSet.of(literals, prefixes)


def _parse_numbers(values: Mapping[str, Any], key: str, path: str) -> NumberRanges:
    if key not in values:
        return ALL_NUMBERS
    return _parse_ranges(values[key], f"{path}.{key}", MIN_NUMBER, MAX_NUMBER)


def _parse_ranks(values: Mapping[str, Any], path: str) -> NumberRanges:
    if "rank" not in values:
        return ALL_RANKS
    return _parse_ranges(values["rank"], f"{path}.rank", 0, 1)


def _parse_ranges(raw: Any, path: str, minimum: float, maximum: float) -> NumberRanges:
    if not isinstance(raw, list) or not all(
        isinstance(bounds, list)
        and len(bounds) == 2
        and all(is_number(bound, minimum, maximum) for bound in bounds)
        for bounds in raw
    ):
        raise MalformedInputError(f"{path}: expected a list of [from, to], from {minimum:g} to {maximum:g}")
    return NumberRanges.of([(float(low), float(high)) for low, high in raw])


def _parse_outcome(values: Mapping[str, Any], path: str, routes: Mapping[str, Route]) -> Outcome:
    kinds = [kind for kind in ("to", "split", "refuse") if kind in values]
    if len(kinds) != 1:
        raise MalformedInputError(f"{path}: expected one of to, split, refuse")
    kind = kinds[0]
    raw = values[kind]
    if kind == "refuse":
        return _parse_reject(raw, path)
    return _parse_route(raw, path, routes) if kind == "to" else _parse_split(raw, path, routes)


def _parse_reject(raw: Any, path: str) -> RejectRequest:
    if not isinstance(raw, str) or not 0 < len(raw) <= MAX_REASON_LENGTH:
        raise MalformedInputError(f"{path}.refuse: expected a reason of 1 to {MAX_REASON_LENGTH} characters")
    return RejectRequest(raw)


def _parse_route(raw: Any, path: str, routes: Mapping[str, Route]) -> RouteTo:
    # An object is invalid here. It is first checked like the value of `split`, because an error found inside it is more
    # specific than the message that `to` expects a name.
    weights = {raw: 1} if isinstance(raw, str) else read_mapping(raw, f"{path}.to")
    _check_weights(weights, "to", path, routes)
    if not isinstance(raw, str):
        raise MalformedInputError(f"{path}.to: expected the name of a route")
    return RouteTo(raw)


def _parse_split(raw: Any, path: str, routes: Mapping[str, Route]) -> Split:
    weights = read_mapping(raw, f"{path}.split")
    _check_weights(weights, "split", path, routes)
    if not any(weights.values()):
        raise MalformedInputError(f"{path}.split: expected a weight above 0")
    return Split(tuple(sorted(weights.items())))


def _check_weights(weights: Mapping[str, Any], kind: str, path: str, routes: Mapping[str, Route]) -> None:
    for name, weight in weights.items():
        if name not in routes:
            raise NotGrantedError(f"{path}.{kind}: no such route of yours: {name!r}")
        read_integer(weight, f"{path}.split.{name}", 0, MAX_WEIGHT)
