"""What a replica of duties writes to its journal: its registers, as any acceptor, and the chunks that they name."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from ..replication.acceptor import Keeper
from ..replication.journal import Image, PieceOf
from ..replication.work_record import Key
from .chunks import NO_MARK, ChunkStore
from .lease_record import decode_record


@dataclass(slots=True)
class DutyAcceptor(Keeper):
    """An acceptor of duty registers. After a loss of memory it votes on a register only once it has the chunks again.

    Else a state that a majority has acknowledged could be lost with one further replica, unnoticed.

    store: of its chunks.
    is_complete: bool, it has every chunk that its registers name.
    """

    store: ChunkStore = field(default_factory=lambda: ChunkStore(0))
    is_complete: bool = False

    def __post_init__(self) -> None:
        Keeper.__post_init__(self)
        self.is_complete = self.remembers

    def votes_for(self, key: Key) -> bool:
        """Whether it may vote on a register."""
        return Keeper.votes_for(self, key) and (self.is_complete or not self.missing_chunks(key))

    def missing_chunks(self, key: Key) -> list[bytes]:
        """Return the names of chunks that a register names and that are not stored here."""
        slot = self.slots.get(key)
        record = None if slot is None else decode_record(slot.value)
        return [] if record is None else self.store.missing(key, record)

    def look(self) -> None:
        """Called by the register space when another replica has told what it knows."""
        self.chunks_repaired()

    def chunks_repaired(self) -> None:
        """Something came that was missing."""
        if not self.is_complete and self.covered():
            self.is_complete = self.remembers = not any(self.missing_chunks(key) for key in self.slots)

    def unsaved(self, now: int) -> list[Any]:
        """Return the records to be written: new chunks, then changed registers."""
        records: list[Any] = []
        for key, name in self.store.unsaved:
            chunk = self.store.find(key, name)
            if chunk is not None:
                mark = self.store.marks.get(key, {}).get(name, NO_MARK)
                records.append(PieceOf(key, mark, chunk))
        self.store.unsaved.clear()
        return [*records, *Keeper.unsaved(self, now)]

    def whole(self, now: int) -> list[Any]:
        """Return everything, for a new journal file."""
        self.store.unsaved[:] = [(key, name) for key, stored in self.store.chunks.items() for name in stored]
        return Keeper.whole(self, now)

    def recall(self, now: int, image: Image) -> None:
        """Restore what an earlier process of this seat has written."""
        for piece in image.pieces:
            self.store.restore(piece.key, [piece.piece], piece.mark)
        Keeper.recall(self, now, image)
        self.is_complete = self.remembers  # a chunk that is damaged on the disk is repaired from others
