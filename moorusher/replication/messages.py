"""What runners of a fleet say to each other. One form for all, versioned by `VERSION` in the greeting."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from .work_record import Key, Owner, WorkRecord

PROTOCOL_VERSION = 4
MAX_FRAME_BYTES = (
    1 << 20
)  # bytes of one frame: all that is said to a peer in one turn, cut into as many as it takes

Ballot = tuple[
    int, int, int
]  # (round, the proposer's incarnation, which of its writers); compared as a whole
FAST_BALLOT: Ballot = (
    0,
    0,
    0,
)  # of a first write without a promise: anyone's, and chosen only where all keepers took it
Incarnations = dict[str, int]  # incarnations of seats, the highest that somebody has heard of


class _Message(msgspec.Struct, frozen=True, array_like=True, tag=True, omit_defaults=True):
    pass


class ComponentPayload(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """The base of what a part of the fleet's doings says; goes as the body of a `For`."""


class Hello(_Message, frozen=True, tag="hello"):
    """The first word on a connection, by who made it."""

    version: int
    fleet: str
    seats_digest: str  # digest of the seats in the file
    seat: str
    incarnation: int


class HandshakeRejected(_Message, frozen=True, tag="no"):
    """The answer to a greeting that is not taken, with the reason; the connection closes."""

    reason: str


# ---- registers ----


class BallotRequest(_Message, frozen=True, tag="ask"):
    """To a keeper. `value` is None for a promise alone; `ballot` is FAST for a first write. Where the keeper takes the
    value it promises `after` as well, so that the same proposer's next write needs no round of its own."""

    serial: int
    key: Key
    ballot: Ballot
    value: WorkRecord | bytes | None
    next_ballot: Ballot
    quorum: Incarnations  # who promised `ballot`, in which incarnation; empty for a promise and a first write
    ttl_ms: int  # how long the key still counts, by the proposer's clock
    space: int = 0  # see `registers`


class Vote(_Message, frozen=True, tag="vote"):
    """A keeper's answer to a question or a change of a register."""

    serial: int
    key: Key
    accepted: bool
    promised: Ballot
    accepted_ballot: Ballot | None  # of the value that the keeper has
    value: WorkRecord | bytes | None
    incarnation: int  # the keeper's own
    incarnations: Incarnations  # of the key's keepers, as far as this one knows
    recovering: bool = False  # it may have forgotten: it has no vote
    at_capacity: bool = False  # no room for a further key
    space: int = 0


# ---- a keeper that has forgotten ----


class SyncRequest(_Message, frozen=True, tag="sync"):
    """A keeper that remembers nothing asks for all that it may have known."""

    incarnation: int
    space: int = 0


class SyncReply(_Message, frozen=True, tag="slots"):
    """(key, promised, ballot, value, left_ms) each; `last` ends the answer. `blank`: who was asked has forgotten too.
    `vouches`: the slices that it speaks of; all, where None. `inc` is what the asker's incarnation must be above, where
    it was too low."""

    incarnation: int
    incarnations: Incarnations
    registers: list[tuple[Key, Ballot, Ballot | None, WorkRecord | bytes | None, int]]
    last: bool
    recovering: bool = False
    space: int = 0
    known_slices: list[int] | None = None


class Bootstrap(_Message, frozen=True, tag="begin"):
    """An operator's word that nothing of this fleet ran before: all of its seats are up, and none remembers. For that
    incarnation alone: one that is heard late must not have a later process vote as if it remembered. `lost`: what it
    was told again is to count as all there was."""

    incarnation: int
    space: int = 0
    accept_loss: bool = False


class ComponentMessage(_Message, frozen=True, tag="for"):
    """To a part of the fleet's doings that is not always there, in that part's own form."""

    component: str
    body: bytes


# ---- work ----


class OwnershipQuery(_Message, frozen=True, tag="has"):
    """To the owner of a key: have you still got it in hand?"""

    key: Key
    attempt: int


class OwnershipReply(_Message, frozen=True, tag="had"):
    """`over`: it is, with this result; else whether it is in hand."""

    key: Key
    attempt: int
    in_hand: bool
    finished: bool = False
    result: bytes | None = None


class TakeoverOffer(_Message, frozen=True, tag="take"):
    """To the seat whose turn it is: go on with this work, which its owner has left."""

    key: Key
    owner: Owner
    attempt: int


# ---- membership ----


class MemberStatus(msgspec.Struct, frozen=True, array_like=True):
    """What a member says of itself."""

    accepts_work: bool = False  # to take work over
    cores: int = 0
    predecessor: int = 0  # the process that it replaces, while that one lives
    duties: int = 0
    duty_replicas: int = 0  # registers of duties
    weight: int = 0  # percent of its full capacity, as balancers are told; 0: no new requests
    load: int = 0  # hundredths of a core that it serves, coarsely,
    peak_load: int = 0  # and the most of them in the last while
    recovered: bool = False  # as a keeper of what is the fleet's it has forgotten nothing,
    durable: bool = False  # and its next process will not have


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True):
    """What is said of a member. `version` grows as it tells something new of itself."""

    seat: str
    incarnation: int
    version: int
    state: int  # of `member.State`
    status: MemberStatus


class Ping(_Message, frozen=True, tag="ping"):
    """Asks a member whether it is there; carries news."""

    serial: int
    updates: list[MemberUpdate]
    requested_by: str = ""  # of the seat that asked for it


class PingAck(_Message, frozen=True, tag="pong"):
    """The answer to a ping; carries news."""

    serial: int
    updates: list[MemberUpdate]
    requested_by: str = ""


class PingRequest(_Message, frozen=True, tag="pingfor"):
    """Ask that one for me: I don't hear from it."""

    serial: int
    seat: str
    updates: list[MemberUpdate]


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
    """How a part's messages, a union of them, are written and read. Reading raises msgspec.MsgspecError."""
    return msgspec.msgpack.Encoder().encode, msgspec.msgpack.Decoder(kinds).decode


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[Message])


def encode(messages: list[Any]) -> bytes:
    """Messages as one frame."""
    return _encoder.encode(messages)


def decode(frame: bytes) -> list[Any]:
    """Raises ValueError where it is no frame of ours."""
    try:
        return _decoder.decode(frame)
    except (msgspec.MsgspecError, RecursionError) as exc:
        raise ValueError(str(exc)) from exc
