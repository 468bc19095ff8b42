"""Anti-entropy: two members compare digests of their revisions, and whoever has less requests what it lacks.

Each member compares with one other in each period, by digests of `BUCKETS` parts of the customers: the number of
messages a member does not grow with seats or customers. A process that starts compares with one peer after the other
until it knows what they have; then it is ready.
"""

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
from .services import Member, ObtainsRevisions

BUCKETS = 64
PERIOD_US = 1_000 * MS
STARTUP_PERIOD_US = 60 * MS
MAX_LISTED = 500  # customers in one message
MAX_CONCURRENT_REQUESTS = 4
REQUEST_TIMEOUT_US = 600 * MS
MAX_MISSING = 20_000  # customers


def bucket_of(customer: str) -> int:
    """Return the index of the bucket that a customer belongs to."""
    return xxhash.xxh32_intdigest(customer.encode()) % BUCKETS


class ComparingMember(Member, Protocol):
    """What anti-entropy uses of a member."""

    def random(self) -> float:
        """Return a number from 0 up to, without, 1."""
        ...

    def live_peers(self) -> list[str]:
        """Return the other seats that are alive."""
        ...


class KnownRevisions(ObtainsRevisions, Protocol):
    """What anti-entropy uses of a member's revisions."""

    def known(self, customer: str) -> tuple[RevisionId, bool]:
        """Return the latest revision, and whether it is a deletion."""
        ...


@dataclass(slots=True, eq=False)
class _Missing:
    """A revision that `seat` has and this member lacks."""

    revision_id: RevisionId
    deleted: bool
    seat: str


class AntiEntropy:
    """Finds what a member lacks by comparing digests, and requests it.

    ready: whether this member knows what the others have, or has stopped waiting for it.
    """

    def __init__(
        self,
        member: ComparingMember,
        revisions: KnownRevisions,
        seat_count: int,
        on_ready: Callable[[], None],
    ) -> None:
        """`on_ready`: called once."""
        self.ready = False
        self._member = member
        self._revisions = revisions
        self._seat_count = seat_count
        self._on_ready = on_ready
        self._customers: list[set[str]] = [set() for _ in range(BUCKETS)]
        self._digests: list[int | None] = [0] * BUCKETS  # None: to be computed anew
        self._missing: dict[str, _Missing] = {}
        self._queue: deque[str] = deque()  # customers of `_missing` that are not requested yet
        self._requested: set[str] = set()  # at most MAX_CONCURRENT_REQUESTS
        self._requesting = False
        self._compared: set[str] = set()  # until ready: peers whose revisions are known here
        self._ready_peers: set[str] = set()  # subset of `_compared`: they know what the others have

    # ---- periods, readiness ----

    def start(self, ready_timeout_us: int) -> None:
        """Begin to compare; ready after the timeout at the latest, at once where there is no other seat."""
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

    def _knows_enough(self) -> bool:
        """Whether one ready peer, or so many that they are a majority with this member, have been compared with."""
        return bool(self._ready_peers) or len(self._compared) >= majority(self._seat_count) - 1

    # ---- digests ----

    def note_changed(self, customer: str) -> None:
        """A customer's revision has changed: its bucket's digest is computed anew when it is needed."""
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

    def _list(self, buckets: tuple[int, ...]) -> tuple[tuple[str, RevisionId, bool], ...]:
        listed = [
            (customer, *self._revisions.known(customer))
            for bucket in buckets
            for customer in sorted(self._customers[bucket])
        ]
        if len(listed) > MAX_LISTED:  # from a random place on: the rest comes with a later comparison
            start = int(self._member.random() * len(listed))
            listed = (listed[start:] + listed[:start])[:MAX_LISTED]
        return tuple(listed)

    # ---- messages ----

    def on_summary(self, seat: str, message: DigestSummary) -> None:
        """Answer with what is here in the buckets that differ."""
        if len(message.digests) != BUCKETS:
            return
        differing = tuple(
            bucket for bucket, theirs in enumerate(message.digests) if theirs != self._digest(bucket)
        )
        self._member.send(
            seat, DigestDifference(differing, self._list(differing), bool(differing), self.ready)
        )

    def on_difference(self, seat: str, message: DigestDifference) -> None:
        """Request what the sender has and this member lacks; list this member's own where it is wanted."""
        for customer, revision_id, deleted in message.listed:
            if revision_id > self._revisions.known(customer)[0] and len(self._missing) < MAX_MISSING:
                self._add_missing(customer, _Missing(revision_id, deleted, seat))
        if message.reply_wanted:
            buckets = tuple(bucket for bucket in message.buckets if 0 <= bucket < BUCKETS)
            self._member.send(seat, DigestDifference(buckets, self._list(buckets), False, self.ready))
        if not self.ready:
            self._compared.add(seat)
            if message.ready:
                self._ready_peers.add(seat)
        self._request_next()

    # ---- requests ----

    def _add_missing(self, customer: str, missing: _Missing) -> None:
        before = self._missing.get(customer)
        if before is None:
            self._queue.append(customer)
        if before is None or before.revision_id < missing.revision_id:
            self._missing[customer] = missing

    def _request_next(self) -> None:
        # A request that ends at once comes back here. `_requesting` makes that return to the loop below: thousands in
        # a row would exceed the recursion limit.
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
        if not self.ready and not self._queue and not self._requested and self._knows_enough():
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
                del self._missing[customer]  # one that failed is found by a later comparison
            else:
                self._queue.append(customer)
            self._request_next()

        self._revisions.obtain(customer, missing.revision_id, missing.deleted, None, missing.seat, finish)
        if not finished:
            self._member.call_at(self._member.now() + REQUEST_TIMEOUT_US, finish)
