"""Array types, and statistics that ignore unknown values (NaN).

Docstrings of this package give the shapes of arrays in parentheses, such as (routes, hours).
"""

from __future__ import annotations

import warnings

import numpy as np
import numpy.typing as npt

# Statistics over hours without any known value are NaN, which is intended.
warnings.filterwarnings("ignore", "Mean of empty slice|All-NaN slice", RuntimeWarning, r"moorusher\.forecast")

Floats = npt.NDArray[np.float64]
Ints = npt.NDArray[np.int64]
Bools = npt.NDArray[np.bool_]


def nan_median(values: Floats, axis: int) -> Floats:
    """Return the median of the known values, NaN if none is known.

    Equivalent to numpy's `nanmedian`, but many times as fast on small axes.
    """
    if not values.shape[axis]:
        return np.full(np.delete(values.shape, axis), np.nan)
    ranked = np.sort(values, axis=axis)  # NaN sorts last.
    known = np.isfinite(values).sum(axis=axis, keepdims=True)
    low = np.take_along_axis(ranked, np.maximum((known - 1) // 2, 0), axis)
    high = np.take_along_axis(ranked, np.minimum(known // 2, values.shape[axis] - 1), axis)
    return np.asarray(np.where(known > 0, (low + high) / 2, np.nan).squeeze(axis))


def weighted_nan_mean(values: Floats, weights: Floats, axis: int) -> Floats:
    """Return the weighted mean of the known values, NaN if none is known."""
    known = np.isfinite(values)
    total = np.sum(np.where(known, weights, 0.0), axis=axis)
    with np.errstate(all="ignore"):
        weighted = np.sum(np.where(known, values * weights, 0.0), axis=axis)
        return np.asarray(weighted / np.where(total > 0, total, np.nan))


def ratio_or(numerator: Floats, denominator: Floats, default: float) -> Floats:
    """Return the ratio, or `default` if the denominator is not positive."""
    positive = denominator > 0
    return np.asarray(np.where(positive, numerator / np.where(positive, denominator, 1.0), default))
