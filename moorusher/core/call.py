"""Downstream calls: at most one for each run, timed out when its time is over."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from moorusher.scheduling.interface import Effect
from moorusher.time_units import MS

from .clock import Alarm, Alarms, Clock
from .outcomes import EndReason


@dataclass(slots=True, frozen=True)
class CallRequest:
    """A call as a transport needs it.

    Attributes:
        rid: the id of the request that makes it.
        class_name: the class of that request.
        effect: of that class: it alone says whether the call may be repeated.
        token: the same for all attempts of one request with an idempotency key, None for others. It is no sign that the
            call may be repeated.
        route: by the rules of the request's customer, for a transport that knows them.
    """

    rid: str
    class_name: str
    tenant: str | None
    effect: Effect
    token: str | None
    body: bytes
    timeout_ms: int
    route: Any = None


class CallTransport(Protocol):
    """A connection to what lies downstream. It reports each call's end once, through `Execution.call_ended`."""

    def call(self, number: int, request: CallRequest) -> None:
        """Make the call of the request with this number."""

    def give_up(self, number: int) -> None:
        """Nobody waits for that call any more: its end is not reported."""


class NoCallTransport:
    """For a runner without anything downstream."""

    def call(self, number: int, request: CallRequest) -> None:
        """Raises ValueError: no class may call here."""
        raise ValueError("a call was to be made, and no address for calls is configured")

    def give_up(self, number: int) -> None:
        """There is no call."""
        return None


@dataclass(slots=True)
class _OpenCall:
    since_us: int
    timeout: Alarm


class OpenCalls:
    """The calls that are in flight, by the number of their request."""

    def __init__(self, transport: CallTransport, clock: Clock, alarms: Alarms) -> None:
        self._transport = transport
        self._clock = clock
        self._alarms = alarms
        self._open: dict[int, _OpenCall] = {}

    def __len__(self) -> int:
        return len(self._open)

    def make(self, number: int, request: CallRequest, timed_out: Callable[[], None]) -> None:
        """Make a call; `timed_out` is called if it is still open after its time. Ends an earlier one of the request."""
        self.drop(number)
        alarm = self._alarms.at(self._clock.now + request.timeout_ms * MS, timed_out)
        self._open[number] = _OpenCall(self._clock.now, alarm)
        self._transport.call(number, request)

    def end(self, number: int, reason: EndReason) -> float | None:
        """The call has ended. Returns how long it took in ms, None where it was over already."""
        call = self._open.pop(number, None)
        if call is None:
            return None
        call.timeout.cancel()
        if reason is EndReason.CALL_TIMED_OUT:
            self._transport.give_up(number)
        return (self._clock.now - call.since_us) / MS

    def drop(self, number: int) -> None:
        """Nobody needs the call any more."""
        self.end(number, EndReason.CALL_TIMED_OUT)
