"""Customers' namespaces, carried out: drafts read in a thread, what is had kept on disk, the seams of the core and of
the fleet to them, what the administration API asks.
"""

from __future__ import annotations

import gc
import logging
import sys
import time
from collections.abc import Callable
from pathlib import Path
from threading import Thread
from typing import Any

from twisted.internet.threads import deferToThreadPool
from twisted.python.threadpool import ThreadPool

from ..config.namespaces import NamespacesConfig
from ..config_distribution.errors import DistributionError
from ..config_distribution.messages import RevisionId
from ..config_distribution.propagation import DELETED_NUMBER
from ..config_distribution.publisher import Publisher
from ..config_distribution.replica import Replica
from ..core.clock import MS
from ..core.requests import Arrival
from ..leadership.errors import DutyError
from ..leadership.lease_holder import LeaseHolder
from ..namespaces.customers import Revision
from ..namespaces.document import Namespace, read
from ..namespaces.errors import NamespaceError, NoSuchCustomer
from ..namespaces.policy import Bounds, Granted
from ..namespaces.revisions import Book, Submission, difference
from ..namespaces.rules import Asked
from ..routing.route import RoutingDecision, decide_route
from ..storage.revisions import Store
from .leadership import DutyLink

log = logging.getLogger("moorusher")

SWITCH_S = (
    0.0005  # a turn waits so long for a thread that reads a draft: with the usual 5 ms each turn is 6 ms late
)
LARGE = 32 << 10  # bytes of a draft
Told = Callable[[dict[str, Any] | DistributionError], None]


def asked_of(arrival: Arrival) -> Asked:
    """Splits of a request without a key go by its caller's subject, else by its own name: its tries then may differ."""
    key = arrival.token or ""
    subject = -1 if arrival.subject is None else arrival.subject
    return Asked(
        arrival.class_name,
        arrival.caller,
        subject,
        arrival.rank,
        key,
        f"{subject}" if arrival.subject is not None else arrival.rid,
    )


class _Daemon(Thread):
    def __init__(self, *args: Any, **how: Any) -> None:
        super().__init__(*args, daemon=True, **how)


class Pool(ThreadPool):
    """Its thread ends with the program, whatever it reads then."""

    threadFactory = _Daemon


class NamespaceLink:
    """`publishing.replica.Host` towards the fleet, `core.hooks.routes.Routes` towards the core."""

    def __init__(self, duties: DutyLink, config: NamespacesConfig, reactor: Any) -> None:
        self.duties, self.config, self.core = duties, config, duties.core
        self._reactor = reactor
        self._pool = Pool(0, 1, name="drafts")
        self.replica = Replica(duties.participant, self, config.most)
        self.ready = True  # until it asks others: nothing is served before that
        journal = duties.fleet.config.journal
        self.store = (
            Store(reactor, Path(journal) / "namespaces.db", self._pool, self.core.counters.add)
            if journal
            else None
        )
        duties.namespaces = self
        duties.fleet.namespaces = self
        self.core.hooks.routes = self

    def start(self) -> None:
        self.ready = False
        sys.setswitchinterval(SWITCH_S)
        self._pool.start()
        stored = [] if self.store is None else self.store.open()
        if stored:
            log.info("namespaces: %d customers' rules found on disk", len(stored))
        self.replica.start(stored, round(self.config.start_ms * MS))

    def close(self) -> None:
        if self.store is not None:
            self.store.close()

    def follow(self, config: NamespacesConfig) -> None:
        """Other grants and budgets: at once. What was published stays as it is."""
        self.config = config

    # ---- for the core: `Routes` ----

    def rule(self, arrival: Arrival, tenant: str | None) -> RoutingDecision | None:
        if tenant is None or tenant not in self.config.customers:
            return None
        revision = self.replica.customers.of(tenant)
        if revision is None:
            return None
        return decide_route(revision, asked_of(arrival))

    # ---- for work of other runners ----

    def ruling(
        self,
        arrival: Arrival,
        at: RevisionId | None,
        then: Callable[[RoutingDecision | DistributionError | None], None],
    ) -> None:
        """By the very revision that it was read under; `at` is None where there was none."""
        customer = arrival.tenant
        if at is None or customer is None:
            return then(None)
        return self.replica.register.revision(
            customer,
            at,
            lambda found: then(
                decide_route(found, asked_of(arrival)) if isinstance(found, Revision) else found
            ),
        )

    # ---- for the desk ----

    def granted(self, customer: str) -> Granted | None:
        found = self.config.customers.get(customer)
        return None if found is None else found.granted

    def bounds(self, customer: str) -> Bounds:
        found = self.config.customers.get(customer)
        return Bounds() if found is None else found.bounds

    def _read(
        self, draft: bytes, granted: Granted | None, then: Callable[[Namespace | NamespaceError], None]
    ) -> None:
        """In a thread: a large draft takes a second, and requests must not wait for it."""

        def work() -> Namespace | NamespaceError:
            # Half a million new objects: a collection in their midst, or the next one, would stop the loop for 80 ms.
            gc.disable()
            try:
                return read(draft, granted)
            except NamespaceError as exc:
                return exc
            finally:
                if len(draft) >= LARGE:
                    gc.freeze()
                gc.enable()

        def done(got: Any) -> None:
            self.core.begin_turn()
            then(got)

        deferToThreadPool(self._reactor, self._pool, work).addCallback(done).addErrback(
            lambda failure: log.error("namespaces: a draft could not be read: %s", failure)
        )

    def check(self, draft: bytes, granted: Granted, then: Callable[[NamespaceError | None], None]) -> None:
        self._read(draft, granted, lambda got: then(got if isinstance(got, NamespaceError) else None))

    def read(self, draft: bytes, then: Callable[[Namespace | NamespaceError], None]) -> None:
        self._read(draft, None, then)

    def keep(self, customer: str, at: RevisionId, draft: bytes | None) -> None:
        if self.store is not None:
            self.store.put(customer, at, draft)

    def unix_ms(self) -> int:
        return time.time_ns() // 1_000_000

    def became_ready(self) -> None:
        self.ready = True
        log.info("namespaces: %d customers' rules are known here", len(self.replica.customers))
        if not self.replica.member.live_peers() and len(self.duties.fleet.node.placement.names) > 1:
            log.warning(
                "namespaces: no other runner was heard of: who is not known here gets the platform's default, "
                "and rules may be older than elsewhere, until one is"
            )

    def changed(self, customer: str) -> None:
        log.info("namespaces: %s is at %s here", customer, self.replica.customers.at(customer))

    def work(self, lease: LeaseHolder) -> Publisher:
        return self.replica.work(lease)

    # ---- for operators ----

    def listed(self) -> dict[str, Any]:
        self.core.begin_turn()
        replica = self.replica
        node = replica.member.participant.node
        up = sum(m.is_alive for m in node.detector.by_seat.values())
        return {
            "ready": self.ready,
            "seats": len(node.placement.names),
            "seats_up": up,
            "cut_off": up * 2 <= len(node.placement.names),
            "store": None if self.store is None else self.store.failing or "written",
            "namespaces": [self._told(name) for name in sorted(self.config.customers)],
        }

    def _told(self, customer: str) -> dict[str, Any]:
        at, gone = self.replica.revisions.known(customer)
        return {
            "customer": customer,
            "born": at[0],
            "revision": 0 if gone else at[1],
            "deleted": gone,
            "published": at[0] > 0 and not gone,
        }

    def _known(self, customer: str, then: Told) -> bool:
        self.core.begin_turn()
        if customer in self.config.customers:
            return True
        then(NoSuchCustomer(f"{customer!r} is no customer in this runner's settings"))
        return False

    def show(self, customer: str, then: Told) -> None:
        """Through the register: what is current for the whole fleet, and which earlier ones are kept."""

        def got(found: tuple[int, Book] | DutyError) -> None:
            if isinstance(found, DutyError):
                return then(found)
            born, book = found
            now = book.current
            then(
                self._told(customer)
                | {
                    "current": True,
                    "born": born,
                    "number": book.number,
                    "here": self.replica.customers.at(customer)[1],
                    "draft": None if now is None else now.draft.decode(),
                    "revisions": [
                        {
                            "number": e.number,
                            "at_ms": e.at_ms,
                            "by": e.by,
                            "of": e.of,
                            "changes": list(difference(before.draft, e.draft))
                            if before is not None
                            else None,
                        }
                        for e in book.entries
                        for before in (book.find(e.number - 1),)
                    ],
                }
            )

        if self._known(customer, then):
            self.replica.register.book(customer, got)

    def publish(self, submission: Submission, wait: bool, then: Told) -> None:
        def over(got: RevisionId | DistributionError) -> None:
            if isinstance(got, Exception):
                return then(got)
            self._tell(submission.customer, got, wait, then)

        if self._known(submission.customer, then):
            self.replica.submit(submission, over)

    def delete(self, customer: str, wait: bool, then: Told) -> None:
        def over(got: RevisionId | DistributionError) -> None:
            if isinstance(got, Exception):
                return then(got)
            self._tell(customer, got, wait, then)

        if self._known(customer, then):
            self.replica.delete(customer, over)

    def _tell(self, customer: str, at: RevisionId, wait: bool, then: Told) -> None:
        deleted = at[1] == DELETED_NUMBER
        told: dict[str, Any] = {
            "customer": customer,
            "born": at[0],
            "revision": 0 if deleted else at[1],
            "deleted": deleted,
        }
        if not wait:
            return then(told)
        began = self.core.clock.now

        def everywhere(lacking: dict[str, str]) -> None:
            """A deletion is complete when every seat has it: one that is down may be serving on the other side of a
            cut. A revision is everywhere when all that live have it."""
            down = {s: why for s, why in lacking.items() if why in ("down", "never heard of")}
            here = lacking if deleted else {s: why for s, why in lacking.items() if s not in down}
            then(
                told
                | {"complete": not here, "lacking": lacking, "took_ms": (self.core.clock.now - began) / MS}
            )

        return self.replica.propagation.everywhere(customer, at, everywhere)

    def explain(self, customer: str, asked: Asked, then: Told) -> None:
        """Which rule decides for such a request at this runner, and what its calls would do now."""
        if not self._known(customer, then):
            return
        revision = self.replica.customers.of(customer)
        if revision is None:
            return then({"customer": customer, "revision": 0, "decides": "the platform's default"})
        ruling = decide_route(revision, asked)
        matching = [r.label for r in revision.namespace.table.rules if asked in r.match]
        hops = (
            []
            if ruling.path is None
            else [
                {
                    "route": h.route,
                    "servers": dict(h.servers),
                    "pool": h.pool,
                    "limit": h.max_in_flight,
                    "tries": h.max_attempts,
                }
                for h in ruling.path.hops
            ]
        )
        then(
            {
                "customer": customer,
                "born": revision.at[0],
                "revision": revision.at[1],
                "decides": ruling.rule or "the customer's default route",
                "refused": ruling.refusal or None,
                "way": hops,
                "also_match": [label for label in matching if label != ruling.rule],
            }
        )
