"""What a runner is to do: the actions that `Scheduler.step` returns, in the order of their execution.

Times are milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Union


@dataclass(slots=True)
class Start:
    """Run a queued request, or go on with a suspended one."""

    id: int


@dataclass(slots=True)
class Stop:
    """Stop running work (never sent where preemption is off)."""

    id: int


@dataclass(slots=True)
class Reject:
    """Final answer: rejected, with the assurance that it did not run.

    `retry_after_ms`: the pause that is asked for. `final`: no other runner is to be tried.
    """

    id: int
    retry_after_ms: float = 0.0
    final: bool = False


@dataclass(slots=True)
class Fail:
    """Final answer: an error without any assurance."""

    id: int


@dataclass(slots=True)
class StartCall:
    """Make the downstream call that a request waits for; it is given up after `timeout_ms`."""

    id: int
    timeout_ms: float = 0.0


@dataclass(slots=True)
class SkipCall:
    """Go on without the downstream call."""

    id: int


@dataclass(slots=True)
class StoreKey:
    """Enter a request in the table of idempotency keys for `ttl_ms`, so that its repeats are recognised."""

    id: int
    ttl_ms: float


@dataclass(slots=True)
class DropKey:
    """Drop a request's entry from the table of idempotency keys."""

    id: int


@dataclass(slots=True)
class ShareResult:
    """Answer a request with the result of the one that it repeats."""

    id: int


@dataclass(slots=True)
class SetHealth:
    """What health checks are answered; `stored`: from this setting alone, without real work."""

    healthy: bool
    stored: bool = False


@dataclass(slots=True)
class Signal:
    """The value that accompanies every answer; its meaning is `Settings.signal`."""

    value: float


@dataclass(slots=True)
class CloseIdleConnections:
    """Close connections that have been idle for `idle_ms`, now and from now on."""

    idle_ms: float


@dataclass(slots=True)
class SetTimer:
    """Send a `Timer` event after `delay_ms`."""

    delay_ms: float
    token: int = 0


@dataclass(slots=True)
class Log:
    """A line for the log."""

    text: str


Action = Union[
    Start,
    Stop,
    Reject,
    Fail,
    StartCall,
    SkipCall,
    StoreKey,
    DropKey,
    ShareResult,
    SetHealth,
    Signal,
    CloseIdleConnections,
    SetTimer,
    Log,
]
