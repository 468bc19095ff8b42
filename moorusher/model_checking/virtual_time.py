"""Virtual time: events are run in the order of their times, and the clock jumps from one to the next."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count
from typing import NamedTuple, Protocol


class Schedulable(Protocol):
    """A simulated process that events belong to.

    Attributes:
        alive: `bool`; the events of a process that has crashed are dropped.
        stopped_until: `int`, us; the events of a paused process are deferred until then.
    """

    alive: bool
    stopped_until: int


class ScheduledEvent(NamedTuple):
    """An event in the queue; `sequence` orders those of one time as they were scheduled."""

    when_us: int
    sequence: int
    process: Schedulable | None
    action: Callable[[], None]


class VirtualTime:
    """The clock of a simulation, and the queue of its events.

    Attributes:
        now: `int`, us since the begin of the simulation.
    """

    def __init__(self) -> None:
        self.now = 0
        self._queue: list[ScheduledEvent] = []
        self._sequence = count()

    def at(self, when: int, process: Schedulable | None, action: Callable[[], None]) -> None:
        """Schedule an event.

        :param when: time in us; a time that is over means now.
        :param process: which process it belongs to; None for events outside of all processes.
        """
        heapq.heappush(
            self._queue, ScheduledEvent(max(when, self.now), next(self._sequence), process, action)
        )

    def run(self, until: int) -> None:
        """Run all events up to that time, in us."""
        while self._queue and self._queue[0].when_us <= until:
            event = heapq.heappop(self._queue)
            self.now = max(self.now, event.when_us)
            self._run_event(event)
        self.now = until

    def _run_event(self, event: ScheduledEvent) -> None:
        process = event.process
        if process is not None:
            if not process.alive:
                return
            if process.stopped_until > self.now:
                self.at(process.stopped_until, process, event.action)
                return
        event.action()
