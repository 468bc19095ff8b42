"""Time: whole microseconds on the monotonic clock, read once a turn of the loop.

Unix time (`t0`) and the module's milliseconds are converted here and nowhere else.
"""

from __future__ import annotations

import heapq
import logging
import time
from collections.abc import Callable
from itertools import count

log = logging.getLogger("moorusher")

MS = 1_000
SECOND = 1_000_000


class Clock:
    """`now` stands still within a turn, so that all of its events happen at one time."""

    def __init__(
        self, monotonic_ns: Callable[[], int] = time.monotonic_ns, unix_ns: Callable[[], int] = time.time_ns
    ) -> None:
        self._monotonic, self._unix = monotonic_ns, unix_ns
        self.now = self._zero = self._unix_at_zero = 0
        self.read()
        self._zero = self.now  # the module's clock starts near 0, where floats are finest

    def read(self) -> int:
        self.now = self._monotonic() // 1_000
        # Read anew each turn: the system's Unix clock may be stepped, and `t0` follows it.
        self._unix_at_zero = self._unix() // 1_000 - self.now
        return self.now

    def from_unix_ms(self, unix_ms: float) -> int:
        return round(unix_ms * MS) - self._unix_at_zero

    def to_unix_ms(self, at: int) -> float:
        return (at + self._unix_at_zero) / MS

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
