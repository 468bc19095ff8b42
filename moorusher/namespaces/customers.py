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
    """A revision is not later than the current one. The class name is part of the API."""

    remedy = "Nothing: this runner has that revision, or a later one."


@dataclass(frozen=True, slots=True)
class Revision:
    """One revision of a customer's namespace.

    at: incarnation of the namespace, and number of the revision in it. A namespace that is deleted and created again
        has a later incarnation, and nothing of the earlier one.
    namespace: the rules and routes.
    draft: from which they were parsed.
    """

    customer: str
    at: tuple[int, int]
    namespace: Namespace
    draft: bytes = b""

    def decide(self, asked: RequestAttributes) -> tuple[Decision, tuple[Route, ...]]:
        """Return the decision, and the routes to attempt in order; none where the request is rejected."""
        decision = self.namespace.table.decide(asked)
        return decision, () if decision.route is None else self.namespace.fallback_chain(decision.route)


class CurrentRevisions:
    """The revision of each customer that is current at one runner.

    most: int, tombstones of deleted namespaces that are remembered.
    """

    def __init__(self, most: int = 10_000) -> None:
        self.most = most
        self._current: dict[str, Revision] = {}
        self._gone: dict[str, tuple[int, int]] = {}

    def __len__(self) -> int:
        return len(self._current)

    def take(self, customer: str, at: tuple[int, int], draft: bytes, granted: Granted | None) -> Revision:
        """Parse a published draft and make it current.

        :raises Stale: a later revision is current.
        :raises NamespaceError: what is wrong with the draft; the current revision stays.
        """
        self._later(customer, at)
        return self.put(Revision(customer, at, parse_draft(draft, granted), draft))

    def put(self, made: Revision) -> Revision:
        """Make a parsed revision current.

        :raises Stale: a later one is.
        """
        self._later(made.customer, made.at)
        self._current[made.customer] = made
        self._gone.pop(made.customer, None)
        return made

    def _later(self, customer: str, at: tuple[int, int]) -> None:
        if at <= self.at(customer):
            raise Stale(f"{at} is not later than {self.at(customer)}")

    def delete(self, customer: str, at: tuple[int, int]) -> None:
        """Remember that the namespace is deleted.

        :raises Stale: a later revision is current.
        """
        self._later(customer, at)
        self._current.pop(customer, None)
        self._gone[customer] = at
        while len(self._gone) > self.most:  # the oldest: the register of its duty still has what came last
            del self._gone[next(iter(self._gone))]

    def at(self, customer: str) -> tuple[int, int]:
        """Return the id of the latest revision or deletion known here; (0, 0) for none."""
        found = self._current.get(customer)
        return self._gone.get(customer, (0, 0)) if found is None else found.at

    def of(self, customer: str | None) -> Revision | None:
        """Return the current revision; None where the platform's default applies."""
        return None if customer is None else self._current.get(customer)

    def gone(self, customer: str) -> bool:
        """Whether the namespace is deleted, as far as is known here."""
        return customer in self._gone

    def told(self) -> Mapping[str, tuple[int, int]]:
        """Return the id of each customer's latest revision or deletion."""
        return {name: r.at for name, r in self._current.items()} | self._gone
