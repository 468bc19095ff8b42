"""The weekly season: the hours of a week in the customer's time zone, and the special days of its calendar.

Daylight saving time: an hour that the clocks skip does not occur in that week, one that they repeat occurs twice.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import UTC, datetime, timedelta, tzinfo

import numpy as np

from .arrays import Floats, Ints
from .policy import Calendar
from .time_units import HOURS_PER_DAY, HOURS_PER_WEEK, SECONDS_PER_HOUR
from .time_zones import time_zone

ORDINARY_DAY = 0  # index of the type of a day that is not in the calendar


@dataclass(frozen=True, slots=True)
class DayTypes:
    """The types of days in a range of hours.

    names: of the types by their index; "" at `ORDINARY_DAY`.
    by_hour: for each hour, the index of its day's type.
    """

    names: tuple[str, ...]
    by_hour: Ints


def hours_of_week(first_hour: int, count: int, zone_name: str) -> Ints:
    """Return the hour of the week, 0 to 167 from Monday 0:00 in that time zone, of consecutive hours.

    :param first_hour: hours since 1970, UTC.
    :raises ValueError: there is no such time zone.
    """
    zone = time_zone(zone_name)
    hours = np.empty(count, np.int64)
    start = _start_of(first_hour)
    for done in range(0, count, HOURS_PER_DAY):
        length = min(HOURS_PER_DAY, count - done)
        hours[done : done + length] = _hours_of_day(start + timedelta(hours=done), length, zone)
    return hours


def _hours_of_day(start: datetime, length: int, zone: tzinfo) -> Ints:
    """At most a day from `start` on: looked up hour by hour only if the offset from UTC changes within it."""
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
    """Return the types of the days in which consecutive hours lie, by the customer's midnight.

    :param first_hour: hours since 1970, UTC.
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
    """Return for each hour of a history how many whole weeks before its end it lies."""
    return np.asarray((hours - 1 - np.arange(hours)) // HOURS_PER_WEEK)


def by_week(history: Floats, hour_of_week: Ints) -> Floats:
    """Return a history of (routes, hours) as (routes, weeks, 168), the newest week last; NaN where there is none.

    Of an hour that the clocks repeat, the later one counts; one that they skip is NaN.
    """
    routes, hours = history.shape
    weeks = -(-hours // HOURS_PER_WEEK)
    folded = np.full((routes, weeks, HOURS_PER_WEEK), np.nan)
    folded[:, weeks - 1 - weeks_before_end(hours), hour_of_week] = history
    return folded
