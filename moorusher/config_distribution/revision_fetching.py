"""Fetching of revisions at one member: a draft is received or requested, parsed and made current.

A customer's current revision is replaced as a whole, and only by a later revision.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from ..namespaces.current_revisions import CurrentRevisions, Revision
from ..namespaces.errors import NamespaceError, StaleRevisionError
from ..namespaces.namespace import Namespace
from ..namespaces.revision_id import RevisionId
from ..time_units import MS
from .messages import RevisionReply, RevisionRequest
from .services import DraftReader, Member, ObtainCallback

MAX_CONCURRENT_FETCHES = 1_024  # One fetch per customer.
FETCH_TIMEOUT_US = 5_000 * MS


class FetchingMember(Member, Protocol):
    """The interface of a member that fetching uses."""

    def count(self, name: str) -> None:
        """Increment a counter."""
        ...


@dataclass(slots=True, eq=False)
class _Fetch:
    """One customer's fetch.

    Attributes:
        revision_id: The latest requested revision; (0, 0) before the first request.
        source: Seat that has the revision.
        waiting: Requested revisions with their callbacks.
        reading: Whether a draft is being parsed. No draft is requested meanwhile.
    """

    revision_id: RevisionId
    source: str
    waiting: list[tuple[RevisionId, ObtainCallback]] = field(default_factory=list)
    reading: bool = False


class RevisionFetcher:
    """One member's current revisions, and the fetches of later ones.

    Implements `dissemination.DraftSource` and `anti_entropy.KnownRevisions`.

    Attributes:
        customers: The current revisions.
    """

    def __init__(
        self,
        member: FetchingMember,
        customers: CurrentRevisions,
        reader: DraftReader,
        on_changed: Callable[[str, bytes | None], None],
    ) -> None:
        """Initialize; `on_changed` is called with a customer and its new draft, or None for a deletion."""
        self.customers = customers
        self._member = member
        self._reader = reader
        self._on_changed = on_changed
        self._fetches: dict[str, _Fetch] = {}

    # ---- current revisions, and requests for later ones ----

    def known(self, customer: str) -> tuple[RevisionId, bool]:
        """Return the latest known revision, and whether it is a deletion."""
        return self.customers.latest_id(customer), self.customers.is_deleted(customer)

    def draft(self, customer: str, revision_id: RevisionId) -> bytes | None:
        """Return the draft of exactly that revision, or None if it is not current."""
        revision = self.customers.get(customer)
        return revision.draft if revision is not None and revision.revision_id == revision_id else None

    def obtain(
        self,
        customer: str,
        revision_id: RevisionId,
        deleted: bool,
        draft: bytes | None,
        source: str,
        callback: ObtainCallback,
    ) -> None:
        """Make that revision, or a later one, current at this member.

        :param draft: None to request it from the seat `source`.
        """
        if revision_id <= self.customers.latest_id(customer):
            callback("")
            return
        if deleted:
            self._delete(customer, revision_id)
            callback("")
            return
        fetch = self._fetches.get(customer)
        if fetch is None:
            if len(self._fetches) >= MAX_CONCURRENT_FETCHES:
                callback("too many at a time")
                return
            fetch = self._start_fetch(customer, source)
        fetch.waiting.append((revision_id, callback))
        if revision_id > fetch.revision_id:
            fetch.revision_id = revision_id
            fetch.source = source
        if draft is not None:
            self._read(customer, revision_id, draft, fetch)
        elif not fetch.reading:
            self._member.send(source, RevisionRequest(customer, revision_id))

    # ---- one fetch ----

    def _start_fetch(self, customer: str, source: str) -> _Fetch:
        fetch = _Fetch((0, 0), source)
        self._fetches[customer] = fetch
        self._member.call_at(
            self._member.now() + FETCH_TIMEOUT_US,
            lambda: self._fail(customer, fetch, "it did not come in time"),
        )
        return fetch

    def _read(self, customer: str, revision_id: RevisionId, draft: bytes, fetch: _Fetch) -> None:
        fetch.reading = True

        def on_read(result: Namespace | NamespaceError) -> None:
            fetch.reading = False
            if isinstance(result, NamespaceError):
                self._member.count("namespaces: a revision that can't be read")
                self._fail(customer, fetch, f"it can't be read: {result}")
                return
            try:
                self.customers.install(Revision(customer, revision_id, result, draft))
            except StaleRevisionError:  # A later revision became current while this one was parsed.
                self._complete(customer, fetch)
                return
            self._on_changed(customer, draft)
            self._complete(customer, fetch)

        self._reader.read(draft, on_read)

    def _delete(self, customer: str, revision_id: RevisionId) -> None:
        self.customers.delete(customer, revision_id)
        self._on_changed(customer, None)

    def _complete(self, customer: str, fetch: _Fetch) -> None:
        """Call the callbacks of the requests that are now fulfilled, and continue the fetch for the others."""
        current = self.customers.latest_id(customer)
        fulfilled = [callback for revision_id, callback in fetch.waiting if revision_id <= current]
        fetch.waiting = [
            (revision_id, callback) for revision_id, callback in fetch.waiting if revision_id > current
        ]
        if not fetch.waiting and self._fetches.get(customer) is fetch:
            del self._fetches[customer]
        elif fetch.waiting and not fetch.reading:
            self._member.send(fetch.source, RevisionRequest(customer, fetch.revision_id))
        for callback in fulfilled:
            callback("")

    def _fail(self, customer: str, fetch: _Fetch, reason: str) -> None:
        if self._fetches.get(customer) is fetch:
            del self._fetches[customer]
        waiting = fetch.waiting
        fetch.waiting = []
        for _, callback in waiting:
            callback(reason)

    # ---- messages ----

    def on_request(self, seat: str, message: RevisionRequest) -> None:
        """Send the requested revision or a later one, if this member has one."""
        customer = message.customer
        revision = self.customers.get(customer)
        if revision is not None and revision.revision_id >= message.revision_id:
            self._member.reply(seat, RevisionReply(customer, revision.revision_id, False, revision.draft))
        elif (
            self.customers.is_deleted(customer) and self.customers.latest_id(customer) >= message.revision_id
        ):
            self._member.reply(seat, RevisionReply(customer, self.customers.latest_id(customer), True, b""))

    def on_reply(self, seat: str, message: RevisionReply) -> None:
        """Process a requested revision. It is ignored if no fetch needs it any more."""
        fetch = self._fetches.get(message.customer)
        if fetch is None or message.revision_id <= self.customers.latest_id(message.customer):
            return
        if message.deleted:
            self._delete(message.customer, message.revision_id)
            self._complete(message.customer, fetch)
        elif not fetch.reading:
            self._read(message.customer, message.revision_id, message.draft, fetch)
