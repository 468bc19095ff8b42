"""The value of a duty's register: the holder of the lease, the term, the state versions and the open intents.

VACANT or OFFERED -> HELD -> RELEASING -> VACANT or OFFERED
HELD or RELEASING -> HELD by another member in the next term, if the leader is lost or stays unfit
HELD or RELEASING -> SUSPENDED -> VACANT, once an operator resumes the duty
any status -> REMOVED; a new duty of the same name gets a later generation
"""

from __future__ import annotations

from enum import IntEnum

import msgspec

from ..replication.work_record import KeyDigest, Owner

MAX_NAME_BYTES = 128
MAX_INTENT_BYTES = 512


class LeaseStatus(IntEnum):
    """Status of a lease. The values are stored."""

    VACANT = 0
    # The member in `offered_to` receives the first offer.
    OFFERED = 1
    HELD = 2
    # The leader finishes queued effects and accepts no new ones.
    RELEASING = 3
    # An operator has to resume the duty; the reason is in `suspension_reason`.
    SUSPENDED = 4
    REMOVED = 5

    @property
    def api_name(self) -> str:
        """Name of the status in the administration API, the command line and messages to operators."""
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
    """How an intent without a known outcome is resolved. The values are stored."""

    # Query the receiver. Its answer "not done" is final: it must never execute the intent afterwards.
    QUERY_RECEIVER = 0
    # Send the request again; it must be idempotent.
    REPEAT = 1
    # Keep the intent open until an operator settles it.
    OPERATOR_DECIDES = 2

    @property
    def api_name(self) -> str:
        """Name of the resolution in the administration API and the command line."""
        return _RESOLUTION_API_NAMES[self]


_RESOLUTION_API_NAMES = {
    IntentResolution.QUERY_RECEIVER: "ask",
    IntentResolution.REPEAT: "repeat",
    IntentResolution.OPERATOR_DECIDES: "tell",
}


class StateVersion(msgspec.Struct, frozen=True, array_like=True):
    """A version of a duty's state, stored as chunks.

    Attributes:
        revision: Revision of the change that added this version.
        size: Size in bytes.
        chunks: Digests of the chunks, in order.
    """

    revision: int
    size: int
    chunks: tuple[bytes, ...]


class Intent(msgspec.Struct, frozen=True, array_like=True):
    """An effect that is recorded before it is sent to a receiver that can't compare fencing tokens.

    Attributes:
        revision: Revision of the change that recorded the intent; identifies it.
        term: Term of the leader that recorded it.
        receiver: Address of the receiver.
        payload: Request of at most MAX_INTENT_BYTES.
        resolution: One of IntentResolution: how a later leader resolves the intent.
    """

    revision: int
    term: int
    receiver: str
    payload: bytes
    resolution: int


class LeaseRecord(msgspec.Struct, frozen=True, array_like=True):
    """The value of a duty's register. Stored and sent as an array: the order of the fields is part of the format.

    Attributes:
        name: Name of the duty.
        kind: Selects the worker of the duty.
        generation: Distinguishes the duty from earlier duties of the same name.
        term: Increases with each change of leader.
        revision: Increases with each change.
        status: One of LeaseStatus. An int, so that values of later versions can be read.
        holder: Process that leads, if any.
        holder_sequence: Number of the holder's latest change in this term; prevents a retried change from being
            applied twice.
        offered_to: Seat that receives the first offer.
        lost_leaders: Number of consecutive lost leaders.
        versions: Versions of the state, the latest first.
        intents: Intents without a known outcome.
        suspension_reason: Reason of the suspension, for operators.
        resume_generation: Minimum generation after a resume, if a receiver knows a later one than the record; else 0.
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
        """Generation, term and revision, by which two values of one register are ordered."""
        return self.generation, self.term, self.revision

    @property
    def is_led(self) -> bool:
        """Whether a member holds the lease."""
        return self.status in (LeaseStatus.HELD, LeaseStatus.RELEASING)

    @property
    def needs_leader(self) -> bool:
        """Whether the lease can be acquired without superseding a holder."""
        return self.status in (LeaseStatus.VACANT, LeaseStatus.OFFERED)

    def is_same_term(self, other: LeaseRecord | None) -> bool:
        """Return whether `other` has the same generation, term and holder."""
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
    """Decode the value of a register; None if it was never written.

    :raises msgspec.MsgspecError: if the value is malformed.
    """
    return None if value is None else _decoder.decode(value)


def register_key(name: str) -> KeyDigest:
    """Return the key of a duty's register."""
    return b"duty:" + name.encode()
