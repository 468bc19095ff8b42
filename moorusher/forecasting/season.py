"""Hours of a customer's own week: which of its 168 an hour of UTC is, in that customer's zone, and which of its days
are special.

Summer time: an hour that the clocks skip has no place in that week, one that they repeat has the same place twice.
"""

from __future__ import annotations

from datetime import UTC, datetime, timedelta

import numpy as np
import numpy.typing as npt

from .policy import Days
from .zones import zone_of

WEEK = 168  # hours
HOUR_S = 3_600
Ints = npt.NDArray[np.int64]


def hours_of_week(first: int, count: int, zone: str) -> Ints:
    """Of the hours from `first` (since 1970, UTC): Monday 0:00 is 0."""
    local, made = zone_of(zone), np.empty(count, np.int64)
    # Offsets change a few times a year: looked up once a day, and hour by hour on days on which they do.
    start = datetime.fromtimestamp(first * HOUR_S, UTC)
    i = 0
    while i < count:
        n = min(24, count - i)
        a, b = start + timedelta(hours=i), start + timedelta(hours=i + n - 1)
        first_local, last_local = a.astimezone(local), b.astimezone(local)
        if first_local.utcoffset() == last_local.utcoffset():
            at = first_local.weekday() * 24 + first_local.hour
            made[i : i + n] = (at + np.arange(n)) % WEEK
        else:
            for j in range(i, i + n):
                one = (start + timedelta(hours=j)).astimezone(local)
                made[j] = one.weekday() * 24 + one.hour
        i += n
    return made


def kinds_of_days(first: int, count: int, calendar: Days) -> tuple[Ints, list[str]]:
    """For each hour, the number of its day's kind: 0 for an ordinary one; and the kinds by number."""
    kinds = ["", *sorted(set(calendar.days.values()))]
    made = np.zeros(count, np.int64)
    if not calendar.days:
        return made, kinds
    local, start = zone_of(calendar.zone), datetime.fromtimestamp(first * HOUR_S, UTC)
    for i in range(count):
        day = (start + timedelta(hours=i)).astimezone(local).date().isoformat()
        if (kind := calendar.days.get(day)) is not None:
            made[i] = kinds.index(kind)
    return made, kinds
