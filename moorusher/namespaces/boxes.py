"""Boxes: sets of requests, represented by one bit mask per attribute.

Each bit stands for one atom: a class of attribute values that the rules don't distinguish (see `atoms`).
"""

from __future__ import annotations

from collections.abc import Iterator

Box = tuple[int, ...]  # One mask of atoms for each of `rules.DIMENSIONS`, in that order.


def set_bits(mask: int) -> Iterator[int]:
    """Yield the indexes of the set bits, lowest first."""
    while mask:
        lowest = mask & -mask
        yield lowest.bit_length() - 1
        mask ^= lowest


def intersect(first: Box, second: Box) -> Box | None:
    """Return the intersection of two boxes, or None if they are disjoint."""
    common = tuple(first_mask & second_mask for first_mask, second_mask in zip(first, second, strict=True))
    return common if all(common) else None


def subtract(box: Box, removed: Box) -> list[Box]:
    """Return the part of `box` outside `removed`, as disjoint boxes."""
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
