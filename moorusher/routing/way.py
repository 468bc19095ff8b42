"""What a request was told by its customer's rules when it was read, and keeps until its final answer."""

from __future__ import annotations

from dataclasses import dataclass

from ..namespaces.customers import Revision
from ..namespaces.rules import Asked


@dataclass(frozen=True, slots=True)
class Hop:
    """One route as it was written: servers by name with their weights, or a pool. What is granted when a call is made
    decides which of them there are."""

    route: str
    servers: tuple[tuple[str, int], ...]
    pool: str
    limit: int  # calls at a time from this runner; 0 for none
    tries: int


@dataclass(frozen=True, slots=True)
class Way:
    """The hops that the calls of one request may take, in their order."""

    customer: str
    born: int  # the incarnation of the namespace: what an earlier one's routes have learnt is not this one's
    hops: tuple[Hop, ...]


@dataclass(frozen=True, slots=True)
class Ruling:
    """`core.routes.Ruling`. `at`: the revision; `rule`: what decided, "" for the customer's default."""

    at: tuple[int, int]
    rule: str
    refusal: str  # the reason, where it is turned away
    way: Way | None


def rule(revision: Revision, asked: Asked) -> Ruling:
    """What a revision says of one request."""
    decision, routes = revision.decide(asked)
    label = "" if decision.rule is None else decision.rule.label
    if decision.route is None:
        return Ruling(revision.at, label, decision.reason, None)
    hops = tuple(Hop(r.name, r.servers, r.pool, r.limit, r.tries) for r in routes)
    return Ruling(revision.at, label, "", Way(revision.customer, revision.at[0], hops))
