"""A customer's draft as it is written, parsed into rules and routes; what it may cost; what it may name.

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

from collections.abc import Mapping, Sequence
from typing import Any

import msgspec

from .draft_rules import MAX_WEIGHT, parse_matcher, parse_rules
from .draft_values import read_by_name, read_integer, read_name, read_object
from .errors import BudgetExceededError, MalformedInputError, NotGrantedError
from .names import require_name
from .namespace import Namespace, Route, check_fallbacks_end
from .policy import Budget, Grant
from .rule_table import RuleTable, TableLimits
from .rules import Rule

MAX_ROUTE_IN_FLIGHT = 1_000_000
MAX_ROUTE_ATTEMPTS = 5


def parse_draft(draft: bytes, grant: Grant | None) -> Namespace:
    """Parse a draft, and check it against what is granted.

    `grant` is None for a published draft, which was checked then: what it names that is not granted here, or no
    longer, is skipped by routing.

    :raises NamespaceError: one of `errors.ERRORS`, with the path of what is wrong.
    """
    if grant is not None:
        _check_size(draft, grant.budget)
    root = read_object(_decode(draft), "draft", {"default", "routes", "rules", "teams"})
    routes = _parse_routes(root.get("routes"), grant)
    default = read_name(root.get("default", ""), "default")
    _check_references(routes, default)
    rules = parse_rules(root.get("rules"), "rules", routes)
    rules += _parse_teams(root.get("teams"), routes)
    limits = None
    if grant is not None:
        _check_rule_count(rules, grant.budget)
        limits = TableLimits(grant.budget.max_check_steps, grant.budget.max_table_bytes)
    return Namespace(routes, RuleTable(rules, default, limits), default)


def _decode(draft: bytes) -> Any:
    try:
        return msgspec.json.decode(draft)
    except (msgspec.MsgspecError, RecursionError) as exc:
        raise MalformedInputError(f"not JSON: {exc}") from exc


def _parse_routes(raw: Any, grant: Grant | None) -> dict[str, Route]:
    routes = {
        name: _parse_route(require_name(name, "routes"), raw_route, grant)
        for name, raw_route in read_by_name(raw, "routes").items()
    }
    if grant is not None:
        _check_count("routes", len(routes), grant.budget.max_routes)
        servers = sum(len(route.servers) for route in routes.values())
        _check_count("servers", servers, grant.budget.max_route_servers)
    return routes


def _parse_route(name: str, raw: Any, grant: Grant | None) -> Route:
    path = f"routes.{name}"
    values = read_object(raw, path, {"servers", "pool", "limit", "tries", "fall_back"})
    weights = read_by_name(values.get("servers"), f"{path}.servers")
    servers = tuple(
        sorted(
            (server, read_integer(weight, f"{path}.servers.{server}", 0, MAX_WEIGHT))
            for server, weight in weights.items()
        )
    )
    pool = read_name(values.get("pool", ""), f"{path}.pool")
    if bool(servers) == bool(pool):
        raise MalformedInputError(f"{path}: expected servers or a pool, one of them")
    if grant is not None:
        _check_granted(path, weights, pool, grant)
    fallback = read_name(values.get("fall_back", ""), f"{path}.fall_back")
    max_in_flight = read_integer(values.get("limit", 0), f"{path}.limit", 0, MAX_ROUTE_IN_FLIGHT)
    max_attempts = read_integer(values.get("tries", 1), f"{path}.tries", 1, MAX_ROUTE_ATTEMPTS)
    return Route(name, servers, pool, max_in_flight, max_attempts, fallback)


def _check_granted(path: str, servers: Mapping[str, Any], pool: str, grant: Grant) -> None:
    for server in sorted(servers):
        if server not in grant.servers:
            raise NotGrantedError(f"{path}.servers: no server of yours: {server!r}")
    if pool and pool not in grant.pools:
        raise NotGrantedError(f"{path}.pool: not granted to you: {pool!r}")


def _check_references(routes: Mapping[str, Route], default: str) -> None:
    """Check that the default and all fallbacks are routes of the draft, and that fallbacks come to an end."""
    if default not in routes:
        raise NotGrantedError(f"default: no such route of yours: {default!r}")
    for route in routes.values():
        if route.fallback and route.fallback not in routes:
            raise NotGrantedError(
                f"routes.{route.name}.fall_back: no such route of yours: {route.fallback!r}"
            )
    check_fallbacks_end(routes)


def _parse_teams(raw: Any, routes: Mapping[str, Route]) -> list[Rule]:
    rules = []
    for team, raw_team in read_by_name(raw, "teams").items():
        path = f"teams.{require_name(team, 'teams')}"
        values = read_object(raw_team, path, {"match", "rules"})
        scope = parse_matcher(values.get("match", {}), f"{path}.match")
        rules += parse_rules(values.get("rules"), f"{path}.rules", routes, scope, team)
    return rules


def _check_size(draft: bytes, budget: Budget) -> None:
    if len(draft) > budget.max_draft_bytes:
        raise BudgetExceededError(f"{len(draft)} bytes; {budget.max_draft_bytes} are granted")


def _check_rule_count(rules: Sequence[Rule], budget: Budget) -> None:
    _check_count("rules", len(rules), budget.max_rules)
    _check_count("words", sum(rule.matcher.member_count() for rule in rules), budget.max_set_members)


def _check_count(what: str, count: int, granted: int) -> None:
    if count > granted:
        raise BudgetExceededError(f"{count} {what}; {granted} are granted")
