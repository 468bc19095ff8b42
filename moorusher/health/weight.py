"""The weight that balancers are told: down in steps, up in slower ones, and nothing where a crossing is forecast.

A runner that is merely overloaded must not shed its load at once: with few runners its neighbours would be overloaded
by it, and shed it in turn, for ever. So the weight moves a step at a time, and no step is taken before the one before
it can have shown its effect: after the horizon, in which balancers probe, act, and the queue answers. In the dead
band between recovered and overloaded it stays. What settles is the weight at which a runner has what it can do
(integral control with a dead band).
"""

from __future__ import annotations

from enum import Enum

STEPS = (0, 1, 5, 10, 20, 35, 50, 75, 100)  # all weights that are ever told: few values, so few changes
FULL_WEIGHT = 100
FIRST_STEP = 5  # after nothing: enough to judge by
RELAPSE_WINDOW_US = 30_000_000  # a further fall to nothing within it counts as a relapse
MAX_RELAPSES = 2  # a ramp takes at most 2**2 times as long
JITTER = 0.3  # of a step's time, by which runners differ: those that recover together don't ramp up together


class PressureZone(Enum):
    """Where a runner's pressure stands."""

    RELAXED = "relaxed"
    DEAD_BAND = "dead band"
    OVERLOADED = "overloaded"
    CROSSING = "crossing"  # it would fall over before balancers can act on a smaller step


def step_down(weight: float) -> int:
    """The highest step that is not above `weight`; what is above 0 stays above 0."""
    return max((step for step in STEPS if step <= weight), default=0) or (1 if weight > 0 else 0)


class WeightController:
    """Moves the weight of one runner.

    Attributes:
        level: the weight that was told last.
        relapses: how often it fell to nothing shortly after such a fall.
    """

    def __init__(self, ramp_us: int, jitter: float) -> None:
        """`ramp_us`: from nothing to full weight; `jitter` (0 to 1) sets this runner apart from its neighbours."""
        self.level = 0
        self._jitter = jitter
        self._lowered_at_us = -RELAPSE_WINDOW_US
        self._raised_at_us = 0
        self._fell_at_us = -RELAPSE_WINDOW_US  # to nothing, as a crossing was forecast
        self._was_overloaded = False  # on its way up: it rises no faster than effects can be seen
        self.relapses = 0
        self.set_ramp(ramp_us)

    def set_ramp(self, ramp_us: int) -> None:
        """The time from nothing to full weight."""
        jitter = 1 - JITTER / 2 + JITTER * self._jitter
        self._step_us = round(ramp_us / (len(STEPS) - 1) * jitter)

    def start_full(self, now: int) -> None:
        """At full weight, without a ramp."""
        self.level = FULL_WEIGHT
        self._raised_at_us = now

    def update(self, now: int, cap: int, zone: PressureZone, floor: int, horizon_us: int) -> int:
        """The weight to tell now.

        Args:
            cap: bounds it at once, whatever the zone.
            floor: where the steps down of an overload end: where all runners are overloaded, all must go on taking what
                they are worth.
            horizon_us: after which a step has shown its effect.
        """
        if zone is PressureZone.CROSSING:
            self._drop_to_nothing(now)
        elif cap < self.level:
            self.level = cap
        elif self.level == 0 and cap:  # something, so that there is something to judge by: it costs no wait
            self.level = min(cap, self._first_level(floor))
        elif zone is PressureZone.OVERLOADED and self.level > floor:
            self._step_down_once(now, floor, horizon_us)
        elif zone is PressureZone.RELAXED or self.level < min(floor, cap):
            return self._ramp_up(now, cap, horizon_us)
        self._raised_at_us = now
        return self.level

    def _drop_to_nothing(self, now: int) -> None:
        if self.level:
            is_relapse = now - self._fell_at_us < RELAPSE_WINDOW_US
            self.relapses = min(MAX_RELAPSES, self.relapses + 1) if is_relapse else 0
            self._fell_at_us = now
            self._was_overloaded = True
        self.level = 0

    def _first_level(self, floor: int) -> int:
        """After an overload half of what the runner is worth: were it the first step each time, a fleet in which chance
        alone overloads a runner now and then would lose more to ramps than it has to spare."""
        if self._was_overloaded:
            return max(FIRST_STEP, step_down(floor / 2))
        return FIRST_STEP

    def _step_down_once(self, now: int, floor: int, horizon_us: int) -> None:
        self._was_overloaded = True
        if now - self._lowered_at_us >= horizon_us:
            self.level = max(floor, max(step for step in STEPS if step < self.level))
            self._lowered_at_us = now

    def _ramp_up(self, now: int, cap: int, horizon_us: int) -> int:
        """A runner that is probed seldom is not left behind: as many steps are taken as there was time for. After an
        overload only one a probe: nobody saw what it was like between."""
        step_us = max(1, self._step_us << self.relapses, horizon_us if self._was_overloaded else 0)
        while now - self._raised_at_us >= step_us and self.level < cap:
            self.level = min(cap, next((step for step in STEPS if step > self.level), FULL_WEIGHT))
            self._raised_at_us = now if self._was_overloaded else self._raised_at_us + step_us
        if self.level >= cap:
            self._raised_at_us = now  # time spent at the top is no credit for a higher one
            self._was_overloaded = False
        return self.level
