"""All customers' namespaces at one runner. Nothing here looks from one into another: a decision is asked of one
customer's revision, and that of a customer without one of the platform's default.

A runner goes from revision to revision forwards only, whole. A request keeps the `Revision` that it was read under, as
a value, until its final answer; what is published, withdrawn or deleted meanwhile does not reach it.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from .draft import parse_draft
from .errors import StaleRevisionError
from .namespace import Namespace, Route
from .policy import Grant
from .revision_id import NO_REVISION, RevisionId
from .rule_table import Decision
from .rules import RequestAttributes


@dataclass(frozen=True, slots=True)
class Revision:
    """One revision of a customer's namespace.

    namespace: the rules and routes.
    draft: from which they were parsed.
    """

    customer: str
    revision_id: RevisionId
    namespace: Namespace
    draft: bytes = b""

    def decide(self, request: RequestAttributes) -> tuple[Decision, tuple[Route, ...]]:
        """Return the decision, and the routes to attempt in order; none where the request is rejected."""
        decision = self.namespace.table.decide(request)
        if decision.route is None:
            return decision, ()
        return decision, self.namespace.fallback_chain(decision.route)


class CurrentRevisions:
    """The revision of each customer that is current at one runner.

    max_tombstones: deleted namespaces that are remembered.
    """

    def __init__(self, max_tombstones: int = 10_000) -> None:
        self.max_tombstones = max_tombstones
        self._current: dict[str, Revision] = {}
        self._tombstones: dict[str, RevisionId] = {}  # no customer is in both

    def __len__(self) -> int:
        return len(self._current)

    def install_draft(
        self, customer: str, revision_id: RevisionId, draft: bytes, grant: Grant | None
    ) -> Revision:
        """Parse a published draft and make it current.

        :raises StaleRevisionError: a later revision is current.
        :raises NamespaceError: what is wrong with the draft; the current revision stays.
        """
        self._check_later(customer, revision_id)
        return self.install(Revision(customer, revision_id, parse_draft(draft, grant), draft))

    def install(self, revision: Revision) -> Revision:
        """Make a parsed revision current.

        :raises StaleRevisionError: a later one is.
        """
        self._check_later(revision.customer, revision.revision_id)
        self._current[revision.customer] = revision
        self._tombstones.pop(revision.customer, None)
        return revision

    def delete(self, customer: str, revision_id: RevisionId) -> None:
        """Remember that the namespace is deleted.

        :raises StaleRevisionError: a later revision is current.
        """
        self._check_later(customer, revision_id)
        self._current.pop(customer, None)
        self._tombstones[customer] = revision_id
        while len(self._tombstones) > self.max_tombstones:
            # The oldest goes: the register of the customer's duty still has what came last.
            del self._tombstones[next(iter(self._tombstones))]

    def _check_later(self, customer: str, revision_id: RevisionId) -> None:
        if revision_id <= self.latest_id(customer):
            raise StaleRevisionError(f"{revision_id} is not later than {self.latest_id(customer)}")

    def latest_id(self, customer: str) -> RevisionId:
        """Return the id of the latest revision or deletion known here; `NO_REVISION` for none."""
        revision = self._current.get(customer)
        return self._tombstones.get(customer, NO_REVISION) if revision is None else revision.revision_id

    def get(self, customer: str | None) -> Revision | None:
        """Return the current revision; None where the platform's default applies."""
        return None if customer is None else self._current.get(customer)

    def is_deleted(self, customer: str) -> bool:
        """Return whether the namespace is deleted, as far as is known here."""
        return customer in self._tombstones

    def latest_ids(self) -> Mapping[str, RevisionId]:
        """Return the id of each customer's latest revision or deletion."""
        return {name: revision.revision_id for name, revision in self._current.items()} | self._tombstones
