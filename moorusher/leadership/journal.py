"""What a replica of duties writes to its journal: its registers, as any acceptor, and the chunks that they name."""

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
    """An acceptor of duty registers. After a loss of memory it votes on a register only once it has the chunks again.

    Else a state that a majority has acknowledged could be lost with one further replica, unnoticed.

    store: of its chunks.
    is_complete: bool, it has every chunk that its registers name.
    """

    store: ChunkStore = field(default_factory=lambda: ChunkStore(0))
    is_complete: bool = False

    def __post_init__(self) -> None:
        Acceptor.__post_init__(self)
        self.is_complete = self.recovered

    def can_vote_on(self, key: KeyDigest) -> bool:
        """Whether it may vote on a register."""
        return Acceptor.can_vote_on(self, key) and (self.is_complete or not self.missing_chunks(key))

    def missing_chunks(self, key: KeyDigest) -> list[bytes]:
        """Return the names of chunks that a register names and that are not stored here."""
        slot = self.registers.get(key)
        record = None if slot is None else decode_record(slot.value)
        return [] if record is None else self.store.missing(key, record)

    def check_recovered(self) -> None:
        """Called by the register space when another replica has told what it knows."""
        self.chunks_repaired()

    def chunks_repaired(self) -> None:
        """Something came that was missing."""
        if not self.is_complete and self.covers_all_votes():
            self.is_complete = self.recovered = not any(self.missing_chunks(key) for key in self.registers)

    def unsaved_records(self, now: int) -> list[Any]:
        """Return the records to be written: new chunks, then changed registers."""
        records: list[Any] = []
        for key, name in self.store.unsaved:
            chunk = self.store.find(key, name)
            if chunk is not None:
                mark = self.store.marks.get(key, {}).get(name, NO_MARK)
                records.append(ChunkRecord(key, mark, chunk))
        self.store.unsaved.clear()
        return [*records, *Acceptor.unsaved_records(self, now)]

    def all_records(self, now: int) -> list[Any]:
        """Return everything, for a new journal file."""
        self.store.unsaved[:] = [(key, name) for key, stored in self.store.chunks.items() for name in stored]
        return Acceptor.all_records(self, now)

    def restore(self, now: int, image: JournalImage) -> None:
        """Restore what an earlier process of this seat has written."""
        for piece in image.chunks:
            self.store.restore(piece.key, [piece.chunk], piece.mark)
        Acceptor.restore(self, now, image)
        self.is_complete = self.recovered  # a chunk that is damaged on the disk is repaired from others
