"""A customer's rules as a table that finds the one that decides for a request.

Built once for a revision. A look-up takes five steps and an AND, however many rules there are, and whatever other
customers have. Building fails for two rules that are equally specific and match one request, and for a rule that no
request reaches. Both are decided on atoms, which cover all requests that the rules can distinguish.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

from .atoms import Atoms, NumberAtoms, StringAtoms
from .errors import Ambiguous, OverBudget, Unreachable
from .rules import DIMENSIONS, RequestAttributes, Rule, Split

Box = tuple[int, ...]  # the atoms of each dimension, as bits
STRING_DIMENSIONS = ("key", "class_name")
RULE_BYTES = 3_500  # of memory, about: what a rule is kept as, besides the masks


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


class RuleTable:
    """The rules of one revision, ready for look-ups.

    rules: in the order in which they are preferred.
    default: the route where none matches.
    """

    def __init__(
        self,
        rules: Sequence[Rule],
        default: str,
        most_steps: int = 2_000_000,
        most_bytes: int = 32 << 20,
        checked: bool = False,
    ) -> None:
        """`most_steps`: of finding out which rules are reachable. `most_bytes`: of memory, estimated. `checked`: the
        rules have been checked before, and the bounds don't apply.

        :raises Ambiguous: two rules are equally specific and match one request.
        :raises Unreachable: no request reaches a rule.
        :raises OverBudget: a bound is exceeded.
        """
        ranked = sorted(((r.order(), r.label, r) for r in rules), key=lambda one: one[:2])
        self._ranks, self.rules = [one[0] for one in ranked], [one[2] for one in ranked]
        self.default = default
        self._left = most_steps
        self.atoms: list[Atoms] = [self._atoms(name) for name in DIMENSIONS]
        cost = sum(a.count for a in self.atoms) * (len(self.rules) // 8 + 32) + len(self.rules) * RULE_BYTES
        if cost > most_bytes and not checked:
            raise OverBudget(f"rules and look-ups would take {cost} bytes; {most_bytes} are granted")
        self._boxes = [self._box(r) for r in self.rules]
        self._masks = [self._masks_of(d) for d in range(len(DIMENSIONS))]
        if not checked:
            self._check()

    def _atoms(self, name: str) -> Atoms:
        sets = [getattr(r.match, name) for r in self.rules]
        if name in STRING_DIMENSIONS:
            return StringAtoms(sets)
        return NumberAtoms(sets, (0.0, 1.0)) if name == "rank" else NumberAtoms(sets)

    def _box(self, rule: Rule) -> Box:
        return tuple(a.bits(part) for a, part in zip(self.atoms, rule.match.parts(), strict=True))

    def _masks_of(self, dimension: int) -> list[int]:
        """Return for each atom the rules that contain it, as bits."""
        masks, everywhere = [0] * (self.atoms[dimension].count + 1), 0
        whole = self.atoms[dimension].whole
        for i, box in enumerate(self._boxes):
            bits = box[dimension]
            if bits & whole == whole:
                everywhere |= 1 << i
                continue
            while bits:
                low = bits & -bits
                masks[low.bit_length() - 1] |= 1 << i
                bits ^= low
        return [mask | everywhere for mask in masks]

    def _spend(self, steps: int) -> None:
        self._left -= steps
        if self._left < 0:
            raise OverBudget("working out which rules can be reached takes more steps than are granted")

    def _check(self) -> None:
        """Check that rules of one rank are disjoint, and that those before a rule leave something to it."""
        for i, (rule, box) in enumerate(zip(self.rules, self._boxes, strict=True)):
            if not all(box):
                raise Unreachable(rule.label, ())
            left, covering = [box], list[int]()
            before = self._before(i, box)
            if before and self._ranks[before[-1]] == self._ranks[i]:
                common = intersect(box, self._boxes[before[-1]])
                assert common is not None
                raise Ambiguous(self.rules[before[-1]].label, rule.label, self.example(common))
            for j in before:
                self._spend(len(left))
                less = [piece for one in left for piece in subtract(one, self._boxes[j])]
                if less != left:
                    covering.append(j)
                left = less
                if not left:
                    raise Unreachable(rule.label, tuple(self.rules[k].label for k in covering))

    def _before(self, i: int, box: Box) -> list[int]:
        """Return the preferred rules that match a request that this one matches too."""
        mask = (1 << i) - 1
        for atoms, masks, bits in zip(self.atoms, self._masks, box, strict=True):
            if bits & atoms.whole == atoms.whole:
                continue  # whatever is there meets it
            some = 0
            while bits:
                low = bits & -bits
                some |= masks[low.bit_length() - 1]
                bits ^= low
                self._spend(1)
            mask &= some
        found = []
        while mask:
            low = mask & -mask
            found.append(low.bit_length() - 1)
            mask ^= low
        return found

    def example(self, box: Box) -> str:
        """Return a request in a box, in words."""
        atoms = [(bits & -bits).bit_length() - 1 for bits in box]
        return ", ".join(
            f"{'class' if name == 'class_name' else name} {a.example(atom)!r}"
            for name, a, atom in zip(DIMENSIONS, self.atoms, atoms, strict=True)
        )

    # ---- look-ups ----

    def find(self, asked: RequestAttributes) -> Rule | None:
        """Return the rule that decides for a request; None where none matches."""
        key, subject, caller, class_name, rank = self.atoms
        masks = self._masks
        found = (
            masks[0][key.of(asked.key)]  # type: ignore[arg-type]
            & masks[1][subject.of(asked.subject)]  # type: ignore[arg-type]
            & masks[2][caller.of(asked.caller)]  # type: ignore[arg-type]
            & masks[3][class_name.of(asked.class_name)]  # type: ignore[arg-type]
            & masks[4][rank.of(asked.rank)]  # type: ignore[arg-type]
        )
        return self.rules[(found & -found).bit_length() - 1] if found else None

    def decide(self, asked: RequestAttributes) -> Decision:
        """Return what is decided of a request."""
        rule = self.find(asked)
        if rule is None:
            return Decision(None, self.default)
        outcome = rule.outcome
        if isinstance(outcome, Split):
            return Decision(rule, split_route(outcome, asked.key or asked.spread))
        route = getattr(outcome, "route", None)
        return Decision(rule, route, "" if route is not None else outcome.reason)  # type: ignore[union-attr]


def split_route(split: Split, key: str) -> str:
    """Choose a route by weighted rendezvous hashing: a changed weight moves only keys of the routes concerned."""
    from math import log

    def score(name: str, weight: int) -> float:
        unit = (xxhash.xxh64_intdigest(key.encode(), xxhash.xxh32_intdigest(name.encode())) + 1) / (1 << 64)
        return -weight / log(unit) if unit < 1 else float("inf")

    return max(((score(name, weight), name) for name, weight in split.routes if weight > 0))[1]


def intersect(a: Box, b: Box) -> Box | None:
    """Return what two boxes have in common; None where they are disjoint."""
    common = tuple(x & y for x, y in zip(a, b, strict=True))
    return common if all(common) else None


def subtract(a: Box, b: Box) -> list[Box]:
    """Return what of `a` is not in `b`, as disjoint boxes."""
    if intersect(a, b) is None:
        return [a]
    made, inside = [], list(a)
    for i, bits in enumerate(b):
        rest = inside[i] & ~bits
        if rest:
            made.append((*inside[:i], rest, *a[i + 1 :]))
        inside[i] &= bits
    return made
