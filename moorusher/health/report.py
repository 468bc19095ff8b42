"""Health report of a runner, independent of the protocols of load balancers."""

from __future__ import annotations

from dataclasses import dataclass, field

from .states import HealthState


@dataclass(frozen=True, slots=True)
class HealthReport:
    """Health of a runner, as reported to load balancers.

    Attributes:
        state: Health state.
        weight: Requested share of traffic, 0 to 100.
        reason: Text that explains the state.
        routable: Whether load balancers may send new requests.
        changed: Reason of the state transition since the previous report; "" if the state is the same.
        pressure: From 1 on, the runner is expected to collapse before load balancers can react.
        mean_per_core: Window mean of runs on the cores, per core.
        forecast_per_core: Highest forecast mean until load balancers have reacted, per core.
        survivable_per_core: Highest window mean at which the runner does not collapse, per core.
        horizon_us: Time until load balancers have reacted.
        max_connections: Requests that each load balancer may have open at a time without endangering the runner.
        unknown: Descriptions of measurements that are too old or contradictory, and therefore ignored.
        pressure_parts: Pressure by cause.
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
