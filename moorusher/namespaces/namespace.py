"""The meaning of one draft: a customer's routes, and the table of its rules."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from .errors import CircularFallbackError
from .rule_table import RuleTable


@dataclass(frozen=True, slots=True)
class Route:
    """Where calls go: servers of the customer's own, or one pool.

    servers: names with weights, sorted by name; none where it is a pool.
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
    """A customer's rules and routes.

    routes: by name.
    table: the rules.
    default: the route where no rule matches.
    """

    routes: Mapping[str, Route]
    table: RuleTable
    default: str

    def fallback_chain(self, route: str) -> tuple[Route, ...]:
        """Return the route and its fallbacks, in order."""
        chain: list[Route] = []
        while route:
            chain.append(self.routes[route])
            route = chain[-1].fallback
        return tuple(chain)


def check_fallbacks_end(routes: Mapping[str, Route]) -> None:
    """Check that no route falls back to itself.

    :raises CircularFallbackError: one does, directly or by others.
    """
    for name in sorted(routes):
        chain = [name]
        while (fallback := routes[chain[-1]].fallback) and fallback not in chain:
            chain.append(fallback)
        if fallback == name:
            raise CircularFallbackError(f"routes: {' falls back to '.join([*chain, name])}")
