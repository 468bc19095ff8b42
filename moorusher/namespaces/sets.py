"""The sets that matchers are made of: strings by prefix or one by one, and numbers by range.

`size` orders them by how specific they are: where one set strictly contains another, the inner one is smaller.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from fractions import Fraction
from typing import NamedTuple

ALPHABET_SIZE = 0x110000  # characters that a string may consist of


class SetSize(NamedTuple):
    """How much a set contains; ordered.

    measure: the share of all strings under its prefixes, or the length of its ranges.
    literals: number of single strings, 0 for numbers.
    """

    measure: Fraction
    literals: int


@dataclass(frozen=True, slots=True)
class StringSet:
    """A set of strings, in normal form: no prefix begins with another one, and no literal with a prefix.

    prefixes: all strings that begin with one of them are in the set; "" is for all strings.
    literals: single strings in the set.
    """

    prefixes: frozenset[str] = frozenset()
    literals: frozenset[str] = frozenset()

    @classmethod
    def of(cls, literals: Iterable[str] = (), prefixes: Iterable[str] = ()) -> StringSet:
        """Return the set in normal form."""
        outer: set[str] = set()

        def is_covered(text: str) -> bool:
            return any(text[:length] in outer for length in range(len(text) + 1))

        for prefix in sorted(prefixes, key=len):
            if not is_covered(prefix):
                outer.add(prefix)
        return cls(frozenset(outer), frozenset(text for text in literals if not is_covered(text)))

    def __contains__(self, text: object) -> bool:
        return isinstance(text, str) and (
            text in self.literals or any(text.startswith(prefix) for prefix in self.prefixes)
        )

    def intersect(self, other: StringSet) -> StringSet:
        """Return the strings that are in both."""
        prefixes = self._prefixes_within(other) | other._prefixes_within(self)
        own_literals = {text for text in self.literals if text in other}
        other_literals = {text for text in other.literals if text in self}
        return StringSet.of(own_literals | other_literals, prefixes)

    def _prefixes_within(self, other: StringSet) -> set[str]:
        return {
            prefix for prefix in self.prefixes if any(prefix.startswith(outer) for outer in other.prefixes)
        }

    def size(self) -> SetSize:
        """Return the share of all strings that the prefixes cover, and the number of literals."""
        shares = (Fraction(1, ALPHABET_SIZE ** len(prefix)) for prefix in self.prefixes)
        return SetSize(sum(shares, Fraction()), len(self.literals))


class NumberRange(NamedTuple):
    """Numbers from `low` up to, without, `high`."""

    low: float
    high: float


@dataclass(frozen=True, slots=True)
class NumberRanges:
    """A set of numbers, in normal form: ranges in order, of which no two touch."""

    ranges: tuple[NumberRange, ...] = ()

    @classmethod
    def of(cls, ranges: Iterable[tuple[float, float]]) -> NumberRanges:
        """Return the set of all these ranges, each a low and a high number, in normal form."""
        merged: list[NumberRange] = []
        for low, high in sorted(one for one in ranges if one[0] < one[1]):
            if merged and low <= merged[-1].high:
                merged[-1] = NumberRange(merged[-1].low, max(high, merged[-1].high))
            else:
                merged.append(NumberRange(low, high))
        return cls(tuple(merged))

    def __contains__(self, number: object) -> bool:
        return isinstance(number, (int, float)) and any(low <= number < high for low, high in self.ranges)

    def intersect(self, other: NumberRanges) -> NumberRanges:
        """Return the numbers that are in both."""
        return NumberRanges.of(
            (max(low, other_low), min(high, other_high))
            for low, high in self.ranges
            for other_low, other_high in other.ranges
        )

    def size(self) -> SetSize:
        """Return the length of all ranges together."""
        lengths = (Fraction(high) - Fraction(low) for low, high in self.ranges)
        return SetSize(sum(lengths, Fraction()), 0)


MIN_NUMBER = -1.0  # of a request without a caller or subject
MAX_NUMBER = float(1 << 53)
ALL_STRINGS = StringSet(frozenset([""]))
ALL_NUMBERS = NumberRanges.of([(MIN_NUMBER, MAX_NUMBER)])  # callers, subjects
ALL_RANKS = NumberRanges.of([(0.0, 1.0)])
AttributeSet = StringSet | NumberRanges
