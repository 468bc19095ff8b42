"""What operators read and change of customers' namespaces, as the JSON of `/namespaces`."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..cluster_transport.config_distribution import NamespaceService
from ..config_distribution.errors import DistributionError
from ..config_distribution.propagation import DELETED_NUMBER
from ..leadership.errors import LeadershipError
from ..namespaces.current_revisions import Revision
from ..namespaces.draft_changes import draft_changes
from ..namespaces.errors import UnknownCustomerError
from ..namespaces.revision_history import RevisionHistory, Submission
from ..namespaces.revision_id import RevisionId
from ..namespaces.rules import RequestAttributes
from ..routing.route import decide_route
from ..time_units import MS

ResultCallback = Callable[[dict[str, Any] | DistributionError], None]
ABSENT_REASONS = ("down", "never heard of")  # of seats that a revision need not have come to


def _history_json(history: RevisionHistory) -> dict[str, Any]:
    """Return the revisions that are retained, each with its changes since the one before it."""
    revisions = []
    for entry in history.revisions:
        before = history.find(entry.number - 1)
        revisions.append(
            {
                "number": entry.number,
                "at_ms": entry.at_ms,
                "by": entry.author,
                "of": entry.restored_number,
                "changes": None if before is None else list(draft_changes(before.draft, entry.draft)),
            }
        )
    current = history.current
    return {
        "number": history.current_number,
        "draft": None if current is None else current.draft.decode(),
        "revisions": revisions,
    }


def _change_json(customer: str, revision_id: RevisionId) -> dict[str, Any]:
    incarnation, number = revision_id
    deleted = number == DELETED_NUMBER
    return {
        "customer": customer,
        "born": incarnation,
        "revision": 0 if deleted else number,
        "deleted": deleted,
    }


def _explanation_json(customer: str, revision: Revision | None, asked: RequestAttributes) -> dict[str, Any]:
    if revision is None:
        return {"customer": customer, "revision": 0, "decides": "the platform's default"}
    decision = decide_route(revision, asked)
    matching = [rule.label for rule in revision.namespace.table.rules if asked in rule.matcher]
    hops = () if decision.path is None else decision.path.hops
    return {
        "customer": customer,
        "born": revision.revision_id[0],
        "revision": revision.revision_id[1],
        "decides": decision.rule or "the customer's default route",
        "refused": decision.refusal or None,
        "way": [
            {
                "route": hop.route,
                "servers": dict(hop.servers),
                "pool": hop.pool,
                "limit": hop.max_in_flight,
                "tries": hop.max_attempts,
            }
            for hop in hops
        ],
        "also_match": [label for label in matching if label != decision.rule],
    }


class NamespaceOperations:
    """Operations on customers' namespaces. Each calls back with JSON or with an error."""

    def __init__(self, service: NamespaceService) -> None:
        self._service = service
        self._core = service.core
        self._replica = service.replica

    def listed(self) -> dict[str, Any]:
        """Return what this runner has, of all customers of the settings."""
        self._core.begin_turn()
        service = self._service
        node = self._replica.member.participant.node
        seats = len(node.placement.names)
        seats_up = sum(member.is_alive for member in node.detector.by_seat.values())
        return {
            "ready": service.ready,
            "seats": seats,
            "seats_up": seats_up,
            "cut_off": seats_up * 2 <= seats,
            "store": None if service.store is None else service.store.failing or "written",
            "namespaces": [self._local_json(customer) for customer in sorted(service.config.customers)],
        }

    def show(self, customer: str, then: ResultCallback) -> None:
        """Read what is current for the whole cluster, and which earlier revisions are retained."""

        def got_history(got: tuple[int, RevisionHistory] | LeadershipError) -> None:
            if isinstance(got, LeadershipError):
                then(got)
                return
            incarnation, history = got
            here = {
                "current": True,
                "born": incarnation,
                "here": self._replica.customers.latest_id(customer)[1],
            }
            then(self._local_json(customer) | here | _history_json(history))

        if self._is_customer(customer, then):
            self._replica.register.history(customer, got_history)

    def publish(self, submission: Submission, wait: bool, then: ResultCallback) -> None:
        """Publish a submission; `wait` for it to be everywhere."""
        if self._is_customer(submission.customer, then):
            self._replica.submit(submission, self._after_change(submission.customer, wait, then))

    def delete(self, customer: str, wait: bool, then: ResultCallback) -> None:
        """Delete a namespace; `wait` for it to be deleted everywhere."""
        if self._is_customer(customer, then):
            self._replica.delete(customer, self._after_change(customer, wait, then))

    def explain(self, customer: str, asked: RequestAttributes, then: ResultCallback) -> None:
        """Say which rule decides for such a request at this runner, and what its calls would do now."""
        if self._is_customer(customer, then):
            then(_explanation_json(customer, self._replica.customers.get(customer), asked))

    # ---- parts of them ----

    def _is_customer(self, customer: str, then: ResultCallback) -> bool:
        """Whether the settings have the customer; else `then` gets the error."""
        self._core.begin_turn()
        if customer in self._service.config.customers:
            return True
        then(UnknownCustomerError(f"{customer!r} is no customer in this runner's settings"))
        return False

    def _local_json(self, customer: str) -> dict[str, Any]:
        (incarnation, number), deleted = self._replica.revisions.known(customer)
        return {
            "customer": customer,
            "born": incarnation,
            "revision": 0 if deleted else number,
            "deleted": deleted,
            "published": incarnation > 0 and not deleted,
        }

    def _after_change(
        self, customer: str, wait: bool, then: ResultCallback
    ) -> Callable[[RevisionId | DistributionError], None]:
        def changed(got: RevisionId | DistributionError) -> None:
            if isinstance(got, Exception):
                then(got)
            elif wait:
                self._wait_everywhere(customer, got, then)
            else:
                then(_change_json(customer, got))

        return changed

    def _wait_everywhere(self, customer: str, revision_id: RevisionId, then: ResultCallback) -> None:
        """Answer once it is known which seats lack the change.

        A deletion is complete when every seat has it: one that is down may be serving on the other side of a network
        partition. A revision is complete when all that are alive have it.
        """
        change = _change_json(customer, revision_id)
        started_us = self._core.clock.now

        def got_lacking(lacking: dict[str, str]) -> None:
            live = [seat for seat, reason in lacking.items() if reason not in ABSENT_REASONS]
            still_lacking = lacking if change["deleted"] else live
            then(
                change
                | {
                    "complete": not still_lacking,
                    "lacking": lacking,
                    "took_ms": (self._core.clock.now - started_us) / MS,
                }
            )

        self._replica.propagation.propagate(customer, revision_id, got_lacking)
