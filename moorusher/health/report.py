"""The health report of a runner, before it is worded in a balancer's protocol."""

from __future__ import annotations

from dataclasses import dataclass, field

from .states import HealthState


@dataclass(frozen=True, slots=True)
class HealthReport:
    """What balancers are told.

    Attributes:
        weight: the share of traffic that is asked for, 0 to 100.
        reason: of the state, in words.
        routable: whether new requests may be sent here.
        changed: why the state is no longer that of the report before; "" where it is.
        pressure: 1 and more where the runner would fall over before balancers can act.
        mean_per_core: runs on the cores in the mean of the window, a core.
        forecast_per_core: the highest such mean until balancers have acted.
        survivable_per_core: the mean that the runner survives.
        horizon_us: how far ahead the forecast looks.
        max_connections: requests that each balancer may have open here at a time, so that the runner survives whatever
            they do.
        unknown: what is too old to be counted, or contradicts itself.
        pressure_parts: pressure by what it comes from.
    """

    state: HealthState
    weight: int
    reason: str
    routable: bool
    changed: str
    pressure: float
    mean_per_core: float
    forecast_per_core: float
    survivable_per_core: float
    horizon_us: int
    max_connections: int
    unknown: tuple[str, ...] = ()
    pressure_parts: dict[str, float] = field(default_factory=dict)
