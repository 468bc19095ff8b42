"""What is seen of a runner at one moment. Whoever owns the runner fills it in; nothing here asks for anything."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Maintenance:
    """Set by an operator.

    Attributes:
        expires_us: when it ends by itself; None where it does not.
    """

    reason: str
    since_us: int
    expires_us: int | None = None

    def has_expired(self, now: int) -> bool:
        """It has ended by itself."""
        return self.expires_us is not None and now >= self.expires_us


@dataclass(frozen=True, slots=True)
class KernelGauges:
    """What the kernel tells of its machine; None where it does not tell.

    Attributes:
        read_at_us: when it told.
        busy: the busy share of the cores, 0 to 1.
        runnable: how many threads want a core.
        memory: the used share of the memory.
    """

    read_at_us: int
    busy: float | None = None
    runnable: float | None = None
    memory: float | None = None


@dataclass(frozen=True, slots=True)
class Observation:
    """A runner at the time `now`.

    Attributes:
        kernel_up: the kernel has been heard since the start, whatever its connection does now.
        speed: share of full speed, 0 to 1; 1 once it is warm.
        speed_known: False where `speed` is the least that the settings promise.
        on_cores: runs that compete for the cores, by the runner's own count.
        at_calls: runs that wait for a call.
        oldest_queued_us: age of the request that is queued longest; 0 where none is.
        unanswered: requests that are owed an answer.
        healthy: the scheduler's own word.
        listeners_closed: it is draining, and nothing new is listened for.
        shutdown_remaining_us: until the process has to end.
    """

    now: int
    kernel_up: bool
    speed: float
    speed_known: bool
    on_cores: int
    at_calls: int
    queued: int
    oldest_queued_us: int
    unanswered: int
    healthy: bool
    draining: bool
    listeners_closed: bool = False
    shutdown_remaining_us: int = 0
    gauges: KernelGauges | None = None
