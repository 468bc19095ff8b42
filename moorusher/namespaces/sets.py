"""The sets that rules are made of: strings by prefix or one by one, and numbers by range.

`size` orders them by how specific they are: of two of which one strictly holds the other, the inner one is smaller.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from fractions import Fraction

ALPHABET = 0x110000  # characters
Size = tuple[Fraction, int]


@dataclass(frozen=True, slots=True)
class StringSet:
    """Strings that begin with one of `prefixes` (the empty one: all strings), and those in `words`. Normal: no prefix
    begins with another, and no word with a prefix."""

    prefixes: frozenset[str] = frozenset()
    words: frozenset[str] = frozenset()

    @classmethod
    def of(cls, words: Iterable[str] = (), prefixes: Iterable[str] = ()) -> StringSet:
        outer: set[str] = set()
        for p in sorted(prefixes, key=len):
            if not any(p[:n] in outer for n in range(len(p) + 1)):
                outer.add(p)
        return cls(
            frozenset(outer),
            frozenset(w for w in words if not any(w[:n] in outer for n in range(len(w) + 1))),
        )

    def __contains__(self, word: object) -> bool:
        return isinstance(word, str) and (
            word in self.words or any(word.startswith(p) for p in self.prefixes)
        )

    def intersect(self, other: StringSet) -> StringSet:
        prefixes = {p for p in self.prefixes if any(p.startswith(o) for o in other.prefixes)} | {
            o for o in other.prefixes if any(o.startswith(p) for p in self.prefixes)
        }
        return StringSet.of(
            {w for w in self.words if w in other} | {w for w in other.words if w in self}, prefixes
        )

    def size(self) -> Size:
        """(share of all strings that the prefixes hold, single words)."""
        return sum((Fraction(1, ALPHABET ** len(p)) for p in self.prefixes), Fraction()), len(self.words)


@dataclass(frozen=True, slots=True)
class NumberRanges:
    """Numbers from the first of each pair up to, and without, the second. Normal: in order, apart from each other."""

    parts: tuple[tuple[float, float], ...] = ()

    @classmethod
    def of(cls, parts: Iterable[tuple[float, float]]) -> NumberRanges:
        made: list[tuple[float, float]] = []
        for low, high in sorted(p for p in parts if p[0] < p[1]):
            if made and low <= made[-1][1]:
                made[-1] = made[-1][0], max(high, made[-1][1])
            else:
                made.append((low, high))
        return cls(tuple(made))

    def __contains__(self, number: object) -> bool:
        return isinstance(number, (int, float)) and any(low <= number < high for low, high in self.parts)

    def intersect(self, other: NumberRanges) -> NumberRanges:
        return NumberRanges.of((max(a, c), min(b, d)) for a, b in self.parts for c, d in other.parts)

    def size(self) -> Size:
        return sum((Fraction(b) - Fraction(a) for a, b in self.parts), Fraction()), 0


MAX_NUMBER = float(1 << 53)
ALL_STRINGS = StringSet(frozenset([""]))
ALL_NUMBERS = NumberRanges(((-1.0, MAX_NUMBER),))  # callers, subjects; -1 is a request without one
ALL_RANKS = NumberRanges(((0.0, 1.0),))
Part = StringSet | NumberRanges
