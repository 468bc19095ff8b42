"""What a keeper has written down: records in, records out, pure. The disk itself is `storage/journal_files.py`.

A record is its length, a checksum and a message. The first one names whose it is; a slot's last record counts. What
follows the last whole record was never confirmed, unless a whole one comes after it: then the file is damaged.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field
from typing import Any

import msgspec
import xxhash

from .messages import Ballot, Incarnations
from .work_record import Key, WorkRecord

JOURNAL_VERSION = 1
MAX_RECORD_BYTES = 1 << 20  # bytes of one record
_HEADER = struct.Struct(">IQ")


class _Record(msgspec.Struct, frozen=True, array_like=True, tag=True):
    pass


class JournalHeader(_Record, frozen=True, tag="whose"):
    """The first record of a file."""

    version: int
    fleet: str
    seats_digest: str  # digest of the seats in the operator's file
    seat: str


class RegisterRecord(_Record, frozen=True, tag="slot"):
    """A register as this keeper has it. `left_ms`: for so long it counts, from whenever it is read."""

    key: Key
    promised: Ballot
    accepted_ballot: Ballot | None
    value: WorkRecord | bytes | None
    ttl_ms: int


class IncarnationsRecord(_Record, frozen=True, tag="incs"):
    """Incarnations of seats: votes of earlier ones count for nothing."""

    incarnations: Incarnations


class ChunkRecord(_Record, frozen=True, tag="piece"):
    """A part of a state that a lasting register names, or is to name by the change at `mark`."""

    key: Key
    mark: tuple[int, int, int]
    chunk: bytes


class RecoveredRecord(_Record, frozen=True, tag="remembers"):
    """All that stands before it is all that this seat has ever promised or taken, as far as it still counts."""


Record = JournalHeader | RegisterRecord | IncarnationsRecord | ChunkRecord | RecoveredRecord
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Record)


@dataclass(slots=True)
class JournalImage:
    """What a file says. `good`: its bytes up to the end of the last whole record."""

    recovered: bool = False
    incarnations: Incarnations = field(default_factory=dict)
    registers: dict[Key, RegisterRecord] = field(default_factory=dict)
    chunks: list[ChunkRecord] = field(default_factory=list)
    valid_bytes: int = 0


def encode_records(records: list[Any]) -> bytes:
    """Records as one stretch of the file, with its length and checksum."""
    parts = []
    for record in records:
        body = _encoder.encode(record)
        parts += [_HEADER.pack(len(body), xxhash.xxh64_intdigest(body)), body]
    return b"".join(parts)


def _record_at(data: bytes, at: int) -> tuple[Record, int] | None:
    """The record that begins there and where it ends, if it is one."""
    if at + _HEADER.size > len(data):
        return None
    length, digest = _HEADER.unpack_from(data, at)
    if length > MAX_RECORD_BYTES or at + _HEADER.size + length > len(data):
        return None
    body = data[at + _HEADER.size : at + _HEADER.size + length]
    if xxhash.xxh64_intdigest(body) != digest:
        return None
    try:
        return _decoder.decode(body), at + _HEADER.size + length
    except msgspec.MsgspecError:
        return None


def read_journal(data: bytes, whose: JournalHeader) -> JournalImage:
    """Raises ValueError, with the reason, where the file is not this seat's or is damaged."""
    image = JournalImage()
    while (found := _record_at(data, image.valid_bytes)) is not None:
        record, end = found
        if image.valid_bytes == 0 and record != whose:
            raise ValueError(f"of another fleet, seat or version: {record}")
        if isinstance(record, RegisterRecord):
            image.registers[record.key] = record
        elif isinstance(record, IncarnationsRecord):
            image.incarnations.update(record.incarnations)
        elif isinstance(record, ChunkRecord):
            image.chunks.append(record)
        elif isinstance(record, RecoveredRecord):
            image.recovered = True
        image.valid_bytes = end
    if image.valid_bytes == 0:
        raise ValueError("it has no beginning")
    if _has_record_after(data, image.valid_bytes + 1):
        raise ValueError(f"damaged at byte {image.valid_bytes}")
    return image


def _has_record_after(data: bytes, start: int) -> bool:
    """Whether a record stands anywhere behind that byte: what comes before it is damage, not an end. Each byte may be
    its first, since the length of the damaged one may be what is damaged."""
    return any(_record_at(data, at) is not None for at in range(start, len(data) - _HEADER.size + 1))
