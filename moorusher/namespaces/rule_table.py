"""A customer's rules as a table that finds the one that decides for a request.

Built once for a revision. A look-up takes five steps and an AND, however many rules there are, and whatever other
customers have. Building fails for two rules that are equally specific and match one request, and for a rule that no
request reaches. Both are decided on atoms, which cover all requests that the rules can distinguish.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from .atoms import Atoms, NumberAtoms, StringAtoms
from .boxes import Box, set_bits
from .errors import BudgetExceededError
from .reachability import ReachabilityCheck
from .rules import DIMENSIONS, RejectRequest, RequestAttributes, Rule, Split
from .sets import ALL_RANKS
from .weighted_split import split_route

STRING_DIMENSIONS = ("key", "class_name")
# Estimates of memory, in bytes: what a rule is kept as besides the masks, and what a mask takes besides its bits.
RULE_BYTES = 3_500
MASK_BYTES = 32


@dataclass(frozen=True, slots=True)
class Decision:
    """What a table decides of a request.

    rule: the one that decides; None where none matches and the customer's default applies.
    route: where its calls go; None where it is rejected.
    reason: for the client of a rejected request.
    """

    rule: Rule | None
    route: str | None
    reason: str = ""


@dataclass(frozen=True, slots=True)
class TableLimits:
    """What building a table may cost.

    max_check_steps: of finding out which rules are reachable.
    max_bytes: of memory, estimated.
    """

    max_check_steps: int = 2_000_000
    max_bytes: int = 32 << 20


DEFAULT_LIMITS = TableLimits()


class RuleTable:
    """The rules of one revision, ready for look-ups.

    rules: in order of precedence.
    default: the route where none matches.
    """

    def __init__(
        self, rules: Sequence[Rule], default: str, limits: TableLimits | None = DEFAULT_LIMITS
    ) -> None:
        """Build the table; without `limits` the rules have been checked before, and are not checked again.

        :raises AmbiguousRulesError: two rules are equally specific and match one request.
        :raises UnreachableRuleError: no request reaches a rule.
        :raises BudgetExceededError: a limit is exceeded.
        """
        self.rules = sorted(rules, key=lambda rule: (rule.precedence(), rule.label))
        self.default = default
        self._atoms: list[Atoms] = [self._atoms_of(dimension) for dimension in DIMENSIONS]
        if limits is not None:
            self._check_memory(limits.max_bytes)
        boxes = [self._box_of(rule) for rule in self.rules]
        self._masks = [self._rules_by_atom(index, boxes) for index in range(len(DIMENSIONS))]
        if limits is not None:
            ReachabilityCheck(self.rules, boxes, self._atoms, self._masks, limits.max_check_steps).run()

    def _atoms_of(self, dimension: str) -> Atoms:
        sets = [getattr(rule.matcher, dimension) for rule in self.rules]
        if dimension in STRING_DIMENSIONS:
            return StringAtoms(sets)
        return NumberAtoms(sets, ALL_RANKS.ranges[0]) if dimension == "rank" else NumberAtoms(sets)

    def _check_memory(self, max_bytes: int) -> None:
        masks = sum(atoms.count for atoms in self._atoms)
        estimate = masks * (len(self.rules) // 8 + MASK_BYTES) + len(self.rules) * RULE_BYTES
        if estimate > max_bytes:
            raise BudgetExceededError(
                f"rules and look-ups would take {estimate} bytes; {max_bytes} are granted"
            )

    def _box_of(self, rule: Rule) -> Box:
        return tuple(
            atoms.mask_of(allowed)
            for atoms, allowed in zip(self._atoms, rule.matcher.attribute_sets(), strict=True)
        )

    def _rules_by_atom(self, dimension: int, boxes: Sequence[Box]) -> list[int]:
        """Return for each atom of a dimension the rules that contain it, a bit a rule."""
        atoms = self._atoms[dimension]
        masks, everywhere = [0] * (atoms.count + 1), 0
        for index, box in enumerate(boxes):
            if box[dimension] & atoms.full_mask == atoms.full_mask:
                everywhere |= 1 << index
                continue
            for atom in set_bits(box[dimension]):
                masks[atom] |= 1 << index
        return [mask | everywhere for mask in masks]

    def find(self, request: RequestAttributes) -> Rule | None:
        """Return the rule that decides for a request; None where none matches."""
        key, subject, caller, class_name, rank = self._atoms
        masks = self._masks
        matching = (
            masks[0][key.atom_of(request.key)]  # type: ignore[arg-type]
            & masks[1][subject.atom_of(request.subject)]  # type: ignore[arg-type]
            & masks[2][caller.atom_of(request.caller)]  # type: ignore[arg-type]
            & masks[3][class_name.atom_of(request.class_name)]  # type: ignore[arg-type]
            & masks[4][rank.atom_of(request.rank)]  # type: ignore[arg-type]
        )
        return self.rules[(matching & -matching).bit_length() - 1] if matching else None

    def decide(self, request: RequestAttributes) -> Decision:
        """Return what is decided of a request."""
        rule = self.find(request)
        if rule is None:
            return Decision(None, self.default)
        outcome = rule.outcome
        if isinstance(outcome, RejectRequest):
            return Decision(rule, None, outcome.reason)
        if isinstance(outcome, Split):
            return Decision(rule, split_route(outcome, request.key or request.spread))
        return Decision(rule, outcome.route)
