"""Operators' operations on customers' namespaces, with the JSON documents of `/namespaces`."""

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
# A seat that lacks a revision for one of these reasons is not live. The propagation of a revision is complete even if
# such seats lack it.
ABSENT_REASONS = ("down", "never heard of")


def _history_json(history: RevisionHistory) -> dict[str, Any]:
    """Return the retained revisions, each with its changes since the previous one."""
    revisions = []
    for entry in history.revisions:
        previous = history.find(entry.number - 1)
        revisions.append(
            {
                "number": entry.number,
                "at_ms": entry.at_ms,
                "by": entry.author,
                "of": entry.restored_number,
                "changes": None if previous is None else list(draft_changes(previous.draft, entry.draft)),
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


def _explanation_json(
    customer: str, revision: Revision | None, attributes: RequestAttributes
) -> dict[str, Any]:
    if revision is None:
        return {"customer": customer, "revision": 0, "decides": "the platform's default"}
    decision = decide_route(revision, attributes)
    matching = [rule.label for rule in revision.namespace.table.rules if attributes in rule.matcher]
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
    """Operations on customers' namespaces. Callbacks take a JSON document or an error."""

    def __init__(self, service: NamespaceService) -> None:
        self._service = service
        self._core = service.core
        self._replica = service.replica

    def list_all(self) -> dict[str, Any]:
        """Return the revisions that this runner has, for all customers of the settings."""
        self._core.start_turn()
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

    def show(self, customer: str, callback: ResultCallback) -> None:
        """Read the cluster's current revision and the earlier ones that are retained."""

        def on_history(result: tuple[int, RevisionHistory] | LeadershipError) -> None:
            if isinstance(result, LeadershipError):
                callback(result)
                return
            incarnation, history = result
            register_fields = {
                "current": True,
                "born": incarnation,
                "here": self._replica.customers.latest_id(customer)[1],
            }
            callback(self._local_json(customer) | register_fields | _history_json(history))

        if self._is_customer(customer, callback):
            self._replica.register.history(customer, on_history)

    def publish(self, submission: Submission, wait: bool, callback: ResultCallback) -> None:
        """Publish a submission and, if `wait` is true, wait for its propagation."""
        if self._is_customer(submission.customer, callback):
            self._replica.submit(submission, self._after_change(submission.customer, wait, callback))

    def delete(self, customer: str, wait: bool, callback: ResultCallback) -> None:
        """Delete a namespace and, if `wait` is true, wait for the propagation of its deletion."""
        if self._is_customer(customer, callback):
            self._replica.delete(customer, self._after_change(customer, wait, callback))

    def explain(self, customer: str, attributes: RequestAttributes, callback: ResultCallback) -> None:
        """Return the rule that decides for a request at this runner, and the routes of its calls."""
        if self._is_customer(customer, callback):
            callback(_explanation_json(customer, self._replica.customers.get(customer), attributes))

    # ---- helpers ----

    def _is_customer(self, customer: str, callback: ResultCallback) -> bool:
        """Return whether the settings have the customer; if not, pass an error to the callback."""
        self._core.start_turn()
        if customer in self._service.config.customers:
            return True
        callback(UnknownCustomerError(f"{customer!r} is no customer in this runner's settings"))
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
        self, customer: str, wait: bool, callback: ResultCallback
    ) -> Callable[[RevisionId | DistributionError], None]:
        def on_change(result: RevisionId | DistributionError) -> None:
            if isinstance(result, Exception):
                callback(result)
            elif wait:
                self._wait_for_propagation(customer, result, callback)
            else:
                callback(_change_json(customer, result))

        return on_change

    def _wait_for_propagation(self, customer: str, revision_id: RevisionId, callback: ResultCallback) -> None:
        """Call back with the seats that lack the change once they are known.

        The propagation of a deletion is complete if every seat has it, since a seat that seems down may be serving on
        the other side of a network partition. The propagation of a revision is complete if all live seats have it.
        """
        change = _change_json(customer, revision_id)
        started_us = self._core.clock.now

        def on_lacking_seats(lacking: dict[str, str]) -> None:
            lacking_live = [seat for seat, reason in lacking.items() if reason not in ABSENT_REASONS]
            lacking_required = lacking if change["deleted"] else lacking_live
            callback(
                change
                | {
                    "complete": not lacking_required,
                    "lacking": lacking,
                    "took_ms": (self._core.clock.now - started_us) / MS,
                }
            )

        self._replica.propagation.propagate(customer, revision_id, on_lacking_seats)
