"""Explicit-state model checker: visits every state that can be reached from an initial state, each one once.

A model provides states that can be copied, named moves and an invariant. Breadth-first search finds a shortest path to
a violation, which can be replayed from the names of its moves.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable, Sequence
from dataclasses import dataclass
from typing import NamedTuple, Protocol

import xxhash


class Transition(NamedTuple):
    """The fingerprint of a state, and a move from that state."""

    source: bytes
    move: str


# Maps the fingerprint of each visited state to the transition that first led to it; None for the initial state.
Predecessors = dict[bytes, Transition | None]


class Model(Protocol):
    """One state of the explored system."""

    def moves(self) -> Sequence[str]:
        """Return the names of all moves that are possible in this state."""

    def apply(self, name: str) -> None:
        """Make a move, which turns this object into the next state."""

    def copy(self) -> Model:
        """Return a copy that shares no data that a move changes."""

    def fingerprint(self) -> Hashable:
        """Return a value that is equal for equivalent states."""

    def violation(self) -> str | None:
        """Return a description of the invariant that this state violates, or None."""


@dataclass(frozen=True, slots=True)
class Exploration:
    """The result of an exploration.

    Attributes:
        states: Number of visited states.
        complete: Whether all reachable states were visited.
        violation: Description of the violated invariant, or None.
        path: Moves that lead from the initial state to the violation.
    """

    states: int
    complete: bool
    violation: str | None = None
    path: tuple[str, ...] = ()

    def __str__(self) -> str:
        if self.violation is None:
            extent = "all" if self.complete else "not all"
            return f"{self.states} states, {extent} visited, no violation"
        steps = [f"  {number}. {move}" for number, move in enumerate(self.path, start=1)]
        return "\n".join([f"violation after {self.states} states: {self.violation}", *steps])


def fingerprint_of(state: Model) -> bytes:
    """Return a hash of a state's fingerprint."""
    # A hash has only 16 bytes, so that the hashes of millions of visited states fit into memory.
    return xxhash.xxh3_128_digest(repr(state.fingerprint()).encode())


def explore(initial: Model, max_states: int = 1_000_000, depth_first: bool = False) -> Exploration:
    """Visit the states that can be reached from the initial state.

    :param max_states: Maximum number of visited states.
    :param depth_first: Whether to search depth first, which finds a violation sooner. Breadth-first search finds a
        shortest path.
    """
    initial_fingerprint = fingerprint_of(initial)
    predecessors: Predecessors = {initial_fingerprint: None}
    queue: deque[tuple[bytes, Model]] = deque([(initial_fingerprint, initial)])
    while queue:
        state_fingerprint, state = queue.pop() if depth_first else queue.popleft()
        for move in state.moves():
            successor = state.copy()
            successor.apply(move)
            successor_fingerprint = fingerprint_of(successor)
            if successor_fingerprint in predecessors:
                continue
            predecessors[successor_fingerprint] = Transition(state_fingerprint, move)
            violation = successor.violation()
            if violation is not None:
                return Exploration(
                    len(predecessors), False, violation, _path_to(successor_fingerprint, predecessors)
                )
            if len(predecessors) >= max_states:
                return Exploration(len(predecessors), False)
            queue.append((successor_fingerprint, successor))
    return Exploration(len(predecessors), True)


def _path_to(fingerprint: bytes, predecessors: Predecessors) -> tuple[str, ...]:
    path: list[str] = []
    transition = predecessors[fingerprint]
    while transition is not None:
        path.append(transition.move)
        transition = predecessors[transition.source]
    return tuple(reversed(path))


def replay(initial: Model, path: Sequence[str]) -> str | None:
    """Make the moves of a path, starting with a copy of the initial state.

    :returns: Description of the invariant that the last state violates, or None.
    :raises KeyError: If a move is not possible in its state.
    """
    state = initial.copy()
    for move in path:
        if move not in state.moves():
            raise KeyError(move)
        state.apply(move)
    return state.violation()
