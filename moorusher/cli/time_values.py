"""Types of options for durations and times, and the text of durations."""

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
    """An option's duration in seconds, written as 90, 90s, 10m, 2h or 1d."""

    name = "span"

    def convert(self, value: Any, param: Any, context: Any) -> float:
        """Return the seconds, or fail with a message that says what is expected."""
        if isinstance(value, float):
            return value
        match = re.fullmatch(r"(\d+(?:\.\d+)?)([smhd]?)", str(value))
        if match is None:
            self.fail(f"expected a span as 90s, 10m, 2h or 1d, got {value!r}", param, context)
        return float(match[1]) * SECONDS_BY_UNIT[match[2]]


class Moment(click.ParamType[float]):
    """An option's time in Unix seconds, written as a local time (2026-12-24T03:00) or a duration from now (+2h)."""

    name = "moment"

    def convert(self, value: Any, param: Any, context: Any) -> float:
        """Return the Unix seconds, or fail with a message that says what is expected."""
        if isinstance(value, float):
            return value
        if str(value).startswith("+"):
            return time.time() + Duration().convert(str(value)[1:], param, context)
        try:
            return datetime.fromisoformat(str(value)).timestamp()
        except ValueError:
            self.fail(f"expected a time as 2026-12-24T03:00, or +2h, got {value!r}", param, context)


def duration_text(seconds: float | None) -> str:
    """Return a duration as text, in seconds, minutes or hours; "?" if it is None."""
    if seconds is None:
        return "?"
    if seconds < 2 * MINUTE_S:
        return f"{seconds:.0f} s"
    if seconds < 2 * HOUR_S:
        return f"{seconds / MINUTE_S:.0f} min"
    return f"{seconds / HOUR_S:.1f} h"
