"""What is expected of a server before it has been asked: told by others, and on trial."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

OWN = 8  # own samples after which what was told counts no more
BELIEVED = 0.2  # weight from which a server that was told to be out has to show first that it is well


@dataclass(frozen=True, slots=True)
class Prior:
    """`weight` 0 to 1: how far it counts."""

    ratio: float  # of its latency to the tier's median
    answered: float  # share of calls
    weight: float
    out: bool  # the donors had it out
    donors: tuple[str, ...]


class OnTrial(Protocol):
    """Whoever holds what was told against what is measured."""

    def measured(self, name: str, ratio: float, samples: int) -> None: ...
    def well(self, name: str) -> None: ...
