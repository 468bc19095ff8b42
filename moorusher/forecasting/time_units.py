"""Time units of the package. Imports no numpy, so that all members can import it."""

from __future__ import annotations

SECONDS_PER_HOUR = 3_600
MINUTES_PER_HOUR = 60
HOURS_PER_DAY = 24
DAYS_PER_WEEK = 7
HOURS_PER_WEEK = 168
MS_PER_MINUTE = 60_000
US_PER_SECOND = 1e6
