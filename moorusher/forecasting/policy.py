"""Settings of the forecast, read from `[forecast]` in the operator's file. Imports no other module of the package."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Calendar:
    """Calendar of a customer.

    Attributes:
        time_zone: Name of the time zone in the IANA database.
        day_types: Type of each special day, such as "holiday", by ISO date.
    """

    time_zone: str = "UTC"
    day_types: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ScalingPolicy:
    """Parameters and bounds of the scaling hints.

    Attributes:
        receiver: Host and port of the service that starts and stops runners; None if hints are not sent.
        cores_per_runner: Cores of a runner.
        target_utilization: Planned utilization of the cores, as a share.
        min_runners: Minimum number of runners per zone.
        max_runners: Maximum number of runners per zone.
        startup_min: Minutes from the start of a runner until it is warmed up.
        scale_down_delay_h: Hours for which fewer runners must have sufficed before one is stopped.
        validity_min: Minutes after which hints expire.
        priority_threshold: Mean priority weight of a request from which the 0.99 quantile of the demand is planned for,
            instead of the 0.9 quantile.
    """

    receiver: tuple[str, int] | None = None
    cores_per_runner: float = 1.0
    target_utilization: float = 0.7
    min_runners: int = 1
    max_runners: int = 1_000
    startup_min: float = 10.0
    scale_down_delay_h: float = 2.0
    validity_min: float = 120.0
    priority_threshold: float = 1.0


@dataclass(frozen=True, slots=True)
class ForecastPolicy:
    """The operator's settings of the forecast; `config/forecast.py` reads and validates them.

    Attributes:
        enabled: Whether this runner takes part in the forecast.
        report_interval_ms: Time between two demand reports of a runner.
        save_interval_ms: Time between two updates of the replicated state by the leader.
        max_routes: Maximum number of routes that are forecast.
        calendars: Calendars by customer.
        scaling: Parameters of the scaling hints.
    """

    enabled: bool = False
    report_interval_ms: float = 20_000.0
    save_interval_ms: float = 5_000.0
    max_routes: int = 1_000
    calendars: Mapping[str, Calendar] = field(default_factory=dict)
    scaling: ScalingPolicy = field(default_factory=ScalingPolicy)
