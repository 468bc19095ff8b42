"""Scaling hints: the number of runners that each zone needs in the next hours, with a reason for each change.

Runners are added early, because they need time to start and warm up. They are removed late, so that a dip between two
peaks removes none.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from math import ceil

import msgspec

from .policy import ScalingPolicy
from .time_units import MINUTES_PER_HOUR, MS_PER_MINUTE, SECONDS_PER_HOUR, US_PER_SECOND

# Fraction of a runner that is ignored, so that a rounding error just above a whole number does not add a runner.
ROUNDING_TOLERANCE = 1e-9


class ScalingHint(msgspec.Struct, frozen=True):
    """Number of runners that a zone needs from an hour on. JSON uses the names given by `field`.

    Attributes:
        zone: Name of the zone.
        from_hour: Hours since 1970, UTC.
        runners: Number of runners until the zone's next hint, or until the hints expire.
        cores: Cores that the demand needs in that hour.
        reason: Reason for operators.
    """

    zone: str
    from_hour: int = msgspec.field(name="since")
    runners: int
    cores: float
    reason: str = msgspec.field(name="why")


class ScalingHints(msgspec.Struct, frozen=True):
    """The hints for all zones. JSON uses the names given by `field`.

    Attributes:
        created_ms: Unix time of creation.
        expires_ms: Unix time after which the hints must not be used.
        hints: Hints ordered by zone, and by hour within a zone.
        skipped_zones: Zones without hints, with the reason.
    """

    created_ms: int = msgspec.field(name="made_ms")
    expires_ms: int = msgspec.field(name="valid_until_ms")
    hints: tuple[ScalingHint, ...]
    skipped_zones: dict[str, str] = msgspec.field(name="untold")


@dataclass(frozen=True, slots=True)
class RouteDemand:
    """Forecast demand of one route in one zone.

    Attributes:
        label: Readable name of the route, for operators.
        zone: Name of the zone.
        requests_per_hour: Requests by hour, at the quantile for the route's priority.
        core_us: Processor time per request; 0 if it was never measured.
    """

    label: str
    zone: str
    requests_per_hour: tuple[float, ...]
    core_us: float


def required_cores(demands: Sequence[RouteDemand]) -> list[float]:
    """Return the number of cores that all routes together keep busy, by hour."""
    hours = max((len(demand.requests_per_hour) for demand in demands), default=0)
    return [
        sum(
            demand.requests_per_hour[hour] * demand.core_us
            for demand in demands
            if hour < len(demand.requests_per_hour)
        )
        / US_PER_SECOND
        / SECONDS_PER_HOUR
        for hour in range(hours)
    ]


def required_runners(cores: Sequence[float], policy: ScalingPolicy) -> list[int]:
    """Return the number of runners to run by hour, for the cores that are needed by hour.

    For each hour, it is the maximum of the requirements over the time that a runner started in that hour takes to warm
    up, and over the `scale_down_delay_h` hours before.
    """
    usable_cores = policy.cores_per_runner * policy.target_utilization
    required = [
        min(policy.max_runners, max(policy.min_runners, ceil(needed / usable_cores - ROUNDING_TOLERANCE)))
        for needed in cores
    ]
    startup_hours = max(1, ceil(policy.startup_min / MINUTES_PER_HOUR))
    with_startup = [max(required[hour : hour + startup_hours + 1]) for hour in range(len(required))]
    delay_hours = max(0, round(policy.scale_down_delay_h))
    return [max(with_startup[max(0, hour - delay_hours) : hour + 1]) for hour in range(len(with_startup))]


def make_hints(
    demands: Sequence[RouteDemand],
    first_hour: int,
    policy: ScalingPolicy,
    now_ms: int,
    skipped_zones: Mapping[str, str],
    running: Mapping[str, int],
) -> ScalingHints:
    """Return the hints for the hours from `first_hour` (since 1970, UTC) on.

    A zone is skipped if the processor time of one of its forecast routes was never measured: the route would count as
    free of cost, and the hints would request fewer runners than its demand needs.

    :param now_ms: Unix time.
    :param skipped_zones: Zones without a forecast, with the reason; zones with an unmeasured route are added to them.
    :param running: Current number of runners by zone.
    """
    hints: list[ScalingHint] = []
    skipped = dict(skipped_zones)
    for zone in sorted({demand.zone for demand in demands}):
        in_zone = [demand for demand in demands if demand.zone == zone]
        unmeasured = next((demand for demand in in_zone if demand.core_us <= 0), None)
        if unmeasured is not None:
            skipped[zone] = f"no run of {unmeasured.label} has been measured"
        else:
            hints += _hints_of_zone(in_zone, first_hour, policy, running.get(zone, 0))
    expires_ms = now_ms + round(policy.validity_min * MS_PER_MINUTE)
    return ScalingHints(now_ms, expires_ms, tuple(hints), skipped)


def _hints_of_zone(
    demands: Sequence[RouteDemand], first_hour: int, policy: ScalingPolicy, running: int
) -> list[ScalingHint]:
    """Return one hint for each hour in which the number of runners changes."""
    cores = required_cores(demands)
    largest = max(demands, key=lambda demand: sum(demand.requests_per_hour) * demand.core_us)
    hints: list[ScalingHint] = []
    for hour, runners in enumerate(required_runners(cores, policy)):
        if runners > running:
            reason = _scale_up_reason(cores, hour, largest, policy)
        else:
            reason = f"{cores[hour]:.2f} cores, and no more for {policy.scale_down_delay_h:g} h"
        if runners != running:
            hints.append(ScalingHint(demands[0].zone, first_hour + hour, runners, cores[hour], reason))
        running = runners
    return hints


def _scale_up_reason(cores: Sequence[float], hour: int, largest: RouteDemand, policy: ScalingPolicy) -> str:
    """Return a reason that names the peak demand within the startup time, for which runners are added."""
    end = min(len(cores), hour + 2 + ceil(policy.startup_min / MINUTES_PER_HOUR))
    peak = max(range(hour, end), key=lambda index: cores[index])
    return f"{cores[peak]:.2f} cores in {peak - hour} h, most of them for {largest.label}"
