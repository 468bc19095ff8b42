"""Every interleaving: from each state all of its moves are made, each state once, until none is left.

A model gives states that can be copied, moves with names, and what is violated. The shortest path to a violation is
found first, and can be replayed by its names.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable, Sequence
from dataclasses import dataclass
from typing import Protocol

import xxhash

# By the fingerprint of each state seen: that of the state before, and the move that led from there; None for the first.
Seen = dict[bytes, tuple[bytes, str] | None]


class Model(Protocol):
    """One state of what is explored."""

    def moves(self) -> Sequence[str]:
        """The names of all moves from here."""

    def apply(self, name: str) -> None:
        """Makes a move; this becomes the next state."""

    def copy(self) -> Model:
        """A state that shares nothing that a move changes."""

    def fingerprint(self) -> Hashable:
        """The same for states that can't be told apart."""

    def violation(self) -> str | None:
        """What is broken in this state."""


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


def explore(first: Model, most: int = 1_000_000, deep: bool = False) -> Exploration:
    """Visits at most `most` states.

    Breadth first, so that the path to a violation is the shortest; `deep`: depth first, which finds some path sooner.
    """
    start = fingerprint_of(first)
    seen: Seen = {start: None}
    queue: deque[tuple[bytes, Model]] = deque([(start, first)])
    while queue:
        here, state = queue.pop() if deep else queue.popleft()
        for move in state.moves():
            following = state.copy()
            following.apply(move)
            there = fingerprint_of(following)
            if there in seen:
                continue
            seen[there] = (here, move)
            violation = following.violation()
            if violation is not None:
                return Exploration(len(seen), False, violation, _path_to(there, seen))
            if len(seen) >= most:
                return Exploration(len(seen), False)
            queue.append((there, following))
    return Exploration(len(seen), True)


def _path_to(fingerprint: bytes, seen: Seen) -> tuple[str, ...]:
    path: list[str] = []
    at = fingerprint
    while (step := seen[at]) is not None:
        at, move = step
        path.append(move)
    return tuple(reversed(path))


def replay(first: Model, path: Sequence[str]) -> str | None:
    """What is violated at the end of these moves. Raises KeyError where one can't be made."""
    state = first.copy()
    for move in path:
        if move not in state.moves():
            raise KeyError(move)
        state.apply(move)
    return state.violation()
