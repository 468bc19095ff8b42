"""Every interleaving: from each state all of its moves are made, each state once, until none is left.

A model gives states that can be copied, moves with names, and what is violated. The shortest path to a violation is
found first, and can be replayed by its names.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable, Sequence
from dataclasses import dataclass
from typing import NamedTuple, Protocol

import xxhash


class Transition(NamedTuple):
    """The fingerprint of a state, and a move from there."""

    source: bytes
    move: str


# By the fingerprint of each state that was visited, the transition that first led to it; None for the first state.
Predecessors = dict[bytes, Transition | None]


class Model(Protocol):
    """One state of what is explored."""

    def moves(self) -> Sequence[str]:
        """Return the names of all moves from here."""

    def apply(self, name: str) -> None:
        """Make a move; this becomes the next state."""

    def copy(self) -> Model:
        """Return a state that shares nothing that a move changes."""

    def fingerprint(self) -> Hashable:
        """The same for states that can't be told apart."""

    def violation(self) -> str | None:
        """Return what is violated in this state, in words, or None."""


@dataclass(frozen=True, slots=True)
class Exploration:
    """What was seen of a model.

    Attributes:
        states: `int`, how many.
        complete: `bool`, all states were seen.
        violation: what is broken in the last one, or None.
        path: the moves that lead there.
    """

    states: int
    complete: bool
    violation: str | None = None
    path: tuple[str, ...] = ()

    def __str__(self) -> str:
        if self.violation is None:
            extent = "all" if self.complete else "not all"
            return f"{self.states} states, {extent} seen, nothing broken"
        steps = [f"  {number}. {move}" for number, move in enumerate(self.path, start=1)]
        return "\n".join([f"broken after {self.states} states: {self.violation}", *steps])


def fingerprint_of(state: Model) -> bytes:
    """16 bytes for each state: millions fit into memory."""
    return xxhash.xxh3_128_digest(repr(state.fingerprint()).encode())


def explore(first: Model, max_states: int = 1_000_000, depth_first: bool = False) -> Exploration:
    """Visit the states that can be reached from the first one.

    :param max_states: how many are visited at most.
    :param depth_first: finds some path to a violation sooner; breadth first finds the shortest one.
    """
    start = fingerprint_of(first)
    predecessors: Predecessors = {start: None}
    queue: deque[tuple[bytes, Model]] = deque([(start, first)])
    while queue:
        here, state = queue.pop() if depth_first else queue.popleft()
        for move in state.moves():
            following = state.copy()
            following.apply(move)
            there = fingerprint_of(following)
            if there in predecessors:
                continue
            predecessors[there] = Transition(here, move)
            violation = following.violation()
            if violation is not None:
                return Exploration(len(predecessors), False, violation, _path_to(there, predecessors))
            if len(predecessors) >= max_states:
                return Exploration(len(predecessors), False)
            queue.append((there, following))
    return Exploration(len(predecessors), True)


def _path_to(fingerprint: bytes, predecessors: Predecessors) -> tuple[str, ...]:
    path: list[str] = []
    transition = predecessors[fingerprint]
    while transition is not None:
        path.append(transition.move)
        transition = predecessors[transition.source]
    return tuple(reversed(path))


def replay(first: Model, path: Sequence[str]) -> str | None:
    """Make these moves.

    :returns: what is violated after them, in words, or None.
    :raises KeyError: one of them can't be made.
    """
    state = first.copy()
    for move in path:
        if move not in state.moves():
            raise KeyError(move)
        state.apply(move)
    return state.violation()
