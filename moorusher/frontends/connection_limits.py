"""The places that a front has for connections, and who gives one up: first what is of no use to anybody.

Clients may open connections by hundreds and say nothing, or ask once and hold on for good. Without this they would
take every place, and front ends would be turned away. Each connection stands in one list at most, oldest first:
`closing`, `silent` (nothing whole has come on it) or `idle` (nothing is open on it); where it stands in none, a
request is open on it. One alarm sees to the oldest.
"""

from __future__ import annotations

from itertools import islice
from typing import Protocol

from ..core.clock import MS, SECOND, Alarm
from ..core.outcomes import EndReason
from ..core.request_engine import RequestEngine

GRACE = 300 * MS  # a connection that is younger, or idle for less, goes only if there is no other
ASKED = 2 * SECOND  # for the other side to close what it was asked to close
CLOSING = 5 * SECOND  # for the other side to read the last of what it was sent
MOST_LOOKED_AT = 32  # of those that could make way for one that comes


class Placed(Protocol):
    """A connection, as its front's table of places needs it."""

    @property
    def reading(self) -> bool: ...  # a message has begun, and its rest may still come
    def leave(self) -> None: ...  # ask the other side to close
    def end(self, ending: EndReason) -> bool: ...  # False where a request had come unread, and it stays
    def cut(self) -> None: ...  # at once, whatever is unsent


class Places:
    """The connections of one front: how many there may be, and when each has to go."""

    def __init__(self, core: RequestEngine, most: int, silence: int, idleness: int) -> None:
        self.core, self.most, self.silence, self.idleness = core, most, silence, idleness
        self.all: set[Placed] = set()
        self._closing: dict[Placed, int] = {}
        self._silent: dict[Placed, int] = {}
        self._idle: dict[Placed, int] = {}
        self._asked: dict[Placed, int] = {}  # idle for long, and asked to close
        self._alarm: Alarm | None = None
        self._due = 0
        self._promised = False  # a place has been made for the connection that is accepted next

    def __len__(self) -> int:
        return len(self.all)

    def idle_after(self, idleness: int) -> None:
        self.idleness = idleness
        self._watch()

    # ---- from the connections ----

    def joined(self, c: Placed) -> None:
        self.all.add(c)
        self._silent[c] = self.core.clock.now
        self._watch()

    def rested(self, c: Placed) -> None:
        """Something whole has come, and nothing is open on it."""
        self.busy(c)
        if c in self.all and c not in self._closing:
            self._idle[c] = self.core.clock.now
            self._watch()

    def asked(self, c: Placed) -> None:
        """It has been asked to close, and may have as long again."""
        self.busy(c)
        self._asked[c] = self.core.clock.now
        self._watch()

    def busy(self, c: Placed) -> None:
        for listed in (self._silent, self._idle, self._asked):
            listed.pop(c, None)

    def closing(self, c: Placed) -> None:
        """Nothing that still comes on it counts; it waits for the other side."""
        self.busy(c)
        self._closing[c] = self.core.clock.now
        self._watch()

    def left(self, c: Placed) -> None:
        self.busy(c)
        self._closing.pop(c, None)
        self.all.discard(c)

    # ---- room ----

    def room(self) -> bool:
        """For one more. Where all places are taken, the longest useless one is given up for it."""
        promised, self._promised = self._promised, False
        return promised or not self.full or self.make_way()

    def promise(self) -> bool:
        """The same for the connection that is accepted next: `room` has it then."""
        self._promised = self._promised or not self.full or self.make_way()
        return self._promised

    @property
    def full(self) -> bool:
        """Whether one more needs the place of another, which has not been made yet."""
        return len(self.all) >= self.most and not self._promised

    def make_way(self) -> bool:
        """The longest useless one is given up. False where each is of use."""
        now = self.core.clock.now
        return (
            self._give_up_one(now - GRACE, mid_message=False)
            or self._cut_one(now - GRACE)
            or self._give_up_one(now - GRACE, mid_message=True)
            or self._give_up_one(now, mid_message=True)
        )

    def _give_up_one(self, since: int, mid_message: bool) -> bool:
        """The longest useless one, of those that have been so since then or before. `mid_message`: also one on which a
        message has begun, as a slow client's has."""
        return any(
            self._give_up_one_of(listed, since, mid_message)
            for listed in (self._asked, self._silent, self._idle)
        )

    @staticmethod
    def _give_up_one_of(listed: dict[Placed, int], since: int, mid_message: bool) -> bool:
        for c in list(islice(listed, MOST_LOOKED_AT)):
            if listed.get(c, since + 1) > since:
                return False
            if (mid_message or not c.reading) and c.end(EndReason.EVICTED_WHILE_IDLE):
                return True
        return False

    def _cut_one(self, since: int) -> bool:
        """One that closes, and had time to take its last answer."""
        c = next(iter(self._closing), None)
        if c is None or self._closing[c] > since:
            return False
        del self._closing[c]
        c.cut()
        return True

    # ---- time ----

    def _watch(self) -> None:
        due = self._next()
        if due is None or (self._alarm is not None and self._due <= due):
            return
        if self._alarm is not None:
            self._alarm.cancel()
        self._due, self._alarm = due, self.core.alarms.at(due, self._ring)

    def _next(self) -> int | None:
        ends = [next(iter(listed.values())) + wait for listed, wait in self._waits() if listed]
        return min(ends, default=None)

    def _waits(self) -> tuple[tuple[dict[Placed, int], int], ...]:
        return (
            (self._silent, self.silence),
            (self._idle, self.idleness),
            (self._asked, ASKED),
            (self._closing, CLOSING),
        )

    def _ring(self) -> None:
        self._alarm = None
        now = self.core.clock.now
        for listed, wait in self._waits():
            while listed and now - listed[c := next(iter(listed))] >= wait:
                if listed is self._closing:
                    del listed[c]
                    c.cut()
                elif listed is self._idle:
                    del listed[c]
                    self._asked[c] = now
                    c.leave()
                else:
                    if c.end(EndReason.READ_TIMEOUT if listed is self._silent else EndReason.IDLE_TIMEOUT):
                        listed.pop(c, None)
        self._watch()
