"""Atoms: the classes of attribute values that a namespace's rules can distinguish."""

# In each dimension, all values fall into finitely many atoms. A matcher's set is therefore a short bit mask, and
# intersections and differences of sets are exact.
#
# An atom of strings is of one of two kinds. The first kind is a single literal that a rule names. The second kind
# belongs to a prefix that a rule names, or to the empty prefix. It contains all strings that begin with the prefix,
# except the named literals and the strings that begin with a longer named prefix; it is never empty. An atom of numbers
# is an interval between two adjacent range bounds.

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable, Iterator

from .sets import ALL_NUMBERS, AttributeSet, NumberRange, NumberRanges, StringSet


def _example_characters() -> Iterator[str]:
    """Yield the lowercase ASCII letters, then the digits, then all characters from U+00A1 on."""
    for code in (*range(0x61, 0x7B), *range(0x30, 0x3A), *range(0xA1, 0x110000)):
        yield chr(code)


class StringAtoms:
    """The atoms of one string dimension.

    Attributes:
        count: Number of atoms.
        full_mask: Mask of all atoms.
    """

    def __init__(self, sets: Iterable[StringSet]) -> None:
        """Build the atoms that distinguish the given sets."""
        prefixes, literals = {""}, set[str]()
        for strings in sets:
            prefixes |= strings.prefixes
            literals |= strings.literals
        self._atom_by_literal = {literal: atom for atom, literal in enumerate(sorted(literals))}
        self._atom_by_prefix = {
            prefix: atom for atom, prefix in enumerate(sorted(prefixes), start=len(literals))
        }
        self._prefix_lengths = sorted({len(prefix) for prefix in prefixes}, reverse=True)
        self._mask_by_prefix = self._masks_by_prefix(prefixes)
        self.count = len(literals) + len(prefixes)
        self.full_mask = (1 << self.count) - 1

    def _masks_by_prefix(self, prefixes: Iterable[str]) -> dict[str, int]:
        """Return, for each prefix, the mask of the atoms whose strings all begin with it."""
        masks = dict.fromkeys(prefixes, 0)
        for text, atom in (*self._atom_by_literal.items(), *self._atom_by_prefix.items()):
            for length in self._prefix_lengths:
                if length <= len(text) and text[:length] in masks:
                    masks[text[:length]] |= 1 << atom
        return masks

    def atom_of(self, text: str) -> int:
        """Return the index of the atom that contains a string."""
        atom = self._atom_by_literal.get(text)
        if atom is not None:
            return atom
        size, by_prefix = len(text), self._atom_by_prefix
        for length in self._prefix_lengths:
            if length <= size and (atom := by_prefix.get(text[:length])) is not None:
                return atom
        raise AssertionError("no atom found, although every string begins with the empty prefix")

    def mask_of(self, strings: AttributeSet) -> int:
        """Return the mask of the atoms that make up a set."""
        assert isinstance(strings, StringSet)
        mask = 0
        for literal in strings.literals:
            mask |= 1 << self._atom_by_literal[literal]
        for prefix in strings.prefixes:
            mask |= self._mask_by_prefix[prefix]
        return mask

    def example(self, atom: int) -> str:
        """Return an example string of an atom: its literal, its prefix, or its prefix plus one character."""
        for literal, literal_atom in self._atom_by_literal.items():
            if literal_atom == atom:
                return literal
        prefix = next(prefix for prefix, prefix_atom in self._atom_by_prefix.items() if prefix_atom == atom)
        if self.atom_of(prefix) == atom:
            return prefix
        longer = (prefix + character for character in _example_characters())
        return next(text for text in longer if self.atom_of(text) == atom)


class NumberAtoms:
    """The atoms of one number dimension.

    Attributes:
        count: Number of atoms.
        full_mask: Mask of the atoms within the domain.
    """

    def __init__(self, sets: Iterable[NumberRanges], domain: NumberRange = ALL_NUMBERS.ranges[0]) -> None:
        """Build the atoms that distinguish the given sets.

        :param domain: Range that contains all numbers.
        """
        bounds = set(domain)
        for numbers in sets:
            for number_range in numbers.ranges:
                bounds.update(number_range)
        self._bounds = sorted(bounds)
        self.count = len(self._bounds) + 1
        self.full_mask = self.mask_of(NumberRanges((domain,)))

    def atom_of(self, number: float) -> int:
        """Return the index of the atom that contains a number."""
        return bisect_right(self._bounds, number)

    def mask_of(self, numbers: AttributeSet) -> int:
        """Return the mask of the atoms that make up a set."""
        assert isinstance(numbers, NumberRanges)
        mask = 0
        for low, high in numbers.ranges:
            first, end = self.atom_of(low), self.atom_of(high)
            mask |= (1 << end) - (1 << first)
        return mask

    def example(self, atom: int) -> float:
        """Return a number in an atom."""
        return self._bounds[min(max(atom - 1, 0), len(self._bounds) - 1)]


Atoms = StringAtoms | NumberAtoms
