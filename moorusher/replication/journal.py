"""What an acceptor writes down: records to bytes and bytes to records. `storage/journal_files.py` has the files.

A record is its length, a checksum and a msgpack array `[tag, field, ...]`; the tags and the order of the fields are
the form of stored data. The first record says whose journal it is; a register's last record counts. A torn record at
the end was never confirmed and is dropped; one with a whole record after it means that the file is damaged.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field
from typing import Any

import msgspec
import xxhash

from .errors import DamagedJournalError, ForeignJournalError
from .messages import Ballot, Incarnations
from .work_record import KeyDigest, WorkRecord

JOURNAL_VERSION = 1
MAX_RECORD_BYTES = 1 << 20
_HEADER = struct.Struct(">IQ")  # length in bytes, checksum


class _Record(msgspec.Struct, frozen=True, array_like=True, tag=True):
    pass


class JournalHeader(_Record, frozen=True, tag="whose"):
    """The first record of a file.

    Attributes:
        version: `int`, see `JOURNAL_VERSION`.
        fleet: `str`, name of the cluster.
        seats_digest: `str`, digest of the seats in the operator's file.
        seat: `str`, whose journal it is.
    """

    version: int
    fleet: str
    seats_digest: str
    seat: str


class RegisterRecord(_Record, frozen=True, tag="slot"):
    """A register as the acceptor has it. `ttl_ms`: how long it counts, from whenever the journal is read."""

    key: KeyDigest
    promised: Ballot
    accepted_ballot: Ballot | None
    value: WorkRecord | bytes | None
    ttl_ms: int


class IncarnationsRecord(_Record, frozen=True, tag="incs"):
    """Incarnations of seats: votes of earlier ones count for nothing."""

    incarnations: Incarnations


class ChunkRecord(_Record, frozen=True, tag="piece"):
    """A part of a state that a duty's register names, or is to name by the change at `mark`."""

    key: KeyDigest
    mark: tuple[int, int, int]
    chunk: bytes


class RecoveredRecord(_Record, frozen=True, tag="remembers"):
    """What stands before it is all that this seat has promised or accepted, as far as it still counts."""


Record = JournalHeader | RegisterRecord | IncarnationsRecord | ChunkRecord | RecoveredRecord
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Record)


@dataclass(slots=True)
class JournalImage:
    """What a file says.

    Attributes:
        recovered: `bool`, see `RecoveredRecord`.
        incarnations: by seat.
        registers: the last record of each key.
        chunks: in the order of the file.
        valid_bytes: `int`, up to the end of the last whole record.
    """

    recovered: bool = False
    incarnations: Incarnations = field(default_factory=dict)
    registers: dict[KeyDigest, RegisterRecord] = field(default_factory=dict)
    chunks: list[ChunkRecord] = field(default_factory=list)
    valid_bytes: int = 0

    def apply(self, record: Record) -> None:
        """Takes in the next record of the file."""
        if isinstance(record, RegisterRecord):
            self.registers[record.key] = record
        elif isinstance(record, IncarnationsRecord):
            self.incarnations.update(record.incarnations)
        elif isinstance(record, ChunkRecord):
            self.chunks.append(record)
        elif isinstance(record, RecoveredRecord):
            self.recovered = True


def encode_records(records: list[Any]) -> bytes:
    """Records as one stretch of a file, each with its length and checksum."""
    parts = []
    for record in records:
        body = _encoder.encode(record)
        parts += [_HEADER.pack(len(body), xxhash.xxh64_intdigest(body)), body]
    return b"".join(parts)


def _record_at(data: bytes, start: int) -> tuple[Record, int] | None:
    """The record that begins at `start`, and where it ends; None where no whole one does."""
    if start + _HEADER.size > len(data):
        return None
    length, digest = _HEADER.unpack_from(data, start)
    end = start + _HEADER.size + length
    if length > MAX_RECORD_BYTES or end > len(data):
        return None
    body = data[start + _HEADER.size : end]
    if xxhash.xxh64_intdigest(body) != digest:
        return None
    try:
        return _decoder.decode(body), end
    except msgspec.MsgspecError:
        return None


def read_journal(data: bytes, header: JournalHeader) -> JournalImage:
    """What the file of this seat says.

    Raises ForeignJournalError or DamagedJournalError, with the reason.
    """
    image = JournalImage()
    while (found := _record_at(data, image.valid_bytes)) is not None:
        record, end = found
        if image.valid_bytes == 0 and record != header:
            raise ForeignJournalError(f"of another fleet, seat or version: {record}")
        image.apply(record)
        image.valid_bytes = end
    if image.valid_bytes == 0:
        raise DamagedJournalError("it has no beginning")
    if _has_record_after(data, image.valid_bytes + 1):
        raise DamagedJournalError(f"damaged at byte {image.valid_bytes}")
    return image


def _has_record_after(data: bytes, start: int) -> bool:
    """A whole record follows anywhere: what stands before it is damage, and not a torn end.

    Every byte may be its first, since the damaged part may be the length that would lead there.
    """
    return any(_record_at(data, at) is not None for at in range(start, len(data) - _HEADER.size + 1))
