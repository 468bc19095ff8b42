"""What the kernel has told of itself: its age, its gauges, whether there is a connection to it."""

from __future__ import annotations

from moorusher.time_units import MS

from .engine_state import EngineState


class KernelStatus:
    """The kernel as it was heard of last.

    Attributes:
        gauges: in the order of `Settings.gauges`; () before its first word.
        gauges_at: the engine's time (us) of the turn before they came: no report makes them younger than they are.
        link_lost_at: since when (us) there is no connection to it; None while there is one.
        started_at_us: when it started, by the engine's clock.
    """

    def __init__(self, state: EngineState) -> None:
        self._state = state
        self.gauges: tuple[float, ...] = ()
        self.gauges_at = 0
        self.link_lost_at: int | None = 0
        self._started_cold = False
        self.started_at_us = 0

    def started(self, cold: bool, age_ms: float) -> None:
        """Its first word: how long ago it started, and whether its caches were cold then."""
        self._started_cold = cold
        self.started_at_us = self._state.clock.now - round(age_ms * MS)

    def link_up(self) -> None:
        """It has answered on its connection."""
        self._state.turn.begin()
        self.link_lost_at = None
        self._state.hooks.observer.link_up(self._state.clock.now)

    def link_lost(self) -> None:
        """The connection to it is lost."""
        self._state.turn.begin()
        if self.link_lost_at is None:
            self.link_lost_at = self._state.clock.now
        self._state.hooks.observer.link_lost(self._state.clock.now)

    def gauges_received(self, values: tuple[float, ...]) -> None:
        """Its gauges, in the order of the settings."""
        self.gauges = values
        self.gauges_at = self._state.clock.now

    def cpu_busy(self) -> float:
        """The busy share of the cores, as the kernel last told; 0 where it does not tell."""
        by_name = dict(zip(self._state.settings.gauges, self.gauges, strict=False))
        return by_name.get("cpu_busy", 0.0)

    def is_warming_up(self) -> bool:
        """It started cold, and the time that the settings allow it to warm up is not over."""
        age_us = self._state.clock.now - self.started_at_us
        return self._started_cold and age_us < self._state.settings.warm_up_ms * MS

    def warm_up_speed(self) -> float:
        """The least share of full speed that the settings promise at this age of the kernel: 1 once it is warm."""
        settings = self._state.settings
        if not self._started_cold or settings.warm_up_ms <= 0:
            return 1.0
        age_us = self._state.clock.now - self.started_at_us
        warmed_up = min(1.0, age_us / (settings.warm_up_ms * MS))
        return settings.warm_up_initial_speed + (1 - settings.warm_up_initial_speed) * warmed_up
