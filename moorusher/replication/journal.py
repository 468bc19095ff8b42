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

from .messages import Ballot, Incs
from .work_record import Key, Work

VERSION = 1
MOST = 1 << 20  # bytes of one record
_HEAD = struct.Struct(">IQ")


class _Record(msgspec.Struct, frozen=True, array_like=True, tag=True):
    pass


class Whose(_Record, frozen=True, tag="whose"):
    """The first record of a file."""

    version: int
    fleet: str
    seats: str  # digest of the seats in the operator's file
    seat: str


class Line(_Record, frozen=True, tag="slot"):
    """A register as this keeper has it. `left_ms`: for so long it counts, from whenever it is read."""

    key: Key
    promised: Ballot
    ballot: Ballot | None
    value: Work | bytes | None
    left_ms: int


class Heard(_Record, frozen=True, tag="incs"):
    """Incarnations of seats: votes of earlier ones count for nothing."""

    incs: Incs


class PieceOf(_Record, frozen=True, tag="piece"):
    """A part of a state that a lasting register names, or is to name by the change at `mark`."""

    key: Key
    mark: tuple[int, int, int]
    piece: bytes


class Remembers(_Record, frozen=True, tag="remembers"):
    """All that stands before it is all that this seat has ever promised or taken, as far as it still counts."""


Record = Whose | Line | Heard | PieceOf | Remembers
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Record)


@dataclass(slots=True)
class Image:
    """What a file says. `good`: its bytes up to the end of the last whole record."""

    remembers: bool = False
    incs: Incs = field(default_factory=dict)
    slots: dict[Key, Line] = field(default_factory=dict)
    pieces: list[PieceOf] = field(default_factory=list)
    good: int = 0


def pack(records: list[Any]) -> bytes:
    """Records as one stretch of the file, with its length and checksum."""
    parts = []
    for record in records:
        body = _encoder.encode(record)
        parts += [_HEAD.pack(len(body), xxhash.xxh64_intdigest(body)), body]
    return b"".join(parts)


def _whole(data: bytes, at: int) -> tuple[Record, int] | None:
    """The record that begins there and where it ends, if it is one."""
    if at + _HEAD.size > len(data):
        return None
    length, digest = _HEAD.unpack_from(data, at)
    if length > MOST or at + _HEAD.size + length > len(data):
        return None
    body = data[at + _HEAD.size : at + _HEAD.size + length]
    if xxhash.xxh64_intdigest(body) != digest:
        return None
    try:
        return _decoder.decode(body), at + _HEAD.size + length
    except msgspec.MsgspecError:
        return None


def read(data: bytes, whose: Whose) -> Image:
    """Raises ValueError, with the reason, where the file is not this seat's or is damaged."""
    image = Image()
    while (found := _whole(data, image.good)) is not None:
        record, end = found
        if image.good == 0 and record != whose:
            raise ValueError(f"of another fleet, seat or version: {record}")
        if isinstance(record, Line):
            image.slots[record.key] = record
        elif isinstance(record, Heard):
            image.incs.update(record.incs)
        elif isinstance(record, PieceOf):
            image.pieces.append(record)
        elif isinstance(record, Remembers):
            image.remembers = True
        image.good = end
    if image.good == 0:
        raise ValueError("it has no beginning")
    if _has_whole_after(data, image.good + 1):
        raise ValueError(f"damaged at byte {image.good}")
    return image


def _has_whole_after(data: bytes, start: int) -> bool:
    """Whether a record stands anywhere behind that byte: what comes before it is damage, not an end. Each byte may be
    its first, since the length of the damaged one may be what is damaged."""
    return any(_whole(data, at) is not None for at in range(start, len(data) - _HEAD.size + 1))
