"""Routing decision of a customer's rules for one request.

The decision is made when the request is read and does not change until the request is answered.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from ..namespaces.current_revisions import Revision
from ..namespaces.rules import RequestAttributes


class RouteKey(NamedTuple):
    """Identifies a route of a customer; `incarnation` is the one of the customer's namespace."""

    # The incarnation is a part of the key, so that a namespace that is deleted and created again starts without the
    # load balancing state of the earlier one.

    customer: str
    incarnation: int
    route: str


@dataclass(frozen=True, slots=True)
class Hop:
    """One route as the customer defined it. The grants at the time of a call determine which servers are used.

    Attributes:
        route: Name of the route.
        servers: Server names with weights; empty if the route uses a pool.
        pool: Name of the pool; "" if the route uses servers.
        max_in_flight: Maximum calls in flight from this runner; 0 for no limit.
        max_attempts: Maximum attempts of one call on this hop.
    """

    route: str
    servers: tuple[tuple[str, int], ...]
    pool: str
    max_in_flight: int
    max_attempts: int


@dataclass(frozen=True, slots=True)
class RoutePath:
    """The hops that the calls of one request may take, in order. Each hop is the fallback of the previous one."""

    customer: str
    incarnation: int
    hops: tuple[Hop, ...]

    def key_of(self, hop: Hop) -> RouteKey:
        """Return the key of the hop's route."""
        return RouteKey(self.customer, self.incarnation, hop.route)


@dataclass(frozen=True, slots=True)
class RoutingDecision:
    """A customer's decision on one request; has the attributes of `core.routes.Ruling`.

    Attributes:
        revision_id: Revision of the rules, as incarnation and number.
        rule: Label of the rule that matched; "" for the customer's default.
        refusal: Reason if the request is rejected, else "".
        path: Path of the request's calls; None if the request is rejected.
    """

    revision_id: tuple[int, int]
    rule: str
    refusal: str
    path: RoutePath | None


def decide_route(revision: Revision, request: RequestAttributes) -> RoutingDecision:
    """Apply a revision of a customer's rules to one request."""
    decision, routes = revision.decide(request)
    label = "" if decision.rule is None else decision.rule.label
    if decision.route is None:
        return RoutingDecision(revision.revision_id, label, decision.reason, None)
    hops = tuple(
        Hop(route.name, route.servers, route.pool, route.max_in_flight, route.max_attempts)
        for route in routes
    )
    path = RoutePath(revision.customer, revision.revision_id[0], hops)
    return RoutingDecision(revision.revision_id, label, "", path)
