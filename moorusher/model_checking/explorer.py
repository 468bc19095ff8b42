"""Every interleaving: from a state all of its moves are made, each state once, until none is left.

A case gives states that can be copied, moves with names, and a word of what is broken. The shortest way to a broken
state is found first, and can be played again by its names.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable, Sequence
from dataclasses import dataclass
from typing import Protocol

import xxhash


class Model(Protocol):
    """One state. `copied` must share nothing that a move changes."""

    def moves(self) -> Sequence[str]: ...
    def apply(self, name: str) -> None: ...
    def copy(self) -> Model: ...
    def fingerprint(self) -> Hashable: ...  # the same for states that can't be told apart
    def violation(self) -> str | None: ...


@dataclass(frozen=True, slots=True)
class Exploration:
    """What a walk of all interleavings has seen."""

    states: int
    complete: bool  # all states were seen
    violation: str | None = None
    path: tuple[str, ...] = ()

    def __str__(self) -> str:
        if self.violation is None:
            return f"{self.states} states, {'all' if self.complete else 'not all'} seen, nothing broken"
        return "\n".join(
            [
                f"broken after {self.states} states: {self.violation}",
                *(f"  {i + 1}. {step}" for i, step in enumerate(self.path)),
            ]
        )


def fingerprint_of(state: Model) -> bytes:
    """16 bytes for each state seen: millions fit."""
    return xxhash.xxh3_128_digest(repr(state.fingerprint()).encode())


def explore(first: Model, most: int = 1_000_000, deep: bool = False) -> Exploration:
    """Breadth first, so that the way that is told is the shortest; `deep`: depth first, which finds some way sooner."""
    seen: dict[bytes, tuple[bytes, str] | None] = {fingerprint_of(first): None}
    queue: deque[tuple[bytes, Model]] = deque([(fingerprint_of(first), first)])
    while queue:
        here, state = queue.pop() if deep else queue.popleft()
        for name in state.moves():
            then = state.copy()
            then.apply(name)
            there = fingerprint_of(then)
            if there in seen:
                continue
            seen[there] = here, name
            if (broken := then.violation()) is not None:
                way, at = list[str](), there
                while (step := seen[at]) is not None:
                    at, made = step
                    way.append(made)
                return Exploration(len(seen), False, broken, tuple(reversed(way)))
            if len(seen) >= most:
                return Exploration(len(seen), False)
            queue.append((there, then))
    return Exploration(len(seen), True)


def replay(first: Model, way: Sequence[str]) -> str | None:
    """What is broken at the end of these moves. Raises KeyError where one can't be made."""
    state = first.copy()
    for name in way:
        if name not in state.moves():
            raise KeyError(name)
        state.apply(name)
    return state.violation()
