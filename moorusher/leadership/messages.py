"""Messages between members about duties, besides those of the registers. Arrays on the wire, with a tag first."""

from __future__ import annotations

from ..replication.messages import ComponentPayload, component_codec
from ..replication.work_record import KeyDigest, Owner
from .chunks import Mark

PART = "duties"  # names these messages among all that members exchange


class LeaseOffer(ComponentPayload, frozen=True, tag="offer"):
    """From a replica of its register: this duty needs a leader.

    generation, term: int, of the record that the offer is made for.
    leader_lost: bool, its leader is lost.
    must_accept: bool, others have declined: only a member that is not fit may decline.
    """

    key: KeyDigest
    generation: int
    term: int
    leader_lost: bool
    must_accept: bool


class OfferDeclined(ComponentPayload, frozen=True, tag="declined"):
    """A member does not take the lease that it was offered."""

    key: KeyDigest
    term: int


class LeaseTaken(ComponentPayload, frozen=True, tag="passed"):
    """To the former leader: another has the lease. A hint; the former leader's next change would tell it, too."""

    key: KeyDigest
    generation: int
    term: int
    holder: Owner


class StoreChunk(ComponentPayload, frozen=True, tag="keep"):
    """To a replica: a chunk of the version that the change at `mark` is to name.

    chunk: bytes; empty if the replica should have it already.
    """

    serial: int
    key: KeyDigest
    mark: Mark
    name: bytes
    chunk: bytes


class ChunkStored(ComponentPayload, frozen=True, tag="kept"):
    """Answer of a replica.

    ok: bool, it has stored the chunk.
    missing: bool, the chunk has to be sent.
    inc: int, incarnation of the replica; what an earlier one had stored does not count.
    """

    serial: int
    name: bytes
    ok: bool
    missing: bool
    inc: int


class RecordChosen(ComponentPayload, frozen=True, tag="named"):
    """This value of the register is chosen: chunks that no later change can name may be deleted."""

    key: KeyDigest
    value: bytes


class FetchChunks(ComponentPayload, frozen=True, tag="fetch"):
    """Asks a replica for chunks."""

    key: KeyDigest
    names: list[bytes]


class ChunkFetched(ComponentPayload, frozen=True, tag="fetched"):
    """One chunk; empty if the replica does not have it."""

    key: KeyDigest
    name: bytes
    chunk: bytes


Message = (
    LeaseOffer
    | OfferDeclined
    | LeaseTaken
    | StoreChunk
    | ChunkStored
    | RecordChosen
    | FetchChunks
    | ChunkFetched
)
encode, decode = component_codec(Message)
