"""By which models a route is forecast, and how far that is off: by what each would have said at earlier origins of the
route's own history. Nobody else's history counts.

Models are weighed, not picked: a few origins tell good ones from bad, and not the best from the next. The same hour of
last week is what the others have to beat; where they don't by a margin, it stays alone.
"""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np
import numpy.typing as npt

from .clean import Floats, begun, filled, odd_hours
from .models import MODELS, Ints, Known
from .season import WEEK

ORIGINS = 8  # some days apart, the last one two days ago
APART_H, LAST_H = 60, 48
FADES = 0.85  # weight of an origin, to that of the next newer one
SHARPLY = 12.0  # a model whose error is so much larger has that power of it less weight
LEAST_WEIGHT = 0.1  # of the best one's
LEAST_H = 240  # of history that an origin needs
MARGIN = 0.03  # of its error, by which a model has to beat the same hour of last week
PLAIN = "same hour last week"
BANDS = (0, 24, 72, WEEK)  # hours ahead from which errors are told apart


@dataclass(frozen=True, slots=True)
class Chosen:
    """`ahead`: (routes, 168). `weights`: (models, routes), in the order of `names`. `errors`: (routes, origins, 168):
    what was counted less what the weighed models said, nan where nothing is known; `said` what they said there.
    `scores`: of each model, its mean error over that of the plain one."""

    ahead: Floats
    names: tuple[str, ...]
    weights: Floats
    errors: Floats
    said: Floats
    scores: dict[str, Floats]


def cleaned(y: Floats, counted: Floats, hour_of_week: Ints) -> Floats:
    """What to go by: nan where nothing is known, and for outages and floods."""
    known = begun(filled(y, counted))
    return np.where(odd_hours(known, hour_of_week), np.nan, known)


def choose(y: Floats, hour_of_week: Ints, models: tuple[str, ...] = tuple(MODELS)) -> Chosen:
    """`y`: cleaned, (routes, hours). `hour_of_week`: of those and of the 168 to come."""
    routes, hours = y.shape
    origins = [o for i in range(ORIGINS) if (o := hours - LAST_H - i * APART_H) >= LEAST_H]
    now = Known(y, hour_of_week)
    said = np.full((len(models), routes, len(origins), WEEK), np.nan)
    truth = np.full((routes, len(origins), WEEK), np.nan)
    for j, origin in enumerate(origins):
        known = Known(y[:, :origin], hour_of_week[: origin + WEEK])
        until = min(hours, origin + WEEK)
        truth[:, j, : until - origin] = np.where(
            _tells(y, now.flat.jumps, origin, until), y[:, origin:until], np.nan
        )
        for i, name in enumerate(models):
            said[i, :, j] = MODELS[name](known)
    errors = truth[None] - said
    scores = _scores(np.abs(errors), models.index(PLAIN))
    plain = models.index(PLAIN)
    weights = _weights(scores, plain)
    with np.errstate(all="ignore"):
        weighed = np.einsum("mr,mroh->roh", weights, said)
        off = truth - weighed
        # What was weighed must beat the plain one as well, or it is not worth its surprises.
        better = _scores(np.abs(np.stack([errors[plain], off])), 0)[1] <= 1 - MARGIN
    alone = np.zeros_like(weights)
    alone[plain] = 1.0
    weights = np.where(better[None, :], weights, alone)
    weighed = np.where(better[:, None, None], weighed, said[plain])
    ahead = sum(
        (weights[i][:, None] * MODELS[name](now) for i, name in enumerate(models) if weights[i].any()),
        np.zeros((routes, WEEK)),
    )
    return Chosen(
        np.maximum(ahead, 0.0),
        models,
        weights,
        truth - weighed,
        weighed,
        {name: scores[i] for i, name in enumerate(models)},
    )


def _tells(y: Floats, jumps: Floats, origin: int, until: int) -> npt.NDArray[np.bool_]:
    """Hours by which an origin can be judged: none after a jump that nobody could have seen from there, and none from
    where the route was known for less than a week, or half of what it is known for now."""
    known = np.isfinite(y).cumsum(axis=1)
    enough = known[:, origin - 1 : origin] >= np.minimum(WEEK, known[:, -1:] / 2)
    level = np.abs(jumps[:, origin:until] - jumps[:, origin - 1 : origin]) < 0.01
    return np.asarray(enough & level)


def _scores(errors: Floats, plain: int) -> Floats:
    """(models, routes): each one's mean error over that of the plain one, origin by origin, the newer the more. So an
    origin just before a jump, where all are far off, says little."""
    if not errors.shape[2]:
        return np.full(errors.shape[:2], np.nan)
    with np.errstate(all="ignore"):
        each = np.nanmean(errors, axis=3)
        ratio = np.log(np.maximum(each, 1e-9) / np.maximum(each[plain], 1e-9))
        weight = np.isfinite(errors[plain]).mean(axis=2) * FADES ** np.arange(errors.shape[2])
        weight = np.where(np.isfinite(ratio), weight[None], 0.0)
        total = weight.sum(axis=2)
        return np.asarray(np.exp(np.nansum(ratio * weight, axis=2) / np.where(total > 0, total, np.nan)))


def _weights(scores: Floats, plain: int) -> Floats:
    """(models, routes), each route's summing to 1; the plain one's where there is no past to judge by."""
    with np.errstate(all="ignore"):
        best = np.nanmin(np.where(np.isfinite(scores), scores, np.nan), axis=0)
        made = np.nan_to_num((best / scores) ** SHARPLY)
    made = np.where(made >= LEAST_WEIGHT, made, 0.0)
    total = made.sum(axis=0)
    alone = np.zeros_like(made)
    alone[plain] = 1.0
    return np.where(total > 0, made / np.where(total > 0, total, 1.0), alone)
