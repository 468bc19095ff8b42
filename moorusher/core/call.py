"""Calls below: one for each run that waits, given up when its time is over."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Protocol

from moorusher.scheduling.interface import Effect

from .clock import MS, Alarm, Alarms, Clock
from .outcomes import Ending


@dataclass(slots=True, frozen=True)
class Asked:
    """A call as the links need it. A keyed request's calls carry keys too, the same for all of its tries."""

    rid: str
    klass: str
    tenant: str | None
    effect: Effect  # of the request's class: it alone says what may be repeated
    token: str | None  # tells tries of one keyed request apart from others; no sign of what may be repeated
    body: bytes
    timeout_ms: int
    way: Any = None  # of its customer's rules, for the link that knows them


class Calls(Protocol):
    """A link to what lies below. It reports each call's end once, through `Decider.call_over`."""

    def call(self, number: int, asked: Asked) -> None: ...
    def give_up(self, number: int) -> None: ...


class NoCalls:
    """The last tier has nothing below it."""

    def call(self, number: int, asked: Asked) -> None:
        raise ValueError("a call was to be made, and no address for calls is configured")

    def give_up(self, number: int) -> None:
        return None


@dataclass(slots=True)
class _Open:
    since: int
    alarm: Alarm


class OpenCalls:
    """The calls that are out, at most one for each run, with their time limits."""

    def __init__(self, calls: Calls, clock: Clock, alarms: Alarms) -> None:
        self._calls, self._clock, self._alarms = calls, clock, alarms
        self._open: dict[int, _Open] = {}

    def __len__(self) -> int:
        return len(self._open)

    def make(self, number: int, asked: Asked, timed_out: _TimedOut) -> None:
        self.drop(number)  # a second call for a request ends the first
        until = self._clock.now + asked.timeout_ms * MS
        alarm = self._alarms.at(until, lambda: timed_out.call_over(number, Ending.CALL_GIVEN_UP, b""))
        self._open[number] = _Open(self._clock.now, alarm)
        self._calls.call(number, asked)

    def end(self, number: int, ending: Ending) -> float | None:
        """How long the call took in ms; None where it was over already."""
        if (call := self._open.pop(number, None)) is None:
            return None
        call.alarm.cancel()
        if ending is Ending.CALL_GIVEN_UP:
            self._calls.give_up(number)
        return (self._clock.now - call.since) / MS

    def drop(self, number: int) -> None:
        """Nobody needs the call any more."""
        self.end(number, Ending.CALL_GIVEN_UP)


class _TimedOut(Protocol):
    def call_over(self, number: int, ending: Ending, body: bytes) -> None: ...
