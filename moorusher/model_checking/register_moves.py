"""The moves of the register model: the transitions of a state and their names in counterexamples."""

from __future__ import annotations

from collections.abc import Sequence

from ..replication.messages import BallotRequest, Vote
from ..replication.work_record import WorkRecord
from .register_state import InTransit, RegisterModelLimits, Runner, Step

# Moves of a message in transit.
DELIVER = "deliver"
LOSE_ANSWER = "unanswered"  # Deliver the message, and lose its answer.
DUPLICATE = "duplicate"
# Moves of an acceptor.
RESTART_WITHOUT_MEMORY = "restarts without its memory"
RESTART_WITH_MEMORY = "restarts with its memory"
# Moves of a runner.
CLAIM = "claims"
START = "starts"
TAKE_OVER = "takes over"
RETRY = "retries"
ACCEPT_MAJORITY = "settles for a majority"

MAJORITY = 2


def message_moves(in_transit: Sequence[InTransit], limits: RegisterModelLimits, duplicates: int) -> list[str]:
    """Return the moves of all messages.

    :param duplicates: Number of messages that were duplicated so far.
    """
    named = [(position, sent, _name_of(sent)) for position, sent in enumerate(in_transit)]
    requests = [(position, name) for position, sent, name in named if isinstance(sent.message, BallotRequest)]
    moves = [f"{DELIVER} {position}: {name}" for position, _, name in named]
    if not limits.has_answers_in_transit:
        moves += [f"{LOSE_ANSWER} {position}: {name}" for position, name in requests]
    if duplicates < limits.duplicates:
        moves += [f"{DUPLICATE} {position}: {name}" for position, name in requests]
    return moves


def _name_of(sent: InTransit) -> str:
    message = sent.message
    kind = type(message).__name__
    if isinstance(message, BallotRequest):
        kind += f" {message.ballot}"
        if isinstance(message.value, WorkRecord):
            kind += f" {message.value.state.name}"
    elif isinstance(message, Vote):
        kind += " accepted" if message.accepted else " rejected"
    return f"{kind} from {sent.sender} to {sent.to}"


def runner_moves(runner: Runner, limits: RegisterModelLimits) -> list[str]:
    """Return the moves of a runner."""
    proposer = runner.proposer
    if proposer is None:
        return [f"{runner.name} {_first_move(runner, limits)}"] if runner.step is Step.IDLE else []
    may_retry = runner.retries > 0 and (proposer.blocked or not limits.retries_on_conflict_only)
    if proposer.result is not None or not may_retry:
        return []
    moves = [f"{runner.name} {RETRY}"]
    if proposer.in_fast_round and len(proposer._votes) >= MAJORITY:
        moves.append(f"{runner.name} {ACCEPT_MAJORITY}")
    return moves


def _first_move(runner: Runner, limits: RegisterModelLimits) -> str:
    if not limits.starts_claimed:
        return CLAIM
    return START if runner.name == "P" else TAKE_OVER
