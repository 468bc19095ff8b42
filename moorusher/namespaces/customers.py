"""All customers' namespaces at one runner. Nothing here looks from one into another: a decision is asked of one
customer's revision, and that of a customer without one of the platform's default.

A runner goes from revision to revision forwards only, whole. A request keeps the `Revision` that it was read under, as
a value, until its final answer; what is published, withdrawn or deleted meanwhile does not reach it.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from .document import Namespace, Route, parse_draft
from .errors import NamespaceError
from .policy import Granted
from .rules import RequestAttributes
from .table import Decision


class Stale(NamespaceError):
    """Not later than what is there."""

    remedy = "Nothing: this runner has that revision, or a later one."


@dataclass(frozen=True, slots=True)
class Revision:
    """`at`: the incarnation of the namespace, and the number of the revision in it. One that was deleted and made anew
    has a later incarnation, and nothing of the earlier one."""

    customer: str
    at: tuple[int, int]
    namespace: Namespace
    draft: bytes = b""

    def decide(self, asked: RequestAttributes) -> tuple[Decision, tuple[Route, ...]]:
        """What was decided, and the routes to try in their order; none where it is refused."""
        decision = self.namespace.table.decide(asked)
        return decision, () if decision.route is None else self.namespace.fallback_chain(decision.route)


class CurrentRevisions:
    """`most`: namespaces and tombstones of them at a time."""

    def __init__(self, most: int = 10_000) -> None:
        self.most = most
        self._current: dict[str, Revision] = {}
        self._gone: dict[str, tuple[int, int]] = {}

    def __len__(self) -> int:
        return len(self._current)

    def take(self, customer: str, at: tuple[int, int], draft: bytes, granted: Granted | None) -> Revision:
        """A revision that was published. Raises Stale, or what is wrong with it; then the one before stays."""
        self._later(customer, at)
        return self.put(Revision(customer, at, parse_draft(draft, granted), draft))

    def put(self, made: Revision) -> Revision:
        """One that was read elsewhere. Raises Stale."""
        self._later(made.customer, made.at)
        self._current[made.customer] = made
        self._gone.pop(made.customer, None)
        return made

    def _later(self, customer: str, at: tuple[int, int]) -> None:
        if at <= self.at(customer):
            raise Stale(f"{at} is not later than {self.at(customer)}")

    def delete(self, customer: str, at: tuple[int, int]) -> None:
        """Raises Stale."""
        self._later(customer, at)
        self._current.pop(customer, None)
        self._gone[customer] = at
        while len(self._gone) > self.most:  # the oldest: the register of its duty still has what came last
            del self._gone[next(iter(self._gone))]

    def at(self, customer: str) -> tuple[int, int]:
        found = self._current.get(customer)
        return self._gone.get(customer, (0, 0)) if found is None else found.at

    def of(self, customer: str | None) -> Revision | None:
        """None: the platform's default is for that one."""
        return None if customer is None else self._current.get(customer)

    def gone(self, customer: str) -> bool:
        """It was deleted, as far as is known here."""
        return customer in self._gone

    def told(self) -> Mapping[str, tuple[int, int]]:
        """What this runner has, and what it knows to be gone."""
        return {name: r.at for name, r in self._current.items()} | self._gone
