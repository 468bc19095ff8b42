"""The ways to look a week ahead, for many routes at once. Each takes what is known up to an origin and gives the next
168 hours; nan in the history is what nothing is known of.

A week's shape (which share of it falls on which hour) changes slowly, its level quickly. So shapes are taken from weeks
at their own levels, and the level from the last days, held against the shape.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import cached_property

import numpy as np
import numpy.typing as npt

from .clean import Floats, median, weeks_of
from .level import Levelled, level_of_weeks, levelled
from .season import WEEK

Ints = npt.NDArray[np.int64]
FADES = 0.88  # weight of a week's shape, to that of the week after it
DAYS_TOGETHER = 0.5  # of an hour's noise that the hours of its day share
DAMPED = 0.7  # of a week's growth that the next one has


@dataclass(frozen=True)
class Known:
    """`y`: (routes, hours) up to the origin. `hour_of_week`: of those, and of the 168 after them."""

    y: Floats
    hour_of_week: Ints

    @cached_property
    def flat(self) -> Levelled:
        return levelled(self.y, self.past)

    @cached_property
    def shape(self) -> Floats:
        return shape_of(Known(self.flat.y, self.hour_of_week))

    @property
    def ahead(self) -> Ints:
        return self.hour_of_week[self.y.shape[1] : self.y.shape[1] + WEEK]

    @property
    def past(self) -> Ints:
        return self.hour_of_week[: self.y.shape[1]]


def _mean(values: Floats, weights: Floats, axis: int) -> Floats:
    """Of what is known; nan where nothing is."""
    there = np.isfinite(values)
    total = np.sum(np.where(there, weights, 0.0), axis=axis)
    with np.errstate(all="ignore"):
        summed = np.sum(np.where(there, values * weights, 0.0), axis=axis)
        return np.asarray(summed / np.where(total > 0, total, np.nan))


def last_week(known: Known) -> Floats:
    """The same hour of the last week in which it is known."""
    weeks = weeks_of(known.y, known.past)
    made = weeks[:, -1].copy()
    for i in range(weeks.shape[1] - 2, -1, -1):
        made = np.where(np.isfinite(made), made, weeks[:, i])
    return np.nan_to_num(made)[:, known.ahead]


def usual_week(known: Known) -> Floats:
    """The median of the same hour of the last four weeks."""
    weeks = weeks_of(known.y, known.past)[:, -4:]
    with np.errstate(all="ignore"):
        made = median(weeks, 1)
    return np.where(np.isfinite(made[:, known.ahead]), made[:, known.ahead], last_week(known))


def shape_of(known: Known) -> Floats:
    """(routes, 168) with a mean of 1: of the weeks at their own levels, newer ones more. Each hour is drawn towards
    what working days, or the weekend's, have in common, as far as the weeks differ by no more than chance."""
    weeks = weeks_of(known.y, known.past)
    count = weeks.shape[1]
    fade = np.broadcast_to((FADES ** np.arange(count - 1, -1, -1))[None, :, None], weeks.shape)
    level = level_of_weeks(weeks)
    weights = fade * np.nan_to_num(level) ** 0.5
    x = weeks / level
    own = _mean(x, weights, 1)
    own = np.where(np.isfinite(own), own, 1.0)
    noise = _noise_of(x, own, weights)
    made = _towards(_common(own, noise), own, noise)
    mean = made.mean(axis=1, keepdims=True)
    return np.where(mean > 0, made / np.where(mean > 0, mean, 1.0), 1.0)


def _noise_of(x: Floats, own: Floats, weights: Floats) -> Floats:
    """The variance of each hour's mean, as the weeks differ; by neighbours together, as weeks are few."""
    there = np.where(np.isfinite(x), weights, 0.0)
    total, squares = there.sum(axis=1), (there**2).sum(axis=1)
    n = np.where(squares > 0, total**2 / np.where(squares > 0, squares, 1.0), 0.0)
    spread = np.where(
        total > 0,
        np.nansum(there * (np.nan_to_num(x) - own[:, None, :]) ** 2, axis=1)
        / np.where(total > 0, total, 1.0),
        1.0,
    )
    spread = (np.roll(spread, -1, axis=1) + spread + np.roll(spread, 1, axis=1)) / 3
    made: Floats = np.where(n > 1.5, spread / np.maximum(n - 1, 0.5), np.maximum(own, 0.2) ** 2)
    return made


def _towards(common: Floats, own: Floats, noise: Floats) -> Floats:
    """As far as what differs from what is common is more than noise (James and Stein)."""
    size = np.maximum(common, 0.05)
    differs = (((own - common) / size) ** 2).mean(axis=1, keepdims=True)
    chance = (noise / size**2).mean(axis=1, keepdims=True)
    trust = np.maximum(0.0, differs - chance) / np.maximum(differs, 1e-12)
    return np.asarray(np.maximum(0.0, common + trust * (own - common)))


def _common(own: Floats, noise: Floats) -> Floats:
    """Days' sizes, drawn towards each other, times what their hours have in common."""
    routes = own.shape[0]
    days, chance = own.reshape(routes, 7, 24), noise.reshape(routes, 7, 24)
    made = np.empty_like(days)
    for part in (slice(0, 5), slice(5, 7)):
        some = days[:, part]
        size = some.mean(axis=2, keepdims=True)
        shared = size.mean(axis=1, keepdims=True)
        between = ((size - shared) ** 2).mean(axis=1, keepdims=True)
        # Hours of a day go up and down together: the noise of a day's size is that of its hours, not a 24th of it.
        within = chance[:, part].mean(axis=(1, 2), keepdims=True) * DAYS_TOGETHER
        trust = np.maximum(0.0, between - within) / np.maximum(between, 1e-12)
        hours = some.mean(axis=1, keepdims=True) / np.maximum(shared, 1e-9)
        smooth = (np.roll(hours, 1, axis=2) + 2 * hours + np.roll(hours, -1, axis=2)) / 4
        rough = ((hours - smooth) ** 2).mean(axis=2, keepdims=True)
        error = (
            chance[:, part].mean(axis=(1, 2), keepdims=True) / some.shape[1] / np.maximum(shared, 1e-9) ** 2
        )
        keep = np.maximum(0.0, rough - error) / np.maximum(rough, 1e-12)
        made[:, part] = (shared + trust * (size - shared)) * (smooth + keep * (hours - smooth))
    return made.reshape(routes, WEEK)


def level_of(known: Known, shape: Floats, half_life_days: float) -> Floats:
    """(routes, 1): counted over what the shape says, the newer the more."""
    hours = known.y.shape[1]
    fade = 0.5 ** (np.arange(hours - 1, -1, -1) / (24 * half_life_days))
    expected = shape[:, known.past]
    there = np.isfinite(known.y)
    counted = np.sum(np.where(there, known.y, 0.0) * fade, axis=1, keepdims=True)
    wanted = np.sum(np.where(there, expected, 0.0) * fade, axis=1, keepdims=True)
    return np.asarray(np.where(wanted > 0, counted / np.where(wanted > 0, wanted, 1.0), 0.0))


def shaped(known: Known, half_life_days: float, growing: bool = True) -> Floats:
    """Of a history at today's level: its shape and what its last days say, and the growth that it had, fading."""
    flat = known.flat
    shape = known.shape
    made = level_of(Known(flat.y, known.hour_of_week), shape, half_life_days) * shape[:, known.ahead]
    if growing:
        on = (np.arange(WEEK) + 1) / WEEK
        made = made * np.exp(flat.growth * (1 - DAMPED**on) / -np.log(DAMPED))
    return made


def usual_now(known: Known) -> Floats:
    """The median of the same hour of four weeks, at today's level."""
    return usual_week(Known(known.flat.y, known.hour_of_week))


Model = Callable[[Known], Floats]
MODELS: dict[str, Model] = {
    "same hour last week": last_week,
    "usual hour of four weeks": usual_now,
    "shape, level of the last day": lambda k: shaped(k, 0.7),
    "shape, level of some days": lambda k: shaped(k, 2.0),
    "shape, level of a week": lambda k: shaped(k, 5.0),
    "shape, level of weeks": lambda k: shaped(k, 14.0),
    "shape, level of some days, no growth": lambda k: shaped(k, 2.0, False),
}
