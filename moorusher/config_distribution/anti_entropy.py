"""Anti-entropy: pairs of members compare digests of their revisions, and each requests the revisions it lacks."""

# Once per period, each member compares with one random peer. Customers are divided into `BUCKETS` buckets with one
# digest each, so the number of messages per member does not grow with the number of seats or customers. A process
# that starts compares with one peer after another. It becomes ready once it knows the revisions of its peers.

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import xxhash

from ..membership.placement import majority
from ..namespaces.revision_id import RevisionId
from ..time_units import MS
from .messages import DigestDifference, DigestSummary
from .services import Member, RevisionObtainer

BUCKETS = 64
PERIOD_US = 1_000 * MS
STARTUP_PERIOD_US = 60 * MS  # Period until this member is ready.
MAX_LISTED = 500  # Maximum number of customers in one message.
MAX_CONCURRENT_REQUESTS = 4
REQUEST_TIMEOUT_US = 600 * MS
MAX_MISSING = 20_000  # Maximum number of customers in `_missing`.


def bucket_of(customer: str) -> int:
    """Return the index of the bucket that a customer belongs to."""
    return xxhash.xxh32_intdigest(customer.encode()) % BUCKETS


class ComparingMember(Member, Protocol):
    """The interface of a member that anti-entropy uses."""

    def random(self) -> float:
        """Return a random number in [0, 1)."""
        ...

    def live_peers(self) -> list[str]:
        """Return the other seats that are alive."""
        ...


class KnownRevisions(RevisionObtainer, Protocol):
    """The interface of a member's revisions that anti-entropy uses."""

    def known(self, customer: str) -> tuple[RevisionId, bool]:
        """Return the latest known revision, and whether it is a deletion."""
        ...


@dataclass(slots=True, eq=False)
class _Missing:
    """A revision that `seat` has and this member lacks."""

    revision_id: RevisionId
    deleted: bool
    seat: str


class AntiEntropy:
    """Finds revisions that a member lacks by comparing digests, and requests them.

    Attributes:
        ready: Whether this member knows the other members' revisions, or the timeout for that has passed.
    """

    def __init__(
        self,
        member: ComparingMember,
        revisions: KnownRevisions,
        seat_count: int,
        on_ready: Callable[[], None],
    ) -> None:
        """Initialize; `on_ready` is called once, when `ready` becomes true."""
        self.ready = False
        self._member = member
        self._revisions = revisions
        self._seat_count = seat_count
        self._on_ready = on_ready
        self._customers: list[set[str]] = [set() for _ in range(BUCKETS)]
        self._digests: list[int | None] = [0] * BUCKETS  # None if the digest must be recomputed.
        self._missing: dict[str, _Missing] = {}
        self._queue: deque[str] = deque()  # Customers of `_missing` that have not been requested yet.
        self._requested: set[str] = set()  # At most MAX_CONCURRENT_REQUESTS customers.
        self._requesting = False
        # Peers whose digests this member has compared with its own. No longer updated once this member is ready.
        self._compared: set[str] = set()
        self._ready_peers: set[str] = set()  # The peers in `_compared` that were ready themselves.

    # ---- periods, readiness ----

    def start(self, ready_timeout_us: int) -> None:
        """Start comparing; become ready at once if there is no other seat, and at the latest after the timeout."""
        if self._seat_count == 1:
            self._become_ready()
            return
        self._member.call_at(self._member.now() + ready_timeout_us, self._become_ready)
        self._run_period()

    def _become_ready(self) -> None:
        if not self.ready:
            self.ready = True
            self._on_ready()

    def _run_period(self) -> None:
        period_us = PERIOD_US if self.ready else STARTUP_PERIOD_US
        self._member.call_at(self._member.now() + period_us, self._run_period)
        peers = self._member.live_peers()
        if not self.ready:
            peers = [seat for seat in peers if seat not in self._compared]
        if peers:
            peer = peers[int(self._member.random() * len(peers))]
            self._member.send(peer, DigestSummary(self.digests(), self.ready))

    def _has_enough_comparisons(self) -> bool:
        """Return whether the compared peers include a ready one, or form a majority together with this member."""
        return bool(self._ready_peers) or len(self._compared) >= majority(self._seat_count) - 1

    # ---- digests ----

    def mark_changed(self, customer: str) -> None:
        """Record that a customer's revision has changed. The digest of its bucket is recomputed on demand."""
        bucket = bucket_of(customer)
        self._customers[bucket].add(customer)
        self._digests[bucket] = None

    def _digest(self, bucket: int) -> int:
        digest = self._digests[bucket]
        if digest is None:
            digest = 0
            for customer in self._customers[bucket]:
                (incarnation, number), deleted = self._revisions.known(customer)
                if incarnation:
                    entry = f"{incarnation} {number} {deleted} {customer}"
                    digest ^= xxhash.xxh64_intdigest(entry.encode())
            self._digests[bucket] = digest
        return digest

    def digests(self) -> tuple[int, ...]:
        """Return the digest of each bucket."""
        return tuple(self._digest(bucket) for bucket in range(BUCKETS))

    def _list_revisions(self, buckets: tuple[int, ...]) -> tuple[tuple[str, RevisionId, bool], ...]:
        listed = [
            (customer, *self._revisions.known(customer))
            for bucket in buckets
            for customer in sorted(self._customers[bucket])
        ]
        if len(listed) > MAX_LISTED:  # Start at a random position, so that later comparisons list the others.
            start = int(self._member.random() * len(listed))
            listed = (listed[start:] + listed[:start])[:MAX_LISTED]
        return tuple(listed)

    # ---- messages ----

    def on_summary(self, seat: str, message: DigestSummary) -> None:
        """Reply with this member's revisions in the buckets that differ."""
        if len(message.digests) != BUCKETS:
            return
        differing = tuple(
            bucket
            for bucket, peer_digest in enumerate(message.digests)
            if peer_digest != self._digest(bucket)
        )
        self._member.reply(
            seat, DigestDifference(differing, self._list_revisions(differing), bool(differing), self.ready)
        )

    def on_difference(self, seat: str, message: DigestDifference) -> None:
        """Request the sender's revisions that this member lacks; reply with this member's revisions if asked."""
        for customer, revision_id, deleted in message.listed:
            if revision_id > self._revisions.known(customer)[0] and len(self._missing) < MAX_MISSING:
                self._add_missing(customer, _Missing(revision_id, deleted, seat))
        if message.reply_wanted:
            buckets = tuple(bucket for bucket in message.buckets if 0 <= bucket < BUCKETS)
            self._member.reply(
                seat, DigestDifference(buckets, self._list_revisions(buckets), False, self.ready)
            )
        if not self.ready:
            self._compared.add(seat)
            if message.ready:
                self._ready_peers.add(seat)
        self._request_next()

    # ---- requests ----

    def _add_missing(self, customer: str, missing: _Missing) -> None:
        existing = self._missing.get(customer)
        if existing is None:
            self._queue.append(customer)
        if existing is None or existing.revision_id < missing.revision_id:
            self._missing[customer] = missing

    def _request_next(self) -> None:
        # A request that ends synchronously calls this method again. `_requesting` makes that call return to the loop
        # below, because recursion for thousands of requests in a row would exceed the recursion limit.
        if self._requesting:
            return
        self._requesting = True
        while self._queue and len(self._requested) < MAX_CONCURRENT_REQUESTS:
            customer = self._queue.popleft()
            missing = self._missing.get(customer)
            if missing is None or missing.revision_id <= self._revisions.known(customer)[0]:
                self._missing.pop(customer, None)
                continue
            self._request(customer, missing)
        self._requesting = False
        if not self.ready and not self._queue and not self._requested and self._has_enough_comparisons():
            self._become_ready()

    def _request(self, customer: str, missing: _Missing) -> None:
        self._requested.add(customer)
        finished = False

        def finish(reason: str = "") -> None:
            nonlocal finished
            if finished:
                return
            finished = True
            self._requested.discard(customer)
            if self._missing.get(customer) is missing:
                # If the request failed, a later comparison finds the revision again.
                del self._missing[customer]
            else:
                self._queue.append(customer)
            self._request_next()

        self._revisions.obtain(customer, missing.revision_id, missing.deleted, None, missing.seat, finish)
        if not finished:
            self._member.call_at(self._member.now() + REQUEST_TIMEOUT_US, finish)
