"""The journal of a replica of duties: its registers, as for any acceptor, and the chunks that they reference."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from ..replication.acceptor import Acceptor
from ..replication.journal import ChunkRecord, JournalImage
from ..replication.work_record import KeyDigest
from .chunks import NO_MARK, ChunkStore
from .lease_record import decode_record


@dataclass(slots=True)
class DutyAcceptor(Acceptor):
    """An acceptor of duty registers. After a loss of memory, it votes only on registers whose chunks it stores again.

    Otherwise a state that a majority has acknowledged could be lost unnoticed if one more replica fails.

    Attributes:
        store: Store of the chunks.
        is_complete: Whether all chunks that the registers reference are stored.
    """

    store: ChunkStore = field(default_factory=lambda: ChunkStore(0))
    is_complete: bool = False

    def __post_init__(self) -> None:
        Acceptor.__post_init__(self)
        self.is_complete = self.recovered

    def can_vote_on(self, key: KeyDigest) -> bool:
        """Return whether this replica may vote on a register."""
        return Acceptor.can_vote_on(self, key) and (self.is_complete or not self.missing_chunks(key))

    def missing_chunks(self, key: KeyDigest) -> list[bytes]:
        """Return the names of chunks that a register references and that are not stored here."""
        register = self.registers.get(key)
        record = None if register is None else decode_record(register.value)
        return [] if record is None else self.store.missing(key, record)

    def check_recovered(self) -> None:
        """Called by the register space when another replica has sent its registers."""
        self.chunks_repaired()

    def chunks_repaired(self) -> None:
        """Called when missing data has arrived: check whether this replica is complete."""
        if not self.is_complete and self.covers_all_votes():
            self.is_complete = self.recovered = not any(self.missing_chunks(key) for key in self.registers)

    def unsaved_records(self, now: int) -> list[Any]:
        """Return the records to write: new chunks, then changed registers."""
        records: list[Any] = []
        for key, name in self.store.unsaved:
            chunk = self.store.find(key, name)
            if chunk is not None:
                mark = self.store.marks.get(key, {}).get(name, NO_MARK)
                records.append(ChunkRecord(key, mark, chunk))
        self.store.unsaved.clear()
        return [*records, *Acceptor.unsaved_records(self, now)]

    def all_records(self, now: int) -> list[Any]:
        """Return all records, for a new journal file."""
        self.store.unsaved[:] = [(key, name) for key, stored in self.store.chunks.items() for name in stored]
        return Acceptor.all_records(self, now)

    def restore(self, now: int, image: JournalImage) -> None:
        """Restore the records that an earlier process of this seat has written."""
        for record in image.chunks:
            self.store.restore(record.key, [record.chunk], record.mark)
        Acceptor.restore(self, now, image)
        # Chunks that are damaged on the disk are repaired from other replicas.
        self.is_complete = self.recovered
