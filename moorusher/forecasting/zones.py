"""Time zones by their names."""

from __future__ import annotations

from zoneinfo import ZoneInfo, ZoneInfoNotFoundError


def zone_of(name: str) -> ZoneInfo:
    """Raises ValueError where there is none of that name."""
    try:
        return ZoneInfo(name)
    except (ZoneInfoNotFoundError, ValueError, OSError) as exc:
        raise ValueError(f"no such time zone: {name!r}") from exc
