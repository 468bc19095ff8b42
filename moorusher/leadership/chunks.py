"""A state in pieces, each named by what is in it; and the shelf on which a keeper has them.

A piece comes before the register names it, marked with the change that is to name it. It goes once a change is known to
be chosen that is as late as that mark and names it no more: from then on no change can. So no time decides.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from hashlib import blake2b

from ..replication.work_record import Key
from .lease_record import Post, Version

PIECE = 32 << 10  # bytes
Mark = tuple[int, int, int]  # born, term, number


def digest(piece: bytes) -> bytes:
    """The name of a piece: it is found again by what it holds."""
    return blake2b(piece, digest_size=16).digest()


def cut(state: bytes) -> dict[bytes, bytes]:
    """In order; equal pieces are one."""
    parts = [state[i : i + PIECE] for i in range(0, len(state), PIECE)]
    return {digest(p): p for p in parts}


def order(state: bytes) -> tuple[bytes, ...]:
    """The names of a state's pieces, in their order."""
    return tuple(digest(state[i : i + PIECE]) for i in range(0, len(state), PIECE))


def whole(version: Version, found: Callable[[bytes], bytes | None]) -> bytes | None:
    """None where a piece is missing, or the size is not that of the version."""
    parts = [found(d) for d in version.pieces]
    if any(p is None for p in parts):
        return None
    state = b"".join(p for p in parts if p is not None)
    return state if len(state) == version.size else None


def named(post: Post) -> set[bytes]:
    """All pieces that a post's versions name."""
    return {d for v in post.versions for d in v.pieces}


@dataclass(slots=True)
class Shelf:
    """`most`: bytes of one duty. What is asked of it beyond is refused, and the asker told."""

    most: int
    by_key: dict[Key, dict[bytes, bytes]] = field(default_factory=dict)
    marks: dict[Key, dict[bytes, Mark]] = field(default_factory=dict)
    settled: dict[Key, Mark] = field(default_factory=dict)  # the latest change that is known to be chosen
    notes: bool = False  # there is a disk
    unsaved: list[tuple[Key, bytes]] = field(default_factory=list)

    def keep(self, key: Key, mark: Mark, piece: bytes) -> bool:
        """False where there is no room, or no change can name it any more."""
        here, name = self.by_key.setdefault(key, {}), digest(piece)
        if mark <= self.settled.get(key, (0, 0, 0)) and name not in here:
            return False
        if name not in here:
            if sum(map(len, here.values())) + len(piece) > self.most:
                return False
            here[name] = piece
            if self.notes:
                self.unsaved.append((key, name))
        marks = self.marks.setdefault(key, {})
        marks[name] = max(mark, marks.get(name, mark))
        return True

    def find(self, key: Key, name: bytes) -> bytes | None:
        """None where it is not there, or is damaged: then it is dropped."""
        piece = self.by_key.get(key, {}).get(name)
        if piece is not None and digest(piece) != name:
            del self.by_key[key][name]
            return None
        return piece

    def missing(self, key: Key, post: Post) -> list[bytes]:
        return sorted(d for d in named(post) if self.find(key, d) is None)

    def chosen(self, key: Key, post: Post) -> None:
        """That value is known to be chosen: what it does not name, and no later change will, goes."""
        if post.at <= self.settled.get(key, (0, 0, -1)):
            return
        self.settled[key] = post.at
        here, marks, wanted = self.by_key.get(key, {}), self.marks.get(key, {}), named(post)
        for name in [d for d in here if d not in wanted and marks.get(d, (0, 0, 0)) <= post.at]:
            del here[name]
            marks.pop(name, None)

    def restore(self, key: Key, pieces: Sequence[bytes], mark: Mark | None = None) -> None:
        """From a disk, or from another keeper: of a version that a register names, or is to name at that mark."""
        for piece in pieces:
            self.by_key.setdefault(key, {})[digest(piece)] = piece
            if mark is not None:
                self.marks.setdefault(key, {})[digest(piece)] = mark

    def bytes_held(self) -> int:
        return sum(len(p) for here in self.by_key.values() for p in here.values())
