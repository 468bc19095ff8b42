"""Changes of a lease record that only its leader makes. They have no effect once the record has another term."""

from __future__ import annotations

from ..replication.work_record import Owner
from .lease_record import Intent, IntentResolution, LeaseRecord, LeaseStatus, StateVersion
from .lease_transitions import Change, intents_without, next_revision


class HolderChange(Change):
    """A change by the leader in its term.

    Attributes:
        owner: The process that holds the lease.
        generation: Generation in which the lease is held.
        term: Term in which the lease is held.
        sequence: Number of the change among the leader's changes in this term.
        allowed_while_releasing: Whether the change is possible while the lease is being released.
    """

    allowed_while_releasing = False

    def __init__(self, owner: Owner, generation: int, term: int, sequence: int) -> None:
        self.owner = owner
        self.generation = generation
        self.term = term
        self.sequence = sequence

    def is_applied_in(self, record: LeaseRecord | None) -> bool:
        """Return whether the record includes this change or a later change of the same term."""
        return record is not None and self._is_holder(record) and record.holder_sequence >= self.sequence

    def _is_holder(self, record: LeaseRecord) -> bool:
        return (record.generation, record.term, record.holder) == (self.generation, self.term, self.owner)

    def apply(self, record: LeaseRecord | None) -> LeaseRecord | None:
        """Return the changed record, or None if the lease is no longer held or the change was already applied."""
        if record is None or not self._is_holder(record) or record.holder_sequence >= self.sequence:
            return None
        is_releasing = record.status == LeaseStatus.RELEASING
        if record.status == LeaseStatus.HELD or (self.allowed_while_releasing and is_releasing):
            return self.changed(record)
        return None

    def changed(self, record: LeaseRecord) -> LeaseRecord:
        """Return the record after this change. Called only if `apply` has found the change allowed."""
        return next_revision(record, holder_sequence=self.sequence)


class IssueToken(HolderChange):
    """Creates a revision that serves as the fencing token of one request to a receiver."""


class ClearLostLeaders(HolderChange):
    """Resets the count of lost leaders.

    Made after a leader has held the lease for `probation_ms`, since the duty then is not the cause of the losses.
    """

    def changed(self, record: LeaseRecord) -> LeaseRecord:
        """Reset the count of lost leaders."""
        return next_revision(record, holder_sequence=self.sequence, lost_leaders=0)


class UpdateState(HolderChange):
    """Adds a new version of the state, whose chunks a majority has stored.

    Attributes:
        base_revision: Revision that the record must have, since the chunks were stored for a change to the next one.
        size: Size in bytes.
        chunks: Digests of the chunks, in order.
        max_versions: Number of versions to retain.
    """

    allowed_while_releasing = True

    def __init__(
        self,
        owner: Owner,
        generation: int,
        term: int,
        sequence: int,
        base_revision: int,
        size: int,
        chunks: tuple[bytes, ...],
        max_versions: int,
    ) -> None:
        super().__init__(owner, generation, term, sequence)
        self.base_revision = base_revision
        self.size = size
        self.chunks = chunks
        self.max_versions = max_versions

    def apply(self, record: LeaseRecord | None) -> LeaseRecord | None:
        """Return the changed record, or None if the record was changed concurrently."""
        if record is None or record.revision != self.base_revision:
            return None
        return super().apply(record)

    def changed(self, record: LeaseRecord) -> LeaseRecord:
        """Insert the new version first, and drop the oldest versions beyond `max_versions`."""
        version = StateVersion(record.revision + 1, self.size, self.chunks)
        versions = (version, *record.versions)[: self.max_versions]
        return next_revision(record, holder_sequence=self.sequence, versions=versions)


class AddIntent(HolderChange):
    """Records an effect before it is sent to a receiver that can't compare fencing tokens."""

    def __init__(
        self,
        owner: Owner,
        generation: int,
        term: int,
        sequence: int,
        receiver: str,
        payload: bytes,
        resolution: IntentResolution,
    ) -> None:
        super().__init__(owner, generation, term, sequence)
        self.receiver = receiver
        self.payload = payload
        self.resolution = resolution

    def changed(self, record: LeaseRecord) -> LeaseRecord:
        """Add the intent under the new revision."""
        intent = Intent(record.revision + 1, self.term, self.receiver, self.payload, self.resolution)
        return next_revision(record, holder_sequence=self.sequence, intents=(*record.intents, intent))


class CloseIntent(HolderChange):
    """Closes an intent whose outcome is known: it was executed or never will be."""

    allowed_while_releasing = True

    def __init__(self, owner: Owner, generation: int, term: int, sequence: int, intent_revision: int) -> None:
        super().__init__(owner, generation, term, sequence)
        self.intent_revision = intent_revision

    def changed(self, record: LeaseRecord) -> LeaseRecord:
        """Remove the intent."""
        return next_revision(
            record, holder_sequence=self.sequence, intents=intents_without(record, self.intent_revision)
        )


class StartRelease(HolderChange):
    """Announces that the leader accepts no new effects and will release the lease."""

    def changed(self, record: LeaseRecord) -> LeaseRecord:
        """Set the status to RELEASING."""
        return next_revision(record, holder_sequence=self.sequence, status=LeaseStatus.RELEASING)


class ReleaseLease(HolderChange):
    """Releases the lease.

    Attributes:
        offered_to: Seat that receives the first offer; empty for any candidate.
    """

    allowed_while_releasing = True

    def __init__(self, owner: Owner, generation: int, term: int, sequence: int, offered_to: str) -> None:
        super().__init__(owner, generation, term, sequence)
        self.offered_to = offered_to

    def changed(self, record: LeaseRecord) -> LeaseRecord:
        """Make the lease available, and reset the count of lost leaders."""
        return next_revision(
            record,
            holder_sequence=self.sequence,
            status=LeaseStatus.OFFERED if self.offered_to else LeaseStatus.VACANT,
            holder=None,
            offered_to=self.offered_to,
            lost_leaders=0,
        )

    def is_applied_in(self, record: LeaseRecord | None) -> bool:
        """Return whether the lease is available or has been acquired by another member since."""
        if record is None or record.generation != self.generation:
            return False
        return record.term > self.term or (record.term == self.term and record.needs_leader)


class Suspend(HolderChange):
    """Suspends the duty until an operator resumes it.

    Attributes:
        reason: Reason of the suspension, for the operator.
        resume_generation: Minimum generation of the duty after it is resumed.
    """

    allowed_while_releasing = True

    def __init__(
        self, owner: Owner, generation: int, term: int, sequence: int, reason: str, resume_generation: int
    ) -> None:
        super().__init__(owner, generation, term, sequence)
        self.reason = reason
        self.resume_generation = resume_generation

    def changed(self, record: LeaseRecord) -> LeaseRecord:
        """Remove the holder and set the reason."""
        return next_revision(
            record,
            holder_sequence=self.sequence,
            status=LeaseStatus.SUSPENDED,
            holder=None,
            suspension_reason=self.reason,
            resume_generation=self.resume_generation,
        )

    def is_applied_in(self, record: LeaseRecord | None) -> bool:
        """Return whether the duty is suspended in this term."""
        return (
            record is not None
            and record.generation == self.generation
            and record.term == self.term
            and record.status == LeaseStatus.SUSPENDED
        )
