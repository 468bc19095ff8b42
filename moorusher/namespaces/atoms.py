"""What a namespace's rules can tell apart. In each dimension all values fall into finitely many atoms, so a rule's set
is a few bits, and what rules have in common, or leave over, is exact.

An atom of words is one word that some rule names, or all strings under a prefix that are neither under a longer one nor
named. There is always such a string. An atom of numbers lies between two ends of ranges.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable

from .sets import MAX_NUMBER, NumberRanges, Part, StringSet


class StringAtoms:
    """The atoms of strings.

    count: number of atoms.
    whole: the bits of all of them.
    """

    def __init__(self, sets: Iterable[StringSet]) -> None:
        prefixes, words = {""}, set[str]()
        for one in sets:
            prefixes |= one.prefixes
            words |= one.words
        self._words = {w: i for i, w in enumerate(sorted(words))}
        self._prefixes = {p: len(words) + i for i, p in enumerate(sorted(prefixes))}
        self._lengths = sorted({len(p) for p in prefixes}, reverse=True)
        self._under = dict.fromkeys(prefixes, 0)  # by prefix: the atoms whose strings all begin with it
        for text, i in (*self._words.items(), *self._prefixes.items()):
            for n in self._lengths:
                if n <= len(text) and text[:n] in self._under:
                    self._under[text[:n]] |= 1 << i
        self.count = len(words) + len(prefixes)
        self.whole = (1 << self.count) - 1

    def of(self, word: str) -> int:
        """Return the atom that a string is in."""
        found = self._words.get(word)
        if found is not None:
            return found
        size, prefixes = len(word), self._prefixes
        for n in self._lengths:
            if n <= size and (found := prefixes.get(word[:n])) is not None:
                return found
        raise AssertionError("the empty prefix holds every string")

    def bits(self, part: Part) -> int:
        """Return the atoms that a set consists of, as bits."""
        assert isinstance(part, StringSet)
        made = 0
        for w in part.words:
            made |= 1 << self._words[w]
        for p in part.prefixes:
            made |= self._under[p]
        return made

    def example(self, atom: int) -> str:
        """Return a string in an atom; the shortest of the plain ones."""
        for w, i in self._words.items():
            if i == atom:
                return w
        prefix = next(p for p, i in self._prefixes.items() if i == atom)
        if self.of(prefix) == atom:
            return prefix
        letters = (chr(c) for c in (*range(0x61, 0x7B), *range(0x30, 0x3A), *range(0xA1, 0x110000)))
        return next(s for s in (prefix + letter for letter in letters) if self.of(s) == atom)


class NumberAtoms:
    """The atoms of numbers.

    count: number of atoms.
    whole: the bits of those that a number can be in.
    """

    def __init__(
        self, sets: Iterable[NumberRanges], ends_of: tuple[float, float] = (-1.0, MAX_NUMBER)
    ) -> None:
        ends = set(ends_of)
        for one in sets:
            for part in one.parts:
                ends.update(part)
        self._ends = sorted(ends)
        self.count = len(self._ends) + 1
        self.whole = self.bits(NumberRanges(((ends_of[0], ends_of[1]),)))

    def of(self, number: float) -> int:
        """Return the atom that a number is in."""
        return bisect_right(self._ends, number)

    def bits(self, part: Part) -> int:
        """Return the atoms that a set consists of, as bits."""
        assert isinstance(part, NumberRanges)
        made = 0
        for low, high in part.parts:
            first, last = self.of(low), self.of(high)
            made |= (1 << last) - (1 << first)
        return made

    def example(self, atom: int) -> float:
        """Return a number in an atom."""
        return self._ends[min(max(atom - 1, 0), len(self._ends) - 1)]


Atoms = StringAtoms | NumberAtoms
