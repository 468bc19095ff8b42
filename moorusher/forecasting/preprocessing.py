"""Conversion of counts to a training history: hours that do not represent the demand become NaN."""

from __future__ import annotations

import numpy as np

from .arrays import Floats, Ints
from .outliers import outlier_hours

# Counted share of an hour below which its demand is unknown.
MIN_COVERAGE = 0.5


def scale_to_full_hours(requests: Floats, coverage: Floats) -> Floats:
    """Return the requests scaled up to completely counted hours; NaN if too little of an hour was counted.

    :param requests: Counted requests, (routes, hours).
    :param coverage: Counted share of each hour, (routes, hours).
    """
    return np.where(coverage >= MIN_COVERAGE, requests / np.maximum(coverage, MIN_COVERAGE), np.nan)


def mask_before_first_request(history: Floats) -> Floats:
    """Return the history with NaN before the first request of each route, since the route did not exist then."""
    has_requests = np.nan_to_num(history) > 0
    hours = history.shape[1]
    first = np.where(has_requests.any(axis=1), has_requests.argmax(axis=1), hours)
    return np.where(np.arange(hours)[None, :] >= first[:, None], history, np.nan)


def training_history(requests: Floats, coverage: Floats, hour_of_week: Ints) -> Floats:
    """Return the history to train on, with NaN for unknown demand, outages and traffic spikes."""
    history = mask_before_first_request(scale_to_full_hours(requests, coverage))
    return np.where(outlier_hours(history, hour_of_week), np.nan, history)
