"""Messages between members about duties, except those of the registers. Encoded as arrays that start with a tag."""

from __future__ import annotations

from ..replication.messages import ComponentPayload, component_codec
from ..replication.work_record import KeyDigest, Owner
from .chunks import Mark

# Component name under which members exchange these messages.
PART = "duties"


class LeaseOffer(ComponentPayload, frozen=True, tag="offer"):
    """Offer by a replica: the duty needs a leader.

    Attributes:
        key: Key of the register.
        generation: Generation of the record that the offer is made for.
        term: Term of that record.
        leader_lost: Whether the leader is lost.
        must_accept: Whether only unfit members may decline, as earlier offers failed.
    """

    key: KeyDigest
    generation: int
    term: int
    leader_lost: bool
    must_accept: bool


class OfferDeclined(ComponentPayload, frozen=True, tag="declined"):
    """Answer of a member that declines an offer."""

    key: KeyDigest
    term: int


class LeaseAcquired(ComponentPayload, frozen=True, tag="passed"):
    """Notifies the former leader that another member holds the lease.

    Only a hint: the register rejects the former leader's next change in any case.
    """

    key: KeyDigest
    generation: int
    term: int
    holder: Owner


class StoreChunk(ComponentPayload, frozen=True, tag="keep"):
    """Request to a replica to store a chunk.

    Attributes:
        serial: Number of the request, which the answer repeats.
        key: Key of the register.
        mark: Generation, term and revision of the change that will reference the chunk.
        name: Digest of the chunk.
        chunk: Content; empty if the replica should already store it.
    """

    serial: int
    key: KeyDigest
    mark: Mark
    name: bytes
    chunk: bytes


class ChunkStored(ComponentPayload, frozen=True, tag="kept"):
    """Answer of a replica to StoreChunk.

    Attributes:
        serial: Number of the request.
        name: Digest of the chunk.
        ok: Whether the chunk is stored.
        missing: Whether the replica needs the content.
        incarnation: Incarnation of the replica; chunks stored by an earlier one don't count.
    """

    serial: int
    name: bytes
    ok: bool
    missing: bool
    incarnation: int


class RecordChosen(ComponentPayload, frozen=True, tag="named"):
    """Notifies a replica of a chosen value, so that it can delete chunks that no later change can reference."""

    key: KeyDigest
    value: bytes


class FetchChunks(ComponentPayload, frozen=True, tag="fetch"):
    """Requests chunks from a replica."""

    key: KeyDigest
    names: list[bytes]


class ChunkFetched(ComponentPayload, frozen=True, tag="fetched"):
    """Answer with one chunk, which is empty if the replica does not store it."""

    key: KeyDigest
    name: bytes
    chunk: bytes


Message = (
    LeaseOffer
    | OfferDeclined
    | LeaseAcquired
    | StoreChunk
    | ChunkStored
    | RecordChosen
    | FetchChunks
    | ChunkFetched
)
encode, decode = component_codec(Message)
