"""The places of a fleet, as the operator's file lists them, and which of them keep what is known of a key.

Rendezvous hashing (Thaler and Ravishankar 1998), over the places in the file and not over who is up: all runners work
out the same keepers, whatever each has heard of the others.
"""

from __future__ import annotations

from collections.abc import Sequence

import xxhash

from .policy import Seat

SLICES = (
    4096  # keys share their keepers by slices: that is worked out once for each, however many seats there are
)
CLUSTER_KEY_PREFIX, MAX_CLUSTER_REPLICAS = (
    b"fleet:",
    7,
)  # keys of the fleet as a whole begin so: more seats keep them, in a slice of their own


def rendezvous_score(name: str, what: bytes) -> int:
    """The rank of a seat for something, by rendezvous hashing."""
    return xxhash.xxh64_intdigest(what, xxhash.xxh32_intdigest(name.encode()))


def majority(of: int) -> int:
    """How many of so many are more than half."""
    return of // 2 + 1


class Placement:
    """`copies`: how many seats keep each key; fewer where there are fewer. What is of the fleet as a whole has up to
    seven: three of them may be out at a time."""

    def __init__(self, seats: Sequence[Seat], copies: int = 3) -> None:
        self.by_name = {seat.name: seat for seat in seats}
        self.names = tuple(sorted(self.by_name))
        self.copies = copies
        self._slices: dict[int, tuple[str, ...]] = {}

    def digest(self) -> str:
        """Of what all must agree on. Not of addresses: one machine may be reached by several."""
        told = [
            f"{name} {s.zone}" + (f" {s.group}" if s.group else "")
            for name, s in sorted(self.by_name.items())
        ]
        return xxhash.xxh64_hexdigest("\n".join([str(self.copies), *told]).encode())

    def replicas(self, key: bytes) -> tuple[str, ...]:
        """The seats that keep this key, the first choice first; in different zones as far as there are some."""
        return self.slice_replicas(self.slice_of(key))

    @staticmethod
    def slice_of(key: bytes) -> int:
        return SLICES if key.startswith(CLUSTER_KEY_PREFIX) else xxhash.xxh64_intdigest(key) % SLICES

    def slice_replicas(self, part: int) -> tuple[str, ...]:
        """The keepers of one slice."""
        found = self._slices.get(part)
        if found is None:
            odd = (min(MAX_CLUSTER_REPLICAS, len(self.names)) + 1) // 2 * 2 - 1
            copies = max(self.copies, odd) if part == SLICES else self.copies
            found = self._slices[part] = self._choose(part.to_bytes(4, "big"), copies)
        return found

    def _choose(self, part: bytes, copies: int) -> tuple[str, ...]:
        ranked = sorted(self.names, key=lambda name: rendezvous_score(name, part), reverse=True)
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
        """All seats in the order in which they are asked to go on with a key's work: another for each key, so that the
        work of one that is lost spreads over all."""
        return sorted(self.names, key=lambda name: rendezvous_score(name, key), reverse=True)
