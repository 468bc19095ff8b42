"""Time: whole microseconds on the monotonic clock, read once a turn of the loop.

Unix time (`t0`) and the module's milliseconds are converted here and nowhere else.
"""

from __future__ import annotations

import heapq
import logging
import time
from collections.abc import Callable
from itertools import count

from .wall_clock import WallClock

log = logging.getLogger("moorusher")

MS = 1_000
SECOND = 1_000_000
TOGETHER = 2 * MS  # two readings of clocks count as one moment
READINGS = 4


class Clock:
    """`now` stands still within a turn, so that all of its events happen at one time."""

    def __init__(
        self, monotonic_ns: Callable[[], int] = time.monotonic_ns, unix_ns: Callable[[], int] = time.time_ns
    ) -> None:
        self._monotonic, self._unix = monotonic_ns, unix_ns
        self.now = self._zero = 0
        self._gap = 0  # since the turn before: what is read now has not waited for longer
        self.wall = WallClock()
        self.read()
        self._zero = self.now  # the module's clock starts near 0, where floats are finest
        self._gap = 0

    def read(self) -> int:
        """Both clocks, at the beginning of a turn."""
        before, self.now = self.now, self._monotonic() // 1_000
        self._gap = self.now - before
        unix = self._unix() // 1_000
        # A process that was held up between the two has read a step that there was not.
        for _ in range(READINGS):
            if (after := self._monotonic() // 1_000) - self.now < TOGETHER:
                break
            self.now, unix = after, self._unix() // 1_000
        self.wall.follow(self.now, unix)
        return self.now

    def stamped(self, unix_ms: float, waited: int = 0) -> int:
        """When a sender's message was made, by the Unix time that it states. `waited`: how long ago its first byte was
        read."""
        return self.wall.stamped(round(unix_ms * MS), self.now, self._gap + waited)

    def to_unix_ms(self, at: int) -> float:
        """For another machine."""
        return self.wall.to_unix(at) / MS

    def module_ms(self, at: int | None = None) -> float:
        return ((self.now if at is None else at) - self._zero) / MS


class Alarm:
    """One thing to do at a time; `cancel` leaves a husk that is skipped."""

    __slots__ = ("action",)

    def __init__(self, action: Callable[[], None]) -> None:
        self.action: Callable[[], None] | None = action

    def cancel(self) -> None:
        self.action = None


class Alarms:
    """All waits of the program in one heap, with one timer of the loop for the earliest of them."""

    def __init__(self, clock: Clock, arm: Callable[[int], None]) -> None:
        self._clock, self._arm = clock, arm
        self._heap: list[tuple[int, int, Alarm]] = []
        self._order = count()
        self._armed: int | None = None

    def at(self, when: int, action: Callable[[], None]) -> Alarm:
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
        """Carry out what is due by the clock of this turn."""
        self._armed = None
        while self._heap and self._heap[0][0] <= self._clock.now:
            alarm = heapq.heappop(self._heap)[2]
            if alarm.action is not None:
                try:
                    alarm.action()
                except Exception:  # one alarm's fault must not keep all later ones from ringing
                    log.exception("an alarm failed")
        self._rearm()
