"""The current revision of each customer's namespace at one runner."""

# Namespaces are isolated: a decision depends on one customer's revision only, or on the platform's default if the
# customer has none.
#
# A runner replaces a revision as a whole, and only by a later revision. A request keeps the `Revision` that was current
# when the request was read until its final answer; later publications, rollbacks and deletions do not affect it.

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

    Attributes:
        namespace: The rules and routes.
        draft: The draft from which they were parsed.
    """

    customer: str
    revision_id: RevisionId
    namespace: Namespace
    draft: bytes = b""

    def decide(self, request: RequestAttributes) -> tuple[Decision, tuple[Route, ...]]:
        """Return the decision and the routes to try in order; no routes if the request is rejected."""
        decision = self.namespace.table.decide(request)
        if decision.route is None:
            return decision, ()
        return decision, self.namespace.fallback_chain(decision.route)


class CurrentRevisions:
    """The current revision of each customer at one runner.

    Attributes:
        max_tombstones: Maximum number of deleted namespaces to retain.
    """

    def __init__(self, max_tombstones: int = 10_000) -> None:
        self.max_tombstones = max_tombstones
        self._current: dict[str, Revision] = {}
        self._tombstones: dict[str, RevisionId] = {}  # Disjoint from `_current`.

    def __len__(self) -> int:
        return len(self._current)

    def install_draft(
        self, customer: str, revision_id: RevisionId, draft: bytes, grant: Grant | None
    ) -> Revision:
        """Parse a published draft and make it current.

        :param grant: If not None, the draft is checked against it; see `parse_draft`.
        :raises StaleRevisionError: this revision or a later one is already known.
        :raises NamespaceError: the draft is invalid; the current revision is unchanged.
        """
        self._check_later(customer, revision_id)
        return self.install(Revision(customer, revision_id, parse_draft(draft, grant), draft))

    def install(self, revision: Revision) -> Revision:
        """Make a parsed revision current.

        :raises StaleRevisionError: this revision or a later one is already known.
        """
        self._check_later(revision.customer, revision.revision_id)
        self._current[revision.customer] = revision
        self._tombstones.pop(revision.customer, None)
        return revision

    def delete(self, customer: str, revision_id: RevisionId) -> None:
        """Remove the namespace and record a tombstone.

        :raises StaleRevisionError: this revision or a later one is already known.
        """
        self._check_later(customer, revision_id)
        self._current.pop(customer, None)
        self._tombstones[customer] = revision_id
        while len(self._tombstones) > self.max_tombstones:
            # The oldest tombstone can be dropped: the register of the customer's duty retains the latest state.
            del self._tombstones[next(iter(self._tombstones))]

    def _check_later(self, customer: str, revision_id: RevisionId) -> None:
        if revision_id <= self.latest_id(customer):
            raise StaleRevisionError(
                f"revision {revision_id} is not later than the latest known, {self.latest_id(customer)}"
            )

    def latest_id(self, customer: str) -> RevisionId:
        """Return the id of the latest known revision or deletion; `NO_REVISION` if there is none."""
        revision = self._current.get(customer)
        return self._tombstones.get(customer, NO_REVISION) if revision is None else revision.revision_id

    def get(self, customer: str | None) -> Revision | None:
        """Return the current revision, or None if the platform's default applies."""
        return None if customer is None else self._current.get(customer)

    def is_deleted(self, customer: str) -> bool:
        """Return whether this runner has a tombstone for the namespace."""
        return customer in self._tombstones

    def latest_ids(self) -> Mapping[str, RevisionId]:
        """Return the id of each customer's latest revision or deletion."""
        return {name: revision.revision_id for name, revision in self._current.items()} | self._tombstones
