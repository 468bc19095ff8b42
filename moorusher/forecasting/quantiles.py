"""How far a route's demand may be from what is said of it: levels for 50, 90 and 99 of 100, by its own past errors.

Errors are told apart by how far ahead they were made, and measured in a size that grows with what was said: chance
makes the root of a count, what is wrong with a level its share. A few origins have seen little of what can happen, and
errors of one day hang together, so what they say is widened as for as many days as there were.
"""

from __future__ import annotations

from itertools import pairwise

import numpy as np

from .choose import BANDS, Chosen
from .clean import Floats, median
from .models import Ints

LEVELS = (0.5, 0.9, 0.99)
SHARE = 0.1  # of what is said, that its level may be wrong by
A_DAY = 3.0  # errors that those of one day's hours are worth
LEAST = 24  # errors, to go by a route's own
NORMAL = {0.5: 0.0, 0.9: 1.2816, 0.99: 2.3263}
TAIL = 1.15  # a normal tail that ends at the 90 would end too soon at the 99


def size_of(said: Floats) -> Floats:
    """The size that an error at such a forecast is measured by."""
    return np.sqrt(np.maximum(said, 0.25) + (SHARE * said) ** 2)


def quantiles(chosen: Chosen) -> Floats:
    """(levels, routes, 168), none under the one before it."""
    ahead = chosen.ahead
    made = np.empty((len(LEVELS), *ahead.shape))
    for first, last in pairwise(BANDS):
        with np.errstate(all="ignore"):
            off = chosen.errors[:, :, first:last] / size_of(chosen.said[:, :, first:last])
        flat = off.reshape(len(off), -1)
        days = np.isfinite(off).any(axis=2).sum(axis=1) * max(1, (last - first) // 24)
        for i, level in enumerate(LEVELS):
            here = ahead[:, first:last]
            if level == 0.5:
                made[i, :, first:last] = _middle(here)
                continue
            at = _quantile(flat, days, level)
            made[i, :, first:last] = np.maximum(0.0, here + at[:, None] * size_of(here))
    return np.maximum.accumulate(made, axis=0)


def _middle(mean: Floats) -> Floats:
    """The median of a count: seldom asked for, most hours have none."""
    return np.where(mean >= 10, mean, np.floor(mean + 1 / 3 - 0.02 / np.maximum(mean, 0.1)).clip(0.0))


def _quantile(errors: Floats, days: Ints, level: float) -> Floats:
    """Of each route's errors. What lies beyond where the errors of so few days can tell is taken from a normal tail."""
    known = np.isfinite(errors).sum(axis=1)
    with np.errstate(all="ignore"):
        reach = np.minimum(level, 0.9)
        # As if one more had been seen, worse than all others; hours of one day count for a few.
        n = np.maximum(days * A_DAY, 1.0)
        wanted = np.minimum(0.995, reach * (n + 1.0) / n)
        at = np.array(
            [
                np.nanquantile(row, q) if k >= LEAST else np.nan
                for row, q, k in zip(errors, wanted, known, strict=True)
            ]
        )
        middle = np.nan_to_num(median(errors, 1))
    at = np.where(np.isfinite(at), at, 3.0 * NORMAL[0.9])
    if level > 0.9:
        own = np.array(
            [
                np.nanquantile(row, level) if n >= LEAST else np.nan
                for row, n in zip(errors, known, strict=True)
            ]
        )
        tail = middle + TAIL * np.maximum(at - middle, 0.5) * NORMAL[level] / NORMAL[0.9]
        at = np.fmax(own, tail)
    return at
