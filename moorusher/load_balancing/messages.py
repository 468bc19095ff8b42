"""Events that the state machine of `load_balancer` takes, and instructions that it returns.

Times are whole microseconds of one monotonic clock; `now` is the time of the event.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Union

from moorusher.scheduling.interface import Effect
from moorusher.scheduling.retry_policy import Evidence

UNLIMITED_ATTEMPTS = 1 << 30  # leaves only the retry budget and the deadline as limits
NO_ATTEMPT = 0  # attempt id of a call that was rejected without an attempt; real ids begin at 1


class AttemptOutcome(Enum):
    """How an attempt ended. `backends/server_pool.py` maps the ends of connections and responses to it."""

    ANSWERED = "answered"
    REJECTED = "rejected"  # did not run: the endpoint rejected it
    NOT_CONNECTED = "not connected"  # did not run: no connection was made
    FAILED = "failed"  # may have run
    NOT_AWAITED = "not awaited"  # the kernel's run that made the call has ended; not a fault of the endpoint
    CANCELLED = "cancelled"  # cancelled by this runner

    @property
    def evidence(self) -> Evidence:
        """Evidence that the outcome gives on whether the attempt ran."""
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
    """A request makes a call. An open call of the same request is cancelled first."""

    now: int
    call_id: int  # number of the request
    effect: Effect
    deadline: int
    max_attempts: int = UNLIMITED_ATTEMPTS  # includes hedged attempts


@dataclass(slots=True, frozen=True)
class CallCancelled:
    """The call's answer is no longer needed."""

    now: int
    call_id: int


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt has ended; ignored if it was cancelled before."""

    now: int
    attempt_id: int
    outcome: AttemptOutcome


@dataclass(slots=True, frozen=True)
class TimerFired:
    """The time that `next_timer` returned has been reached."""

    now: int


@dataclass(slots=True, frozen=True)
class EndpointRemoved:
    """An operator removes an endpoint at once: its attempts are cancelled, and retried if a retry is allowed."""

    now: int
    name: str


@dataclass(slots=True, frozen=True)
class MembershipChanged:
    """Endpoints were added, drained or retired: waiting calls are sent to those that remain, or end without any."""

    now: int


Event = Union[CallStarted, CallCancelled, AttemptEnded, TimerFired, EndpointRemoved, MembershipChanged]


# ---- instructions ----


@dataclass(slots=True, frozen=True)
class SendAttempt:
    """Send an attempt of a call to the named endpoint; `timeout_us` is the time until the call's deadline."""

    call_id: int
    attempt_id: int
    endpoint: str
    timeout_us: int


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Cancel an attempt; no AttemptEnded is expected for it."""

    attempt_id: int


@dataclass(slots=True, frozen=True)
class CompleteCall:
    """The call has ended with the outcome of attempt `attempt_id`; NO_ATTEMPT if it was rejected without one."""

    call_id: int
    attempt_id: int
    outcome: AttemptOutcome


Instruction = Union[SendAttempt, CancelAttempt, CompleteCall]
