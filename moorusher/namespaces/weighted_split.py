"""Choice of a split's route for a key by weighted rendezvous hashing."""

from __future__ import annotations

from math import inf, log

import xxhash

from .rules import Split

HASH_RANGE = 1 << 64


def _score(key: str, route: str, weight: int) -> float:
    seed = xxhash.xxh32_intdigest(route.encode())
    unit = (xxhash.xxh64_intdigest(key.encode(), seed) + 1) / HASH_RANGE
    return -weight / log(unit) if unit < 1 else inf


def split_route(split: Split, key: str) -> str:
    """Return the route for a key. A changed weight moves only keys to or from the route whose weight changed."""
    _, chosen = max((_score(key, route, weight), route) for route, weight in split.routes if weight > 0)
    return chosen
