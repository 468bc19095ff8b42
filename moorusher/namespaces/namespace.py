"""A parsed draft: a customer's routes and the table of its rules."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from .errors import CircularFallbackError
from .rule_table import RuleTable


@dataclass(frozen=True, slots=True)
class Route:
    """A destination of calls: either servers of the customer's own or one granted pool.

    Attributes:
        servers: Names and weights of the servers, sorted by name; empty if the route uses a pool.
        pool: Name of the pool; empty if the route uses servers.
        max_in_flight: Maximum number of concurrent calls; 0 for no limit.
        max_attempts: Maximum number of attempts of one call.
        fallback: Name of the route to use if this one fails; empty for none.
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

    Attributes:
        routes: Routes by name.
        table: Table of the rules.
        default: Name of the route for requests that no rule matches.
    """

    routes: Mapping[str, Route]
    table: RuleTable
    default: str

    def fallback_chain(self, route: str) -> tuple[Route, ...]:
        """Return the route and its fallbacks, in the order in which they are tried."""
        chain: list[Route] = []
        while route:
            chain.append(self.routes[route])
            route = chain[-1].fallback
        return tuple(chain)


def check_fallbacks_end(routes: Mapping[str, Route]) -> None:
    """Check that no route falls back to itself.

    :raises CircularFallbackError: a route does, directly or through other routes.
    """
    for name in sorted(routes):
        chain = [name]
        while (fallback := routes[chain[-1]].fallback) and fallback not in chain:
            chain.append(fallback)
        if fallback == name:
            raise CircularFallbackError(f"routes: {' falls back to '.join([*chain, name])}")
