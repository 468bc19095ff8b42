"""A customer's draft as it is written, read into rules and routes; what it may cost; what it may name.

    {"default": "main",
     "routes": {"main": {"servers": {"s1": 1}, "limit": 50, "tries": 2, "fall_back": "spare"},
                "spare": {"pool": "shared"}},
     "rules": {"eu": {"match": {"key": ["eu-*"], "class": ["submit"], "caller": [[0, 100]]}, "to": "main"},
               "new": {"match": {"rank": [[0, 0.5]]}, "split": {"main": 9, "spare": 1}},
               "no": {"match": {"class": ["admin"]}, "refuse": "not from here"}},
     "teams": {"lab": {"match": {"key": ["lab-*"]}, "rules": {...}}}}

Whose it is is never said in it. Nothing in it is a reference to anybody else's: a pool that several use is known here
only where the platform has granted it, under the name that the grant gives it.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import msgspec

from .errors import Circular, Foreign, Malformed, OverBudget
from .names import checked
from .policy import UNBOUNDED, Granted
from .rules import Match, Outcome, Reject, RouteTo, Rule, Split
from .sets import ALL_NUMBERS, ALL_RANKS, ALL_STRINGS, MAX_NUMBER, NumberRanges, StringSet
from .table import RuleTable

MAX_REASON_LENGTH = 200  # characters
MAX_WEIGHT = 1_000_000
EVERYTHING = Match()


@dataclass(frozen=True, slots=True)
class Route:
    """Where calls go: servers of the customer's own, or one pool.

    servers: names with weights; none where it is a pool.
    pool: the name of one that is granted, "" where it is servers.
    max_in_flight: calls at a time; 0 for no limit.
    max_attempts: of one call.
    fallback: the route to take where this one fails, "" for none.
    """

    name: str
    servers: tuple[tuple[str, int], ...] = ()
    pool: str = ""
    max_in_flight: int = 0
    max_attempts: int = 1
    fallback: str = ""


@dataclass(frozen=True, slots=True)
class Namespace:
    """The meaning of one draft.

    routes: by name.
    table: the rules.
    default: the route where no rule matches.
    """

    routes: Mapping[str, Route]
    table: RuleTable
    default: str

    def fallback_chain(self, route: str) -> tuple[Route, ...]:
        """Return the route and its fallbacks, in order."""
        found: list[Route] = []
        while route:
            found.append(self.routes[route])
            route = found[-1].fallback
        return tuple(found)


def parse_draft(draft: bytes, granted: Granted | None) -> Namespace:
    """Parse a draft, and check it against what is granted.

    `granted` is None for a published draft, which was checked then: what it names that is not granted here, or no
    longer, is skipped by routing.

    :raises NamespaceError: one of `errors.ERRORS`, with the path of what is wrong.
    """
    published, granted = granted is None, granted or Granted()
    budget = UNBOUNDED if published else granted.budget
    if len(draft) > budget.bytes:
        raise OverBudget(f"{len(draft)} bytes; {budget.bytes} are granted")
    try:
        raw = msgspec.json.decode(draft)
    except (msgspec.MsgspecError, RecursionError) as exc:
        raise Malformed(f"not JSON: {exc}") from exc
    root = _object(raw, "draft", {"default", "routes", "rules", "teams"})
    routes = {
        name: _route(checked(name, "routes"), one, None if published else granted)
        for name, one in _named(root.get("routes"), "routes").items()
    }
    _count("routes", len(routes), budget.routes)
    _count("servers", sum(len(r.servers) for r in routes.values()), budget.route_servers)
    default = _text(root.get("default", ""), "default")
    if default not in routes:
        raise Foreign(f"default: no such route of yours: {default!r}")
    for route in routes.values():
        if route.fallback and route.fallback not in routes:
            raise Foreign(f"routes.{route.name}.fall_back: no such route of yours: {route.fallback!r}")
    _no_circle(routes)
    rules = _rules(root.get("rules"), "rules", routes, EVERYTHING, "")
    for team, one in _named(root.get("teams"), "teams").items():
        path = f"teams.{checked(team, 'teams')}"
        said = _object(one, path, {"match", "rules"})
        inside = _match(said.get("match", {}), f"{path}.match")
        rules += _rules(said.get("rules"), f"{path}.rules", routes, inside, team)
    _count("rules", len(rules), budget.rules)
    _count("words", sum(_words(r.match) for r in rules), budget.words)
    return Namespace(routes, RuleTable(rules, default, budget.steps, budget.table_bytes, published), default)


def _count(what: str, there: int, granted: int) -> None:
    if there > granted:
        raise OverBudget(f"{there} {what}; {granted} are granted")


def _object(raw: Any, path: str, known: set[str]) -> dict[str, Any]:
    if not isinstance(raw, dict):
        raise Malformed(f"{path}: expected an object")
    if odd := sorted(set(raw) - known):
        raise Malformed(f"{path}.{odd[0]}: no such key; known are {', '.join(sorted(known))}")
    return raw


def _named(raw: Any, path: str) -> dict[str, Any]:
    if raw is None:
        return {}
    if not isinstance(raw, dict):
        raise Malformed(f"{path}: expected an object of names")
    return raw


def _text(raw: Any, path: str) -> str:
    if not isinstance(raw, str):
        raise Malformed(f"{path}: expected a name, got {raw!r}")
    return raw


def _whole(raw: Any, path: str, least: int, most: int) -> int:
    if isinstance(raw, bool) or not isinstance(raw, int) or not least <= raw <= most:
        raise Malformed(f"{path}: expected a whole number from {least} to {most}, got {raw!r}")
    return raw


def _route(name: str, raw: Any, granted: Granted | None) -> Route:
    path = f"routes.{name}"
    said = _object(raw, path, {"servers", "pool", "limit", "tries", "fall_back"})
    servers = tuple(
        sorted(
            (s, _whole(w, f"{path}.servers.{s}", 0, MAX_WEIGHT))
            for s, w in _named(said.get("servers"), f"{path}.servers").items()
        )
    )
    pool = _text(said.get("pool", ""), f"{path}.pool")
    if bool(servers) == bool(pool):
        raise Malformed(f"{path}: expected servers or a pool, one of them")
    if granted is not None:
        for server, _ in servers:
            if server not in granted.servers:
                raise Foreign(f"{path}.servers: no server of yours: {server!r}")
        if pool and pool not in granted.pools:
            raise Foreign(f"{path}.pool: not granted to you: {pool!r}")
    fall_back = _text(said.get("fall_back", ""), f"{path}.fall_back")
    return Route(
        name,
        servers,
        pool,
        _whole(said.get("limit", 0), f"{path}.limit", 0, 1_000_000),
        _whole(said.get("tries", 1), f"{path}.tries", 1, 5),
        fall_back,
    )


def _no_circle(routes: Mapping[str, Route]) -> None:
    for name in sorted(routes):
        seen = [name]
        while (then := routes[seen[-1]].fallback) and then not in seen:
            seen.append(then)
        if then == name:
            raise Circular(f"routes: {' falls back to '.join([*seen, name])}")


def _rules(raw: Any, path: str, routes: Mapping[str, Route], inside: Match, team: str) -> list[Rule]:
    made = []
    for name, one in _named(raw, path).items():
        here = f"{path}.{checked(name, path)}"
        said = _object(one, here, {"match", "to", "split", "refuse"})
        match = _meet(_match(said.get("match", {}), f"{here}.match"), inside)
        made.append(Rule(name, match, _outcome(said, here, routes), team))
    return made


def _outcome(said: Mapping[str, Any], path: str, routes: Mapping[str, Route]) -> Outcome:
    kinds = [k for k in ("to", "split", "refuse") if k in said]
    if len(kinds) != 1:
        raise Malformed(f"{path}: expected one of to, split, refuse")
    value = said[kinds[0]]
    if kinds[0] == "refuse":
        if not isinstance(value, str) or not 0 < len(value) <= MAX_REASON_LENGTH:
            raise Malformed(f"{path}.refuse: expected a reason of 1 to {MAX_REASON_LENGTH} characters")
        return Reject(value)
    weights = (
        {value: 1} if kinds[0] == "to" and isinstance(value, str) else _named(value, f"{path}.{kinds[0]}")
    )
    for name, weight in weights.items():
        if name not in routes:
            raise Foreign(f"{path}.{kinds[0]}: no such route of yours: {name!r}")
        _whole(weight, f"{path}.split.{name}", 0, MAX_WEIGHT)
    if kinds[0] == "to":
        if not isinstance(value, str):
            raise Malformed(f"{path}.to: expected the name of a route")
        return RouteTo(value)
    if not any(weights.values()):
        raise Malformed(f"{path}.split: expected a weight above 0")
    return Split(tuple(sorted(weights.items())))


def _match(raw: Any, path: str) -> Match:
    said = _object(raw, path, {"key", "class", "caller", "subject", "rank"})
    return Match(
        _strings(said, "key", path),
        _numbers(said, "subject", path, -1, MAX_NUMBER, ALL_NUMBERS),
        _numbers(said, "caller", path, -1, MAX_NUMBER, ALL_NUMBERS),
        _strings(said, "class", path),
        _numbers(said, "rank", path, 0, 1, ALL_RANKS),
    )


def _strings(said: Mapping[str, Any], name: str, path: str) -> StringSet:
    if name not in said:
        return ALL_STRINGS
    listed = said[name]
    if not isinstance(listed, list) or not all(isinstance(w, str) and len(w) <= 256 for w in listed):
        raise Malformed(
            f"{path}.{name}: expected a list of strings of at most 256 characters; a last * is a prefix"
        )
    return StringSet.of(
        [w for w in listed if not w.endswith("*")], [w[:-1] for w in listed if w.endswith("*")]
    )


def _numbers(
    said: Mapping[str, Any], name: str, path: str, least: float, most: float, every: NumberRanges
) -> NumberRanges:
    if name not in said:
        return every
    parts = said[name]
    if not isinstance(parts, list) or not all(
        isinstance(p, list)
        and len(p) == 2
        and all(isinstance(n, (int, float)) and not isinstance(n, bool) and least <= n <= most for n in p)
        for p in parts
    ):
        raise Malformed(f"{path}.{name}: expected a list of [from, to], from {least:g} to {most:g}")
    return NumberRanges.of([(float(a), float(b)) for a, b in parts])


def _meet(a: Match, b: Match) -> Match:
    if b is EVERYTHING:
        return a
    return Match(
        a.key.intersect(b.key),
        a.subject.intersect(b.subject),
        a.caller.intersect(b.caller),
        a.class_name.intersect(b.class_name),
        a.rank.intersect(b.rank),
    )


def _words(match: Match) -> int:
    return sum(
        len(p.prefixes) + len(p.words) if isinstance(p, StringSet) else len(p.parts) for p in match.parts()
    )
