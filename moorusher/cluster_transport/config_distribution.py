"""Connects the replica of customers' namespaces to this process: its disk, its parser thread and its requests."""

from __future__ import annotations

import logging
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from ..config.namespaces import NamespacesConfig
from ..config_distribution.errors import DistributionError
from ..config_distribution.publisher import Publisher
from ..config_distribution.replica import Replica
from ..core.requests import Arrival
from ..leadership.lease_holder import LeaseHolder
from ..namespaces.current_revisions import Revision
from ..namespaces.errors import NamespaceError
from ..namespaces.namespace import Namespace
from ..namespaces.policy import Grant, PublishingLimits
from ..namespaces.revision_id import RevisionId
from ..namespaces.rules import RequestAttributes
from ..routing.route import RoutingDecision, decide_route
from ..storage.revisions import Store
from ..time_units import MS
from .draft_parsing import SWITCH_INTERVAL_S, DaemonThreadPool, DraftParser
from .leadership import DutyLink

log = logging.getLogger("moorusher")

STORE_FILE = "namespaces.db"


def attributes_of(arrival: Arrival) -> RequestAttributes:
    """Return the attributes of a request that rules may match."""
    # A split assigns a request without a key by its subject, or by its id if it has no subject. In the latter case a
    # retry, which has another id, may take another branch.
    subject = -1 if arrival.subject is None else arrival.subject
    return RequestAttributes(
        arrival.class_name,
        arrival.caller,
        subject,
        arrival.rank,
        arrival.token or "",
        arrival.rid if arrival.subject is None else f"{subject}",
    )


class NamespaceService:
    """Customers' namespaces in this process.

    Serves the replica as its host (`config_distribution.services.ReplicaHost`) and the request engine as
    `core.routes.Routes`.

    Attributes:
        replica: The current revisions.
        store: Store of the current revisions on disk; None without a journal folder.
        ready: False from `start` until the replica has caught up with other runners, or has stopped waiting for them.
            No request is served meanwhile.
    """

    def __init__(self, duties: DutyLink, config: NamespacesConfig, reactor: Any) -> None:
        self.duties = duties
        self.config = config
        self.core = duties.core
        self._pool = DaemonThreadPool(0, 1, name="drafts")
        self._parser = DraftParser(reactor, self._pool, self.core.start_turn)
        self.replica = Replica(duties.participant, self, config.max_tombstones)
        self.ready = True
        self.store: Store | None = None
        if journal := duties.fleet.config.journal:
            path = Path(journal) / STORE_FILE
            self.store = Store(reactor, path, self._pool, self.core.counters.add)
        duties.namespaces = self
        duties.fleet.namespaces = self
        self.core.hooks.routes = self

    def start(self) -> None:
        """Load the stored revisions, and request later ones from the other runners."""
        self.ready = False
        sys.setswitchinterval(SWITCH_INTERVAL_S)
        self._pool.start()
        stored = [] if self.store is None else self.store.open()
        if stored:
            log.info("namespaces: loaded stored revisions: customers=%d", len(stored))
        self.replica.start(stored, round(self.config.startup_wait_ms * MS))

    def close(self) -> None:
        """Write revisions that are not on disk yet, and close the store."""
        if self.store is not None:
            self.store.close()

    def reconfigure(self, config: NamespacesConfig) -> None:
        """Apply changed grants and budgets at once. Published revisions remain unchanged."""
        self.config = config

    # ---- core.routes.Routes ----

    def rule(self, arrival: Arrival, tenant: str | None) -> RoutingDecision | None:
        """Return the decision of the tenant's rules; None if the platform's default applies."""
        if tenant is None or tenant not in self.config.customers:
            return None
        revision = self.replica.customers.get(tenant)
        if revision is None:
            return None
        return decide_route(revision, attributes_of(arrival))

    def decide_by_revision(
        self,
        arrival: Arrival,
        revision_id: RevisionId | None,
        callback: Callable[[RoutingDecision | DistributionError | None], None],
    ) -> None:
        """Decide the route of another runner's work by the revision that applied there when the work was read.

        :param revision_id: None if no rules applied; `callback` then gets None.
        """
        customer = arrival.tenant
        if revision_id is None or customer is None:
            callback(None)
            return

        def on_result(result: Revision | DistributionError) -> None:
            callback(decide_route(result, attributes_of(arrival)) if isinstance(result, Revision) else result)

        self.replica.register.revision(customer, revision_id, on_result)

    # ---- leadership ----

    def work(self, lease: LeaseHolder) -> Publisher:
        """Create the worker for a customer's lease."""
        return self.replica.work(lease)

    # ---- config_distribution.services.ReplicaHost ----

    def grant_of(self, customer: str) -> Grant | None:
        """Return the grant of a customer; None if the settings don't list the customer."""
        settings = self.config.customers.get(customer)
        return None if settings is None else settings.grant

    def publishing_limits(self, customer: str) -> PublishingLimits:
        """Return the limits on what a customer may publish and retain."""
        settings = self.config.customers.get(customer)
        return PublishingLimits() if settings is None else settings.publishing_limits

    def check(self, draft: bytes, grant: Grant, then: Callable[[NamespaceError | None], None]) -> None:
        """Call `then` with the error in a draft, or None if it is valid under the grant."""
        self._parser.parse(
            draft, grant, lambda result: then(result if isinstance(result, NamespaceError) else None)
        )

    def read(self, draft: bytes, then: Callable[[Namespace | NamespaceError], None]) -> None:
        """Parse a published draft."""
        self._parser.parse(draft, None, then)

    def store_revision(self, customer: str, revision_id: RevisionId, draft: bytes | None) -> None:
        """Store the current revision. `draft` is None if the namespace is deleted."""
        if self.store is not None:
            self.store.put(customer, revision_id, draft)

    def unix_ms(self) -> int:
        """Return the wall-clock time."""
        return time.time_ns() // 1_000_000

    def became_ready(self) -> None:
        """Start to serve requests. Called when the replica has caught up, or has stopped waiting for other runners."""
        self.ready = True
        log.info("namespaces: ready to serve: customers=%d", len(self.replica.customers))
        if not self.replica.member.live_peers() and len(self.replica.member.seats) > 1:
            log.warning(
                "namespaces: no other runner responded: until one does, customers without a revision here get the "
                "platform's default, and rules may be older than on other runners"
            )

    def changed(self, customer: str) -> None:
        """Called when another revision has become current, or the namespace was deleted."""
        log.info(
            "namespaces: current revision changed: customer=%s revision=%s",
            customer,
            self.replica.customers.latest_id(customer),
        )
