"""The journal format of an acceptor: encodes and decodes records. `storage/journal_files.py` handles the files.

A record is its length, a checksum and a msgpack array `[tag, field, ...]`; the tags and the order of the fields are
part of the stored format. The first record identifies the journal. A later record of a register replaces the earlier
ones. A torn record at the end was never confirmed and is dropped. An invalid record that is followed by a complete one
means that the file is damaged.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec
import xxhash

from .errors import DamagedJournalError, ForeignJournalError
from .messages import Ballot, Incarnations
from .work_record import KeyDigest, WorkRecord

JOURNAL_VERSION = 1
MAX_RECORD_BYTES = 1 << 20
_HEADER = struct.Struct(">IQ")  # Length in bytes, checksum.


class _Record(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base class of the journal's records."""


class JournalHeader(_Record, frozen=True, tag="whose"):
    """The first record of a file.

    Attributes:
        version: Format version, see `JOURNAL_VERSION`.
        fleet: Name of the cluster.
        seats_digest: Digest of the seats in the operator's file.
        seat: Seat that the journal belongs to.
    """

    version: int
    fleet: str
    seats_digest: str
    seat: str


class RegisterRecord(_Record, frozen=True, tag="slot"):
    """An acceptor's state of a register. `ttl_ms` is the time from the reading of the journal to the key's expiry."""

    key: KeyDigest
    promised: Ballot
    accepted_ballot: Ballot | None
    value: WorkRecord | bytes | None
    ttl_ms: int


class IncarnationsRecord(_Record, frozen=True, tag="incs"):
    """Known incarnations of seats. Votes of earlier incarnations don't count."""

    incarnations: Incarnations


class ChunkRecord(_Record, frozen=True, tag="piece"):
    """A chunk of a duty's state. `mark` is the generation, term and revision of the change that references it."""

    key: KeyDigest
    mark: tuple[int, int, int]
    chunk: bytes


class RecoveredRecord(_Record, frozen=True, tag="remembers"):
    """Marks that the preceding records include all promises and accepted values of this seat that still count."""


Record = JournalHeader | RegisterRecord | IncarnationsRecord | ChunkRecord | RecoveredRecord
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Record)


@dataclass(slots=True)
class JournalImage:
    """The content of a journal file.

    Attributes:
        recovered: Whether the file has a `RecoveredRecord`.
        incarnations: Known incarnations, by seat.
        registers: Last record of each key.
        chunks: Chunk records in the order of the file.
        valid_bytes: Length of the file up to the end of the last complete record.
    """

    recovered: bool = False
    incarnations: Incarnations = field(default_factory=dict)
    registers: dict[KeyDigest, RegisterRecord] = field(default_factory=dict)
    chunks: list[ChunkRecord] = field(default_factory=list)
    valid_bytes: int = 0

    def apply(self, record: Record) -> None:
        """Add the next record of the file."""
        if isinstance(record, RegisterRecord):
            self.registers[record.key] = record
        elif isinstance(record, IncarnationsRecord):
            self.incarnations.update(record.incarnations)
        elif isinstance(record, ChunkRecord):
            self.chunks.append(record)
        elif isinstance(record, RecoveredRecord):
            self.recovered = True


def encode_records(records: list[Any]) -> bytes:
    """Encode records for appending to a file, each with its length and checksum."""
    return b"".join(map(_encode_record, records))


def encode_valid_records(records: list[Any], on_error: Callable[[Record, Exception], None]) -> bytes:
    """Encode records like `encode_records`, and leave out those that can't be encoded.

    :param on_error: Called for each record that is left out.
    """
    parts = []
    for record in records:
        try:
            parts.append(_encode_record(record))
        except Exception as error:  # a value that the format can't hold; each type of value has its own error
            on_error(record, error)
    return b"".join(parts)


def _encode_record(record: Record) -> bytes:
    body = _encoder.encode(record)
    return _HEADER.pack(len(body), xxhash.xxh64_intdigest(body)) + body


def _record_at(data: bytes, start: int) -> tuple[Record, int] | None:
    """Return the record that begins at `start` and its end, or None if there is no complete record."""
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
    """Decode the content of a journal file.

    :raises ForeignJournalError: If the file's header is not `header`.
    :raises DamagedJournalError: If the header or a record before the last one is invalid.
    """
    image = JournalImage()
    while (found := _record_at(data, image.valid_bytes)) is not None:
        record, end = found
        if image.valid_bytes == 0 and record != header:
            raise ForeignJournalError(
                f"the header names another fleet, seat, list of seats or format version: {record}"
            )
        image.apply(record)
        image.valid_bytes = end
    if image.valid_bytes == 0:
        raise DamagedJournalError("the header record is missing or damaged")
    if _has_record_after(data, image.valid_bytes + 1):
        raise DamagedJournalError(f"damaged at byte {image.valid_bytes}")
    return image


def _has_record_after(data: bytes, start: int) -> bool:
    """Return whether any complete record begins at or after `start`."""
    # If one does, the bytes before it are damaged rather than a torn end. Every position is tried, since the damaged
    # bytes may include the length of the record.
    return any(
        _record_at(data, position) is not None for position in range(start, len(data) - _HEADER.size + 1)
    )
