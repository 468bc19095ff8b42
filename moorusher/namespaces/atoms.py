"""What a namespace's rules can distinguish. In each dimension all values fall into finitely many atoms, so a matcher's
set is a mask of a few bits, and what rules have in common, or leave over, is exact.

An atom of strings is one literal that some rule names, or all strings under a prefix that are neither under a longer
one nor named. There is always such a string. An atom of numbers lies between two ends of ranges.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable, Iterator

from .sets import ALL_NUMBERS, AttributeSet, NumberRange, NumberRanges, StringSet


def _example_characters() -> Iterator[str]:
    """Yield letters, then digits, then the other characters."""
    for code in (*range(0x61, 0x7B), *range(0x30, 0x3A), *range(0xA1, 0x110000)):
        yield chr(code)


class StringAtoms:
    """The atoms of strings.

    count: number of atoms.
    full_mask: the mask of all of them.
    """

    def __init__(self, sets: Iterable[StringSet]) -> None:
        """Build the atoms that tell these sets apart."""
        prefixes, literals = {""}, set[str]()
        for one in sets:
            prefixes |= one.prefixes
            literals |= one.literals
        self._atom_by_literal = {literal: atom for atom, literal in enumerate(sorted(literals))}
        self._atom_by_prefix = {
            prefix: atom for atom, prefix in enumerate(sorted(prefixes), start=len(literals))
        }
        self._prefix_lengths = sorted({len(prefix) for prefix in prefixes}, reverse=True)
        self._mask_by_prefix = self._masks_under(prefixes)
        self.count = len(literals) + len(prefixes)
        self.full_mask = (1 << self.count) - 1

    def _masks_under(self, prefixes: Iterable[str]) -> dict[str, int]:
        """Return for each prefix the atoms whose strings all begin with it."""
        masks = dict.fromkeys(prefixes, 0)
        for text, atom in (*self._atom_by_literal.items(), *self._atom_by_prefix.items()):
            for length in self._prefix_lengths:
                if length <= len(text) and text[:length] in masks:
                    masks[text[:length]] |= 1 << atom
        return masks

    def atom_of(self, text: str) -> int:
        """Return the atom that a string is in."""
        found = self._atom_by_literal.get(text)
        if found is not None:
            return found
        size, by_prefix = len(text), self._atom_by_prefix
        for length in self._prefix_lengths:
            if length <= size and (found := by_prefix.get(text[:length])) is not None:
                return found
        raise AssertionError("the empty prefix holds every string")

    def mask_of(self, strings: AttributeSet) -> int:
        """Return the mask of the atoms that a set consists of."""
        assert isinstance(strings, StringSet)
        mask = 0
        for literal in strings.literals:
            mask |= 1 << self._atom_by_literal[literal]
        for prefix in strings.prefixes:
            mask |= self._mask_by_prefix[prefix]
        return mask

    def example(self, atom: int) -> str:
        """Return a string in an atom: the literal, the prefix itself, or the first plain string under it."""
        for literal, literal_atom in self._atom_by_literal.items():
            if literal_atom == atom:
                return literal
        prefix = next(prefix for prefix, prefix_atom in self._atom_by_prefix.items() if prefix_atom == atom)
        if self.atom_of(prefix) == atom:
            return prefix
        longer = (prefix + character for character in _example_characters())
        return next(text for text in longer if self.atom_of(text) == atom)


class NumberAtoms:
    """The atoms of numbers.

    count: number of atoms.
    full_mask: the mask of those that a number can be in.
    """

    def __init__(self, sets: Iterable[NumberRanges], domain: NumberRange = ALL_NUMBERS.ranges[0]) -> None:
        """Build the atoms that tell these sets apart; numbers are in `domain`."""
        ends = set(domain)
        for one in sets:
            for number_range in one.ranges:
                ends.update(number_range)
        self._ends = sorted(ends)
        self.count = len(self._ends) + 1
        self.full_mask = self.mask_of(NumberRanges((domain,)))

    def atom_of(self, number: float) -> int:
        """Return the atom that a number is in."""
        return bisect_right(self._ends, number)

    def mask_of(self, numbers: AttributeSet) -> int:
        """Return the mask of the atoms that a set consists of."""
        assert isinstance(numbers, NumberRanges)
        mask = 0
        for low, high in numbers.ranges:
            first, end = self.atom_of(low), self.atom_of(high)
            mask |= (1 << end) - (1 << first)
        return mask

    def example(self, atom: int) -> float:
        """Return a number in an atom."""
        return self._ends[min(max(atom - 1, 0), len(self._ends) - 1)]


Atoms = StringAtoms | NumberAtoms
