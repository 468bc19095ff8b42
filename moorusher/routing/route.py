"""What a customer's rules decide of one request. It is decided when the request is read, and holds until its answer."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from ..namespaces.current_revisions import Revision
from ..namespaces.rules import RequestAttributes


class RouteKey(NamedTuple):
    """Tells one route of one customer apart.

    `incarnation` is the namespace's: what calls on an earlier one's routes have met is not this one's.
    """

    customer: str
    incarnation: int
    route: str


@dataclass(frozen=True, slots=True)
class Hop:
    """One route as the customer wrote it. The grants at the time of a call decide which of its servers count.

    route: its name.
    servers: names with weights; none where it is a pool.
    pool: the pool's name, "" where it is servers.
    max_in_flight: calls at a time from this runner; 0 for no limit.
    max_attempts: of one call on this hop.
    """

    route: str
    servers: tuple[tuple[str, int], ...]
    pool: str
    max_in_flight: int
    max_attempts: int


@dataclass(frozen=True, slots=True)
class RoutePath:
    """The hops that the calls of one request may take, in order; each after the first is the fallback of the last."""

    customer: str
    incarnation: int
    hops: tuple[Hop, ...]

    def key_of(self, hop: Hop) -> RouteKey:
        """Return the key of the hop's route."""
        return RouteKey(self.customer, self.incarnation, hop.route)


@dataclass(frozen=True, slots=True)
class RoutingDecision:
    """A customer's decision on one request; revision_id, refusal and path are those of `core.routes.Ruling`.

    revision_id: the revision of the rules, as incarnation and number.
    rule: the label of the rule that decided, "" for the customer's default.
    refusal: the reason where the request is rejected, else "".
    path: where its calls go; None where it is rejected.
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
