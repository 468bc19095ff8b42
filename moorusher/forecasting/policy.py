"""Settings of the forecast, as read from `[forecast]` in the operator's file. Imports nothing else of the package."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Calendar:
    """A customer's calendar.

    time_zone: str, its name in the IANA database.
    day_types: the type of each special day, such as "holiday", by ISO date.
    """

    time_zone: str = "UTC"
    day_types: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ScalingPolicy:
    """Bounds of the scaling hints.

    receiver: host and port of the service that starts and stops runners; None where hints are not sent.
    cores_per_runner: float.
    target_utilization: float, share of the cores that is planned to be used.
    min_runners, max_runners: int, of one zone.
    startup_min: float, minutes from the start of a runner until it is warmed up.
    scale_down_delay_h: float, hours for which fewer runners must have been enough before one is stopped.
    validity_min: float, minutes after which hints expire.
    priority_threshold: float, priority weight of a request from which the 0.99 quantile is planned for; below it, the
        0.9 quantile.
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
    """The operator's settings of the forecast; `config/forecast.py` reads and checks them.

    report_interval_ms: float, between two demand reports of a runner.
    save_interval_ms: float, between two updates of the replicated state by the leader.
    max_routes: int, routes that are forecast.
    calendars: by customer.
    """

    enabled: bool = False
    report_interval_ms: float = 20_000.0
    save_interval_ms: float = 5_000.0
    max_routes: int = 1_000
    calendars: Mapping[str, Calendar] = field(default_factory=dict)
    scaling: ScalingPolicy = field(default_factory=ScalingPolicy)
