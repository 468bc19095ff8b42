"""Actions that `Scheduler.step` returns and the runner executes in order. Times are milliseconds."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Union


@dataclass(slots=True)
class Start:
    """Run a queued request."""

    id: int


@dataclass(slots=True)
class Stop:
    """Stop a running request. Never sent if preemption is off."""

    id: int


@dataclass(slots=True)
class Reject:
    """Reject a request as its final answer, with the guarantee that it did not run.

    Attributes:
        id: Number of the request.
        retry_after_ms: Pause that the caller is asked to make before a retry.
        final: Whether the caller must not try another runner.
    """

    id: int
    retry_after_ms: float = 0.0
    final: bool = False


@dataclass(slots=True)
class Fail:
    """Fail a request as its final answer. It may or may not have run."""

    id: int


@dataclass(slots=True)
class StartCall:
    """Send the downstream call that a request waits for, with a timeout of `timeout_ms`."""

    id: int
    timeout_ms: float = 0.0


@dataclass(slots=True)
class SkipCall:
    """Resume a request without its downstream call."""

    id: int


@dataclass(slots=True)
class StoreKey:
    """Store a request in the table of idempotency keys for `ttl_ms`, so that its repeats are recognized."""

    id: int
    ttl_ms: float


@dataclass(slots=True)
class DropKey:
    """Remove a request's entry from the table of idempotency keys."""

    id: int


@dataclass(slots=True)
class ShareResult:
    """Answer a request with the result of the request that it repeats."""

    id: int


@dataclass(slots=True)
class SetHealth:
    """Set the answer to health checks.

    Attributes:
        healthy: Whether health checks succeed.
        stored: Whether they are answered from this value alone, without real work.
    """

    healthy: bool
    stored: bool = False


@dataclass(slots=True)
class Signal:
    """Set the value that is sent along with every answer. `Settings.signal` defines its meaning."""

    value: float


@dataclass(slots=True)
class CloseIdleConnections:
    """Close connections that are idle for `idle_ms`, from now on and until the next action of this kind."""

    idle_ms: float


@dataclass(slots=True)
class SetTimer:
    """Send a `Timer` event after `delay_ms`."""

    delay_ms: float
    token: int = 0


@dataclass(slots=True)
class Log:
    """Write a line to the log."""

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
