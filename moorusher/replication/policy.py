"""What the operator's file says of a fleet. Imports nothing: it is read where there is no fleet, too."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReplicationPolicy:
    """Figures of `[fleet]`, under its keys.

    Attributes:
        claim_ms: `float`; a key whose majority has not answered by then is uncovered.
        copies: `int`, replicas of each key.
        alone: `bool`; uncovered keyed requests are served as by a runner without a cluster; else they are rejected.
    """

    claim_ms: float = 250.0
    copies: int = 3
    alone: bool = False
