"""The sets that matchers consist of: strings, given by prefixes and literals, and numbers, given by ranges.

`size` orders sets by specificity: if one set strictly contains another, the inner one is smaller.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from fractions import Fraction
from typing import NamedTuple

ALPHABET_SIZE = 0x110000  # Number of Unicode code points.


class SetSize(NamedTuple):
    """The size of a set. Sizes are ordered.

    Attributes:
        measure: Share of all strings that the prefixes cover, or total length of the ranges.
        literals: Number of literals; 0 for a set of numbers.
    """

    measure: Fraction
    literals: int


@dataclass(frozen=True, slots=True)
class StringSet:
    """A set of strings in normal form: no prefix and no literal begins with another prefix of the set.

    Attributes:
        prefixes: The set contains all strings that begin with one of these; "" stands for all strings.
        literals: Single strings in the set.
    """

    prefixes: frozenset[str] = frozenset()
    literals: frozenset[str] = frozenset()

    @classmethod
    def of(cls, literals: Iterable[str] = (), prefixes: Iterable[str] = ()) -> StringSet:
        """Return the set in normal form."""
        shortest_prefixes: set[str] = set()

        def is_covered(text: str) -> bool:
            return any(text[:length] in shortest_prefixes for length in range(len(text) + 1))

        for prefix in sorted(prefixes, key=len):
            if not is_covered(prefix):
                shortest_prefixes.add(prefix)
        return cls(frozenset(shortest_prefixes), frozenset(text for text in literals if not is_covered(text)))

    def __contains__(self, text: object) -> bool:
        return isinstance(text, str) and (
            text in self.literals or any(text.startswith(prefix) for prefix in self.prefixes)
        )

    def intersect(self, other: StringSet) -> StringSet:
        """Return the set of the strings that are in both sets."""
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
    """The numbers in [low, high)."""

    low: float
    high: float


@dataclass(frozen=True, slots=True)
class NumberRanges:
    """A set of numbers in normal form: sorted ranges that neither overlap nor touch."""

    ranges: tuple[NumberRange, ...] = ()

    @classmethod
    def of(cls, ranges: Iterable[tuple[float, float]]) -> NumberRanges:
        """Return the union of ranges, each given by its low and high bounds, in normal form."""
        merged: list[NumberRange] = []
        for low, high in sorted(bounds for bounds in ranges if bounds[0] < bounds[1]):
            if merged and low <= merged[-1].high:
                merged[-1] = NumberRange(merged[-1].low, max(high, merged[-1].high))
            else:
                merged.append(NumberRange(low, high))
        return cls(tuple(merged))

    def __contains__(self, number: object) -> bool:
        return isinstance(number, (int, float)) and any(low <= number < high for low, high in self.ranges)

    def intersect(self, other: NumberRanges) -> NumberRanges:
        """Return the set of the numbers that are in both sets."""
        return NumberRanges.of(
            (max(low, other_low), min(high, other_high))
            for low, high in self.ranges
            for other_low, other_high in other.ranges
        )

    def size(self) -> SetSize:
        """Return the total length of the ranges."""
        lengths = (Fraction(high) - Fraction(low) for low, high in self.ranges)
        return SetSize(sum(lengths, Fraction()), 0)


MIN_NUMBER = -1.0  # The number of a request without a caller or subject.
MAX_NUMBER = float(1 << 53)
ALL_STRINGS = StringSet(frozenset([""]))
ALL_NUMBERS = NumberRanges.of([(MIN_NUMBER, MAX_NUMBER)])  # All numbers of callers and subjects.
ALL_RANKS = NumberRanges.of([(0.0, 1.0)])
AttributeSet = StringSet | NumberRanges
