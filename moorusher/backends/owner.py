"""Interface of the owner of a downstream backend: the request engine or the server pool."""

from __future__ import annotations

from typing import Protocol

from ..core.clock import Alarms, Clock
from ..core.counters import Counters
from ..core.outcomes import EndReason


class CallListener(Protocol):
    """Is notified when a call ends."""

    def call_ended(self, number: int, reason: EndReason, body: bytes) -> None:
        """Called when call `number` has ended; `body` is the reply, empty if there is none."""


class BackendOwner(Protocol):
    """The owner of a backend."""

    @property
    def clock(self) -> Clock:
        """The time of the current turn, in microseconds."""

    @property
    def alarms(self) -> Alarms:
        """Timers on that clock."""

    @property
    def counters(self) -> Counters:
        """Counters that are shown to operators."""

    @property
    def execution(self) -> CallListener:
        """The listener that the backend notifies when a call ends."""

    def start_turn(self) -> None:
        """Update the time. Must be called when input arrives."""
