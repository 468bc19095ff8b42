"""`[forecast]` of the operator's file, read and checked."""

from __future__ import annotations

from datetime import date
from typing import Any

from ..forecasting.policy import Days, Policy, Scaling
from .section import ConfigError, Section, inside

FIGURES: dict[str, tuple[float, float]] = {
    "report_ms": (100, 3_600_000),
    "save_ms": (100, 3_600_000),
    "routes": (1, 10_000),
}
SCALING: dict[str, tuple[float, float]] = {
    "cores": (0.1, 1_000),
    "fill": (0.05, 1),
    "least": (0, 100_000),
    "most": (1, 100_000),
    "cold_min": (0, 1_440),
    "down_h": (0, 168),
    "valid_min": (1, 10_080),
    "worthy": (0, 1e9),
}
ROUTE_BYTES = 6_000  # of the duty's state, at most, for eight weeks of one
MOST_DAYS = 1_000


def _calendar(one: Section) -> tuple[str, Days]:
    from ..forecasting.zones import zone_of

    one.unknown({"customer", "zone", "days"})
    name, zone = one.get("customer", ""), one.get("zone", "UTC")
    try:
        zone_of(zone)
    except ValueError as exc:
        raise ConfigError(f"{one.key('zone')}: {exc}") from exc
    said = one.section("days")
    days: dict[str, str] = {}
    for kind in said.data:
        listed: list[Any] = said.get(kind, [])
        for day in listed:
            try:
                days[date.fromisoformat(str(day)).isoformat()] = kind
            except ValueError:
                raise ConfigError(f"{said.key(kind)}: expected days as 2026-12-24, got {day!r}") from None
    if len(days) > MOST_DAYS:
        raise ConfigError(f"{one.key('days')}: more than {MOST_DAYS}")
    return name, Days(zone, days)


def read_forecast(section: Section, duties: bool, state_bytes: int) -> Policy:
    """`[forecast]`, read and checked. Raises ConfigError."""
    section.unknown({"on", "calendar", "scaling", *FIGURES})
    d, s = Policy(), Scaling()
    figures: dict[str, Any] = {n: section.between(n, getattr(d, n), *bounds) for n, bounds in FIGURES.items()}
    scaling = section.section("scaling")
    scaling.unknown({"to", *SCALING})
    hints: dict[str, Any] = {n: scaling.between(n, getattr(s, n), *bounds) for n, bounds in SCALING.items()}
    made = Scaling(inside(scaling.address("to"), scaling.key("to")), **hints)
    if made.least > made.most:
        raise ConfigError(f"{scaling.key('least')}: expected at most most, {made.most}")
    listed: list[Any] = section.get("calendar", [])
    calendars: dict[str, Days] = {}
    for i, raw in enumerate(listed):
        one = Section(raw, f"{section.key('calendar')}[{i}]")
        name, days = _calendar(one)
        if name in calendars:
            raise ConfigError(f"{one.key('customer')}: {name!r} has one already")
        calendars[name] = days
    on = section.get("on", False)
    if on and not duties:
        raise ConfigError(f"{section.key('on')}: a forecast is a duty of a fleet: set duties.on")
    if on and figures["routes"] * ROUTE_BYTES > state_bytes:
        raise ConfigError(
            f"{section.key('routes')}: {figures['routes']} of them may take "
            f"{figures['routes'] * ROUTE_BYTES} bytes; duties.state_bytes is {state_bytes}"
        )
    return Policy(on=on, calendars=calendars, scaling=made, **figures)
