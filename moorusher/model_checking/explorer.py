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


class Case(Protocol):
    """One state. `copied` must share nothing that a move changes."""

    def moves(self) -> Sequence[str]: ...
    def move(self, name: str) -> None: ...
    def copied(self) -> Case: ...
    def print(self) -> Hashable: ...  # the same for states that can't be told apart
    def broken(self) -> str | None: ...


@dataclass(frozen=True, slots=True)
class Found:
    """What a walk of all interleavings has seen."""

    states: int
    whole: bool  # all states were seen
    broken: str | None = None
    way: tuple[str, ...] = ()

    def __str__(self) -> str:
        if self.broken is None:
            return f"{self.states} states, {'all' if self.whole else 'not all'} seen, nothing broken"
        return "\n".join(
            [
                f"broken after {self.states} states: {self.broken}",
                *(f"  {i + 1}. {step}" for i, step in enumerate(self.way)),
            ]
        )


def digest(state: Case) -> bytes:
    """16 bytes for each state seen: millions fit."""
    return xxhash.xxh3_128_digest(repr(state.print()).encode())


def explore(first: Case, most: int = 1_000_000, deep: bool = False) -> Found:
    """Breadth first, so that the way that is told is the shortest; `deep`: depth first, which finds some way sooner."""
    seen: dict[bytes, tuple[bytes, str] | None] = {digest(first): None}
    queue: deque[tuple[bytes, Case]] = deque([(digest(first), first)])
    while queue:
        here, state = queue.pop() if deep else queue.popleft()
        for name in state.moves():
            then = state.copied()
            then.move(name)
            there = digest(then)
            if there in seen:
                continue
            seen[there] = here, name
            if (broken := then.broken()) is not None:
                way, at = list[str](), there
                while (step := seen[at]) is not None:
                    at, made = step
                    way.append(made)
                return Found(len(seen), False, broken, tuple(reversed(way)))
            if len(seen) >= most:
                return Found(len(seen), False)
            queue.append((there, then))
    return Found(len(seen), True)


def replay(first: Case, way: Sequence[str]) -> str | None:
    """What is broken at the end of these moves. Raises KeyError where one can't be made."""
    state = first.copied()
    for name in way:
        if name not in state.moves():
            raise KeyError(name)
        state.move(name)
    return state.broken()
