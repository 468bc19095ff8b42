"""What a demand needs: runners of each zone and hour, in few steps, up early and down late, each with its reason."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from math import ceil

import msgspec

from .policy import Scaling

HOUR_S = 3_600


class Hint(msgspec.Struct, frozen=True):
    """From hour `since` (since 1970, UTC) on, until the next hint of its zone or `valid_until_ms`."""

    zone: str
    since: int
    runners: int
    cores: float  # that the demand needs then
    why: str


class Hints(msgspec.Struct, frozen=True):
    """Runners wanted by zone and hour, for whoever starts and ends them."""

    made_ms: int
    valid_until_ms: int
    hints: tuple[Hint, ...]
    untold: dict[str, str]  # by zone: no hint, because


class Need(msgspec.Struct, frozen=True):
    """Of one route in one zone: requests an hour at the level that its worth asks for, and a request's core time."""

    name: str
    zone: str
    an_hour: tuple[float, ...]
    core_us: float


def cores_of(needs: Sequence[Need]) -> list[float]:
    """That all of them need together, by the hour."""
    hours = max((len(n.an_hour) for n in needs), default=0)
    return [
        sum(n.an_hour[h] * n.core_us for n in needs if h < len(n.an_hour)) / 1e6 / HOUR_S
        for h in range(hours)
    ]


def steps(cores: Sequence[float], scaling: Scaling) -> list[int]:
    """Runners by the hour. Up: as early as a cold one needs to be of use. Down: once less has been enough, and will be,
    for `down_h`. One hour's dip between two that need more takes nobody away."""
    usable = scaling.cores * scaling.fill
    wanted = [min(scaling.most, max(scaling.least, ceil(c / usable - 1e-9))) for c in cores]
    early = max(1, ceil(scaling.cold_min / 60))
    made = list(wanted)
    for h in range(len(wanted)):
        made[h] = max(wanted[h : h + early + 1])
    late = max(0, round(scaling.down_h))
    return [max(made[max(0, h - late) : h + 1]) for h in range(len(made))]


def hints(
    needs: Sequence[Need],
    first: int,
    scaling: Scaling,
    now_ms: int,
    untold: Mapping[str, str],
    running: Mapping[str, int],
) -> Hints:
    """`running`: runners of each zone now. A zone of which nothing is known gets no hint, and the reason."""
    made: list[Hint] = []
    zones = sorted({n.zone for n in needs})
    for zone in zones:
        its = [n for n in needs if n.zone == zone]
        unmeasured = [n.name for n in its if n.core_us <= 0]
        if unmeasured:
            untold = {**untold, zone: f"no run of {unmeasured[0]} has been measured"}
            continue
        cores = cores_of(its)
        planned = steps(cores, scaling)
        before = running.get(zone, 0)
        largest = max(its, key=lambda n: sum(n.an_hour) * n.core_us)
        for h, runners in enumerate(planned):
            if runners != before:
                ahead = max(
                    range(h, min(len(cores), h + 2 + ceil(scaling.cold_min / 60))), key=lambda i: cores[i]
                )
                why = (
                    f"{cores[ahead]:.2f} cores in {ahead - h} h, most of them for {largest.name}"
                    if runners > before
                    else f"{cores[h]:.2f} cores, and no more for {scaling.down_h:g} h"
                )
                made.append(Hint(zone, first + h, runners, cores[h], why))
                before = runners
    return Hints(now_ms, now_ms + round(scaling.valid_min * 60_000), tuple(made), dict(untold))
