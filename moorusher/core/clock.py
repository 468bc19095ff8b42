"""Time: whole microseconds of the monotonic clock, read once a turn of the event loop.

Unix time (`t0`) and the scheduler's milliseconds are converted here and nowhere else.
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

SAME_MOMENT = 2 * MS  # two clocks that are read within it count as read at once
MAX_READINGS = 4  # of both clocks, until they are read at one moment


class Clock:
    """The engine's clock.

    Attributes:
        now: in us; it stands still within a turn, so that all of its events happen at one time.
        wall: Unix time on the monotonic clock.
    """

    def __init__(
        self, monotonic_ns: Callable[[], int] = time.monotonic_ns, unix_ns: Callable[[], int] = time.time_ns
    ) -> None:
        self._monotonic_ns = monotonic_ns
        self._unix_ns = unix_ns
        self.now = 0
        self.wall = WallClock()
        self.read()
        self._scheduler_zero = self.now  # the scheduler's clock starts near 0, where floats are finest
        self._turn_gap = 0  # us since the turn before: what is read now has not waited for longer

    def read(self) -> int:
        """Read both clocks, at the beginning of a turn. Returns `now`."""
        before = self.now
        self.now = self._monotonic_ns() // 1_000
        self._turn_gap = self.now - before
        unix = self._unix_ns() // 1_000
        # A process that is paused between the two readings would see a step of the Unix clock that there was not.
        for _ in range(MAX_READINGS):
            after = self._monotonic_ns() // 1_000
            if after - self.now < SAME_MOMENT:
                break
            self.now = after
            unix = self._unix_ns() // 1_000
        self.wall.follow(self.now, unix)
        return self.now

    def from_unix_ms(self, unix_ms: float, waited_us: int = 0) -> int:
        """When a message was made, by the Unix time that its sender states. `waited_us`: how long ago its first byte
        was read."""
        return self.wall.from_unix(round(unix_ms * MS), self.now, self._turn_gap + waited_us)

    def to_unix_ms(self, at_us: int) -> float:
        """A time of this clock, for another machine."""
        return self.wall.to_unix(at_us) / MS

    def scheduler_ms(self, at_us: int | None = None) -> float:
        """A time of this clock as the scheduler counts it; None: now."""
        return ((self.now if at_us is None else at_us) - self._scheduler_zero) / MS


class Alarm:
    """A function to be called at a time. Cancelled alarms stay in the heap, and are skipped."""

    __slots__ = ("action",)

    def __init__(self, action: Callable[[], None]) -> None:
        self.action: Callable[[], None] | None = action

    def cancel(self) -> None:
        """The function is not called any more."""
        self.action = None


class Alarms:
    """All waits of the program in one heap, with one timer of the event loop for the earliest of them."""

    def __init__(self, clock: Clock, arm: Callable[[int], None]) -> None:
        """`arm` sets the event loop's timer, which then has `ring` called, to a time of the clock."""
        self._clock = clock
        self._arm = arm
        self._heap: list[tuple[int, int, Alarm]] = []  # (time in us, serial number, alarm)
        self._order = count()
        self._armed: int | None = None  # the time that the timer is set to

    def at(self, when: int, action: Callable[[], None]) -> Alarm:
        """Have a function called at a time of the clock, in us."""
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

    def ring(self) -> None:
        """Call what is due by the clock of this turn."""
        self._armed = None
        while self._heap and self._heap[0][0] <= self._clock.now:
            alarm = heapq.heappop(self._heap)[2]
            if alarm.action is not None:
                try:
                    alarm.action()
                except Exception:  # one alarm's fault must not keep all later ones from ringing
                    log.exception("an alarm failed")
        self._rearm()
