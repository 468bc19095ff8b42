"""A customer's rules as values: what each matches, and what follows where it does."""

from __future__ import annotations

from dataclasses import dataclass, fields

from .sets import EVERY_NUMBER, EVERY_RANK, EVERY_WORD, Part, Ranges, Size, Words


@dataclass(frozen=True, slots=True)
class Asked:
    """Of a request, what rules may look at. -1 for no subject, "" for no key. `spread`: what splits go by where there
    is no key; no rule sees it."""

    klass: str
    caller: int = -1
    subject: int = -1
    rank: float = 0.0
    key: str = ""
    spread: str = ""


@dataclass(frozen=True, slots=True)
class Match:
    """All of them must hold. In the order in which they count for how specific a rule is."""

    key: Words = EVERY_WORD
    subject: Ranges = EVERY_NUMBER
    caller: Ranges = EVERY_NUMBER
    klass: Words = EVERY_WORD
    rank: Ranges = EVERY_RANK

    def parts(self) -> tuple[Part, ...]:
        return self.key, self.subject, self.caller, self.klass, self.rank

    def __contains__(self, asked: object) -> bool:
        return isinstance(asked, Asked) and all(
            getattr(asked, name) in getattr(self, name) for name in DIMENSIONS
        )

    def sizes(self) -> tuple[Size, ...]:
        """Compared as a whole: the smaller, the more specific. One match that strictly holds another is larger, as none
        of its parts is smaller and one is larger."""
        return tuple(part.size() for part in self.parts())


DIMENSIONS = tuple(f.name for f in fields(Match))


@dataclass(frozen=True, slots=True)
class To:
    """A route of this customer's."""

    route: str


@dataclass(frozen=True, slots=True)
class Split:
    """Of several routes, by weight; the same key goes the same way, as long as the weights stay."""

    routes: tuple[tuple[str, int], ...]


@dataclass(frozen=True, slots=True)
class Refuse:
    """A rule's word that a request is turned away, with the reason that its client reads."""

    reason: str


Outcome = To | Split | Refuse


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
