"""From counts to a training history: hours that say nothing of the demand become NaN."""

from __future__ import annotations

import numpy as np

from .arrays import Floats, Ints
from .outliers import outlier_hours

MIN_COVERAGE = 0.5  # share of an hour that was counted, below which its count says nothing


def scale_to_full_hours(requests: Floats, coverage: Floats) -> Floats:
    """Return what each hour would have had if all of it had been counted; NaN where too little was.

    :param requests: (routes, hours), as counted.
    :param coverage: (routes, hours), the share of each hour that was counted.
    """
    return np.where(coverage >= MIN_COVERAGE, requests / np.maximum(coverage, MIN_COVERAGE), np.nan)


def mask_before_first_request(history: Floats) -> Floats:
    """Return the history with NaN before the first request of each route: until then the route did not exist."""
    has_requests = np.nan_to_num(history) > 0
    hours = history.shape[1]
    first = np.where(has_requests.any(axis=1), has_requests.argmax(axis=1), hours)
    return np.where(np.arange(hours)[None, :] >= first[:, None], history, np.nan)


def training_history(requests: Floats, coverage: Floats, hour_of_week: Ints) -> Floats:
    """Return the history to train on: NaN where the demand is unknown, and for outages and floods."""
    history = mask_before_first_request(scale_to_full_hours(requests, coverage))
    return np.where(outlier_hours(history, hour_of_week), np.nan, history)
