"""Weekly seasonality: the hours of a week in the customer's time zone, and the special days of its calendar.

With daylight saving time, an hour that the clocks skip is missing in that week, and an hour that they repeat occurs
twice.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import UTC, datetime, timedelta, tzinfo

import numpy as np

from .arrays import Floats, Ints
from .policy import Calendar
from .time_units import HOURS_PER_DAY, HOURS_PER_WEEK, SECONDS_PER_HOUR
from .time_zones import time_zone

ORDINARY_DAY = 0  # Index of the type of days that are not in the calendar.


@dataclass(frozen=True, slots=True)
class DayTypes:
    """Types of the days in a range of hours.

    Attributes:
        names: Names of the types by index; "" at `ORDINARY_DAY`.
        by_hour: Index of the day's type, for each hour.
    """

    names: tuple[str, ...]
    by_hour: Ints


def hours_of_week(first_hour: int, count: int, zone_name: str) -> Ints:
    """Return the hour of the week for consecutive hours: 0 to 167 from Monday 0:00 in the time zone.

    :param first_hour: Hours since 1970, UTC.
    :raises ValueError: if the time zone does not exist.
    """
    zone = time_zone(zone_name)
    hours = np.empty(count, np.int64)
    start = _start_of(first_hour)
    for offset in range(0, count, HOURS_PER_DAY):
        length = min(HOURS_PER_DAY, count - offset)
        hours[offset : offset + length] = _hours_of_day(start + timedelta(hours=offset), length, zone)
    return hours


def _hours_of_day(start: datetime, length: int, zone: tzinfo) -> Ints:
    """Return the hours of the week for at most a day from `start` on.

    Each hour is converted separately only if the offset from UTC changes within the day.
    """
    first = start.astimezone(zone)
    last = (start + timedelta(hours=length - 1)).astimezone(zone)
    if first.utcoffset() == last.utcoffset():
        return np.asarray((_hour_of_week(first) + np.arange(length)) % HOURS_PER_WEEK)
    return np.array(
        [_hour_of_week((start + timedelta(hours=index)).astimezone(zone)) for index in range(length)],
        np.int64,
    )


def _hour_of_week(local: datetime) -> int:
    return local.weekday() * HOURS_PER_DAY + local.hour


def _start_of(hour: int) -> datetime:
    return datetime.fromtimestamp(hour * SECONDS_PER_HOUR, UTC)


def day_types(first_hour: int, count: int, calendar: Calendar) -> DayTypes:
    """Return the types of the days of consecutive hours; days begin at midnight in the customer's time zone.

    :param first_hour: Hours since 1970, UTC.
    """
    names = ("", *sorted(set(calendar.day_types.values())))
    by_hour = np.full(count, ORDINARY_DAY, np.int64)
    if not calendar.day_types:
        return DayTypes(names, by_hour)
    zone = time_zone(calendar.time_zone)
    start = _start_of(first_hour)
    for index in range(count):
        date = (start + timedelta(hours=index)).astimezone(zone).date().isoformat()
        if (name := calendar.day_types.get(date)) is not None:
            by_hour[index] = names.index(name)
    return DayTypes(names, by_hour)


def weeks_before_end(hours: int) -> Ints:
    """Return for each hour of a history the number of whole weeks from it to the end of the history."""
    return np.asarray((hours - 1 - np.arange(hours)) // HOURS_PER_WEEK)


def by_week(history: Floats, hour_of_week: Ints) -> Floats:
    """Return a history, (routes, hours), by week, (routes, weeks, 168), newest week last; NaN for missing hours.

    If the clocks repeat an hour, the later one is used; an hour that they skip is NaN.
    """
    routes, hours = history.shape
    weeks = -(-hours // HOURS_PER_WEEK)
    folded = np.full((routes, weeks, HOURS_PER_WEEK), np.nan)
    folded[:, weeks - 1 - weeks_before_end(hours), hour_of_week] = history
    return folded
