"""The notice to shut down, for the runner or for this process of it."""

from __future__ import annotations

from moorusher.time_units import MS

from .clock import Clock


class DrainState:
    """Nothing takes the notice back.

    Attributes:
        stop_at_us: when the process has to end; None before the notice.
        replaced: the notice is for this process alone, and another one of this runner serves on.
    """

    __slots__ = ("_clock", "replaced", "stop_at_us")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.stop_at_us: int | None = None
        self.replaced = False

    def begin(self, stop_ms: float, replaced: bool) -> None:
        """The notice: this process ends after `stop_ms`."""
        self.stop_at_us = self._clock.now + round(stop_ms * MS)
        self.replaced = replaced

    @property
    def shutting_down(self) -> bool:
        """Had the notice, whoever serves on."""
        return self.stop_at_us is not None

    @property
    def draining(self) -> bool:
        """The whole runner shuts down: front ends have to keep away."""
        return self.stop_at_us is not None and not self.replaced

    @property
    def remaining_us(self) -> int:
        """Until the process has to end; 0 before the notice."""
        return 0 if self.stop_at_us is None else max(0, self.stop_at_us - self._clock.now)
