"""Virtual time: runs events in the order of their times, and advances the clock from one event to the next."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count
from typing import NamedTuple, Protocol


class Schedulable(Protocol):
    """A simulated process that events belong to.

    Attributes:
        alive: Whether the process has not crashed. The events of a crashed process are dropped.
        stopped_until: End of a pause in us. The events of a paused process are deferred until then.
    """

    alive: bool
    stopped_until: int


class ScheduledEvent(NamedTuple):
    """An event in the queue. `sequence` orders events of the same time in the order in which they were scheduled."""

    when_us: int
    sequence: int
    process: Schedulable | None
    action: Callable[[], None]


class VirtualTime:
    """The clock of a simulation, and the queue of its events.

    Attributes:
        now: Time in us since the start of the simulation.
    """

    def __init__(self) -> None:
        self.now = 0
        self._queue: list[ScheduledEvent] = []
        self._sequence = count()

    def at(self, when: int, process: Schedulable | None, action: Callable[[], None]) -> None:
        """Schedule an event.

        :param when: Time in us. A time in the past means now.
        :param process: Process that the event belongs to, or None if it belongs to no process.
        """
        heapq.heappush(
            self._queue, ScheduledEvent(max(when, self.now), next(self._sequence), process, action)
        )

    def run(self, until: int) -> None:
        """Run all events up to a time in us, and set the clock to it."""
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
