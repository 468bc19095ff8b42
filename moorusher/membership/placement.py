"""The seats of a cluster, as the operator's file lists them, and which of them are the replicas of a key.

Rendezvous hashing (Thaler and Ravishankar 1998), over the seats in the file and not over those that are alive: all
runners work out the same replicas, whatever each has heard of the others.
"""

from __future__ import annotations

from collections.abc import Sequence

import xxhash

from .policy import Seat

# Keys of one slice have the same replicas: those are worked out once for each slice, however many seats there are.
SLICES = 4096
# Keys that concern the cluster as a whole begin so; they are in a slice of their own, with more replicas.
CLUSTER_KEY_PREFIX = b"fleet:"
MAX_CLUSTER_REPLICAS = 7  # three of them may be out at a time


def rendezvous_score(name: str, what: bytes) -> int:
    """The rank of a seat for something, by rendezvous hashing: the highest is the first choice."""
    return xxhash.xxh64_intdigest(what, xxhash.xxh32_intdigest(name.encode()))


def majority(total: int) -> int:
    """How many of so many are more than half."""
    return total // 2 + 1


class Placement:
    """The replicas of each key.

    Attributes:
        by_name: `Seat` by its name.
        names: of all seats, in order.
        copies: `int`, replicas of a key; fewer where there are fewer seats.
    """

    def __init__(self, seats: Sequence[Seat], copies: int = 3) -> None:
        self.by_name = {seat.name: seat for seat in seats}
        self.names = tuple(sorted(self.by_name))
        self.copies = copies
        self._slices: dict[int, tuple[str, ...]] = {}

    def digest(self) -> str:
        """Of what all runners must agree on. Not of addresses: one machine may be reached by several."""
        lines = [str(self.copies)]
        for name, seat in sorted(self.by_name.items()):
            group = f" {seat.group}" if seat.group else ""
            lines.append(f"{name} {seat.zone}{group}")
        return xxhash.xxh64_hexdigest("\n".join(lines).encode())

    def replicas(self, key: bytes) -> tuple[str, ...]:
        """The seats of a key's replicas, the first choice first; in different zones as far as there are some."""
        return self.slice_replicas(self.slice_of(key))

    @staticmethod
    def slice_of(key: bytes) -> int:
        """The slice of a key: 0 to `SLICES`, the last one for keys of the cluster as a whole."""
        return SLICES if key.startswith(CLUSTER_KEY_PREFIX) else xxhash.xxh64_intdigest(key) % SLICES

    def slice_replicas(self, slice_number: int) -> tuple[str, ...]:
        """The seats of the replicas of all keys of a slice."""
        found = self._slices.get(slice_number)
        if found is None:
            copies = self.copies
            if slice_number == SLICES:
                # The largest odd number of seats: a further one would bear no further loss.
                odd = (min(MAX_CLUSTER_REPLICAS, len(self.names)) + 1) // 2 * 2 - 1
                copies = max(copies, odd)
            found = self._choose(slice_number.to_bytes(4, "big"), copies)
            self._slices[slice_number] = found
        return found

    def _choose(self, what: bytes, copies: int) -> tuple[str, ...]:
        """One seat of each zone first, then the others, both by their rank."""
        ranked = sorted(self.names, key=lambda name: rendezvous_score(name, what), reverse=True)
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
        """All seats in the order in which they are offered a key's work.

        Another order for each key, so that the work of a lost runner spreads over all the others.
        """
        return sorted(self.names, key=lambda name: rendezvous_score(name, key), reverse=True)
