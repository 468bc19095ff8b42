"""What a keeper of duties writes down: its registers as any keeper's, and the pieces that they name."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from ..replication.acceptor import Keeper
from ..replication.journal import Image, PieceOf
from ..replication.work_record import Key
from .chunks import Shelf
from .lease_record import unpack


@dataclass(slots=True)
class LastingKeeper(Keeper):
    """One that has forgotten has no vote until it has the pieces again, too: else a state that a majority was told of
    could be lost with one further keeper, and nobody would know that too many had forgotten it."""

    shelf: Shelf = field(default_factory=lambda: Shelf(0))
    is_whole: bool = False

    def __post_init__(self) -> None:
        Keeper.__post_init__(self)
        self.is_whole = self.remembers

    def votes_for(self, key: Key) -> bool:
        return Keeper.votes_for(self, key) and (self.is_whole or not self.lacks(key))

    def lacks(self, key: Key) -> list[bytes]:
        """Pieces that its register names and that are not here."""
        slot = self.slots.get(key)
        post = None if slot is None else unpack(slot.value)
        return [] if post is None else self.shelf.missing(key, post)

    def look(self) -> None:
        self.mended()

    def mended(self) -> None:
        """Something came that it lacked."""
        if not self.is_whole and self.covered():
            self.is_whole = self.remembers = not any(self.lacks(key) for key in self.slots)

    def unsaved(self, now: int) -> list[Any]:
        pieces: list[Any] = []
        for key, name in self.shelf.unsaved:
            if (piece := self.shelf.find(key, name)) is not None:
                pieces.append(PieceOf(key, self.shelf.marks.get(key, {}).get(name, (0, 0, 0)), piece))
        self.shelf.unsaved.clear()
        return [*pieces, *Keeper.unsaved(self, now)]

    def whole(self, now: int) -> list[Any]:
        self.shelf.unsaved[:] = [(key, name) for key, here in self.shelf.by_key.items() for name in here]
        return Keeper.whole(self, now)

    def recall(self, now: int, image: Image) -> None:
        for piece in image.pieces:
            self.shelf.restore(piece.key, [piece.piece], piece.mark)
        Keeper.recall(self, now, image)
        self.is_whole = self.remembers  # what is damaged was written, and is mended beside
