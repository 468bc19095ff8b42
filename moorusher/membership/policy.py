"""What the operator says of the seats of a cluster. Imports nothing: it is read where there is no cluster, too."""

from __future__ import annotations

from dataclasses import dataclass

MAX_SEATS = 1_000  # of one cluster


@dataclass(frozen=True, slots=True)
class Seat:
    """A place in the cluster: a process that replaces another takes the same one.

    Attributes:
        name: `str`.
        address: host and port, where its process listens for the others.
        zone: `str`; replicas of a key are spread over zones.
        group: `str`, machines that are not to be out together: a rack, a switch.
    """

    name: str
    address: tuple[str, int]
    zone: str = ""
    group: str = ""
