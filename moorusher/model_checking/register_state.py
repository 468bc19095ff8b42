"""The parts of a state of the register model: acceptors, runners, and messages in transit."""

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
RESTARTING = "a"  # Seat of the acceptor that restarts, with or without its memory.


@dataclass(frozen=True, slots=True)
class RegisterModelLimits:
    """The bounds of the explored case.

    Attributes:
        retries: Numbers of additional rounds that P and Q may begin.
        retries_on_conflict_only: Whether an additional round may begin only after a conflict, not at any time.
        has_answers_in_transit: Whether answers are messages in transit. Otherwise they arrive at once or are lost.
        duplicates: Number of messages that are duplicated.
        crashes: Number of restarts of the acceptor at `RESTARTING` without its memory.
        restarts: Number of restarts of the acceptor at `RESTARTING` with its memory.
        starts_claimed: Whether P holds the key initially; P then starts the work, and Q takes it over.
        takes_over: Whether a runner takes over work that another runner has claimed or released.
        releases: Whether P releases the work as not run after its start was chosen.
    """

    retries: tuple[int, int] = (0, 1)
    retries_on_conflict_only: bool = False
    has_answers_in_transit: bool = False
    duplicates: int = 0
    crashes: int = 0
    restarts: int = 0
    starts_claimed: bool = False
    takes_over: bool = True
    releases: bool = False


class Step(Enum):
    """The purpose of a runner's current change."""

    IDLE = "idle"  # Before the first change.
    CLAIM = "claim"
    TAKE_OVER = "take over"
    START = "start"
    RELEASE = "release"
    ACQUIRE_LEASE = "acquire the lease"  # Used by `leadership_interleavings`.
    EFFECT = "effect"  # Used by `leadership_interleavings`.
    DONE = "over"  # After the last change.


@dataclass(slots=True)
class Runner:
    """A runner that claims the key or takes it over, starts the work, and runs it when STARTED is chosen.

    Attributes:
        name: P or Q.
        incarnation: Incarnation of the runner.
        retries: Number of additional rounds that it may still begin.
        step: Purpose of its current change.
        attempt: Attempt number of the work that it holds.
        proposer: `Proposer` of the change in progress, or None.
        serial: Number of changes that it has begun.
        runs: Number of times that it has run the work.
        released: Whether it has released the work.
        change: Change in progress; set only by subclasses of `RegisterModel`.
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
    """A message in transit. `text` identifies its content, see `text_of`."""

    to: str
    sender: str
    message: Any
    text: str


def text_of(message: Any) -> str:
    """Return a text that identifies a message's content."""
    # It omits seat names, which the fingerprint replaces by ranks, and fields that depend on other fields.
    if isinstance(message, BallotRequest):
        return f"ask {message.ballot} {message.value!r} {message.serial}"
    if isinstance(message, Vote):
        vote = f"{message.accepted} {message.accepted_ballot} {message.value!r} {message.promised}"
        return f"vote {vote} {message.incarnation} {message.recovering} {message.serial}"
    if isinstance(message, SyncReply):
        return f"slots {message.incarnation} {message.registers} {message.recovering}"
    return str(message)


def register_values(acceptor: Acceptor) -> tuple[Hashable, ...]:
    """Return the promised ballot, accepted ballot and value of each register of an acceptor."""
    return tuple(
        (register.promised, register.accepted_ballot, register.value)
        for register in acceptor.registers.values()
    )


def copy_runner(runner: Runner) -> Runner:
    """Return a copy that shares no data that a move changes."""
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
    """Return a copy that shares no data that a move changes."""
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
