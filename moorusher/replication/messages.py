"""What runners of a fleet say to each other. One form for all, versioned by `VERSION` in the greeting."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from .work_record import Key, Owner, Work

VERSION = 4
MOST_FRAME = (
    1 << 20
)  # bytes of one frame: all that is said to a peer in one turn, cut into as many as it takes

Ballot = tuple[
    int, int, int
]  # (round, the proposer's incarnation, which of its writers); compared as a whole
FAST: Ballot = (
    0,
    0,
    0,
)  # of a first write without a promise: anyone's, and chosen only where all keepers took it
Incs = dict[str, int]  # incarnations of seats, the highest that somebody has heard of


class _Message(msgspec.Struct, frozen=True, array_like=True, tag=True, omit_defaults=True):
    pass


class Said(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """The base of what a part of the fleet's doings says; goes as the body of a `For`."""


class Hello(_Message, frozen=True, tag="hello"):
    """The first word on a connection, by who made it."""

    version: int
    fleet: str
    seats: str  # digest of the seats in the file
    seat: str
    inc: int


class Refused(_Message, frozen=True, tag="no"):
    """The answer to a greeting that is not taken, with the reason; the connection closes."""

    why: str


# ---- registers ----


class Ask(_Message, frozen=True, tag="ask"):
    """To a keeper. `value` is None for a promise alone; `ballot` is FAST for a first write. Where the keeper takes the
    value it promises `after` as well, so that the same proposer's next write needs no round of its own."""

    serial: int
    key: Key
    ballot: Ballot
    value: Work | bytes | None
    after: Ballot
    quorum: Incs  # who promised `ballot`, in which incarnation; empty for a promise and a first write
    left_ms: int  # how long the key still counts, by the proposer's clock
    space: int = 0  # see `registers`


class Vote(_Message, frozen=True, tag="vote"):
    """A keeper's answer to a question or a change of a register."""

    serial: int
    key: Key
    taken: bool
    promised: Ballot
    ballot: Ballot | None  # of the value that the keeper has
    value: Work | bytes | None
    inc: int  # the keeper's own
    incs: Incs  # of the key's keepers, as far as this one knows
    blank: bool = False  # it may have forgotten: it has no vote
    full: bool = False  # no room for a further key
    space: int = 0


# ---- a keeper that has forgotten ----


class Sync(_Message, frozen=True, tag="sync"):
    """A keeper that remembers nothing asks for all that it may have known."""

    inc: int
    space: int = 0


class Slots(_Message, frozen=True, tag="slots"):
    """(key, promised, ballot, value, left_ms) each; `last` ends the answer. `blank`: who was asked has forgotten too.
    `vouches`: the slices that it speaks of; all, where None. `inc` is what the asker's incarnation must be above, where
    it was too low."""

    inc: int
    incs: Incs
    slots: list[tuple[Key, Ballot, Ballot | None, Work | bytes | None, int]]
    last: bool
    blank: bool = False
    space: int = 0
    vouches: list[int] | None = None


class Begin(_Message, frozen=True, tag="begin"):
    """An operator's word that nothing of this fleet ran before: all of its seats are up, and none remembers. For that
    incarnation alone: one that is heard late must not have a later process vote as if it remembered. `lost`: what it
    was told again is to count as all there was."""

    inc: int
    space: int = 0
    lost: bool = False


class For(_Message, frozen=True, tag="for"):
    """To a part of the fleet's doings that is not always there, in that part's own form."""

    part: str
    body: bytes


# ---- work ----


class Has(_Message, frozen=True, tag="has"):
    """To the owner of a key: have you still got it in hand?"""

    key: Key
    attempt: int


class Had(_Message, frozen=True, tag="had"):
    """`over`: it is, with this result; else whether it is in hand."""

    key: Key
    attempt: int
    has: bool
    over: bool = False
    result: bytes | None = None


class Take(_Message, frozen=True, tag="take"):
    """To the seat whose turn it is: go on with this work, which its owner has left."""

    key: Key
    owner: Owner
    attempt: int


# ---- membership ----


class Word(msgspec.Struct, frozen=True, array_like=True):
    """What a member says of itself."""

    fit: bool = False  # to take work over
    cores: int = 0
    predecessor: int = 0  # the process that it replaces, while that one lives
    duties: int = 0
    keeps: int = 0  # registers of duties
    weight: int = 0  # percent of its full capacity, as balancers are told; 0: no new requests
    load: int = 0  # hundredths of a core that it serves, coarsely,
    peak: int = 0  # and the most of them in the last while
    whole: bool = False  # as a keeper of what is the fleet's it has forgotten nothing,
    lasting: bool = False  # and its next process will not have


class About(msgspec.Struct, frozen=True, array_like=True):
    """What is said of a member. `version` grows as it tells something new of itself."""

    seat: str
    inc: int
    version: int
    state: int  # of `member.State`
    told: Word


class Ping(_Message, frozen=True, tag="ping"):
    """Asks a member whether it is there; carries news."""

    serial: int
    news: list[About]
    on_behalf: str = ""  # of the seat that asked for it


class Pong(_Message, frozen=True, tag="pong"):
    """The answer to a ping; carries news."""

    serial: int
    news: list[About]
    on_behalf: str = ""


class PingFor(_Message, frozen=True, tag="pingfor"):
    """Ask that one for me: I don't hear from it."""

    serial: int
    seat: str
    news: list[About]


Message = Hello | Refused | Ask | Vote | Sync | Slots | Begin | For | Has | Had | Take | Ping | Pong | PingFor


def spoken(kinds: Any) -> tuple[Callable[[Any], bytes], Callable[[bytes], Any]]:
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
