"""The value of a duty's register: who holds the lease, in which term, with which state and which open intents.

VACANT -> HELD -> RELEASING -> OFFERED -> HELD by the next leader
   ^        \\-> HELD by another member, when its leader is lost
   |-- SUSPENDED until an operator resumes it
REMOVED: the name was deleted; created again it is another duty of a later generation
"""

from __future__ import annotations

from enum import IntEnum

import msgspec

from ..replication.work_record import KeyDigest, Owner

MAX_NAME_BYTES = 128
MAX_INTENT_BYTES = 512


class LeaseStatus(IntEnum):
    """Where a duty stands between two leaders. The values are stored."""

    VACANT = 0
    OFFERED = 1  # to the member in `offered_to`
    HELD = 2
    RELEASING = 3  # its leader finishes what is under way and starts nothing new
    SUSPENDED = 4  # until an operator resumes it, for the reason in `suspension_reason`
    REMOVED = 5

    @property
    def api_name(self) -> str:
        """The name in the administration API, the command line and messages to operators."""
        return _STATUS_API_NAMES[self]


_STATUS_API_NAMES = {
    LeaseStatus.VACANT: "vacant",
    LeaseStatus.OFFERED: "offered",
    LeaseStatus.HELD: "held",
    LeaseStatus.RELEASING: "yielding",
    LeaseStatus.SUSPENDED: "aside",
    LeaseStatus.REMOVED: "gone",
}


class IntentResolution(IntEnum):
    """How the outcome of an intent is found when nobody reported it. The values are stored."""

    QUERY_RECEIVER = (
        0  # the receiver knows; once it answered "not done" it never does it, so that answer is final
    )
    REPEAT = 1  # idempotent: it is sent again
    OPERATOR_DECIDES = 2  # it stays open until an operator settles it

    @property
    def api_name(self) -> str:
        """The name in the administration API and the command line."""
        return _RESOLUTION_API_NAMES[self]


_RESOLUTION_API_NAMES = {
    IntentResolution.QUERY_RECEIVER: "ask",
    IntentResolution.REPEAT: "repeat",
    IntentResolution.OPERATOR_DECIDES: "tell",
}


class StateVersion(msgspec.Struct, frozen=True, array_like=True):
    """A version of a duty's state, stored as chunks.

    revision: int, of the change that named it.
    size: int, bytes.
    chunks: digests of its chunks, in order.
    """

    revision: int
    size: int
    chunks: tuple[bytes, ...]


class Intent(msgspec.Struct, frozen=True, array_like=True):
    """An effect that was chosen before it is made, at a receiver that can't compare fencing tokens.

    revision: int, of the change that chose it; names the intent.
    term: int, of the leader that chose it.
    receiver: str, address.
    payload: bytes, at most MAX_INTENT_BYTES.
    resolution: int, one of IntentResolution: how its outcome is found by a later leader.
    """

    revision: int
    term: int
    receiver: str
    payload: bytes
    resolution: int


class LeaseRecord(msgspec.Struct, frozen=True, array_like=True):
    """The value of a duty's register. Stored and sent as an array: the order of the fields is part of the format.

    name: str, of the duty.
    kind: str, which worker does it.
    generation: int, tells the duty from an earlier one of its name.
    term: int, grows with each change of leader.
    revision: int, grows with each change.
    status: int, one of LeaseStatus; stored as an int, so that a value which a later version adds can be read.
    holder: the process that leads, if any.
    holder_sequence: int, changes that the holder made in this term, so that a repeated round makes none twice.
    offered_to: str, the seat that is offered it first.
    lost_leaders: int, leaders lost one after another.
    versions: of the state, the latest first.
    intents: whose outcome is not known yet.
    suspension_reason: str, for operators.
    resume_generation: int, at least this generation after a resume; a receiver knew of a later one. 0: any.
    """

    name: str
    kind: str
    generation: int
    term: int
    revision: int
    status: int
    holder: Owner | None = None
    holder_sequence: int = 0
    offered_to: str = ""
    lost_leaders: int = 0
    versions: tuple[StateVersion, ...] = ()
    intents: tuple[Intent, ...] = ()
    suspension_reason: str = ""
    resume_generation: int = 0

    @property
    def position(self) -> tuple[int, int, int]:
        """Generation, term and revision: compares two values of one register."""
        return self.generation, self.term, self.revision

    @property
    def is_led(self) -> bool:
        """A member holds the lease."""
        return self.status in (LeaseStatus.HELD, LeaseStatus.RELEASING)

    @property
    def needs_leader(self) -> bool:
        """The lease is free to be taken."""
        return self.status in (LeaseStatus.VACANT, LeaseStatus.OFFERED)

    def is_same_tenure(self, other: LeaseRecord | None) -> bool:
        """Whether `other` has the same generation, term and holder."""
        return other is not None and (self.generation, self.term, self.holder) == (
            other.generation,
            other.term,
            other.holder,
        )


_encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(LeaseRecord)


def encode_record(record: LeaseRecord) -> bytes:
    """Encode a record as the value of its register."""
    return _encode(record)


def decode_record(value: bytes | None) -> LeaseRecord | None:
    """Decode the value of a register; None if nothing was written yet. Raises msgspec.MsgspecError."""
    return None if value is None else _decoder.decode(value)


def register_key(name: str) -> KeyDigest:
    """Return the key of a duty's register."""
    return b"duty:" + name.encode()
