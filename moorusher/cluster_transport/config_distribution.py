"""Connects a replica of customers' revisions to this process: its disk, its thread for drafts, its requests."""

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
    """Return what rules may look at of a request.

    A split of a request without a key goes by its caller's subject, else by its own id: then its retries may differ.
    """
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

    replica: Replica, the revisions that are current here.
    store: Store of them on disk; None without a journal folder.
    ready: bool, False from `start` until the replica knows what others have; nothing is served meanwhile.
    """

    def __init__(self, duties: DutyLink, config: NamespacesConfig, reactor: Any) -> None:
        self.duties = duties
        self.config = config
        self.core = duties.core
        self._pool = DaemonThreadPool(0, 1, name="drafts")
        self._parser = DraftParser(reactor, self._pool, self.core.begin_turn)
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
        """Load the stored revisions, and ask the other runners for later ones."""
        self.ready = False
        sys.setswitchinterval(SWITCH_INTERVAL_S)
        self._pool.start()
        stored = [] if self.store is None else self.store.open()
        if stored:
            log.info("namespaces: %d customers' rules found on disk", len(stored))
        self.replica.start(stored, round(self.config.startup_wait_ms * MS))

    def close(self) -> None:
        """Write what is not on disk yet."""
        if self.store is not None:
            self.store.close()

    def follow(self, config: NamespacesConfig) -> None:
        """Take other grants and budgets at once; published revisions stay as they are."""
        self.config = config

    # ---- core.routes.Routes ----

    def rule(self, arrival: Arrival, tenant: str | None) -> RoutingDecision | None:
        """Return what the tenant's rules decide; None where the platform's default applies."""
        if tenant is None or tenant not in self.config.customers:
            return None
        revision = self.replica.customers.get(tenant)
        if revision is None:
            return None
        return decide_route(revision, attributes_of(arrival))

    def ruling(
        self,
        arrival: Arrival,
        revision_id: RevisionId | None,
        then: Callable[[RoutingDecision | DistributionError | None], None],
    ) -> None:
        """Decide for work of another runner by the very revision that it was read under; None: there was none."""
        customer = arrival.tenant
        if revision_id is None or customer is None:
            then(None)
            return

        def found(got: Revision | DistributionError) -> None:
            then(decide_route(got, attributes_of(arrival)) if isinstance(got, Revision) else got)

        self.replica.register.revision(customer, revision_id, found)

    # ---- leadership ----

    def work(self, lease: LeaseHolder) -> Publisher:
        """Create the worker for a customer's lease."""
        return self.replica.work(lease)

    # ---- config_distribution.services.ReplicaHost ----

    def grant_of(self, customer: str) -> Grant | None:
        """Return what is granted to a customer; None where the settings have no such customer."""
        found = self.config.customers.get(customer)
        return None if found is None else found.grant

    def publishing_limits(self, customer: str) -> PublishingLimits:
        """Return how much a customer may publish and retain."""
        found = self.config.customers.get(customer)
        return PublishingLimits() if found is None else found.publishing_limits

    def check(self, draft: bytes, grant: Grant, then: Callable[[NamespaceError | None], None]) -> None:
        """Call `then` with what is wrong with a draft, or None."""
        self._parser.parse(draft, grant, lambda got: then(got if isinstance(got, NamespaceError) else None))

    def read(self, draft: bytes, then: Callable[[Namespace | NamespaceError], None]) -> None:
        """Parse a draft that was published."""
        self._parser.parse(draft, None, then)

    def store_revision(self, customer: str, revision_id: RevisionId, draft: bytes | None) -> None:
        """Store the current revision; None: the namespace is deleted."""
        if self.store is not None:
            self.store.put(customer, revision_id, draft)

    def unix_ms(self) -> int:
        """Return the wall-clock time."""
        return time.time_ns() // 1_000_000

    def became_ready(self) -> None:
        """Begin to serve."""
        self.ready = True
        log.info("namespaces: %d customers' rules are known here", len(self.replica.customers))
        if not self.replica.member.live_peers() and len(self.replica.member.seats) > 1:
            log.warning(
                "namespaces: no other runner was heard of: who is not known here gets the platform's default, "
                "and rules may be older than elsewhere, until one is"
            )

    def changed(self, customer: str) -> None:
        """Another revision is current, or none."""
        log.info("namespaces: %s is at %s here", customer, self.replica.customers.latest_id(customer))
