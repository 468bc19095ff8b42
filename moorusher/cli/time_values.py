"""Durations and times as options have them, and durations as text."""

from __future__ import annotations

import re
import time
from datetime import datetime
from typing import Any

import click

SECONDS_BY_UNIT = {"": 1.0, "s": 1.0, "m": 60.0, "h": 3_600.0, "d": 86_400.0}
MINUTE_S = 60
HOUR_S = 3_600


class Duration(click.ParamType[float]):
    """Seconds, from 90, 90s, 10m, 2h or 1d."""

    name = "span"

    def convert(self, value: Any, param: Any, context: Any) -> float:
        """Return the seconds; `context` fails with the text of what is expected."""
        if isinstance(value, float):
            return value
        found = re.fullmatch(r"(\d+(?:\.\d+)?)([smhd]?)", str(value))
        if found is None:
            self.fail(f"expected a span as 90s, 10m, 2h or 1d, got {value!r}", param, context)
        return float(found[1]) * SECONDS_BY_UNIT[found[2]]


class Moment(click.ParamType[float]):
    """Unix seconds, from a local time as 2026-12-24T03:00, or a duration from now as +2h."""

    name = "moment"

    def convert(self, value: Any, param: Any, context: Any) -> float:
        """Return the Unix seconds; `context` fails with the text of what is expected."""
        if isinstance(value, float):
            return value
        if str(value).startswith("+"):
            return time.time() + Duration().convert(str(value)[1:], param, context)
        try:
            return datetime.fromisoformat(str(value)).timestamp()
        except ValueError:
            self.fail(f"expected a time as 2026-12-24T03:00, or +2h, got {value!r}", param, context)


def duration_text(seconds: float | None) -> str:
    """Return a duration in the unit that suits it; "?" where it is not known."""
    if seconds is None:
        return "?"
    if seconds < 2 * MINUTE_S:
        return f"{seconds:.0f} s"
    if seconds < 2 * HOUR_S:
        return f"{seconds / MINUTE_S:.0f} min"
    return f"{seconds / HOUR_S:.1f} h"
