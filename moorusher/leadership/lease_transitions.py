"""Every change that may be made to a lease record, as functions of the value that is found in the register.

The check of the term and the write are one step: a change by a leader makes nothing if the record has another term. So
the majority that the value was read from rejects a former leader, not a look before the write.
"""

from __future__ import annotations

import msgspec

from ..replication.work_record import Owner
from .lease_record import (
    Intent,
    LeaseRecord,
    LeaseStatus,
    Settlement,
    StateVersion,
    decode_record,
    encode_record,
)


class Change:
    """A change of a register's bytes, by `apply` on the record that they hold."""

    def __call__(self, value: bytes | None) -> bytes | None:
        """Return the new value of the register, or None if it stays as it is."""
        changed = self.apply(decode_record(value))
        return None if changed is None else encode_record(changed)

    def apply(self, record: LeaseRecord | None) -> LeaseRecord | None:
        """Return the record after the change, or None if nothing is to be changed."""
        raise NotImplementedError


def _next_revision(record: LeaseRecord, **fields: object) -> LeaseRecord:
    return msgspec.structs.replace(record, revision=record.revision + 1, **fields)


class Read(Change):
    """Changes nothing: reads the register by a majority, after which no abandoned change can come about."""

    def apply(self, record: LeaseRecord | None) -> LeaseRecord | None:
        """Return None."""
        return None


# ---- by members that don't hold the lease ----


class Create(Change):
    """Creates a duty, if there is none of its name.

    generation: int, later than all that this member knows; the one of a removed duty is exceeded in any case.
    recreate: bool, also if the name was removed before.
    """

    def __init__(self, name: str, kind: str, generation: int, recreate: bool = True) -> None:
        self.name = name
        self.kind = kind
        self.generation = generation
        self.recreate = recreate

    def apply(self, record: LeaseRecord | None) -> LeaseRecord | None:
        """Return a vacant record, or None if the duty exists."""
        if record is None:
            return self._vacant(self.generation)
        if record.status == LeaseStatus.REMOVED and self.recreate:
            return self._vacant(max(self.generation, record.generation + 1))
        return None

    def _vacant(self, generation: int) -> LeaseRecord:
        return LeaseRecord(self.name, self.kind, generation, 0, 0, LeaseStatus.VACANT)


class AcquireLease(Change):
    """Takes the lease in the next term, by the member that was offered it.

    owner: the process that takes it.
    expected: (generation, term) that the offer was made for.
    leader_lost: bool, the former leader was lost, which counts against the duty.
    max_lost_leaders: int, losses one after another after which the duty is suspended instead.
    former_holder: who held it, as last read.
    """

    def __init__(
        self, owner: Owner, expected: tuple[int, int], leader_lost: bool, max_lost_leaders: int
    ) -> None:
        self.owner = owner
        self.expected = expected
        self.leader_lost = leader_lost
        self.max_lost_leaders = max_lost_leaders
        self.former_holder: Owner | None = None

    def apply(self, record: LeaseRecord | None) -> LeaseRecord | None:
        """Return the record of the next term, or None if the offer is out of date."""
        if record is None or (record.generation, record.term) != self.expected:
            return None
        if record.needs_leader:
            return self._acquired(record, record.lost_leaders)
        if not record.is_led or record.holder == self.owner:
            return None
        self.former_holder = record.holder
        lost_leaders = record.lost_leaders + self.leader_lost
        if self.leader_lost and lost_leaders >= self.max_lost_leaders:
            return self._suspended(record, lost_leaders)
        return self._acquired(record, lost_leaders)

    def _acquired(self, record: LeaseRecord, lost_leaders: int) -> LeaseRecord:
        return _next_revision(
            record,
            term=record.term + 1,
            status=LeaseStatus.HELD,
            holder=self.owner,
            holder_sequence=0,
            offered_to="",
            lost_leaders=lost_leaders,
        )

    def _suspended(self, record: LeaseRecord, lost_leaders: int) -> LeaseRecord:
        last_seat = "nobody" if record.holder is None else record.holder.seat
        return _next_revision(
            record,
            term=record.term + 1,
            status=LeaseStatus.SUSPENDED,
            holder=None,
            holder_sequence=0,
            lost_leaders=lost_leaders,
            suspension_reason=f"{lost_leaders} owners were lost one after the other, the last one {last_seat}",
        )


# ---- by the leader ----


class HolderChange(Change):
    """A change by the leader in its term: the `sequence`th that it makes.

    owner: the process that holds the lease.
    generation, term: int, that the lease is held for.
    allowed_while_releasing: bool, of the kind of change.
    """

    allowed_while_releasing = False

    def __init__(self, owner: Owner, generation: int, term: int, sequence: int) -> None:
        self.owner = owner
        self.generation = generation
        self.term = term
        self.sequence = sequence

    def is_applied_in(self, record: LeaseRecord | None) -> bool:
        """Whether that record holds this change, or a later one of the same term."""
        return record is not None and self._is_holder(record) and record.holder_sequence >= self.sequence

    def _is_holder(self, record: LeaseRecord) -> bool:
        return (record.generation, record.term, record.holder) == (self.generation, self.term, self.owner)

    def apply(self, record: LeaseRecord | None) -> LeaseRecord | None:
        """Return the changed record, or None if the lease is not held any more or the change was made already."""
        if record is None or not self._is_holder(record) or record.holder_sequence >= self.sequence:
            return None
        is_releasing = record.status == LeaseStatus.RELEASING
        if record.status == LeaseStatus.HELD or (self.allowed_while_releasing and is_releasing):
            return self.changed(record)
        return None

    def changed(self, record: LeaseRecord) -> LeaseRecord:
        """Return the record after this change. Called only if the lease is held."""
        return _next_revision(record, holder_sequence=self.sequence)


class IssueToken(HolderChange):
    """Makes a new revision: the fencing token of one request to a receiver."""


class ClearLostLeaders(HolderChange):
    """The leader has held the duty for long enough: earlier losses are not the duty's fault."""

    def changed(self, record: LeaseRecord) -> LeaseRecord:
        """Reset the count of lost leaders."""
        return _next_revision(record, holder_sequence=self.sequence, lost_leaders=0)


class UpdateState(HolderChange):
    """Names a new version of the state, whose chunks a majority has stored.

    base_revision: int, the record must have it: the chunks are marked for the revision that follows, and no other.
    size: int, bytes.
    chunks: digests, in order.
    max_versions: int, that are kept.
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
        """Return the changed record, or None if another revision came between."""
        if record is None or record.revision != self.base_revision:
            return None
        return super().apply(record)

    def changed(self, record: LeaseRecord) -> LeaseRecord:
        """Put the new version first, and drop the oldest beyond `max_versions`."""
        version = StateVersion(record.revision + 1, self.size, self.chunks)
        versions = (version, *record.versions)[: self.max_versions]
        return _next_revision(record, holder_sequence=self.sequence, versions=versions)


class AddIntent(HolderChange):
    """Chooses an effect before it is made, at a receiver that can't compare fencing tokens."""

    def __init__(
        self,
        owner: Owner,
        generation: int,
        term: int,
        sequence: int,
        receiver: str,
        payload: bytes,
        settlement: Settlement,
    ) -> None:
        super().__init__(owner, generation, term, sequence)
        self.receiver = receiver
        self.payload = payload
        self.settlement = settlement

    def changed(self, record: LeaseRecord) -> LeaseRecord:
        """Add the intent under the new revision."""
        intent = Intent(record.revision + 1, self.term, self.receiver, self.payload, self.settlement)
        return _next_revision(record, holder_sequence=self.sequence, intents=(*record.intents, intent))


class CloseIntent(HolderChange):
    """The outcome of an intent is known: it was done, or never will be."""

    allowed_while_releasing = True

    def __init__(self, owner: Owner, generation: int, term: int, sequence: int, intent_revision: int) -> None:
        super().__init__(owner, generation, term, sequence)
        self.intent_revision = intent_revision

    def changed(self, record: LeaseRecord) -> LeaseRecord:
        """Remove the intent."""
        return _next_revision(
            record, holder_sequence=self.sequence, intents=_intents_without(record, self.intent_revision)
        )


class BeginRelease(HolderChange):
    """The leader starts nothing new: it is about to release the lease."""

    def changed(self, record: LeaseRecord) -> LeaseRecord:
        """Set the status."""
        return _next_revision(record, holder_sequence=self.sequence, status=LeaseStatus.RELEASING)


class ReleaseLease(HolderChange):
    """Gives the lease up. `offered_to`: the seat that is offered it first; empty for any candidate."""

    allowed_while_releasing = True

    def __init__(self, owner: Owner, generation: int, term: int, sequence: int, offered_to: str) -> None:
        super().__init__(owner, generation, term, sequence)
        self.offered_to = offered_to

    def changed(self, record: LeaseRecord) -> LeaseRecord:
        """Free the lease; a release in order is no loss."""
        return _next_revision(
            record,
            holder_sequence=self.sequence,
            status=LeaseStatus.OFFERED if self.offered_to else LeaseStatus.VACANT,
            holder=None,
            offered_to=self.offered_to,
            lost_leaders=0,
        )

    def is_applied_in(self, record: LeaseRecord | None) -> bool:
        """Whether the lease is free or was taken by another since."""
        if record is None or record.generation != self.generation:
            return False
        return record.term > self.term or (record.term == self.term and record.needs_leader)


class Suspend(HolderChange):
    """The duty waits for an operator.

    reason: str, for the operator.
    resume_generation: int, the least generation that it gets when it is resumed.
    """

    allowed_while_releasing = True

    def __init__(
        self, owner: Owner, generation: int, term: int, sequence: int, reason: str, resume_generation: int
    ) -> None:
        super().__init__(owner, generation, term, sequence)
        self.reason = reason
        self.resume_generation = resume_generation

    def changed(self, record: LeaseRecord) -> LeaseRecord:
        """Free the lease and note the reason."""
        return _next_revision(
            record,
            holder_sequence=self.sequence,
            status=LeaseStatus.SUSPENDED,
            holder=None,
            suspension_reason=self.reason,
            resume_generation=self.resume_generation,
        )

    def is_applied_in(self, record: LeaseRecord | None) -> bool:
        """Whether the duty is suspended in this term."""
        return (
            record is not None
            and record.generation == self.generation
            and record.term == self.term
            and record.status == LeaseStatus.SUSPENDED
        )


# ---- by an operator ----


class Resume(Change):
    """Lets a suspended duty go on, above every generation that its receiver was seen to know."""

    def apply(self, record: LeaseRecord | None) -> LeaseRecord | None:
        """Return the vacant record, or None if the duty is not suspended."""
        if record is None or record.status != LeaseStatus.SUSPENDED:
            return None
        return _next_revision(
            record,
            status=LeaseStatus.VACANT,
            lost_leaders=0,
            suspension_reason="",
            generation=max(record.generation, record.resume_generation),
            resume_generation=0,
        )


class SettleIntent(Change):
    """An operator's statement that an open intent is settled."""

    def __init__(self, intent_revision: int) -> None:
        self.intent_revision = intent_revision

    def apply(self, record: LeaseRecord | None) -> LeaseRecord | None:
        """Return the record without the intent, or None if it is not open."""
        if record is None or all(intent.revision != self.intent_revision for intent in record.intents):
            return None
        return _next_revision(record, intents=_intents_without(record, self.intent_revision))


class Remove(Change):
    """Removes a duty and supersedes its leader. The generation stays: a duty of this name made later is another."""

    def __init__(self, generation: int) -> None:
        self.generation = generation

    def apply(self, record: LeaseRecord | None) -> LeaseRecord | None:
        """Return the removed record, or None if it is removed or of another generation."""
        if record is None or record.status == LeaseStatus.REMOVED or record.generation != self.generation:
            return None
        return LeaseRecord(
            record.name,
            record.kind,
            record.generation,
            record.term + 1,
            record.revision + 1,
            LeaseStatus.REMOVED,
        )


def _intents_without(record: LeaseRecord, revision: int) -> tuple[Intent, ...]:
    return tuple(intent for intent in record.intents if intent.revision != revision)
