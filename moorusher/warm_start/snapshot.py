"""Encodes a learned state as a snapshot: a header with magic, version, length and checksum, and a MessagePack body.

A snapshot is used completely or not at all.
"""

from __future__ import annotations

import math
import struct

import msgspec
import xxhash

from .errors import InvalidSnapshotError, SnapshotFault
from .learned_state import MAX_ENDPOINTS, MAX_NAME_LENGTH, LearnedState

MAGIC = b"MRKN"
MAJOR_VERSION = 1  # a snapshot with a newer major version is rejected
MINOR_VERSION = 0  # a newer minor version may add fields, which are ignored
HEADER = struct.Struct("<4sBBxxIQ")  # magic, major, minor, length of the body in bytes, its xxh3 checksum
MAX_SNAPSHOT_BYTES = 256 * 1024
MAX_FIELD_VALUE = 1e15  # far above every valid number


def encode_snapshot(state: LearnedState) -> bytes:
    """Encode a state. Raises InvalidSnapshotError if the snapshot would exceed the maximum size."""
    body = msgspec.msgpack.encode(state)
    if HEADER.size + len(body) > MAX_SNAPSHOT_BYTES:
        raise InvalidSnapshotError(SnapshotFault.OVERSIZED, f"{len(body)} bytes")
    checksum = xxhash.xxh3_64_intdigest(body)
    return HEADER.pack(MAGIC, MAJOR_VERSION, MINOR_VERSION, len(body), checksum) + body


def decode_snapshot(raw: bytes) -> LearnedState:
    """Decode a snapshot from an untrusted source. Raises only InvalidSnapshotError."""
    body = _checked_body(raw)
    try:
        state = msgspec.msgpack.decode(body, type=LearnedState)
    except (msgspec.MsgspecError, RecursionError, ValueError) as exc:
        raise InvalidSnapshotError(SnapshotFault.INVALID_VALUE, str(exc)[:100]) from None
    _check_values(state)
    return state


def _checked_body(raw: bytes) -> bytes:
    """Check the header and the checksum, and return the body."""
    if len(raw) > MAX_SNAPSHOT_BYTES:
        raise InvalidSnapshotError(SnapshotFault.OVERSIZED, f"{len(raw)} bytes")
    if raw[: len(MAGIC)] != MAGIC[: len(raw)]:
        raise InvalidSnapshotError(SnapshotFault.FOREIGN)
    if len(raw) < HEADER.size:
        raise InvalidSnapshotError(SnapshotFault.TRUNCATED)
    _, major, minor, length, checksum = HEADER.unpack_from(raw)
    if major > MAJOR_VERSION:
        supported = f"{MAJOR_VERSION}.{MINOR_VERSION}"
        raise InvalidSnapshotError(SnapshotFault.NEWER_VERSION, f"{major}.{minor}, this is {supported}")
    body = raw[HEADER.size :]
    if len(body) < length:
        raise InvalidSnapshotError(SnapshotFault.TRUNCATED, f"{len(body)} of {length} bytes")
    if len(body) > length or xxhash.xxh3_64_intdigest(body) != checksum:
        raise InvalidSnapshotError(SnapshotFault.CORRUPT)
    return body


def _check_values(state: LearnedState) -> None:
    """Check limits that the types don't express. A checksum shows that the body is unchanged, not that it is valid."""
    if len(state.endpoints) > MAX_ENDPOINTS:
        raise InvalidSnapshotError(SnapshotFault.INVALID_VALUE, f"{len(state.endpoints)} servers")
    if not state.donor or len(state.donor) > MAX_NAME_LENGTH:
        raise InvalidSnapshotError(SnapshotFault.INVALID_VALUE, "donor")
    for record in (state, *state.endpoints):
        for name, value in msgspec.structs.asdict(record).items():
            if isinstance(value, (int, float)) and not (
                math.isfinite(value) and 0 <= value < MAX_FIELD_VALUE
            ):
                raise InvalidSnapshotError(SnapshotFault.INVALID_VALUE, name)
    names: set[str] = set()
    for stats in state.endpoints:
        name_is_valid = 0 < len(stats.name) <= MAX_NAME_LENGTH and stats.name not in names
        if not name_is_valid or stats.success_rate > 1:
            detail = f"server {stats.name[:MAX_NAME_LENGTH]!r}"
            raise InvalidSnapshotError(SnapshotFault.INVALID_VALUE, detail)
        names.add(stats.name)
