"""What a state of the register model consists of: acceptors, runners, and messages in transit."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass
from enum import Enum
from typing import Any, NamedTuple

from ..replication.acceptor import Acceptor, RegisterState
from ..replication.messages import BallotRequest, SyncReply, Vote
from ..replication.proposer import Proposer
from .shallow_copy import shallow_copy

KEY = b"k"
SEATS = ("a", "b", "c")
RESTARTING = "a"  # the acceptor that restarts, with or without its memory


@dataclass(frozen=True, slots=True)
class RegisterModelLimits:
    """How large the case is that is explored.

    Attributes:
        retries: further rounds that P and Q may begin, whenever they like.
        patient: `bool`, a further round only after a conflict, not at any time.
        answers_travel: `bool`, answers travel by themselves; else they come at once, or are lost.
        duplicates: `int`, messages that are duplicated.
        crashes: `int`, restarts of acceptor a without its memory.
        restarts: `int`, restarts of acceptor a with its memory.
        starts_held: `bool`, P holds the key already, and is to start; Q takes it over.
        takes_over: `bool`, Q goes on with what P holds.
        releases: `bool`, P may say that the work never ran, after it has asked to start.
    """

    retries: tuple[int, int] = (0, 1)
    patient: bool = False
    answers_travel: bool = False
    duplicates: int = 0
    crashes: int = 0
    restarts: int = 0
    starts_held: bool = False
    takes_over: bool = True
    releases: bool = False


class Step(Enum):
    """What the change is for that a runner makes."""

    IDLE = "idle"  # before the first one
    CLAIM = "claim"
    TAKE_OVER = "take over"
    START = "start"
    RELEASE = "release"
    ACQUIRE_LEASE = "acquire the lease"  # see `leadership_interleavings`
    EFFECT = "effect"
    OVER = "over"  # after the last one


@dataclass(slots=True)
class Runner:
    """Claims the key, or takes it over; then starts; then runs, once it has learnt that STARTED is chosen.

    Attributes:
        name: `str`, P or Q.
        incarnation: `int`.
        retries: `int`, further rounds that it may begin.
        step: what its change is for.
        attempt: `int`, of the work that it holds.
        proposer: `Proposer` of the change in progress, or None.
        serial: `int`, how many changes it has begun.
        runs: `int`, how often it has run the work.
        released: `bool`, it has given the work up.
        change: of a subclass of the model.
    """

    name: str
    incarnation: int
    retries: int
    step: Step = Step.IDLE
    attempt: int = 0
    proposer: Any = None
    serial: int = 0
    runs: int = 0
    released: bool = False
    change: Any = None


class InTransit(NamedTuple):
    """A message in transit; `text` is the message as it is told from others."""

    to: str
    sender: str
    message: Any
    text: str


def text_of(message: Any) -> str:
    """Return a message but for the names of seats, which are compared elsewhere, and for what follows from the rest."""
    if isinstance(message, BallotRequest):
        return f"ask {message.ballot} {message.value!r} {message.serial}"
    if isinstance(message, Vote):
        vote = f"{message.accepted} {message.accepted_ballot} {message.value!r} {message.promised}"
        return f"vote {vote} {message.incarnation} {message.recovering} {message.serial}"
    if isinstance(message, SyncReply):
        return f"slots {message.incarnation} {message.registers} {message.recovering}"
    return str(message)


def register_values(acceptor: Acceptor) -> tuple[Hashable, ...]:
    """Return what an acceptor has promised and accepted."""
    return tuple(
        (register.promised, register.accepted_ballot, register.value)
        for register in acceptor.registers.values()
    )


def copy_runner(runner: Runner) -> Runner:
    """Return a copy that shares nothing that a move changes."""
    new = shallow_copy(runner)
    if runner.proposer is not None:
        new.proposer = _copy_proposer(runner.proposer)
    return new


def _copy_proposer(proposer: Proposer) -> Proposer:
    new = shallow_copy(proposer)
    new._votes = dict(proposer._votes)
    new._rejections = set(proposer._rejections)
    new._may_have_accepted = set(proposer._may_have_accepted)
    return new


def copy_acceptor(acceptor: Acceptor) -> Acceptor:
    """Return a copy that shares nothing that a move changes."""
    new = type(acceptor)(
        acceptor.seat,
        acceptor.incarnation,
        acceptor.replicas,
        acceptor.other_seats,
        acceptor.recovered,
        acceptor.max_registers,
        {},
        dict(acceptor.incarnations),
        set(acceptor.synced_from),
    )
    for key, register in acceptor.registers.items():
        new.registers[key] = RegisterState(
            register.promised, register.accepted_ballot, register.value, register.expires_at
        )
    return new
