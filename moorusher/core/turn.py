"""One turn of the event loop: all of its events happen at one time, and the scheduler is asked once at its end."""

from __future__ import annotations

from collections.abc import Callable

from moorusher.scheduling import interface as api

from .clock import Clock


class Turn:
    """The turn that is open, and the events that it has gathered for the scheduler.

    Attributes:
        events: in the order in which they happened.
        on_end: called at the end of the turn.
    """

    __slots__ = ("_clock", "_open", "_call_soon", "events", "on_end")

    def __init__(self, clock: Clock, call_soon: Callable[[Callable[[], None]], None]) -> None:
        """`call_soon` has the event loop call a function once, after what else is ready now has been read."""
        self._clock = clock
        self._call_soon = call_soon
        self._open = False
        self.events: list[api.Event] = []
        self.on_end: Callable[[], None] = lambda: None

    def begin(self) -> None:
        """Something happens. Its first caller in a turn reads the clock and sees to the turn's end."""
        if not self._open:
            self._open = True
            self._clock.read()
            self._call_soon(self.on_end)

    def close(self) -> list[api.Event]:
        """The turn ends. Returns its events, each once."""
        self._open = False
        events = self.events
        self.events = []
        return events
