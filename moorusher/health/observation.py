"""What is seen of a runner at one moment. Whoever owns the runner fills it in; nothing here asks for anything."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Maintenance:
    """Set by an operator. `until`: us, when it ends by itself; None where it does not."""

    reason: str
    since: int
    until: int | None = None

    def over(self, now: int) -> bool:
        return self.until is not None and now >= self.until


@dataclass(frozen=True, slots=True)
class Gauge:
    """Figures of the kernel: `busy` is the used share of the cores, `runnable` what wants a core. `at` in us."""

    at: int
    busy: float | None = None
    runnable: float | None = None
    memory: float | None = None


@dataclass(frozen=True, slots=True)
class Observation:
    """Times in us of the clock that `now` is read from."""

    now: int
    kernel_up: bool  # it has been heard since the start, whatever its link does now
    speed: float  # share of full speed, 0 to 1; 1 once warm
    speed_known: bool  # False where it is the least that the settings promise
    on_cores: int  # runs that take a core, by the runner's own count
    at_calls: int
    held: int
    oldest_held_us: int  # age of the longest held; 0 where none is
    owed: int  # requests that wait for an answer
    healthy: bool  # the decision module's own word
    draining: bool
    doors_closed: bool = False  # draining, and nothing new is listened for
    left_us: int = 0  # of the time to leave in
    gauge: Gauge | None = None
