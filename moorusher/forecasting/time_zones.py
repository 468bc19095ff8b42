"""Lookup of time zones by name."""

from __future__ import annotations

from zoneinfo import ZoneInfo, ZoneInfoNotFoundError


def time_zone(name: str) -> ZoneInfo:
    """Return the time zone with that name in the IANA database.

    :raises ValueError: if the time zone does not exist.
    """
    try:
        return ZoneInfo(name)
    except (ZoneInfoNotFoundError, ValueError, OSError) as error:
        raise ValueError(f"no such time zone: {name!r}") from error
