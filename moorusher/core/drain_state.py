"""State of a shutdown, of the whole runner or of this process only."""

from __future__ import annotations

from moorusher.time_units import MS

from .clock import Clock


class DrainState:
    """State of the shutdown, which can't be cancelled once it has begun.

    Attributes:
        stop_at_us: Time at which the process must exit; None before the shutdown.
        replaced: Whether another process of this runner continues to serve.
    """

    __slots__ = ("_clock", "replaced", "stop_at_us")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.stop_at_us: int | None = None
        self.replaced = False

    def start(self, stop_ms: float, replaced: bool) -> None:
        """Start the shutdown: the process must exit after `stop_ms`."""
        self.stop_at_us = self._clock.now + round(stop_ms * MS)
        self.replaced = replaced

    @property
    def shutting_down(self) -> bool:
        """Whether this process shuts down."""
        return self.stop_at_us is not None

    @property
    def draining(self) -> bool:
        """Whether the whole runner shuts down, so that front ends must send it no more requests."""
        return self.stop_at_us is not None and not self.replaced

    @property
    def remaining_us(self) -> int:
        """Time until the process must exit; 0 before the shutdown."""
        return 0 if self.stop_at_us is None else max(0, self.stop_at_us - self._clock.now)
