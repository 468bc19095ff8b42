"""Changes of a lease record, as functions of the value that is found in its register.

Checking the term and writing are one atomic step: a leader's change has no effect if the record has another term.
So the majority that holds the register rejects a former leader; a check before the write would not suffice. The
changes that only a leader makes are in `holder_changes`.
"""

from __future__ import annotations

import msgspec

from ..replication.work_record import Owner
from .lease_record import (
    Intent,
    LeaseRecord,
    LeaseStatus,
    decode_record,
    encode_record,
)


class Change:
    """A change of a register's encoded value; subclasses implement `apply` on the decoded record."""

    def __call__(self, value: bytes | None) -> bytes | None:
        """Return the new value of the register, or None to leave it unchanged."""
        changed = self.apply(decode_record(value))
        return None if changed is None else encode_record(changed)

    def apply(self, record: LeaseRecord | None) -> LeaseRecord | None:
        """Return the record after the change, or None to leave it unchanged."""
        raise NotImplementedError


def next_revision(record: LeaseRecord, **fields: object) -> LeaseRecord:
    """Return a copy of the record with the given fields replaced and the revision incremented."""
    return msgspec.structs.replace(record, revision=record.revision + 1, **fields)


def intents_without(record: LeaseRecord, revision: int) -> tuple[Intent, ...]:
    """Return the open intents of a record except the one with the given revision."""
    return tuple(intent for intent in record.intents if intent.revision != revision)


class Read(Change):
    """Reads the register from a majority. A change that was abandoned earlier can't be applied after it."""

    def apply(self, record: LeaseRecord | None) -> LeaseRecord | None:
        """Return None."""
        return None


# ---- changes by members that don't hold the lease ----


class Create(Change):
    """Creates a duty unless one of the same name exists.

    Attributes:
        name: Name of the duty.
        kind: Kind of the duty.
        generation: Generation of the new duty, unless a removed duty of that name requires a later one.
        recreate: Whether to create the duty even if one of the same name was removed.
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
    """Acquires the lease in the next term, for a member that received an offer.

    Attributes:
        owner: The process that acquires the lease.
        expected: Generation and term that the offer was made for.
        leader_lost: Whether the former leader was lost, which increments the duty's count of lost leaders.
        max_lost_leaders: Number of consecutive lost leaders at which the duty is suspended and not acquired.
        former_holder: The holder that was superseded; set by `apply`.
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
        """Return the record of the next term, or None if the offer is stale."""
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
        return next_revision(
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
        return next_revision(
            record,
            term=record.term + 1,
            status=LeaseStatus.SUSPENDED,
            holder=None,
            holder_sequence=0,
            lost_leaders=lost_leaders,
            suspension_reason=f"{lost_leaders} owners were lost one after the other, the last one {last_seat}",
        )


# ---- changes by an operator ----


class Resume(Change):
    """Resumes a suspended duty, in a generation later than any that a receiver is known to have accepted."""

    def apply(self, record: LeaseRecord | None) -> LeaseRecord | None:
        """Return the vacant record, or None if the duty is not suspended."""
        if record is None or record.status != LeaseStatus.SUSPENDED:
            return None
        return next_revision(
            record,
            status=LeaseStatus.VACANT,
            lost_leaders=0,
            suspension_reason="",
            generation=max(record.generation, record.resume_generation),
            resume_generation=0,
        )


class ResolveIntent(Change):
    """Closes an open intent after an operator has determined its outcome."""

    def __init__(self, intent_revision: int) -> None:
        self.intent_revision = intent_revision

    def apply(self, record: LeaseRecord | None) -> LeaseRecord | None:
        """Return the record without the intent, or None if it is not open."""
        if record is None or all(intent.revision != self.intent_revision for intent in record.intents):
            return None
        return next_revision(record, intents=intents_without(record, self.intent_revision))


class Remove(Change):
    """Removes a duty and supersedes its leader.

    The record of the removed duty keeps its generation, so that a new duty of the same name gets a later one.
    """

    def __init__(self, generation: int) -> None:
        self.generation = generation

    def apply(self, record: LeaseRecord | None) -> LeaseRecord | None:
        """Return the removed record, or None if it is already removed or has another generation."""
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
