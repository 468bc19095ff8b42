"""Sets of requests as boxes of atoms: for each attribute one bit mask, with a bit for each atom that it may be in."""

from __future__ import annotations

from collections.abc import Iterator

Box = tuple[int, ...]  # a mask of atoms for each of `rules.DIMENSIONS`, in order


def set_bits(mask: int) -> Iterator[int]:
    """Yield the indexes of the bits that are set, lowest first."""
    while mask:
        lowest = mask & -mask
        yield lowest.bit_length() - 1
        mask ^= lowest


def intersect(first: Box, second: Box) -> Box | None:
    """Return what two boxes have in common; None where they are disjoint."""
    common = tuple(one & other for one, other in zip(first, second, strict=True))
    return common if all(common) else None


def subtract(box: Box, removed: Box) -> list[Box]:
    """Return what of `box` is not in `removed`, as disjoint boxes."""
    if intersect(box, removed) is None:
        return [box]
    pieces: list[Box] = []
    inside = list(box)
    for dimension, mask in enumerate(removed):
        outside = inside[dimension] & ~mask
        if outside:
            pieces.append((*inside[:dimension], outside, *box[dimension + 1 :]))
        inside[dimension] &= mask
    return pieces
