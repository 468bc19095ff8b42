"""Splits states into content-addressed chunks, and stores chunks at a replica.

A chunk is stored before the record in the register references it. Its mark is the position (generation, term and
revision) of the change that will reference it. The chunk is deleted once a chosen record at or after that position does
not reference it, since from then on no change can reference it. Deletion does not depend on clocks.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from hashlib import blake2b

from ..replication.work_record import KeyDigest
from .lease_record import LeaseRecord, StateVersion

CHUNK_BYTES = 32 << 10
DIGEST_BYTES = 16
# Generation, term and revision of a change; an array on the wire and on disk.
Mark = tuple[int, int, int]
NO_MARK: Mark = (0, 0, 0)
BEFORE_ALL_MARKS: Mark = (0, 0, -1)


def digest(chunk: bytes) -> bytes:
    """Return the name of a chunk, which is its digest."""
    return blake2b(chunk, digest_size=DIGEST_BYTES).digest()


def _split(state: bytes) -> list[bytes]:
    return [state[start : start + CHUNK_BYTES] for start in range(0, len(state), CHUNK_BYTES)]


def split(state: bytes) -> dict[bytes, bytes]:
    """Return the chunks of a state by name, in order; equal chunks are stored once."""
    return {digest(chunk): chunk for chunk in _split(state)}


def chunk_names(state: bytes) -> tuple[bytes, ...]:
    """Return the names of a state's chunks, in order."""
    return tuple(digest(chunk) for chunk in _split(state))


def join(version: StateVersion, find: Callable[[bytes], bytes | None]) -> bytes | None:
    """Return the state of a version, or None if a chunk is missing or the size is wrong."""
    chunks = [find(name) for name in version.chunks]
    if any(chunk is None for chunk in chunks):
        return None
    state = b"".join(chunk for chunk in chunks if chunk is not None)
    return state if len(state) == version.size else None


def referenced_chunks(record: LeaseRecord) -> set[bytes]:
    """Return the names of all chunks of a record's versions."""
    return {name for version in record.versions for name in version.chunks}


@dataclass(slots=True)
class ChunkStore:
    """The chunks that one replica stores.

    Attributes:
        max_bytes: Limit per duty; chunks beyond it are refused.
        chunks: Chunks by register and name.
        marks: Generation, term and revision of the latest change that will reference a chunk, by register and name.
        chosen: Generation, term and revision of the latest record known to be chosen, by register.
        has_disk: Whether new chunks are listed in `unsaved` until they are written.
        unsaved: Registers and names of chunks to be written.
    """

    max_bytes: int
    chunks: dict[KeyDigest, dict[bytes, bytes]] = field(default_factory=dict)
    marks: dict[KeyDigest, dict[bytes, Mark]] = field(default_factory=dict)
    chosen: dict[KeyDigest, Mark] = field(default_factory=dict)
    has_disk: bool = False
    unsaved: list[tuple[KeyDigest, bytes]] = field(default_factory=list)

    def add(self, key: KeyDigest, mark: Mark, chunk: bytes) -> bool:
        """Store a chunk. Return False if it exceeds the limit or no change can reference it any more."""
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
        """Return a chunk, or None if it is not stored. A chunk that does not match its digest is deleted."""
        chunk = self.chunks.get(key, {}).get(name)
        if chunk is not None and digest(chunk) != name:
            del self.chunks[key][name]
            return None
        return chunk

    def missing(self, key: KeyDigest, record: LeaseRecord) -> list[bytes]:
        """Return the names of chunks that the record references and that are not stored."""
        return sorted(name for name in referenced_chunks(record) if self.find(key, name) is None)

    def delete_unreferenced(self, key: KeyDigest, record: LeaseRecord) -> None:
        """Delete chunks that neither this chosen record nor a later change references."""
        if record.position <= self.chosen.get(key, BEFORE_ALL_MARKS):
            return
        self.chosen[key] = record.position
        stored = self.chunks.get(key, {})
        marks = self.marks.get(key, {})
        referenced = referenced_chunks(record)
        for name in list(stored):
            if name not in referenced and marks.get(name, NO_MARK) <= record.position:
                del stored[name]
                marks.pop(name, None)

    def restore(self, key: KeyDigest, chunks: Sequence[bytes], mark: Mark | None = None) -> None:
        """Store chunks from a disk or another replica. `mark` is None if the record already references them."""
        for chunk in chunks:
            name = digest(chunk)
            self.chunks.setdefault(key, {})[name] = chunk
            if mark is not None:
                self.marks.setdefault(key, {})[name] = mark

    def total_bytes(self) -> int:
        """Return the total size of all chunks."""
        return sum(len(chunk) for stored in self.chunks.values() for chunk in stored.values())
