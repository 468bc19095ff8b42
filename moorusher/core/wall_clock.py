"""Conversion between Unix time and monotonic time, with support for steps of the Unix clock.

Durations are measured on the monotonic clock only. Unix time is used only to read the arrival time that a sender
states, and to forward it to another machine. A step changes the offset between the two clocks for this process, for the
senders, or for both, and a message stamped before a step may be read after it. Former offsets are therefore stored, and
a timestamp that is implausible by the current offset is converted with a former one.
"""

from __future__ import annotations

from moorusher.time_units import MS

# Smaller changes of the offset are drift, or the delay between the reads of the two clocks.
MIN_STEP_US = 50 * MS
MAX_OFFSETS = 8
MAX_TRANSIT_US = 1_000 * MS  # longest time from a sender's timestamp to the arrival of the message here


class WallClock:
    """Offsets of Unix time from the monotonic clock: the current one and former ones. All times are in us.

    Attributes:
        steps: Number of steps of the Unix clock.
    """

    def __init__(self) -> None:
        self._offsets: list[int] = []  # the current one first
        self.steps = 0

    def update(self, now_us: int, unix_us: int) -> None:
        """Update the offset from a simultaneous read of both clocks."""
        offset = unix_us - now_us
        if not self._offsets:
            self._offsets = [offset]
        elif abs(offset - self._offsets[0]) < MIN_STEP_US:
            self._offsets[0] = offset
        else:
            self.steps += 1
            former = [known for known in self._offsets if abs(known - offset) >= MIN_STEP_US]
            self._offsets = [offset, *former][:MAX_OFFSETS]

    def to_unix(self, at_us: int) -> int:
        """Convert a monotonic time to Unix time by the current offset."""
        return at_us + self._offsets[0]

    def from_unix(self, unix_us: int, now_us: int, waited_us: int) -> int:
        """Convert a sender's Unix timestamp to monotonic time.

        :param waited_us: longest time that the message may have waited unread in this process.
        """
        # A timestamp that is implausible by all offsets is converted by the current one.
        max_age_us = waited_us + MAX_TRANSIT_US
        ages_us = [now_us + offset - unix_us for offset in self._offsets]
        # A recent timestamp may seem to be in the future, because timestamps are whole milliseconds.
        if not -MIN_STEP_US <= ages_us[0] <= max_age_us:
            plausible = [age_us for age_us in ages_us[1:] if 0 <= age_us <= max_age_us]
            return now_us - min(plausible, default=ages_us[0])
        return now_us - ages_us[0]
