"""Time zones by their names."""

from __future__ import annotations

from zoneinfo import ZoneInfo, ZoneInfoNotFoundError


def time_zone(name: str) -> ZoneInfo:
    """Return the time zone of that name in the IANA database.

    :raises ValueError: there is none.
    """
    try:
        return ZoneInfo(name)
    except (ZoneInfoNotFoundError, ValueError, OSError) as error:
        raise ValueError(f"no such time zone: {name!r}") from error
