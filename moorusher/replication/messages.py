"""The messages among the runners of a cluster, and their frames.

Wire format: msgpack arrays. Each message is `[tag, field, ...]` in the order of the fields in its class, without
trailing default values. The tags and the order of the fields are part of version 4 of the protocol; class and field
names are not sent.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from ..membership.messages import Ping, PingAck, PingRequest, WireMessage
from .errors import UnreadableFrameError
from .work_record import KeyDigest, Owner, WorkRecord

PROTOCOL_VERSION = 4  # Both sides of a connection must send the same version in their `Hello`.
# Messages that are sent to a peer together are split into frames of at most this size.
MAX_FRAME_BYTES = 1 << 20

# (round, incarnation of the proposer, number of the proposer within its process). No two proposers share both the
# incarnation and the number, so no two proposers use the same ballot.
Ballot = tuple[int, int, int]
# The ballot of a first write without a promise. All proposers share it, so a value is chosen at it only if all replicas
# accept the value.
FAST_BALLOT: Ballot = (0, 0, 0)
Incarnations = dict[str, int]  # Highest known incarnation of each seat.
# A register as it is sent to a recovering acceptor: key, promised ballot, accepted ballot, value, TTL in ms.
SyncedRegister = tuple[KeyDigest, Ballot, Ballot | None, WorkRecord | bytes | None, int]


class ComponentPayload(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """The base class of a component's messages, which are sent as the body of a `ComponentMessage`."""


class Hello(WireMessage, frozen=True, tag="hello"):
    """The first message of each side of a connection.

    Attributes:
        version: Protocol version, see `PROTOCOL_VERSION`.
        fleet: Name of the cluster in the settings.
        seats_digest: Digest of the seats in the settings.
        seat: Seat of the sender.
        incarnation: Incarnation of the sender.
    """

    version: int
    fleet: str
    seats_digest: str
    seat: str
    incarnation: int


class HandshakeRejected(WireMessage, frozen=True, tag="no"):
    """The reply to a `Hello` that is rejected; the connection is closed after it."""

    reason: str


# ---- registers ----


class BallotRequest(WireMessage, frozen=True, tag="ask"):
    """A proposer's request to an acceptor to promise a ballot or to accept a value.

    Attributes:
        serial: Number that the `Vote` repeats.
        key: Key of the register.
        ballot: Ballot to promise or to accept the value at; `FAST_BALLOT` for a first write.
        value: Value to accept, or None to request a promise.
        next_ballot: Ballot that an acceptor of the value promises too, which saves the next write a prepare round.
        quorum: Seats that promised `ballot`, with their incarnations; empty for a promise and for a first write.
        ttl_ms: Time until the key expires, by the proposer's clock.
        space: Number of the register space.
    """

    serial: int
    key: KeyDigest
    ballot: Ballot
    value: WorkRecord | bytes | None
    next_ballot: Ballot
    quorum: Incarnations
    ttl_ms: int
    space: int = 0


class Vote(WireMessage, frozen=True, tag="vote"):
    """An acceptor's reply to a `BallotRequest`.

    Attributes:
        serial: Serial of the request.
        key: Key of the register.
        accepted: Whether the acceptor gave the promise or accepted the value.
        promised: Highest ballot that the acceptor has promised.
        accepted_ballot: Ballot of the acceptor's value, or None.
        value: Last value that the acceptor has accepted, or None.
        incarnation: Incarnation of the acceptor.
        incarnations: Incarnations of the key's replicas that the acceptor knows.
        recovering: Whether the acceptor can't vote, because it may have lost state.
        at_capacity: Whether the acceptor can't store another key.
        space: Number of the register space.
    """

    serial: int
    key: KeyDigest
    accepted: bool
    promised: Ballot
    accepted_ballot: Ballot | None
    value: WorkRecord | bytes | None
    incarnation: int
    incarnations: Incarnations
    recovering: bool = False
    at_capacity: bool = False
    space: int = 0


# ---- recovery of an acceptor ----


class SyncRequest(WireMessage, frozen=True, tag="sync"):
    """Requests all registers that the recovering sender may have known.

    Attributes:
        incarnation: Incarnation of the sender.
        space: Number of the register space.
    """

    incarnation: int
    space: int = 0


class SyncReply(WireMessage, frozen=True, tag="slots"):
    """One part of the reply to a recovering acceptor.

    Attributes:
        incarnation: Incarnation from the request. If the sender knows a higher incarnation of the requester's seat,
            that incarnation, which the requester must exceed.
        incarnations: All incarnations that the sender knows.
        registers: Registers of this part.
        last: Whether this is the last part.
        recovering: Whether the reply has no registers, because the sender is recovering itself or has rejected the
            requester's incarnation.
        space: Number of the register space.
        known_slices: Slices for which the reply is complete; None if it is complete for all slices.
    """

    incarnation: int
    incarnations: Incarnations
    registers: list[SyncedRegister]
    last: bool
    recovering: bool = False
    space: int = 0
    known_slices: list[int] | None = None


class Bootstrap(WireMessage, frozen=True, tag="begin"):
    """An operator's statement that the cluster is new and its acceptors have no earlier state.

    It is valid for one incarnation only, so that a delayed message does not let a later process vote before it has
    recovered.

    Attributes:
        incarnation: Incarnation of the receiver for which the message is valid.
        space: Number of the register space.
        accept_loss: Whether the receiver should treat the state that it has received so far as complete.
    """

    incarnation: int
    space: int = 0
    accept_loss: bool = False


class ComponentMessage(WireMessage, frozen=True, tag="for"):
    """A message to a component that not every runner has. The component encodes the body."""

    component: str
    body: bytes


# ---- work ----


class OwnershipQuery(WireMessage, frozen=True, tag="has"):
    """Asks the owner of a key whether its work is still queued or running."""

    key: KeyDigest
    attempt: int


class OwnershipReply(WireMessage, frozen=True, tag="had"):
    """The reply to an `OwnershipQuery`.

    Attributes:
        key: Key of the work.
        attempt: Attempt of the query.
        in_hand: Whether the work is queued or running.
        finished: Whether the run has ended.
        result: Result of the run, or None.
    """

    key: KeyDigest
    attempt: int
    in_hand: bool
    finished: bool = False
    result: bytes | None = None


class TakeoverOffer(WireMessage, frozen=True, tag="take"):
    """Offers work to a seat for takeover. `owner` has released the work or is lost."""

    key: KeyDigest
    owner: Owner
    attempt: int


Message = (
    Hello
    | HandshakeRejected
    | BallotRequest
    | Vote
    | SyncRequest
    | SyncReply
    | Bootstrap
    | ComponentMessage
    | OwnershipQuery
    | OwnershipReply
    | TakeoverOffer
    | Ping
    | PingAck
    | PingRequest
)


def component_codec(kinds: Any) -> tuple[Callable[[Any], bytes], Callable[[bytes], Any]]:
    """Return the encoder and the decoder of a component's messages. The decoder raises `msgspec.MsgspecError`.

    :param kinds: Union of the message classes.
    """
    return msgspec.msgpack.Encoder().encode, msgspec.msgpack.Decoder(kinds).decode


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[Message])


def encode(messages: list[Any]) -> bytes:
    """Encode messages as one frame."""
    return _encoder.encode(messages)


def decode(frame: bytes) -> list[Any]:
    """Decode the messages of a frame.

    :raises UnreadableFrameError: If the frame does not follow the protocol.
    """
    try:
        return _decoder.decode(frame)
    except (msgspec.MsgspecError, RecursionError) as exc:
        raise UnreadableFrameError(str(exc)) from exc
