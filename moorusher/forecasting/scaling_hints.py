"""Scaling hints: how many runners each zone needs in the coming hours, with a reason for each step.

Runners are added early, as they need time to start and warm up, and removed late: a dip between two peaks removes none.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from math import ceil

import msgspec

from .policy import ScalingPolicy
from .time_units import MINUTES_PER_HOUR, MS_PER_MINUTE, SECONDS_PER_HOUR, US_PER_SECOND

ROUNDING_TOLERANCE = 1e-9  # runners; a sum of floats just above a whole number needs no further one


class ScalingHint(msgspec.Struct, frozen=True):
    """How many runners a zone needs from an hour on. Sent and shown as JSON under the names given by `field`.

    zone: str.
    from_hour: int, hours since 1970, UTC.
    runners: int, until the next hint of the zone, or until the hints expire.
    cores: float, that the demand needs in that hour.
    reason: str, for operators.
    """

    zone: str
    from_hour: int = msgspec.field(name="since")
    runners: int
    cores: float
    reason: str = msgspec.field(name="why")


class ScalingHints(msgspec.Struct, frozen=True):
    """The hints for all zones. Sent and shown as JSON under the names given by `field`.

    created_ms, expires_ms: int, Unix time.
    hints: in the order of the zones, and of the hours within each.
    skipped_zones: zones without hints, with the reason.
    """

    created_ms: int = msgspec.field(name="made_ms")
    expires_ms: int = msgspec.field(name="valid_until_ms")
    hints: tuple[ScalingHint, ...]
    skipped_zones: dict[str, str] = msgspec.field(name="untold")


@dataclass(frozen=True, slots=True)
class RouteDemand:
    """The forecast demand of one route in one zone.

    label: str, as operators read it.
    requests_per_hour: by hour, at the quantile that its priority asks for.
    core_us: float, processor time of a request; 0 where it was never measured.
    """

    label: str
    zone: str
    requests_per_hour: tuple[float, ...]
    core_us: float


def required_cores(demands: Sequence[RouteDemand]) -> list[float]:
    """Return the cores that all routes keep busy together, by hour."""
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
    """Return the runners to have by hour, for the cores that are needed by hour.

    The maximum over the hours in which a runner started now warms up, and over the hours for which fewer must have been
    enough before one is stopped.
    """
    usable_cores = policy.cores_per_runner * policy.target_utilization
    wanted = [
        min(policy.max_runners, max(policy.min_runners, ceil(needed / usable_cores - ROUNDING_TOLERANCE)))
        for needed in cores
    ]
    startup_hours = max(1, ceil(policy.startup_min / MINUTES_PER_HOUR))
    early = [max(wanted[hour : hour + startup_hours + 1]) for hour in range(len(wanted))]
    delay_hours = max(0, round(policy.scale_down_delay_h))
    return [max(early[max(0, hour - delay_hours) : hour + 1]) for hour in range(len(early))]


def make_hints(
    demands: Sequence[RouteDemand],
    first_hour: int,
    policy: ScalingPolicy,
    now_ms: int,
    skipped_zones: Mapping[str, str],
    running: Mapping[str, int],
) -> ScalingHints:
    """Return the hints for the hours from `first_hour` (since 1970, UTC) on.

    A zone has none if the processor time of one of its forecast routes was never measured: that route would count as
    costing nothing, and the hints would ask for fewer runners than its demand needs.

    :param now_ms: Unix time.
    :param skipped_zones: zones without a forecast, with the reason; those are added of which a route was not measured.
    :param running: runners of each zone now.
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
    """One hint for each hour in which the number of runners changes."""
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
    """Name the peak that the runners are for, within the time that they need to start."""
    end = min(len(cores), hour + 2 + ceil(policy.startup_min / MINUTES_PER_HOUR))
    peak = max(range(hour, end), key=lambda index: cores[index])
    return f"{cores[peak]:.2f} cores in {peak - hour} h, most of them for {largest.label}"
