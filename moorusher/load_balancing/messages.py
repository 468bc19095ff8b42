"""What goes into and comes out of the state machine of `load_balancer`: events in, instructions out.

Times are whole microseconds of one monotonic clock; `now` is when the event happened.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Union

from moorusher.scheduling.interface import Effect
from moorusher.scheduling.retry_policy import Evidence

UNLIMITED_ATTEMPTS = 1 << 30  # only the retry budget and the deadline bound a call's attempts
NO_ATTEMPT = 0  # in place of an attempt's id; ids begin at 1


class AttemptOutcome(Enum):
    """How an attempt ended. `backends/server_pool.py` maps the endings on the wire to it."""

    ANSWERED = "answered"
    REJECTED = "rejected"  # it never ran: the endpoint said so
    NOT_CONNECTED = "not connected"  # it never ran: there was no connection
    FAILED = "failed"  # it may have run
    NOT_AWAITED = "not awaited"  # the run below that it belonged to is over; the endpoint is not to blame
    CANCELLED = "cancelled"  # by us

    @property
    def evidence(self) -> Evidence:
        """What the outcome proves of whether the attempt ran."""
        return _EVIDENCE[self]


_EVIDENCE = {
    AttemptOutcome.ANSWERED: Evidence.SUCCEEDED,
    AttemptOutcome.REJECTED: Evidence.REJECTED,
    AttemptOutcome.NOT_CONNECTED: Evidence.NOT_CONNECTED,
    AttemptOutcome.FAILED: Evidence.FAILED,
    AttemptOutcome.NOT_AWAITED: Evidence.NOT_AWAITED,
    AttemptOutcome.CANCELLED: Evidence.ABANDONED,
}


# ---- events ----


@dataclass(slots=True, frozen=True)
class CallStarted:
    """A request makes a call. One that the same request still has is cancelled first."""

    now: int
    call_id: int  # the request's number
    effect: Effect
    deadline: int
    max_attempts: int = UNLIMITED_ATTEMPTS  # hedged ones included


@dataclass(slots=True, frozen=True)
class CallCancelled:
    """Nobody needs the call's answer any more."""

    now: int
    call_id: int


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt that was sent has ended; one that was cancelled before is ignored."""

    now: int
    attempt_id: int
    outcome: AttemptOutcome


@dataclass(slots=True, frozen=True)
class TimerFired:
    """The time that `next_timer` named has come."""

    now: int


@dataclass(slots=True, frozen=True)
class EndpointRemoved:
    """An operator removes an endpoint at once: its attempts are cancelled, and retried where they may be."""

    now: int
    name: str


Event = Union[CallStarted, CallCancelled, AttemptEnded, TimerFired, EndpointRemoved]


# ---- instructions ----


@dataclass(slots=True, frozen=True)
class SendAttempt:
    """Send attempt `attempt_id` of call `call_id` to the endpoint, with `timeout_us` until its deadline."""

    call_id: int
    attempt_id: int
    endpoint: str
    timeout_us: int


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Cancel an attempt; its end need not be reported."""

    attempt_id: int


@dataclass(slots=True, frozen=True)
class CompleteCall:
    """The call has ended as attempt `attempt_id` did; NO_ATTEMPT where it was rejected without one."""

    call_id: int
    attempt_id: int
    outcome: AttemptOutcome


Instruction = Union[SendAttempt, CancelAttempt, CompleteCall]
