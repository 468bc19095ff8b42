"""A look-up table that finds the rule of a customer that decides for a request."""

# The table is built once per revision. A look-up finds one atom in each of the five dimensions and ANDs their masks;
# the number of steps does not depend on the number of rules or on other customers. Building fails if two equally
# specific rules match the same request, or if a rule decides for no request. Both checks are exact, because atoms cover
# all requests that the rules can distinguish.

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
RULE_BYTES = 3_500  # Estimated memory of a rule without its masks.
MASK_BYTES = 32  # Estimated memory of a mask without its bits.


@dataclass(frozen=True, slots=True)
class Decision:
    """The decision of a table for one request.

    Attributes:
        rule: The deciding rule; None if no rule matches and the customer's default applies.
        route: Name of the route for its calls; None if the request is rejected.
        reason: Reason that is sent to the client of a rejected request.
    """

    rule: Rule | None
    route: str | None
    reason: str = ""


@dataclass(frozen=True, slots=True)
class TableLimits:
    """Limits on building a table.

    Attributes:
        max_check_steps: Steps of the reachability check.
        max_bytes: Estimated memory.
    """

    max_check_steps: int = 2_000_000
    max_bytes: int = 32 << 20


DEFAULT_LIMITS = TableLimits()


class RuleTable:
    """The rules of one revision, indexed for look-ups.

    Attributes:
        rules: Rules in order of precedence.
        default: Name of the route for requests that no rule matches.
    """

    def __init__(
        self, rules: Sequence[Rule], default: str, limits: TableLimits | None = DEFAULT_LIMITS
    ) -> None:
        """Build the table.

        :param limits: None if the rules were already checked; they are not checked again.
        :raises AmbiguousRulesError: two rules are equally specific and match the same request.
        :raises UnreachableRuleError: a rule decides for no request.
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
        """Return, for each atom of a dimension, a mask with one bit for each rule that contains the atom."""
        atoms = self._atoms[dimension]
        masks, unrestricted_rules = [0] * (atoms.count + 1), 0
        for index, box in enumerate(boxes):
            if box[dimension] & atoms.full_mask == atoms.full_mask:
                unrestricted_rules |= 1 << index
                continue
            for atom in set_bits(box[dimension]):
                masks[atom] |= 1 << index
        return [mask | unrestricted_rules for mask in masks]

    def find(self, request: RequestAttributes) -> Rule | None:
        """Return the rule that decides for a request, or None if no rule matches."""
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
        """Return the decision for a request."""
        rule = self.find(request)
        if rule is None:
            return Decision(None, self.default)
        outcome = rule.outcome
        if isinstance(outcome, RejectRequest):
            return Decision(rule, None, outcome.reason)
        if isinstance(outcome, Split):
            return Decision(rule, split_route(outcome, request.key or request.spread))
        return Decision(rule, outcome.route)
