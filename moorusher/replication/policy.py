"""What the operator's file says of a fleet. Imports nothing: it is read where there is no fleet, too."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReplicationPolicy:
    """Figures of `[fleet]`.

    Attributes:
        claim_timeout_ms: `float`; a key whose majority has not answered by then is uncovered.
        replicas: `int`, of each key.
        serves_without_majority: `bool`; uncovered keyed requests are served as by a runner without a cluster; else they
            are rejected.
    """

    claim_timeout_ms: float = 250.0
    replicas: int = 3
    serves_without_majority: bool = False
