"""The seats of a cluster from the operator's file, and the placement of a key's replicas on them.

Rendezvous hashing (Thaler and Ravishankar 1998) over all seats in the file, whether alive or not, so that all runners
compute the same replicas whatever they know of each other.
"""

from __future__ import annotations

from collections.abc import Sequence

import xxhash

from .policy import Seat

# All keys of a slice have the same replicas, so replicas are computed once per slice.
SLICES = 4096
# Prefix of the keys that concern the cluster as a whole. They have a slice of their own, with more replicas.
CLUSTER_KEY_PREFIX = b"fleet:"
MAX_CLUSTER_REPLICAS = 7  # Tolerates the loss of three replicas.


def rendezvous_score(name: str, key: bytes) -> int:
    """Return the score of a seat for a key; the seat with the highest score is the first choice."""
    return xxhash.xxh64_intdigest(key, xxhash.xxh32_intdigest(name.encode()))


def majority(total: int) -> int:
    """Return the smallest number that is more than half of `total`."""
    return total // 2 + 1


class Placement:
    """The placement of the replicas of each key.

    Attributes:
        by_name: Seats by name.
        names: Sorted names of all seats.
        copies: Number of replicas of a key; limited by the number of seats.
    """

    def __init__(self, seats: Sequence[Seat], copies: int = 3) -> None:
        self.by_name = {seat.name: seat for seat in seats}
        self.names = tuple(sorted(self.by_name))
        self.copies = copies
        self._slices: dict[int, tuple[str, ...]] = {}

    def digest(self) -> str:
        """Return a digest of the settings that must be the same at all runners.

        It excludes addresses, because runners may reach a machine by different addresses.
        """
        lines = [str(self.copies)]
        for name, seat in sorted(self.by_name.items()):
            group = f" {seat.group}" if seat.group else ""
            lines.append(f"{name} {seat.zone}{group}")
        return xxhash.xxh64_hexdigest("\n".join(lines).encode())

    def replicas(self, key: bytes) -> tuple[str, ...]:
        """Return the seats of a key's replicas, the first choice first, in different zones as far as possible."""
        return self.slice_replicas(self.slice_of(key))

    @staticmethod
    def slice_of(key: bytes) -> int:
        """Return the slice of a key, from 0 to `SLICES`. The last one is for keys of the cluster as a whole."""
        return SLICES if key.startswith(CLUSTER_KEY_PREFIX) else xxhash.xxh64_intdigest(key) % SLICES

    def slice_replicas(self, slice_number: int) -> tuple[str, ...]:
        """Return the seats of the replicas of a slice."""
        found = self._slices.get(slice_number)
        if found is None:
            copies = self.copies
            if slice_number == SLICES:
                # The largest odd number, as one more replica would not tolerate one more loss.
                odd = (min(MAX_CLUSTER_REPLICAS, len(self.names)) + 1) // 2 * 2 - 1
                copies = max(copies, odd)
            found = self._choose(slice_number.to_bytes(4, "big"), copies)
            self._slices[slice_number] = found
        return found

    def _choose(self, key: bytes, copies: int) -> tuple[str, ...]:
        """Choose seats by score: first one from each zone, then any others."""
        ranked = sorted(self.names, key=lambda name: rendezvous_score(name, key), reverse=True)
        chosen: list[str] = []
        zones: set[str] = set()
        for name in ranked:
            if len(chosen) < copies and self.by_name[name].zone not in zones:
                chosen.append(name)
                zones.add(self.by_name[name].zone)
        for name in ranked:
            if len(chosen) < copies and name not in chosen:
                chosen.append(name)
        return tuple(chosen)

    def takeover_order(self, key: bytes) -> list[str]:
        """Return all seats in the order in which they are offered a key's work.

        The order differs between keys, so that the work of a lost runner is spread over all others.
        """
        return sorted(self.names, key=lambda name: rendezvous_score(name, key), reverse=True)
