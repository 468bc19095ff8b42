"""The next week of many routes: their customers' special days told apart, levels by their own errors, sums that add up.

The same history gives the same figures, bit by bit, whoever works them out: nothing is drawn, and routes go through in
the order of their names, each customer's by themselves.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

import numpy as np

from .choose import Chosen, choose, cleaned
from .clean import Floats, begun, filled, median, weeks_of
from .ledger import WHOLE, Series
from .level import level_of_weeks, plain_shape
from .models import Ints
from .policy import Days
from .quantiles import LEVELS, quantiles
from .season import WEEK, hours_of_week, kinds_of_days

LEAST_HOURS = 48  # that are known of a route, for anything to be said
MOST_FACTOR = 20.0
FACTOR_COUNT = 5.0  # requests that a kind of day is taken to have had as expected, before any


@dataclass(frozen=True, slots=True)
class Week:
    """From hour `first` (since 1970, UTC) on. `levels`: (50, 90, 99 of 100; routes; 168). `models`: the one that counts
    most, by route. `untold`: routes of which too little is known, with the reason."""

    first: int
    names: tuple[str, ...]
    levels: Floats
    models: tuple[str, ...]
    untold: Mapping[str, str]

    def of(self, name: str) -> Floats:
        return np.asarray(self.levels[:, self.names.index(name)])


def matrix(series: Mapping[str, Series], names: list[str], last: int) -> tuple[Floats, Floats, int]:
    """(routes, hours) of what was asked and of how much was counted, up to and without hour `last`; the first hour."""
    first = min(series[n].first for n in names)
    hours = last - first
    y, counted = np.zeros((len(names), hours)), np.zeros((len(names), hours))
    for i, name in enumerate(names):
        s = series[name]
        n = min(len(s.asked), last - s.first)
        at = s.first - first
        y[i, at : at + n] = s.asked[:n]
        counted[i, at : at + n] = np.asarray(s.counted[:n], float) / WHOLE
    return y, counted, first


def factors(y: Floats, past: Ints, kinds: Ints, count: int) -> Floats:
    """(routes, kinds): what days of each kind had over what their hours usually have at that time; 1 where none was."""
    ordinary = np.where(kinds[None, :] == 0, y, np.nan)
    weeks = weeks_of(ordinary, past)
    back = (y.shape[1] - 1 - np.arange(y.shape[1])) // WEEK
    level = level_of_weeks(weeks)[:, :, 0]
    with np.errstate(all="ignore"):
        usual = median(level, 1)[:, None]
    level = np.where(np.isfinite(level), level, np.nan_to_num(usual))
    expected = plain_shape(ordinary, past)[:, past] * level[:, weeks.shape[1] - 1 - back]
    made = np.ones((len(y), count))
    for kind in range(1, count):
        here = (kinds[None, :] == kind) & np.isfinite(y)
        had = np.where(here, y, 0.0).sum(axis=1)
        usual_then = np.where(here, expected, 0.0).sum(axis=1)
        days = here.sum(axis=1) / 24
        ratio = np.log((had + FACTOR_COUNT) / (usual_then + FACTOR_COUNT))
        made[:, kind] = np.exp(ratio * days / (days + 0.5))
    return np.clip(made, 1 / MOST_FACTOR, MOST_FACTOR)


def _of_customer(
    series: Mapping[str, Series], names: list[str], last: int, calendar: Days
) -> tuple[Chosen, Floats]:
    y, counted, first = matrix(series, names, last)
    hours = y.shape[1]
    hour_of_week = hours_of_week(first, hours + WEEK, calendar.zone)
    kinds, named = kinds_of_days(first, hours + WEEK, calendar)
    ordinary = np.where(
        kinds[None, :hours] == 0, counted, 0.0
    )  # a special day is no flood, and nothing to go by else
    chosen = choose(cleaned(y, ordinary, hour_of_week[:hours]), hour_of_week)
    levels = quantiles(chosen)
    if len(named) > 1:
        by_kind = factors(begun(filled(y, counted)), hour_of_week[:hours], kinds[:hours], len(named))
        levels = levels * by_kind[:, kinds[hours:]][None]
    return chosen, levels


def week_ahead(
    series: Mapping[str, Series], customers: Mapping[str, str], last: int, calendars: Mapping[str, Days]
) -> Week:
    """`customers`: whose each route is; `last`: the hour that is the first to come."""
    told: list[str] = []
    models: list[str] = []
    untold: dict[str, str] = {}
    parts: list[Floats] = []
    for customer in sorted(set(customers.values())):
        names = []
        for name in sorted(n for n in series if customers[n] == customer):
            known = sum(c >= WHOLE // 2 for c in series[name].counted)
            if known < LEAST_HOURS:
                untold[name] = f"{known} hours are known of it, and {LEAST_HOURS} are needed"
            else:
                names.append(name)
        if not names:
            continue
        chosen, levels = _of_customer(series, names, last, calendars.get(customer, Days()))
        told += names
        models += [chosen.names[i] for i in chosen.weights.argmax(axis=0)]
        parts.append(levels)
    levels = np.concatenate(parts, axis=1) if parts else np.zeros((len(LEVELS), 0, WEEK))
    return Week(last, tuple(told), levels, tuple(models), untold)


def corrected(week: Week, hours: Mapping[str, list[float]]) -> Week:
    """Within the day: by what the hours since then had, of each route, drawn towards what was said. An hour of which
    nothing is known (nan) says nothing."""
    levels = week.levels.copy()
    for i, name in enumerate(week.names):
        had = np.asarray(hours.get(name, ()), float)
        known = np.isfinite(had)
        said = float(week.levels[0, i, : len(had)][known].sum())
        if said > 0:
            ratio = (float(had[known].sum()) + NUDGED) / (said + NUDGED)
            on = np.arange(WEEK - len(had))
            levels[:, i, len(had) :] *= ratio ** (0.5 ** (on / NUDGE_HOURS))
    return Week(week.first, week.names, levels, week.models, week.untold)


NUDGED = 20.0  # requests as said, before any: a few more or less say little
NUDGE_HOURS = 6.0  # after so many, half of the correction is left
