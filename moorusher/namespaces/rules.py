"""A customer's rules as values: what each matches, and what follows where it does."""

from __future__ import annotations

from dataclasses import dataclass, fields

from .sets import ALL_NUMBERS, ALL_RANKS, ALL_STRINGS, NumberRanges, Part, Size, StringSet


@dataclass(frozen=True, slots=True)
class RequestAttributes:
    """Of a request, what rules may look at. -1 for no subject, "" for no key. `spread`: what splits go by where there
    is no key; no rule sees it."""

    class_name: str
    caller: int = -1
    subject: int = -1
    rank: float = 0.0
    key: str = ""
    spread: str = ""


@dataclass(frozen=True, slots=True)
class Match:
    """All of them must hold. In the order in which they count for how specific a rule is."""

    key: StringSet = ALL_STRINGS
    subject: NumberRanges = ALL_NUMBERS
    caller: NumberRanges = ALL_NUMBERS
    class_name: StringSet = ALL_STRINGS
    rank: NumberRanges = ALL_RANKS

    def parts(self) -> tuple[Part, ...]:
        return self.key, self.subject, self.caller, self.class_name, self.rank

    def __contains__(self, asked: object) -> bool:
        return isinstance(asked, RequestAttributes) and all(
            getattr(asked, name) in getattr(self, name) for name in DIMENSIONS
        )

    def sizes(self) -> tuple[Size, ...]:
        """Compared as a whole: the smaller, the more specific. One match that strictly holds another is larger, as none
        of its parts is smaller and one is larger."""
        return tuple(part.size() for part in self.parts())


DIMENSIONS = tuple(f.name for f in fields(Match))


@dataclass(frozen=True, slots=True)
class RouteTo:
    """A route of this customer's."""

    route: str


@dataclass(frozen=True, slots=True)
class Split:
    """Of several routes, by weight; the same key goes the same way, as long as the weights stay."""

    routes: tuple[tuple[str, int], ...]


@dataclass(frozen=True, slots=True)
class Reject:
    """A rule's word that a request is turned away, with the reason that its client reads."""

    reason: str


Outcome = RouteTo | Split | Reject


@dataclass(frozen=True, slots=True)
class Rule:
    """`team`: narrower than the customer as a whole; inside what the team is for, its rules go first."""

    name: str
    match: Match
    outcome: Outcome
    team: str = ""

    @property
    def label(self) -> str:
        return f"{self.team}/{self.name}" if self.team else self.name

    def order(self) -> tuple[bool, tuple[Size, ...]]:
        return not self.team, self.match.sizes()
