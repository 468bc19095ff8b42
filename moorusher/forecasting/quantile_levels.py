"""Quantiles that are forecast, and their indexes in arrays. Does not import numpy."""

from __future__ import annotations

QUANTILES = (0.5, 0.9, 0.99)
MEDIAN, HIGH, HIGHEST = range(len(QUANTILES))
