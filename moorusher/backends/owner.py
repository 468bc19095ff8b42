"""What a backend for downstream calls needs of whoever owns it: the request engine, or the server pool."""

from __future__ import annotations

from typing import Protocol

from ..core.clock import Alarms, Clock
from ..core.counters import Counters
from ..core.outcomes import EndReason


class CallListener(Protocol):
    """Takes the ends of calls."""

    def call_ended(self, number: int, reason: EndReason, body: bytes) -> None:
        """The call of this number has ended; `body` is the reply, empty without one."""


class BackendOwner(Protocol):
    """The owner of a backend.

    clock, alarms: the time as of the present turn (us), and timers on it.
    counters: for operators.
    execution: takes the ends of calls.
    """

    @property
    def clock(self) -> Clock:
        """The clock of the present turn."""

    @property
    def alarms(self) -> Alarms:
        """Timers on that clock."""

    @property
    def counters(self) -> Counters:
        """Counters for operators."""

    @property
    def execution(self) -> CallListener:
        """Takes the ends of calls."""

    def begin_turn(self) -> None:
        """Read the time anew: something has come from outside."""
