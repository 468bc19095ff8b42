"""Downstream calls, at most one at a time for each run, and their timeouts."""

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
    """Parameters of a call for the transport.

    Attributes:
        rid: Id of the request that makes the call.
        class_name: Class of the request.
        tenant: Tenant of the request.
        effect: Effect of the class. It alone determines whether the call may be retried.
        token: Idempotency token of the call, the same in all attempts of the request; None if the request has no key.
            A token alone doesn't permit a retry of the call.
        body: Body of the call.
        timeout_ms: Time after which the call is abandoned.
        route: Route of the call by the rules of the request's customer, for a transport that supports routes.
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
    """Connection to the downstream service.

    Reports the end of each call exactly once through `Execution.call_ended`, unless the call was abandoned.
    """

    def call(self, number: int, request: CallRequest) -> None:
        """Make the call of the request with this number."""

    def give_up(self, number: int) -> None:
        """Abandon a call. Its end is not reported."""


class NoCallTransport:
    """Transport of a runner without a downstream service."""

    def call(self, number: int, request: CallRequest) -> None:
        """Raise ValueError: no class may make calls."""
        raise ValueError("a run requested a downstream call, but no downstream address is configured")

    def give_up(self, number: int) -> None:
        """Do nothing, as there are no calls."""
        return None


@dataclass(slots=True)
class _OpenCall:
    """The start time of a call in flight, and the alarm of its timeout."""

    since_us: int
    timeout: Alarm


class OpenCalls:
    """Calls in flight, by the number of their request."""

    def __init__(self, transport: CallTransport, clock: Clock, alarms: Alarms) -> None:
        self._transport = transport
        self._clock = clock
        self._alarms = alarms
        self._open: dict[int, _OpenCall] = {}

    def __len__(self) -> int:
        return len(self._open)

    def make(self, number: int, request: CallRequest, timed_out: Callable[[], None]) -> None:
        """Make a call, after abandoning an open call of the same request.

        :param timed_out: called at the timeout of the new call.
        """
        self.drop(number)
        alarm = self._alarms.at(self._clock.now + request.timeout_ms * MS, timed_out)
        self._open[number] = _OpenCall(self._clock.now, alarm)
        self._transport.call(number, request)

    def end(self, number: int, reason: EndReason) -> float | None:
        """Remove a call that has ended. Returns its duration in ms, or None if it was removed before."""
        call = self._open.pop(number, None)
        if call is None:
            return None
        call.timeout.cancel()
        if reason is EndReason.CALL_TIMED_OUT:
            self._transport.give_up(number)
        return (self._clock.now - call.since_us) / MS

    def drop(self, number: int) -> None:
        """Abandon a call, if it is open."""
        self.end(number, EndReason.CALL_TIMED_OUT)
