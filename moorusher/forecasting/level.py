"""How a route's level has moved: jumps, which are taken out of its history, and growth.

By days: what was counted over what the shape of the week says. A jump is a difference between the days before and after
that no chance makes and that is large; growth is the slope of what is left.
"""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np
import numpy.typing as npt

from .clean import Floats, median, weeks_of
from .season import WEEK

Ints = npt.NDArray[np.int64]
DAYS = 42  # that are looked at
BEFORE, LEAST_BEFORE, AFTER = 10, 7, 2  # days on each side of a jump, and at least
LARGE = 0.3  # a logarithm
SURE = 5.0  # times what chance makes of it
LEAST_KNOWN = 14  # days before it: in one week, a weekend looks like a jump
MOST_JUMPS = 2
WANDERS = 10.0  # times the error of a slope, were the days' errors each its own
MOST_GROWTH = 0.25  # a week, as a logarithm
LEAST_COUNT = 10.0  # of a day, for it to say something


@dataclass(frozen=True, slots=True)
class Levelled:
    """`y`: at the level of the last hour, by jumps and growth. `growth`: (routes, 1), a week's, as a logarithm.
    `jumps`: of each hour, what was taken out of it for jumps after it, as a logarithm."""

    y: Floats
    growth: Floats
    jumps: Floats


def level_of_weeks(weeks: Floats) -> Floats:
    """(routes, weeks, 1): of one that is known in part, by the hours that are known."""
    with np.errstate(all="ignore"):
        level = np.nanmean(weeks, axis=2, keepdims=True)
        rough = np.nanmean(weeks / np.where(level > 0, level, np.nan), axis=1)
        rough = np.where(np.isfinite(rough), rough, 1.0)
        level = level / np.nanmean(
            np.where(np.isfinite(weeks), rough[:, None, :], np.nan), axis=2, keepdims=True
        )
    return np.asarray(np.where(level > 0, level, np.nan))


def plain_shape(y: Floats, past: Ints) -> Floats:
    """(routes, 168) with a mean of about 1, of weeks each at its own level; good enough to hold days against."""
    weeks = weeks_of(y, past)
    with np.errstate(all="ignore"):
        made = median(weeks / level_of_weeks(weeks), 1)
        mean = np.nanmean(made, axis=1, keepdims=True)
    made = np.where(np.isfinite(made), made, 1.0) / np.where(mean > 0, mean, 1.0)
    return np.asarray(np.maximum(made, 0.02))


def levelled(y: Floats, past: Ints) -> Levelled:
    """Counts without the changes of level that are seen in the past."""
    made, jumps = y.copy(), np.zeros_like(y)
    for _ in range(MOST_JUMPS):
        if not _one_jump(made, jumps, past):
            break
    growth = _growth(made, past)
    back = np.arange(made.shape[1] - 1, -1, -1) / WEEK
    return Levelled(made * np.exp(growth * back[None, :]), growth, jumps)


def _days(y: Floats, past: Ints) -> tuple[Floats, Floats, int]:
    """Of the last days, each 24 hours up to the last hour: the logarithm of counted over expected, what was counted,
    and the first hour. nan for a day that is known by less than half."""
    count = min(DAYS, y.shape[1] // 24)
    first = y.shape[1] - 24 * count
    expected = plain_shape(y, past)[:, past[first:]]
    there = np.isfinite(y[:, first:])
    counted = np.where(there, y[:, first:], 0.0).reshape(len(y), count, 24).sum(axis=2)
    wanted = np.where(there, expected, 0.0).reshape(len(y), count, 24).sum(axis=2)
    known = there.reshape(len(y), count, 24).mean(axis=2)
    with np.errstate(all="ignore"):
        ratio = np.log(np.where((known >= 0.5) & (counted >= LEAST_COUNT), counted / wanted, np.nan))
    return ratio, counted, first


def _one_jump(y: Floats, jumps: Floats, past: Ints) -> bool:
    """The clearest one of each route, taken out of what was before it. False where there is none."""
    ratio, counted, first = _days(y, past)
    count = ratio.shape[1]
    if count < LEAST_BEFORE + AFTER:
        return False
    best, size, at = np.zeros(len(y)), np.zeros(len(y)), np.zeros(len(y), int)
    with np.errstate(all="ignore"):
        steps = np.diff(ratio, axis=1)
        noise = np.maximum(1.4826 * median(np.abs(steps - median(steps, 1)[:, None]), 1) / np.sqrt(2), 0.03)
        noise = np.sqrt(np.nan_to_num(noise, nan=0.1) ** 2 + 1 / np.maximum(np.nanmean(counted, axis=1), 1.0))
        for day in range(LEAST_BEFORE, count - AFTER + 1):
            a, b = ratio[:, max(0, day - BEFORE) : day], ratio[:, day : day + BEFORE]
            n, m = np.isfinite(a).sum(axis=1), np.isfinite(b).sum(axis=1)
            differs = median(b, 1) - median(a, 1)
            sure = np.abs(differs) / (noise * np.sqrt(1.6 / np.maximum(n, 1) + 1.6 / np.maximum(m, 1)))
            known = np.isfinite(ratio[:, :day]).sum(axis=1)
            good = (n >= LEAST_BEFORE) & (known >= LEAST_KNOWN) & (m >= AFTER) & (np.abs(differs) > LARGE)
            # Of the days that are sure, the one that leaves the least unexplained.
            explains = _scatter(ratio[:, max(0, day - BEFORE) : day + BEFORE]) - _scatter(a) - _scatter(b)
            good &= (sure > SURE) & (explains > best)
            best, size, at = (
                np.where(good, explains, best),
                np.where(good, differs, size),
                np.where(good, day, at),
            )
    found = np.flatnonzero(best > 0)
    for route in found:
        y[route, : first + 24 * at[route]] *= np.exp(size[route])
        jumps[route, : first + 24 * at[route]] += size[route]
    return bool(len(found))


def _scatter(some: Floats) -> Floats:
    return np.asarray(np.nansum(np.abs(some - median(some, 1)[:, None]), axis=1))


def _growth(y: Floats, past: Ints) -> Floats:
    """The slope through the days, by their noise drawn towards none (James and Stein)."""
    ratio, _, _ = _days(y, past)
    days = np.arange(ratio.shape[1]) / 7
    there = np.isfinite(ratio)
    n = there.sum(axis=1)
    with np.errstate(all="ignore"):
        mean_x = np.where(there, days, 0).sum(axis=1) / n
        mean_y = np.nansum(ratio, axis=1) / n
        dx = np.where(there, days[None, :] - mean_x[:, None], 0.0)
        spread = (dx**2).sum(axis=1)
        slope = np.nansum(dx * np.nan_to_num(ratio - mean_y[:, None]), axis=1) / spread
        rest = np.where(there, ratio - mean_y[:, None] - slope[:, None] * dx, 0.0)
        # A level that wanders makes slopes of its own: its errors hang together.
        error = WANDERS * (rest**2).sum(axis=1) / np.maximum(n - 2, 1) / spread
        made = slope * np.maximum(0.0, 1 - error / np.maximum(slope**2, 1e-12))
    return np.clip(np.where(n >= 21, np.nan_to_num(made), 0.0), -MOST_GROWTH, MOST_GROWTH)[:, None]
