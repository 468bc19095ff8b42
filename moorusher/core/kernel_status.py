"""Status of the kernel: its age, its gauges and the state of the connection to it."""

from __future__ import annotations

from moorusher.time_units import MS

from .engine_state import EngineState


class KernelStatus:
    """Last known status of the kernel.

    Attributes:
        gauges: Values in the order of `Settings.gauges`; () before the first message.
        gauges_at: Time (us) of the last turn before the gauges were read, so that their age is not underestimated.
        link_lost_at: Time (us) at which the connection was lost; None while there is a connection.
        started_at_us: Start time of the kernel, by the engine's clock.
    """

    def __init__(self, state: EngineState) -> None:
        self._state = state
        self.gauges: tuple[float, ...] = ()
        self.gauges_at = 0
        self.link_lost_at: int | None = 0
        self._started_with_empty_caches = False
        self.started_at_us = 0

    def started(self, caches_empty: bool, age_ms: float) -> None:
        """Record how long ago the kernel started, and whether its caches were empty then."""
        self._started_with_empty_caches = caches_empty
        self.started_at_us = self._state.clock.now - round(age_ms * MS)

    def link_up(self) -> None:
        """Record that the kernel has answered on its connection."""
        self._state.turn.start()
        self.link_lost_at = None
        self._state.hooks.observer.link_up(self._state.clock.now)

    def link_lost(self) -> None:
        """Record that the connection to the kernel is lost."""
        self._state.turn.start()
        if self.link_lost_at is None:
            self.link_lost_at = self._state.clock.now
        self._state.hooks.observer.link_lost(self._state.clock.now)

    def gauges_received(self, values: tuple[float, ...]) -> None:
        """Store the kernel's gauges, which are in the order of the settings."""
        self.gauges = values
        self.gauges_at = self._state.clock.now

    def cpu_busy(self) -> float:
        """Return the busy share of the cores as last reported, or 0."""
        by_name = dict(zip(self._state.settings.gauges, self.gauges, strict=False))
        return by_name.get("cpu_busy", 0.0)

    def is_warming_up(self) -> bool:
        """Return whether the kernel started cold less than `Settings.warm_up_ms` ago."""
        age_us = self._state.clock.now - self.started_at_us
        return self._started_with_empty_caches and age_us < self._state.settings.warm_up_ms * MS

    def warm_up_speed(self) -> float:
        """Return the minimum speed that the settings state for the kernel's age, as a share of its full speed."""
        settings = self._state.settings
        if not self._started_with_empty_caches or settings.warm_up_ms <= 0:
            return 1.0
        age_us = self._state.clock.now - self.started_at_us
        warmed_up = min(1.0, age_us / (settings.warm_up_ms * MS))
        return settings.warm_up_initial_speed + (1 - settings.warm_up_initial_speed) * warmed_up
