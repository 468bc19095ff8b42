"""A customer's rules as values: which requests each matches, and its outcome."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from .sets import ALL_NUMBERS, ALL_RANKS, ALL_STRINGS, AttributeSet, NumberRanges, SetSize, StringSet


@dataclass(frozen=True, slots=True)
class RequestAttributes:
    """What rules may look at of a request.

    class_name: of the request.
    caller: its number; -1 for none.
    subject: its number; -1 for none.
    rank: its priority, from 0 up to, without, 1.
    key: the idempotency key, "" for none.
    spread: what splits go by where there is no key; no rule looks at it.
    """

    class_name: str
    caller: int = -1
    subject: int = -1
    rank: float = 0.0
    key: str = ""
    spread: str = ""


# The attributes that matchers look at, the most important for how specific a rule is first.
DIMENSIONS = ("key", "subject", "caller", "class_name", "rank")


@dataclass(frozen=True, slots=True)
class Matcher:
    """The predicate of a rule: sets that a request's attributes must all be in. Fields are `DIMENSIONS`, in order."""

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
        """Return what orders matchers: the smaller is the more specific.

        A matcher that strictly contains another is larger: none of its sets is smaller, and one is larger.
        """
        return tuple(allowed.size() for allowed in self.attribute_sets())

    def intersect(self, other: Matcher) -> Matcher:
        """Return the matcher of the requests that both match."""
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
    """Calls take this route of the customer's."""

    route: str


@dataclass(frozen=True, slots=True)
class Split:
    """Calls take one of several routes, by weight; the same key takes the same one as long as the weights stay.

    routes: names with weights, sorted by name.
    """

    routes: tuple[tuple[str, int], ...]


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """The request is rejected; its client gets the reason."""

    reason: str


Outcome = RouteTo | Split | RejectRequest


class Precedence(NamedTuple):
    """Orders rules: of two that match, the one with the smaller precedence decides.

    customer_wide: whether it is no team's; rules of teams go first.
    specificity: of its matcher.
    """

    customer_wide: bool
    specificity: tuple[SetSize, ...]


@dataclass(frozen=True, slots=True)
class Rule:
    """One rule of a customer.

    matcher: which requests it is for.
    outcome: what is decided of them.
    team: the part of the customer that it belongs to, "" for the whole; rules of teams go first.
    """

    name: str
    matcher: Matcher
    outcome: Outcome
    team: str = ""

    @property
    def label(self) -> str:
        """The name, with that of the team."""
        return f"{self.team}/{self.name}" if self.team else self.name

    def precedence(self) -> Precedence:
        """Return what orders this rule among others."""
        return Precedence(not self.team, self.matcher.specificity())
