"""Turns of the event loop. All events of a turn have the same time, and the scheduler is called once at its end."""

from __future__ import annotations

from collections.abc import Callable

from moorusher.scheduling import interface as api

from .clock import Clock


class Turn:
    """The current turn, and the events that it has collected for the scheduler.

    Attributes:
        events: Events in the order in which they occurred.
        on_end: Called at the end of the turn.
    """

    __slots__ = ("_clock", "_open", "_call_soon", "events", "on_end")

    def __init__(self, clock: Clock, call_soon: Callable[[Callable[[], None]], None]) -> None:
        """Create a turn that has not begun.

        :param call_soon: has the event loop call a function once, after all input that is ready has been read.
        """
        self._clock = clock
        self._call_soon = call_soon
        self._open = False
        self.events: list[api.Event] = []
        self.on_end: Callable[[], None] = lambda: None

    def start(self) -> None:
        """Start the turn, unless it has started. Called on each event; reads the clock and schedules the turn's end."""
        if not self._open:
            self._open = True
            self._clock.read()
            self._call_soon(self.on_end)

    def close(self) -> list[api.Event]:
        """End the turn and return its events."""
        self._open = False
        events = self.events
        self.events = []
        return events
