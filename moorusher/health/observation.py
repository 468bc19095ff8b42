"""Measurements of a runner at one moment; the owner of the runner fills them in."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Maintenance:
    """Maintenance mode set by an operator.

    Attributes:

        reason: Text given by the operator.
        since_us: Time when it was set.
        expires_us: Time when it ends automatically; None if it does not.
    """

    reason: str
    since_us: int
    expires_us: int | None = None

    def has_expired(self, now: int) -> bool:
        """Return whether the maintenance has ended automatically."""
        return self.expires_us is not None and now >= self.expires_us


@dataclass(frozen=True, slots=True)
class KernelGauges:
    """Measurements of the machine reported by the kernel; a value is None if the kernel does not report it.

    Attributes:
        read_at_us: Time when the kernel reported them.
        busy: Busy fraction of the cores, 0 to 1.
        runnable: Number of threads that run or wait for a core.
        memory: Used fraction of the memory, 0 to 1.
    """

    read_at_us: int
    busy: float | None = None
    runnable: float | None = None
    memory: float | None = None


@dataclass(frozen=True, slots=True)
class Observation:
    """State of a runner at the time `now`.

    Attributes:
        kernel_up: Whether the kernel has answered since the start, even if it is not connected now.
        speed: Fraction of full speed, 0 to 1; 1 when warm.
        speed_known: Whether `speed` is measured; otherwise it is the minimum from the settings.
        on_cores: Runs that compete for the cores, by the runner's own count.
        at_calls: Runs that wait for a call.
        queued: Requests in the queue.
        oldest_queued_us: Age of the oldest queued request; 0 if the queue is empty.
        unanswered: Requests that have not been answered.
        healthy: Whether the scheduler reports itself as healthy.
        draining: Whether the runner is shutting down.
        listeners_closed: Whether the runner is draining and accepts no new connections.
        shutdown_remaining_us: Time until the process has to exit.
        gauges: Latest measurements of the kernel; None if there are none.
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
