"""A customer's rules as values: what each matches, and what follows where it does."""

from __future__ import annotations

from dataclasses import dataclass, fields

from .sets import ALL_NUMBERS, ALL_RANKS, ALL_STRINGS, NumberRanges, Part, Size, StringSet


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


@dataclass(frozen=True, slots=True)
class Match:
    """The sets that a request's attributes must all be in, the most important for how specific a rule is first."""

    key: StringSet = ALL_STRINGS
    subject: NumberRanges = ALL_NUMBERS
    caller: NumberRanges = ALL_NUMBERS
    class_name: StringSet = ALL_STRINGS
    rank: NumberRanges = ALL_RANKS

    def parts(self) -> tuple[Part, ...]:
        """Return the sets in order."""
        return self.key, self.subject, self.caller, self.class_name, self.rank

    def __contains__(self, asked: object) -> bool:
        return isinstance(asked, RequestAttributes) and all(
            getattr(asked, name) in getattr(self, name) for name in DIMENSIONS
        )

    def sizes(self) -> tuple[Size, ...]:
        """Return what orders matches: the smaller is the more specific.

        A match that strictly contains another is larger: none of its parts is smaller, and one is larger.
        """
        return tuple(part.size() for part in self.parts())


DIMENSIONS = tuple(f.name for f in fields(Match))


@dataclass(frozen=True, slots=True)
class RouteTo:
    """Calls take this route of the customer's."""

    route: str


@dataclass(frozen=True, slots=True)
class Split:
    """Calls take one of several routes, by weight; the same key takes the same one as long as the weights stay."""

    routes: tuple[tuple[str, int], ...]


@dataclass(frozen=True, slots=True)
class Reject:
    """The request is rejected; its client gets the reason."""

    reason: str


Outcome = RouteTo | Split | Reject


@dataclass(frozen=True, slots=True)
class Rule:
    """One rule of a customer.

    match: which requests it is for.
    outcome: what is decided of them.
    team: the part of the customer that it belongs to, "" for the whole; rules of teams go first.
    """

    name: str
    match: Match
    outcome: Outcome
    team: str = ""

    @property
    def label(self) -> str:
        """The name, with that of the team."""
        return f"{self.team}/{self.name}" if self.team else self.name

    def order(self) -> tuple[bool, tuple[Size, ...]]:
        """Return the rank: of two rules that match, the one with the smaller rank decides."""
        return not self.team, self.match.sizes()
