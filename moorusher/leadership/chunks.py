"""A state in content-addressed chunks, and the store in which a replica keeps them.

A chunk is stored before the register names it, marked with the change that is to name it. It is deleted once a change
is known to be chosen that is as late as the mark and does not name it: from then on no change can. No clock decides.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from hashlib import blake2b

from ..replication.work_record import KeyDigest
from .lease_record import LeaseRecord, StateVersion

CHUNK_BYTES = 32 << 10
DIGEST_BYTES = 16
Mark = tuple[int, int, int]  # generation, term and revision of a change; an array on the wire and on disk
NO_MARK: Mark = (0, 0, 0)
BEFORE_ALL_MARKS: Mark = (0, 0, -1)


def digest(chunk: bytes) -> bytes:
    """Return the name of a chunk."""
    return blake2b(chunk, digest_size=DIGEST_BYTES).digest()


def _split(state: bytes) -> list[bytes]:
    return [state[start : start + CHUNK_BYTES] for start in range(0, len(state), CHUNK_BYTES)]


def split(state: bytes) -> dict[bytes, bytes]:
    """Return the chunks of a state by name, in order; equal chunks are one."""
    return {digest(chunk): chunk for chunk in _split(state)}


def chunk_names(state: bytes) -> tuple[bytes, ...]:
    """Return the names of a state's chunks, in order."""
    return tuple(digest(chunk) for chunk in _split(state))


def join(version: StateVersion, find: Callable[[bytes], bytes | None]) -> bytes | None:
    """Return the state of a version; None if a chunk is missing or the size is wrong."""
    chunks = [find(name) for name in version.chunks]
    if any(chunk is None for chunk in chunks):
        return None
    state = b"".join(chunk for chunk in chunks if chunk is not None)
    return state if len(state) == version.size else None


def named_chunks(record: LeaseRecord) -> set[bytes]:
    """Return the names of all chunks of a record's versions."""
    return {name for version in record.versions for name in version.chunks}


@dataclass(slots=True)
class ChunkStore:
    """The chunks that one replica stores.

    max_bytes: int, of one duty; what exceeds it is refused.
    chunks: by register and name.
    marks: the latest change that is to name a chunk, by register and name.
    chosen: the latest change that is known to be chosen, by register.
    has_disk: bool, new chunks are noted in `unsaved` until they are written.
    """

    max_bytes: int
    chunks: dict[KeyDigest, dict[bytes, bytes]] = field(default_factory=dict)
    marks: dict[KeyDigest, dict[bytes, Mark]] = field(default_factory=dict)
    chosen: dict[KeyDigest, Mark] = field(default_factory=dict)
    has_disk: bool = False
    unsaved: list[tuple[KeyDigest, bytes]] = field(default_factory=list)

    def add(self, key: KeyDigest, mark: Mark, chunk: bytes) -> bool:
        """Store a chunk. False if there is no room for it, or no change can name it any more."""
        stored = self.chunks.setdefault(key, {})
        name = digest(chunk)
        if name not in stored:
            if mark <= self.chosen.get(key, NO_MARK):
                return False
            if sum(map(len, stored.values())) + len(chunk) > self.max_bytes:
                return False
            stored[name] = chunk
            if self.has_disk:
                self.unsaved.append((key, name))
        marks = self.marks.setdefault(key, {})
        marks[name] = max(mark, marks.get(name, mark))
        return True

    def find(self, key: KeyDigest, name: bytes) -> bytes | None:
        """Return a chunk; None if it is not stored. A damaged one is deleted."""
        chunk = self.chunks.get(key, {}).get(name)
        if chunk is not None and digest(chunk) != name:
            del self.chunks[key][name]
            return None
        return chunk

    def missing(self, key: KeyDigest, record: LeaseRecord) -> list[bytes]:
        """Return the names of chunks that the record names and that are not stored."""
        return sorted(name for name in named_chunks(record) if self.find(key, name) is None)

    def delete_unnamed(self, key: KeyDigest, record: LeaseRecord) -> None:
        """Delete what this record, known to be chosen, does not name and no later change will."""
        if record.position <= self.chosen.get(key, BEFORE_ALL_MARKS):
            return
        self.chosen[key] = record.position
        stored = self.chunks.get(key, {})
        marks = self.marks.get(key, {})
        named = named_chunks(record)
        for name in list(stored):
            if name not in named and marks.get(name, NO_MARK) <= record.position:
                del stored[name]
                marks.pop(name, None)

    def restore(self, key: KeyDigest, chunks: Sequence[bytes], mark: Mark | None = None) -> None:
        """Take chunks from a disk or another replica, that the register names or is to name at `mark`."""
        for chunk in chunks:
            name = digest(chunk)
            self.chunks.setdefault(key, {})[name] = chunk
            if mark is not None:
                self.marks.setdefault(key, {})[name] = mark

    def total_bytes(self) -> int:
        """Return the size of all chunks."""
        return sum(len(chunk) for stored in self.chunks.values() for chunk in stored.values())
