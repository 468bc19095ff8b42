"""Settings of a fleet from the operator's file.

Has no imports from the rest of the package, since the settings are also read if no fleet is configured.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReplicationPolicy:
    """Settings of the section `[fleet]`.

    Attributes:
        claim_timeout_ms: Time within which a majority of a key's replicas must answer; otherwise the key counts as
            uncovered.
        replicas: Number of replicas of each key.
        serves_without_majority: Whether uncovered keyed requests are served as by a runner without a cluster. Otherwise
            they are rejected.
    """

    claim_timeout_ms: float = 250.0
    replicas: int = 3
    serves_without_majority: bool = False
