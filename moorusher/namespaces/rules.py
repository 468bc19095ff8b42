"""Immutable values that represent a customer's rules: matchers and outcomes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from .sets import ALL_NUMBERS, ALL_RANKS, ALL_STRINGS, AttributeSet, NumberRanges, SetSize, StringSet


@dataclass(frozen=True, slots=True)
class RequestAttributes:
    """The attributes of a request that decide its route.

    Attributes:
        class_name: Name of the request class.
        caller: Number of the caller; -1 for none.
        subject: Number of the subject; -1 for none.
        rank: Priority in [0, 1).
        key: Idempotency key; empty for none.
        spread: Key by which splits choose a route if `key` is empty. Matchers do not use it.
    """

    class_name: str
    caller: int = -1
    subject: int = -1
    rank: float = 0.0
    key: str = ""
    spread: str = ""


# The attributes that matchers use. When two rules' specificity is compared, earlier attributes weigh more.
DIMENSIONS = ("key", "subject", "caller", "class_name", "rank")


@dataclass(frozen=True, slots=True)
class Matcher:
    """The predicate of a rule: each attribute of the request must be in the set of that attribute.

    The fields are `DIMENSIONS`, in that order.
    """

    key: StringSet = ALL_STRINGS
    subject: NumberRanges = ALL_NUMBERS
    caller: NumberRanges = ALL_NUMBERS
    class_name: StringSet = ALL_STRINGS
    rank: NumberRanges = ALL_RANKS

    def attribute_sets(self) -> tuple[AttributeSet, ...]:
        """Return the sets in the order of `DIMENSIONS`."""
        return self.key, self.subject, self.caller, self.class_name, self.rank

    def __contains__(self, request: object) -> bool:
        return isinstance(request, RequestAttributes) and all(
            getattr(request, name) in allowed
            for name, allowed in zip(DIMENSIONS, self.attribute_sets(), strict=True)
        )

    def specificity(self) -> tuple[SetSize, ...]:
        """Return a key that orders matchers: a smaller one is more specific.

        If a matcher strictly contains another, its key is larger: no set is smaller, and at least one is larger.
        """
        return tuple(allowed.size() for allowed in self.attribute_sets())

    def intersect(self, other: Matcher) -> Matcher:
        """Return the matcher of the requests that both matchers match."""
        return Matcher(
            self.key.intersect(other.key),
            self.subject.intersect(other.subject),
            self.caller.intersect(other.caller),
            self.class_name.intersect(other.class_name),
            self.rank.intersect(other.rank),
        )

    def member_count(self) -> int:
        """Return the number of strings, prefixes and ranges in all sets together."""
        return sum(
            len(allowed.prefixes) + len(allowed.literals)
            if isinstance(allowed, StringSet)
            else len(allowed.ranges)
            for allowed in self.attribute_sets()
        )


MATCH_ALL = Matcher()


@dataclass(frozen=True, slots=True)
class RouteTo:
    """Outcome: calls use one of the customer's routes."""

    route: str


@dataclass(frozen=True, slots=True)
class Split:
    """Outcome: calls use one of several routes, by weight. A key always gets the same route until weights change.

    Attributes:
        routes: Names and weights of the routes, sorted by name.
    """

    routes: tuple[tuple[str, int], ...]


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Outcome: the request is rejected, and its client receives the reason."""

    reason: str


Outcome = RouteTo | Split | RejectRequest


class Precedence(NamedTuple):
    """Sort key of rules. Of two matching rules, the one with the smaller precedence decides.

    Attributes:
        customer_wide: Whether the rule belongs to no team; rules of teams precede others.
        specificity: Specificity of the rule's matcher.
    """

    customer_wide: bool
    specificity: tuple[SetSize, ...]


@dataclass(frozen=True, slots=True)
class Rule:
    """One rule of a customer.

    Attributes:
        matcher: Predicate on requests.
        outcome: Decision for matching requests.
        team: Name of the team that the rule belongs to; empty for the whole customer. Rules of teams precede others.
    """

    name: str
    matcher: Matcher
    outcome: Outcome
    team: str = ""

    @property
    def label(self) -> str:
        """The rule's name, prefixed by that of its team."""
        return f"{self.team}/{self.name}" if self.team else self.name

    def precedence(self) -> Precedence:
        """Return the sort key of this rule."""
        return Precedence(not self.team, self.matcher.specificity())
