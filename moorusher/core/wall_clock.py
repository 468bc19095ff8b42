"""Unix time on the monotonic clock, where the Unix clock may be stepped.

Durations are measured on the monotonic clock alone. Unix time is needed only to read when a sender says that a request
arrived, and to pass that on to another machine. A step changes the offset between the two clocks for this process, for
the senders, or for both, and a message stamped before it may be read after it. So former offsets are remembered, and a
time that can't be right by the offset in force is read by a former one.
"""

from __future__ import annotations

from moorusher.time_units import MS

STEP = 50 * MS  # a smaller change is drift, or the moment between two readings
MAX_OFFSETS = 8  # that are remembered
MAX_TRANSIT = 1_000 * MS  # a message may be so long with its sender, or on its way


class WallClock:
    """The offsets of Unix time to the monotonic clock: the one in force, and those before it. All times are in us.

    Attributes:
        steps: how often the Unix clock was stepped.
    """

    def __init__(self) -> None:
        self._offsets: list[int] = []  # the one in force first
        self.steps = 0

    def follow(self, now: int, unix: int) -> None:
        """Both clocks, read at one moment."""
        offset = unix - now
        if not self._offsets:
            self._offsets = [offset]
        elif abs(offset - self._offsets[0]) < STEP:
            self._offsets[0] = offset
        else:
            self.steps += 1
            former = [known for known in self._offsets if abs(known - offset) >= STEP]
            self._offsets = [offset, *former][:MAX_OFFSETS]

    def to_unix(self, at: int) -> int:
        """A monotonic time, by the offset in force."""
        return at + self._offsets[0]

    def from_unix(self, unix: int, now: int, unread: int) -> int:
        """The monotonic time of an event that its sender stamped with this Unix time; after `now` where no offset makes
        sense of it. `unread`: how long the message may have waited here to be read."""
        longest = unread + MAX_TRANSIT
        ages = [now + offset - unix for offset in self._offsets]
        if not -STEP <= ages[0] <= longest:  # stamps are whole milliseconds: a fresh one may seem to be ahead
            plausible = [age for age in ages[1:] if 0 <= age <= longest]
            return now - min(plausible, default=ages[0])
        return now - ages[0]
