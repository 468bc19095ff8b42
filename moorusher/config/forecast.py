"""Reads and validates `[forecast]` of the operator's file."""

from __future__ import annotations

from datetime import date
from typing import Any

from ..forecasting.policy import Calendar, ForecastPolicy, ScalingPolicy
from .section import ConfigError, NumericSetting, Section, require_private

# Numeric settings of `[forecast]` by key.
FORECAST_SETTINGS = {
    "report_ms": NumericSetting("report_interval_ms", 100, 3_600_000),
    "save_ms": NumericSetting("save_interval_ms", 100, 3_600_000),
    "routes": NumericSetting("max_routes", 1, 10_000),
}
# Numeric settings of `[forecast.scaling]` by key.
SCALING_SETTINGS = {
    "cores": NumericSetting("cores_per_runner", 0.1, 1_000),
    "fill": NumericSetting("target_utilization", 0.05, 1),
    "least": NumericSetting("min_runners", 0, 100_000),
    "most": NumericSetting("max_runners", 1, 100_000),
    "cold_min": NumericSetting("startup_min", 0, 1_440),
    "down_h": NumericSetting("scale_down_delay_h", 0, 168),
    "valid_min": NumericSetting("validity_min", 1, 10_080),
    "worthy": NumericSetting("priority_threshold", 0, 1e9),
}
MAX_ROUTE_BYTES = 6_000  # Size of eight weeks of one route's data in the duty's state.
MAX_SPECIAL_DAYS = 1_000  # Limit of each calendar.


def read_forecast(section: Section, duties: bool, state_bytes: int) -> ForecastPolicy:
    """Read and validate `[forecast]`.

    :param duties: whether the cluster has duties.
    :param state_bytes: maximum size of a duty's state.
    :raises ConfigError: a key or value is invalid.
    """
    section.reject_unknown_keys({"on", "calendar", "scaling", *FORECAST_SETTINGS})
    numbers = section.numbers(FORECAST_SETTINGS, ForecastPolicy())
    scaling = _read_scaling(section.section("scaling"))
    calendars = _read_calendars(section)
    enabled = section.get("on", False)
    if enabled and not duties:
        raise ConfigError(f"{section.key('on')}: a forecast is a duty of a fleet: set duties.on")
    max_routes = numbers["max_routes"]
    if enabled and max_routes * MAX_ROUTE_BYTES > state_bytes:
        raise ConfigError(
            f"{section.key('routes')}: {max_routes} of them may take "
            f"{max_routes * MAX_ROUTE_BYTES} bytes; duties.state_bytes is {state_bytes}"
        )
    return ForecastPolicy(enabled=enabled, calendars=calendars, scaling=scaling, **numbers)


def _read_scaling(section: Section) -> ScalingPolicy:
    section.reject_unknown_keys({"to", *SCALING_SETTINGS})
    numbers = section.numbers(SCALING_SETTINGS, ScalingPolicy())
    policy = ScalingPolicy(
        **numbers,
        receiver=require_private(section.address("to"), section.key("to")),
    )
    if policy.min_runners > policy.max_runners:
        raise ConfigError(f"{section.key('least')}: expected at most most, {policy.max_runners}")
    return policy


def _read_calendars(section: Section) -> dict[str, Calendar]:
    """Return the calendars by customer."""
    listed: list[Any] = section.get("calendar", [])
    calendars: dict[str, Calendar] = {}
    for index, raw in enumerate(listed):
        entry = Section(raw, f"{section.key('calendar')}[{index}]")
        entry.reject_unknown_keys({"customer", "zone", "days"})
        customer, calendar = entry.get("customer", ""), _read_calendar(entry)
        if customer in calendars:
            raise ConfigError(f"{entry.key('customer')}: {customer!r} has one already")
        calendars[customer] = calendar
    return calendars


def _read_calendar(entry: Section) -> Calendar:
    from ..forecasting.time_zones import time_zone

    zone_name = entry.get("zone", "UTC")
    try:
        time_zone(zone_name)
    except ValueError as error:
        raise ConfigError(f"{entry.key('zone')}: {error}") from error
    day_types = _read_days(entry.section("days"))
    if len(day_types) > MAX_SPECIAL_DAYS:
        raise ConfigError(f"{entry.key('days')}: more than {MAX_SPECIAL_DAYS}")
    return Calendar(zone_name, day_types)


def _read_days(section: Section) -> dict[str, str]:
    """Return the type of each special day by ISO date. The section lists the days by type."""
    day_types: dict[str, str] = {}
    for day_type in section.data:
        listed: list[Any] = section.get(day_type, [])
        for day in listed:
            try:
                day_types[date.fromisoformat(str(day)).isoformat()] = day_type
            except ValueError:
                raise ConfigError(
                    f"{section.key(day_type)}: expected days as 2026-12-24, got {day!r}"
                ) from None
    return day_types
