"""Settings of the seats of a cluster from the operator's file.

Has no imports from the rest of the package, since the settings are also read if no cluster is configured.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_SEATS = 1_000  # Limit per cluster.


@dataclass(frozen=True, slots=True)
class Seat:
    """A permanent place in the cluster. A process that replaces another one takes its seat.

    Attributes:
        name: Name of the seat.
        address: Host and port where the process of the seat listens for other runners.
        zone: Zone of the seat; the replicas of a key are spread over zones.
        group: Group of machines that should not be out of service together, such as a rack.
    """

    name: str
    address: tuple[str, int]
    zone: str = ""
    group: str = ""
