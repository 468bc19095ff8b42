"""Weeks of demand as customers have them: twelve kinds of course, drawn from a seed, with what befalls them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import numpy as np
import numpy.typing as npt

from ..forecasting.policy import Calendar
from ..forecasting.seasonality import hours_of_week
from ..forecasting.time_units import HOURS_PER_WEEK as WEEK

Floats = npt.NDArray[np.float64]
WEEKS = 8
FIRST = 491_000  # an hour since 1970, in January 2026


@dataclass(frozen=True, slots=True)
class Drawn:
    """`y`: what was asked for, the week to come included; `counted`: the share of each hour that was counted."""

    kind: str
    y: Floats
    counted: Floats
    calendar: Calendar
    first: int = FIRST


def _day(peaks: list[tuple[float, float, float]]) -> Floats:
    """24 hours; each peak has its hour, width and height."""
    hours = np.arange(24)
    made = np.full(24, 0.08)
    for at, width, height in peaks:
        made += height * np.exp(-0.5 * (((hours - at + 12) % 24 - 12) / width) ** 2)
    return made


def _week(rng: np.random.Generator, peaks: list[tuple[float, float, float]], weekend: float) -> Floats:
    day = _day(peaks)
    days = np.array([1.0, 1.05, 1.0, 0.97, 0.9, weekend, weekend * 0.9]) * rng.normal(1.0, 0.05, 7)
    made = np.concatenate([day * d for d in days])
    return np.asarray(made / made.mean())


OFFICE = [(10.0, 1.8, 1.0), (14.5, 2.0, 0.9)]
EVENING = [(20.0, 2.5, 1.0), (13.0, 3.0, 0.4)]
BATCH = [(2.0, 0.6, 2.0)]
Turn = Callable[[np.random.Generator, Floats, int], Floats]  # of the mean of each hour; hours of history


def _none(rng: np.random.Generator, mean: Floats, past: int) -> Floats:
    return mean


def _grows(rng: np.random.Generator, mean: Floats, past: int) -> Floats:
    return np.asarray(mean * np.exp(rng.uniform(0.05, 0.12) * np.arange(len(mean)) / WEEK))


def _shrinks(rng: np.random.Generator, mean: Floats, past: int) -> Floats:
    return np.asarray(mean * np.exp(-rng.uniform(0.05, 0.1) * np.arange(len(mean)) / WEEK))


def _jumps(rng: np.random.Generator, mean: Floats, past: int) -> Floats:
    made, at = mean.copy(), past - int(rng.integers(2 * 24, 10 * 24))
    made[at:] *= rng.choice([0.45, 1.9, 2.6])
    return made


def _new(rng: np.random.Generator, mean: Floats, past: int) -> Floats:
    made = mean.copy()
    made[: past - int(rng.integers(9, 20)) * 24] = 0.0
    return made


KINDS: dict[str, tuple[float, list[tuple[float, float, float]], float, Turn]] = {
    # kind: requests an hour, the day's peaks, weekend, what turns
    "office": (300.0, OFFICE, 0.15, _none),
    "evening": (120.0, EVENING, 1.2, _none),
    "round the clock": (900.0, [(12.0, 8.0, 0.4)], 0.95, _none),
    "night batch": (60.0, BATCH, 1.0, _none),
    "growing": (150.0, OFFICE, 0.4, _grows),
    "shrinking": (250.0, EVENING, 0.9, _shrinks),
    "jump": (200.0, OFFICE, 0.3, _jumps),
    "rare": (0.8, EVENING, 1.0, _none),
    "new": (80.0, OFFICE, 0.3, _new),
    "outages": (200.0, OFFICE, 0.5, _none),
    "floods": (100.0, EVENING, 1.0, _none),
    "gaps": (150.0, OFFICE, 0.3, _none),
}


def draw(seed: int, kind: str, weeks: int = WEEKS) -> Drawn:
    """`weeks` of history, and one to come: in that, nothing befalls it but chance."""
    rng = np.random.default_rng([seed, sorted(KINDS).index(kind)])
    rate, peaks, weekend, turn = KINDS[kind]
    zone = str(rng.choice(["UTC", "Europe/Copenhagen", "America/New_York"]))
    past = weeks * WEEK
    hours = past + WEEK
    first = FIRST + int(rng.integers(0, 26)) * WEEK
    week = _week(rng, peaks, weekend)[hours_of_week(first, hours, zone)]
    mean = rate * rng.lognormal(0.0, 0.5) * week
    days = np.repeat(rng.lognormal(0.0, 0.08, -(-hours // 24)), 24)[:hours]
    drift = np.exp(np.cumsum(rng.normal(0.0, 0.006, hours)))
    mean = turn(rng, mean * days * drift, past)
    y = rng.poisson(mean * rng.lognormal(0.0, 0.06, hours)).astype(float)
    counted = np.ones(hours)
    if kind == "outages":
        for _ in range(4):
            at, n = int(rng.integers(0, past - 30)), int(rng.integers(2, 20))
            y[at : at + n] = rng.poisson(0.02 * mean[at : at + n])
    elif kind == "floods":
        for _ in range(4):
            at, n = int(rng.integers(0, past - 30)), int(rng.integers(1, 12))
            y[at : at + n] += rng.poisson(
                rng.uniform(4, 12) * mean[at : at + n].mean() + 30, min(n, hours - at)
            )
    elif kind == "gaps":
        for _ in range(5):
            at, n = int(rng.integers(0, past - 30)), int(rng.integers(2, 30))
            share = rng.choice([0.0, 0.3, 0.7])
            counted[at : at + n] = share
            y[at : at + n] = np.floor(y[at : at + n] * share)
    return Drawn(kind, y, counted, Calendar(zone), first)
