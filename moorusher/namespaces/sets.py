"""The sets that rules are made of: strings by prefix or one by one, and numbers by range.

`size` orders them by how specific they are: of two of which one strictly holds the other, the inner one is smaller.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from fractions import Fraction

ALPHABET = 0x110000  # characters that a string may consist of
Size = tuple[Fraction, int]


@dataclass(frozen=True, slots=True)
class StringSet:
    """A set of strings, in normal form: no prefix begins with another one, and no word with a prefix.

    prefixes: all strings that begin with one of them are in the set; "" is for all strings.
    words: single strings in the set.
    """

    prefixes: frozenset[str] = frozenset()
    words: frozenset[str] = frozenset()

    @classmethod
    def of(cls, words: Iterable[str] = (), prefixes: Iterable[str] = ()) -> StringSet:
        """Return the set in normal form."""
        outer: set[str] = set()

        def is_covered(text: str) -> bool:
            return any(text[:length] in outer for length in range(len(text) + 1))

        for prefix in sorted(prefixes, key=len):
            if not is_covered(prefix):
                outer.add(prefix)
        return cls(frozenset(outer), frozenset(word for word in words if not is_covered(word)))

    def __contains__(self, word: object) -> bool:
        return isinstance(word, str) and (
            word in self.words or any(word.startswith(prefix) for prefix in self.prefixes)
        )

    def intersect(self, other: StringSet) -> StringSet:
        """Return the strings that are in both."""
        prefixes = self._prefixes_within(other) | other._prefixes_within(self)
        words = {word for word in self.words if word in other} | {
            word for word in other.words if word in self
        }
        return StringSet.of(words, prefixes)

    def _prefixes_within(self, other: StringSet) -> set[str]:
        return {
            prefix for prefix in self.prefixes if any(prefix.startswith(outer) for outer in other.prefixes)
        }

    def size(self) -> Size:
        """Return the part of all strings that the prefixes cover, and the number of single words."""
        covered = sum((Fraction(1, ALPHABET ** len(prefix)) for prefix in self.prefixes), Fraction())
        return covered, len(self.words)


@dataclass(frozen=True, slots=True)
class NumberRanges:
    """A set of numbers, in normal form: in order, without parts that touch.

    parts: pairs of numbers; from the first up to, without, the second.
    """

    parts: tuple[tuple[float, float], ...] = ()

    @classmethod
    def of(cls, parts: Iterable[tuple[float, float]]) -> NumberRanges:
        """Return the set in normal form."""
        merged: list[tuple[float, float]] = []
        for low, high in sorted(part for part in parts if part[0] < part[1]):
            if merged and low <= merged[-1][1]:
                merged[-1] = (merged[-1][0], max(high, merged[-1][1]))
            else:
                merged.append((low, high))
        return cls(tuple(merged))

    def __contains__(self, number: object) -> bool:
        return isinstance(number, (int, float)) and any(low <= number < high for low, high in self.parts)

    def intersect(self, other: NumberRanges) -> NumberRanges:
        """Return the numbers that are in both."""
        return NumberRanges.of(
            (max(low, other_low), min(high, other_high))
            for low, high in self.parts
            for other_low, other_high in other.parts
        )

    def size(self) -> Size:
        """Return the length of all parts together; the second figure is for comparison with other sets' alone."""
        return sum((Fraction(high) - Fraction(low) for low, high in self.parts), Fraction()), 0


MAX_NUMBER = float(1 << 53)
ALL_STRINGS = StringSet(frozenset([""]))
ALL_NUMBERS = NumberRanges(((-1.0, MAX_NUMBER),))  # callers, subjects; -1 is a request without one
ALL_RANKS = NumberRanges(((0.0, 1.0),))
Part = StringSet | NumberRanges
