"""Parsing of a customer's draft into rules and routes, with checks of its budget and of the names it may use.

    {"default": "main",
     "routes": {"main": {"servers": {"s1": 1}, "limit": 50, "tries": 2, "fall_back": "spare"},
                "spare": {"pool": "shared"}},
     "rules": {"eu": {"match": {"key": ["eu-*"], "class": ["submit"], "caller": [[0, 100]]}, "to": "main"},
               "new": {"match": {"rank": [[0, 0.5]]}, "split": {"main": 9, "spare": 1}},
               "no": {"match": {"class": ["admin"]}, "refuse": "not from here"}},
     "teams": {"lab": {"match": {"key": ["lab-*"]}, "rules": {...}}}}

A draft does not name its customer, and can't refer to another customer's routes or servers. It can name a shared pool
only if the platform has granted that pool, and by the name in the grant.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

import msgspec

from .draft_rules import MAX_WEIGHT, parse_matcher, parse_rules
from .draft_values import read_integer, read_mapping, read_name, read_object
from .errors import BudgetExceededError, MalformedInputError, NotGrantedError
from .names import require_name
from .namespace import Namespace, Route, check_fallbacks_end
from .policy import Budget, Grant
from .rule_table import RuleTable, TableLimits
from .rules import Rule

MAX_ROUTE_IN_FLIGHT = 1_000_000
MAX_ROUTE_ATTEMPTS = 5


def parse_draft(draft: bytes, grant: Grant | None) -> Namespace:
    """Parse a draft and check it against a grant.

    :param grant: None for a published draft, which was checked at publication. Routing skips its servers and pools
        that this runner's settings do not grant.
    :raises NamespaceError: one of `errors.ERRORS`; its text names the invalid part.
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
        for name, raw_route in read_mapping(raw, "routes").items()
    }
    if grant is not None:
        _check_count("routes", len(routes), grant.budget.max_routes)
        servers = sum(len(route.servers) for route in routes.values())
        _check_count("servers", servers, grant.budget.max_route_servers)
    return routes


def _parse_route(name: str, raw: Any, grant: Grant | None) -> Route:
    path = f"routes.{name}"
    values = read_object(raw, path, {"servers", "pool", "limit", "tries", "fall_back"})
    weights = read_mapping(values.get("servers"), f"{path}.servers")
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
    """Check that the default and all fallbacks are routes of the draft, and that fallbacks form no cycle."""
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
    for team, raw_team in read_mapping(raw, "teams").items():
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


def _check_count(item_name: str, count: int, granted: int) -> None:
    if count > granted:
        raise BudgetExceededError(f"{count} {item_name}; {granted} are granted")
