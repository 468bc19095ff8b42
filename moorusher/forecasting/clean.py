"""What of a history is no demand to go by: hours in which little was counted, outages, floods. They get no weight; what
is there is never changed.

An hour is held against the same hour of the customer's other weeks, at the level of its own week. What lasts for longer
than two days is no outage and no flood: the level has changed.
"""

from __future__ import annotations

import warnings

import numpy as np
import numpy.typing as npt

from .season import WEEK

# Means and medians of hours of which nothing is known are nan, and are meant to be.
warnings.filterwarnings("ignore", "Mean of empty slice|All-NaN slice", RuntimeWarning, r"moorusher\.forecast")

Floats = npt.NDArray[np.float64]
Bools = npt.NDArray[np.bool_]

WHOLE = 0.5  # share of an hour that has been counted, under which it says nothing
LOW, HIGH = 0.25, 2.5  # of what was expected: outside of it, and by more than chance, it is odd
CHANCE = 6.0  # standard deviations of a count
LONGEST = 48  # hours
APART, DENSE = 14, 0.3  # hours between two odd ones of a new level, at most; share of its hours that are odd


def median(values: Floats, axis: int) -> Floats:
    """Of what is known; nan where nothing is. As numpy's `nanmedian`, and many times as fast on small axes."""
    if not values.shape[axis]:
        return np.full(np.delete(values.shape, axis), np.nan)
    ranked = np.sort(values, axis=axis)  # what is not known comes last
    known = np.isfinite(values).sum(axis=axis, keepdims=True)
    low = np.take_along_axis(ranked, np.maximum((known - 1) // 2, 0), axis)
    high = np.take_along_axis(ranked, np.minimum(known // 2, values.shape[axis] - 1), axis)
    return np.asarray(np.where(known > 0, (low + high) / 2, np.nan).squeeze(axis))


def filled(y: Floats, counted: Floats) -> Floats:
    """What an hour would have had, had all of it been counted; nan where too little was."""
    return np.where(counted >= WHOLE, y / np.maximum(counted, WHOLE), np.nan)


def begun(y: Floats) -> Floats:
    """A route that nobody had asked for yet was not there: nan before its first count."""
    there = np.nan_to_num(y) > 0
    first = np.where(there.any(axis=1), there.argmax(axis=1), y.shape[1])
    return np.where(np.arange(y.shape[1])[None, :] >= first[:, None], y, np.nan)


def weeks_of(y: Floats, hour_of_week: npt.NDArray[np.int64]) -> Floats:
    """(routes, weeks, 168), the newest week last; nan where there is none. Hours that come twice are averaged by the
    later one, skipped ones are nan."""
    routes, hours = y.shape
    weeks = -(-hours // WEEK)
    made = np.full((routes, weeks, WEEK), np.nan)
    back = (hours - 1 - np.arange(hours)) // WEEK
    made[:, weeks - 1 - back, hour_of_week] = y
    return made


def odd_hours(y: Floats, hour_of_week: npt.NDArray[np.int64]) -> Bools:
    """Outages and floods. `y` has nan where nothing is known."""
    weeks = weeks_of(y, hour_of_week)
    if weeks.shape[1] < 2:
        return np.zeros(y.shape, bool)
    with np.errstate(all="ignore"):
        level = median(np.where(weeks > 0, weeks, np.nan), 2)[:, :, None]
        level = np.where(np.isfinite(level) & (level > 0), level, 1.0)
        usual = _others_median(weeks / level) * level
    expected = np.empty_like(y)
    back = (y.shape[1] - 1 - np.arange(y.shape[1])) // WEEK
    expected[:] = usual[:, weeks.shape[1] - 1 - back, hour_of_week]
    with np.errstate(all="ignore"):
        far = np.abs(y - expected) > CHANCE * np.sqrt(np.maximum(expected, 1.0)) + 2
        odd = far & ((y < LOW * expected) | (y > HIGH * np.maximum(expected, 1.0)))
    return _short_runs(np.where(np.isfinite(y) & np.isfinite(expected), odd, False))


def _others_median(weeks: Floats) -> Floats:
    """For each week, the median of the same hours of the others."""
    count = weeks.shape[1]
    made = np.empty_like(weeks)
    for i in range(count):
        others = np.delete(weeks, i, axis=1)
        made[:, i] = median(others, 1)
    return made


def _short_runs(odd: Bools) -> Bools:
    """But for those that last longer than `LONGEST`: odd hours that are never far apart, and a good share of them. A
    new level is not odd in each hour of it: at night there is little to tell by."""
    made = odd.copy()
    for route in np.flatnonzero(odd.any(axis=1)):
        hours = np.flatnonzero(odd[route])
        for run in np.split(hours, np.flatnonzero(np.diff(hours) > APART) + 1):
            length = run[-1] - run[0] + 1
            if length > LONGEST and len(run) >= DENSE * length:
                made[route, run] = False
    return made
