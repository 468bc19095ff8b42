"""The engine's clock and timers. Times are whole microseconds of the monotonic clock, read once per event loop turn.

Conversions from and to Unix time (`t0`) and the scheduler's milliseconds belong here only.
"""

from __future__ import annotations

import heapq
import logging
import time
from collections.abc import Callable
from itertools import count

from moorusher.time_units import MS

from .wall_clock import WallClock

log = logging.getLogger("moorusher")

MAX_READ_GAP_US = 2 * MS  # two clocks read within this time count as read at the same time
MAX_READ_RETRIES = 4  # repeated reads of both clocks, if they are not read at the same time


class Clock:
    """The engine's clock.

    Attributes:
        now: Current time in us, constant within a turn.
        wall: Converts Unix time to and from monotonic time.
    """

    def __init__(
        self, monotonic_ns: Callable[[], int] = time.monotonic_ns, unix_ns: Callable[[], int] = time.time_ns
    ) -> None:
        self._monotonic_ns = monotonic_ns
        self._unix_ns = unix_ns
        self.now = 0
        self.wall = WallClock()
        self.read()
        self._scheduler_zero = self.now  # the scheduler's clock starts near 0, where floats are most precise
        self._since_last_turn_us = 0  # longest time that data read in this turn may have waited unread

    def read(self) -> int:
        """Read both clocks at the beginning of a turn. Returns `now`."""
        before = self.now
        self.now = self._monotonic_ns() // 1_000
        self._since_last_turn_us = self.now - before
        unix_us = self._unix_ns() // 1_000
        # A pause of the process between the two reads would look like a step of the Unix clock. After such a pause,
        # both clocks are read again.
        for _ in range(MAX_READ_RETRIES):
            after = self._monotonic_ns() // 1_000
            if after - self.now < MAX_READ_GAP_US:
                break
            self.now = after
            unix_us = self._unix_ns() // 1_000
        self.wall.update(self.now, unix_us)
        return self.now

    def from_unix_ms(self, unix_ms: float, waited_us: int = 0) -> int:
        """Convert a sender's Unix timestamp to a time of this clock.

        :param waited_us: time since the first byte of the message was read.
        """
        return self.wall.from_unix(round(unix_ms * MS), self.now, self._since_last_turn_us + waited_us)

    def to_unix_ms(self, at_us: int) -> float:
        """Convert a time of this clock to Unix time, for another machine."""
        return self.wall.to_unix(at_us) / MS

    def scheduler_ms(self, at_us: int | None = None) -> float:
        """Convert a time of this clock to the scheduler's clock; None: the current time."""
        return ((self.now if at_us is None else at_us) - self._scheduler_zero) / MS


class Alarm:
    """Handle of a scheduled function call. A cancelled alarm remains in the heap and is skipped."""

    __slots__ = ("action",)

    def __init__(self, action: Callable[[], None]) -> None:
        self.action: Callable[[], None] | None = action

    def cancel(self) -> None:
        """Cancel the call."""
        self.action = None


class Alarms:
    """All scheduled calls of the program, in one heap. One timer of the event loop is set to the earliest of them."""

    def __init__(self, clock: Clock, arm: Callable[[int], None]) -> None:
        """Create an empty heap.

        :param arm: sets the event loop's timer, which must call `run_due`, to a time of the clock in us.
        """
        self._clock = clock
        self._arm = arm
        self._heap: list[tuple[int, int, Alarm]] = []  # (time in us, serial number, alarm)
        self._order = count()
        self._armed: int | None = None  # time that the event loop's timer is set to

    def at(self, when: int, action: Callable[[], None]) -> Alarm:
        """Schedule a call of `action` at a time, in us of the clock."""
        alarm = Alarm(action)
        heapq.heappush(self._heap, (when, next(self._order), alarm))
        self._rearm()
        return alarm

    def _rearm(self) -> None:
        while self._heap and self._heap[0][2].action is None:
            heapq.heappop(self._heap)
        if self._heap and (self._armed is None or self._heap[0][0] < self._armed):
            self._armed = self._heap[0][0]
            self._arm(self._armed)

    def run_due(self) -> None:
        """Call all functions that are due at the time of this turn."""
        self._armed = None
        while self._heap and self._heap[0][0] <= self._clock.now:
            alarm = heapq.heappop(self._heap)[2]
            if alarm.action is not None:
                try:
                    alarm.action()
                except Exception:  # an error in one alarm must not prevent the alarms after it
                    log.exception("alarm callback failed")
        self._rearm()
