"""Reading of histories and revisions from a majority of the register, instead of this member's current revisions."""

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
        held_leases: Container[str],
        revisions: RevisionFetcher,
        reader: DraftReader,
    ) -> None:
        """Initialize with the names of the leases that this member's publishers hold."""
        self._directory = participant.directory
        self._held_leases = held_leases
        self._revisions = revisions
        self._reader = reader

    def history(self, customer: str, callback: HistoryCallback) -> None:
        """Call `callback` with the namespace's incarnation and its history.

        If this member is the leader, the read also prevents later acceptance of changes that it has abandoned.
        """
        name = duty_of(customer)

        def on_read(result: Reading | LeadershipError) -> None:
            if isinstance(result, LeadershipError):
                callback(result)
                return
            try:
                history = decode_history(result.state or b"", customer)
            except ValueError as exc:
                callback(error_from_wire("Damaged", str(exc)))  # type: ignore[arg-type]  # This is a LeadershipError.
                return
            callback((result.record.generation, history))

        self._directory.read(name, on_read, after_abandoned_changes=name in self._held_leases)

    def draft(self, customer: str, revision_id: RevisionId, callback: Callable[[bytes | None], None]) -> None:
        """Call `callback` with the draft of exactly that revision, or with None if it can't be read."""
        incarnation, number = revision_id

        def on_history(result: tuple[int, RevisionHistory] | LeadershipError) -> None:
            entry = (
                None
                if isinstance(result, LeadershipError) or result[0] != incarnation
                else result[1].find(number)
            )
            callback(None if entry is None else entry.draft)

        self.history(customer, on_history)

    def revision(
        self,
        customer: str,
        revision_id: RevisionId,
        callback: Callable[[Revision | DistributionError], None],
    ) -> None:
        """Call `callback` with exactly that revision, current or not, or with an error.

        Used for work that another runner started under that revision. The error is `RevisionNotRetainedError` if the
        revision is no longer retained.
        """
        current = self._revisions.customers.get(customer)
        if current is not None and current.revision_id == revision_id:
            callback(current)
            return
        incarnation, number = revision_id

        def on_history(result: tuple[int, RevisionHistory] | LeadershipError) -> None:
            if isinstance(result, LeadershipError):
                callback(result)
                return
            entry = result[1].find(number) if result[0] == incarnation else None
            if entry is None:
                callback(RevisionNotRetainedError(f"revision {number} of {customer!r} is kept no longer"))
                return
            draft = entry.draft
            self._reader.read(
                draft,
                lambda parsed: callback(
                    parsed
                    if isinstance(parsed, NamespaceError)
                    else Revision(customer, revision_id, parsed, draft)
                ),
            )

        self.history(customer, on_history)
