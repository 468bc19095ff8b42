"""What a keeper of duties writes down: its registers as any keeper's, and the pieces that they name."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from ..replication.acceptor import Acceptor
from ..replication.journal import ChunkRecord, JournalImage
from ..replication.work_record import Key
from .chunks import Shelf
from .lease_record import unpack


@dataclass(slots=True)
class LastingKeeper(Acceptor):
    """One that has forgotten has no vote until it has the pieces again, too: else a state that a majority was told of
    could be lost with one further keeper, and nobody would know that too many had forgotten it."""

    shelf: Shelf = field(default_factory=lambda: Shelf(0))
    is_whole: bool = False

    def __post_init__(self) -> None:
        Acceptor.__post_init__(self)
        self.is_whole = self.recovered

    def can_vote_on(self, key: Key) -> bool:
        return Acceptor.can_vote_on(self, key) and (self.is_whole or not self.lacks(key))

    def lacks(self, key: Key) -> list[bytes]:
        """Pieces that its register names and that are not here."""
        slot = self.registers.get(key)
        post = None if slot is None else unpack(slot.value)
        return [] if post is None else self.shelf.missing(key, post)

    def check_recovered(self) -> None:
        self.mended()

    def mended(self) -> None:
        """Something came that it lacked."""
        if not self.is_whole and self.covers_all_votes():
            self.is_whole = self.recovered = not any(self.lacks(key) for key in self.registers)

    def unsaved_records(self, now: int) -> list[Any]:
        pieces: list[Any] = []
        for key, name in self.shelf.unsaved:
            if (piece := self.shelf.find(key, name)) is not None:
                pieces.append(ChunkRecord(key, self.shelf.marks.get(key, {}).get(name, (0, 0, 0)), piece))
        self.shelf.unsaved.clear()
        return [*pieces, *Acceptor.unsaved_records(self, now)]

    def all_records(self, now: int) -> list[Any]:
        self.shelf.unsaved[:] = [(key, name) for key, here in self.shelf.by_key.items() for name in here]
        return Acceptor.all_records(self, now)

    def restore(self, now: int, image: JournalImage) -> None:
        for piece in image.chunks:
            self.shelf.restore(piece.key, [piece.chunk], piece.mark)
        Acceptor.restore(self, now, image)
        self.is_whole = self.recovered  # what is damaged was written, and is mended beside
