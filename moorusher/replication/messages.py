"""The messages among the runners of a cluster, and their frames.

Wire form: msgpack arrays. Each message is `[tag, field, ...]` in the order in which the fields stand here, with
trailing defaults left out. The tags and the order of the fields belong to version 4 of the protocol; class and field
names do not reach the wire.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from ..membership.messages import Ping, PingAck, PingRequest, WireMessage
from .errors import UnreadableFrameError
from .work_record import KeyDigest, Owner, WorkRecord

PROTOCOL_VERSION = 4  # both sides of a connection must name the same in their greeting
MAX_FRAME_BYTES = 1 << 20  # of one frame; what is sent to a peer in one turn is cut into as many as it takes

# (round, incarnation of the proposer, number of the proposer within its process); compared as a whole, so that no two
# proposers ever use the same ballot.
Ballot = tuple[int, int, int]
# The ballot of a first write without a promise. It is anyone's, and chosen only where all replicas accepted it.
FAST_BALLOT: Ballot = (0, 0, 0)
Incarnations = dict[str, int]  # by seat, the highest that the sender has heard of
# A register as it is sent to a recovering acceptor: key, promised ballot, accepted ballot, value, ttl in ms.
SyncedRegister = tuple[KeyDigest, Ballot, Ballot | None, WorkRecord | bytes | None, int]


class ComponentPayload(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """The base of the messages of a component of the cluster; one goes as the body of a `ComponentMessage`."""


class Hello(WireMessage, frozen=True, tag="hello"):
    """The first message on a connection, from either side.

    Attributes:
        version: `int`, see `PROTOCOL_VERSION`.
        fleet: `str`, the cluster's name in the settings.
        seats_digest: `str`, digest of the seats in the settings.
        seat: `str`, the sender's.
        incarnation: `int`, of the sending process.
    """

    version: int
    fleet: str
    seats_digest: str
    seat: str
    incarnation: int


class HandshakeRejected(WireMessage, frozen=True, tag="no"):
    """The answer to a greeting that is not accepted; the connection closes."""

    reason: str


# ---- registers ----


class BallotRequest(WireMessage, frozen=True, tag="ask"):
    """A proposer's request to an acceptor: to promise a ballot, or to accept a value.

    Attributes:
        serial: `int`, repeated in the `Vote`.
        key: `bytes`, of the register.
        ballot: the ballot to promise or to accept at; `FAST_BALLOT` for a first write.
        value: the value to accept, or None where only a promise is wanted.
        next_ballot: promised together with an accepted value, so that the proposer's next write needs no prepare round.
        quorum: who promised `ballot`, in which incarnation; empty for a promise and for a first write.
        ttl_ms: `int`, how long the key still counts, by the proposer's clock.
        space: `int`, see `register_space`.
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
    """An acceptor's answer to a `BallotRequest`.

    Attributes:
        serial: `int`, of the request.
        key: `bytes`, of the register.
        accepted: `bool`, the promise was given, or the value accepted.
        promised: the highest ballot that the acceptor has promised.
        accepted_ballot: of the value that it has, or None.
        value: the value that it has, or None.
        incarnation: `int`, the acceptor's own.
        incarnations: of the key's replicas, as far as the acceptor knows.
        recovering: `bool`, it may have forgotten something and has no vote.
        at_capacity: `bool`, it has no capacity for a further key.
        space: `int`, see `register_space`.
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
    """A recovering acceptor asks for every register that it may have known. `incarnation`: its own."""

    incarnation: int
    space: int = 0


class SyncReply(WireMessage, frozen=True, tag="slots"):
    """Registers for a recovering acceptor, one part of several.

    Attributes:
        incarnation: `int`, the asker's as it was named; a higher one where the asker's was too low: it must be above.
        incarnations: all that the sender has heard of.
        registers: see `SyncedRegister`.
        last: `bool`, this part ends the answer.
        recovering: `bool`, the sender has forgotten too.
        space: `int`, see `register_space`.
        known_slices: slices that the answer is complete for; None where it is complete for all.
    """

    incarnation: int
    incarnations: Incarnations
    registers: list[SyncedRegister]
    last: bool
    recovering: bool = False
    space: int = 0
    known_slices: list[int] | None = None


class Bootstrap(WireMessage, frozen=True, tag="begin"):
    """An operator's statement that nothing of this cluster ran before.

    It counts for one incarnation alone: heard late, it must not make a later process vote as if it had recovered.

    Attributes:
        incarnation: `int`, the receiver's, for which it counts.
        space: `int`, see `register_space`.
        accept_loss: `bool`, what the receiver has been synced is to count as all there was.
    """

    incarnation: int
    space: int = 0
    accept_loss: bool = False


class ComponentMessage(WireMessage, frozen=True, tag="for"):
    """To a component of the cluster that not every runner has; the body is in that component's own form."""

    component: str
    body: bytes


# ---- work ----


class OwnershipQuery(WireMessage, frozen=True, tag="has"):
    """To the owner of a key: is its work still in hand?"""

    key: KeyDigest
    attempt: int


class OwnershipReply(WireMessage, frozen=True, tag="had"):
    """The owner's answer: whether the work is in hand; or that it is finished, with its result."""

    key: KeyDigest
    attempt: int
    in_hand: bool
    finished: bool = False
    result: bytes | None = None


class TakeoverOffer(WireMessage, frozen=True, tag="take"):
    """To the seat whose turn it is: take over this work, which `owner` has left."""

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
    """The encoder and the decoder of a component's messages, a union of them.

    The decoder raises `msgspec.MsgspecError`.
    """
    return msgspec.msgpack.Encoder().encode, msgspec.msgpack.Decoder(kinds).decode


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[Message])


def encode(messages: list[Any]) -> bytes:
    """Messages as one frame."""
    return _encoder.encode(messages)


def decode(frame: bytes) -> list[Any]:
    """The messages of a frame. Raises UnreadableFrameError where it is none of this protocol."""
    try:
        return _decoder.decode(frame)
    except (msgspec.MsgspecError, RecursionError) as exc:
        raise UnreadableFrameError(str(exc)) from exc
