"""The value as bytes: a head that says what it is, a checksum, MessagePack. What can't be trusted whole is refused."""

from __future__ import annotations

import math
import struct
from enum import Enum

import msgspec
import xxhash

from .learned_state import MOST_NAME, MOST_SERVERS, Knowledge

MAGIC = b"MRKN"
MAJOR, MINOR = 1, 0  # a newer minor adds fields, which are passed over; a newer major is refused
HEAD = struct.Struct("<4sBBxxIQ")  # magic, major, minor, length of the body, its checksum
MOST = 256 * 1024  # bytes in all


class Why(Enum):
    """A snapshot was refused."""

    FOREIGN = "it is no snapshot of this program"
    FUTURE = "it is of a later version"
    TRUNCATED = "it is not whole"
    OVERSIZED = "it is larger than any snapshot"
    DAMAGED = "its checksum does not fit"
    FAULTY = "its values can't be"


class Refused(ValueError):
    """The file can't be used; the text says why, and the start is cold."""

    def __init__(self, why: Why, more: str = "") -> None:
        super().__init__(why.value + (f": {more}" if more else ""))
        self.why = why


def write(knowledge: Knowledge) -> bytes:
    """Raises Refused where it would be too large."""
    body = msgspec.msgpack.encode(knowledge)
    if HEAD.size + len(body) > MOST:
        raise Refused(Why.OVERSIZED, f"{len(body)} bytes")
    return HEAD.pack(MAGIC, MAJOR, MINOR, len(body), xxhash.xxh3_64_intdigest(body)) + body


def read(raw: bytes) -> Knowledge:
    """Raises Refused, and nothing else, whatever the bytes are."""
    if len(raw) > MOST:
        raise Refused(Why.OVERSIZED, f"{len(raw)} bytes")
    if raw[:4] != MAGIC[: len(raw[:4])]:
        raise Refused(Why.FOREIGN)
    if len(raw) < HEAD.size:
        raise Refused(Why.TRUNCATED)
    _, major, minor, length, checksum = HEAD.unpack_from(raw)
    if major > MAJOR:
        raise Refused(Why.FUTURE, f"{major}.{minor}, this is {MAJOR}.{MINOR}")
    body = raw[HEAD.size :]
    if len(body) < length:
        raise Refused(Why.TRUNCATED, f"{len(body)} of {length} bytes")
    if len(body) > length or xxhash.xxh3_64_intdigest(body) != checksum:
        raise Refused(Why.DAMAGED)
    try:
        knowledge = msgspec.msgpack.decode(body, type=Knowledge)
    except (msgspec.MsgspecError, RecursionError, ValueError) as exc:
        raise Refused(Why.FAULTY, str(exc)[:100]) from None
    _check(knowledge)
    return knowledge


def _check(knowledge: Knowledge) -> None:
    """What the types can't say. A checksum proves that nothing was changed on the way, not that it was right."""
    if len(knowledge.servers) > MOST_SERVERS:
        raise Refused(Why.FAULTY, f"{len(knowledge.servers)} servers")
    if not knowledge.donor or len(knowledge.donor) > MOST_NAME:
        raise Refused(Why.FAULTY, "donor")
    names = set[str]()
    for owner in (knowledge, *knowledge.servers):
        for name, value in msgspec.structs.asdict(owner).items():
            if isinstance(value, (int, float)) and not (math.isfinite(value) and 0 <= value < 1e15):
                raise Refused(Why.FAULTY, name)
    for facts in knowledge.servers:
        if not 0 < len(facts.name) <= MOST_NAME or facts.name in names or facts.answered > 1:
            raise Refused(Why.FAULTY, f"server {facts.name[:MOST_NAME]!r}")
        names.add(facts.name)
