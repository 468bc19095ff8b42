"""Checks that no two equally specific rules match the same request, and that each rule decides for some request."""

from __future__ import annotations

from collections.abc import Sequence

from .atoms import Atoms
from .boxes import Box, intersect, set_bits, subtract
from .errors import AmbiguousRulesError, BudgetExceededError, UnreachableRuleError
from .rules import DIMENSIONS, Rule

ATTRIBUTE_LABELS = {"class_name": "class"}  # Labels in error texts, if different from the field's name.


def example_request(box: Box, atoms: Sequence[Atoms]) -> str:
    """Return a description of a request in a box."""
    parts = []
    for dimension, values, mask in zip(DIMENSIONS, atoms, box, strict=True):
        lowest_atom = (mask & -mask).bit_length() - 1
        label = ATTRIBUTE_LABELS.get(dimension, dimension)
        parts.append(f"{label} {values.example(lowest_atom)!r}")
    return ", ".join(parts)


class ReachabilityCheck:
    """One check of a rule set, in a bounded number of steps."""

    def __init__(
        self,
        rules: Sequence[Rule],
        boxes: Sequence[Box],
        atoms: Sequence[Atoms],
        masks: Sequence[Sequence[int]],
        max_steps: int,
    ) -> None:
        """Prepare the check.

        :param rules: In order of precedence.
        :param boxes: For each rule, the requests that it matches.
        :param atoms: By dimension.
        :param masks: By dimension and atom, one bit for each rule that contains the atom.
        """
        self._rules = rules
        self._boxes = boxes
        self._atoms = atoms
        self._masks = masks
        self._precedences = [rule.precedence() for rule in rules]
        self._remaining_steps = max_steps

    def run(self) -> None:
        """Check each rule against those that precede it.

        :raises AmbiguousRulesError: two rules are equally specific and match the same request.
        :raises UnreachableRuleError: a rule decides for no request.
        :raises BudgetExceededError: the check takes more steps than are granted.
        """
        for index, rule in enumerate(self._rules):
            if not all(self._boxes[index]):
                raise UnreachableRuleError(rule.label, ())
            overlapping = self._preceding_overlaps(index)
            self._check_unambiguous(index, overlapping)
            self._check_reachable(index, overlapping)

    def _check_unambiguous(self, index: int, overlapping: Sequence[int]) -> None:
        if not overlapping or self._precedences[overlapping[-1]] != self._precedences[index]:
            return
        other = overlapping[-1]
        common = intersect(self._boxes[index], self._boxes[other])
        assert common is not None
        raise AmbiguousRulesError(
            self._rules[other].label, self._rules[index].label, example_request(common, self._atoms)
        )

    def _check_reachable(self, index: int, overlapping: Sequence[int]) -> None:
        remaining, covering = [self._boxes[index]], list[int]()
        for other in overlapping:
            self._spend(len(remaining))
            reduced = [piece for box in remaining for piece in subtract(box, self._boxes[other])]
            if reduced != remaining:
                covering.append(other)
            remaining = reduced
            if not remaining:
                labels = tuple(self._rules[covered_by].label for covered_by in covering)
                raise UnreachableRuleError(self._rules[index].label, labels)

    def _preceding_overlaps(self, index: int) -> list[int]:
        """Return the indexes of the preceding rules that match some request which this rule matches too."""
        candidates = (1 << index) - 1
        for atoms, masks, box_mask in zip(self._atoms, self._masks, self._boxes[index], strict=True):
            if box_mask & atoms.full_mask == atoms.full_mask:
                continue  # The rule accepts every value in this dimension, so every other rule overlaps with it.
            overlapping = 0
            for atom in set_bits(box_mask):
                overlapping |= masks[atom]
                self._spend(1)
            candidates &= overlapping
        return list(set_bits(candidates))

    def _spend(self, steps: int) -> None:
        self._remaining_steps -= steps
        if self._remaining_steps < 0:
            raise BudgetExceededError(
                "working out which rules can be reached takes more steps than are granted"
            )
