"""Revisions and histories as a majority of the register has them, rather than as they are current at this member."""

from __future__ import annotations

from collections.abc import Callable, Container

from ..leadership.directory import Reading
from ..leadership.errors import LeadershipError
from ..leadership.participant import Participant
from ..namespaces.current_revisions import Revision
from ..namespaces.errors import NamespaceError, RevisionNotRetainedError
from ..namespaces.revision_history import RevisionHistory, decode_history
from ..namespaces.revision_id import RevisionId
from .errors import DistributionError, error_from_wire
from .publisher import HistoryCallback, duty_of
from .revision_fetching import RevisionFetcher
from .services import DraftReader


class RegisterReader:
    """Reads customers' histories from the registers of their leases."""

    def __init__(
        self,
        participant: Participant,
        led_here: Container[str],
        revisions: RevisionFetcher,
        reader: DraftReader,
    ) -> None:
        """`led_here`: names of the leases that this member's publishers hold."""
        self._directory = participant.directory
        self._led_here = led_here
        self._revisions = revisions
        self._reader = reader

    def history(self, customer: str, then: HistoryCallback) -> None:
        """Call `then` with the namespace's incarnation and its history.

        Read by the leader itself, no change that it has given up on is accepted afterwards.
        """
        name = duty_of(customer)

        def read(got: Reading | LeadershipError) -> None:
            if isinstance(got, LeadershipError):
                then(got)
                return
            try:
                history = decode_history(got.state or b"", customer)
            except ValueError as exc:
                then(error_from_wire("Damaged", str(exc)))  # type: ignore[arg-type]  # a LeadershipError
                return
            then((got.record.generation, history))

        self._directory.read(name, read, after_abandoned_changes=name in self._led_here)

    def draft(self, customer: str, revision_id: RevisionId, then: Callable[[bytes | None], None]) -> None:
        """Call `then` with the draft of exactly that revision; None where it is not there or not readable."""
        incarnation, number = revision_id

        def got_history(got: tuple[int, RevisionHistory] | LeadershipError) -> None:
            entry = None if isinstance(got, LeadershipError) or got[0] != incarnation else got[1].find(number)
            then(None if entry is None else entry.draft)

        self.history(customer, got_history)

    def revision(
        self,
        customer: str,
        revision_id: RevisionId,
        then: Callable[[Revision | DistributionError], None],
    ) -> None:
        """Call `then` with exactly that revision, current or not, or with an error.

        For work that another runner has begun under it. `RevisionNotRetainedError` where it is retained no longer.
        """
        current = self._revisions.customers.get(customer)
        if current is not None and current.revision_id == revision_id:
            then(current)
            return
        incarnation, number = revision_id

        def got_history(got: tuple[int, RevisionHistory] | LeadershipError) -> None:
            if isinstance(got, LeadershipError):
                then(got)
                return
            entry = got[1].find(number) if got[0] == incarnation else None
            if entry is None:
                then(RevisionNotRetainedError(f"revision {number} of {customer!r} is kept no longer"))
                return
            draft = entry.draft
            self._reader.read(
                draft,
                lambda read: then(
                    read if isinstance(read, NamespaceError) else Revision(customer, revision_id, read, draft)
                ),
            )

        self.history(customer, got_history)
