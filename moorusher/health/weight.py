"""Load balancing weight: falls in steps, rises in slower steps, and is 0 if the runner would otherwise collapse."""

# An overloaded runner must not shed its load at once: with few runners, the others would be overloaded by it and shed
# it in turn, indefinitely. Therefore the weight changes by one step at a time, and the next step waits for the effect
# of the previous one, which takes one horizon: load balancers send health checks and react, and the queue changes. In
# the dead band between recovered and overloaded the weight is constant. So the weight settles at a value at which the
# runner gets the load that it can serve (integral control with a dead band).

from __future__ import annotations

from enum import Enum

STEPS = (0, 1, 5, 10, 20, 35, 50, 75, 100)  # all possible weights; few values cause few changes
FULL_WEIGHT = 100
FIRST_STEP = 5  # first weight after 0; gives enough traffic for measurements
RELAPSE_WINDOW_US = 30_000_000  # a drop to 0 within this time of the previous one counts as a relapse
MAX_RELAPSES = 2  # limits the ramp's duration to 2**2 times the normal one
JITTER = 0.3  # spread of the step time, so that runners that recover together don't ramp up together


class PressureZone(Enum):
    """Range of a runner's pressure."""

    RELAXED = "relaxed"
    DEAD_BAND = "dead band"
    OVERLOADED = "overloaded"
    CROSSING = "crossing"  # the load would cross the survivable limit before a smaller step takes effect


def step_down(weight: float) -> int:
    """Return the highest step that is not above `weight`, but at least 1 if `weight` is positive."""
    return max((step for step in STEPS if step <= weight), default=0) or (1 if weight > 0 else 0)


class WeightController:
    """Controls the weight of one runner.

    Attributes:
        level: Current weight.
        relapses: Number of consecutive drops to 0 that each followed the previous one within RELAPSE_WINDOW_US.
    """

    def __init__(self, ramp_us: int, jitter: float) -> None:
        """Start at weight 0.

        :param ramp_us: Time from weight 0 to full weight.
        :param jitter: Value from 0 to 1 that varies the step time among runners.
        """
        self.level = 0
        self._jitter = jitter
        self._lowered_at_us = -RELAPSE_WINDOW_US
        self._raised_at_us = 0
        self._dropped_at_us = -RELAPSE_WINDOW_US  # time of the last drop to 0
        self._was_overloaded = False  # while True, each step up waits for the effect of the previous one
        self.relapses = 0
        self.set_ramp(ramp_us)

    def set_ramp(self, ramp_us: int) -> None:
        """Set the time from weight 0 to full weight."""
        jitter = 1 - JITTER / 2 + JITTER * self._jitter
        self._step_us = round(ramp_us / (len(STEPS) - 1) * jitter)

    def start_full(self, now: int) -> None:
        """Set full weight at once, without a ramp."""
        self.level = FULL_WEIGHT
        self._raised_at_us = now

    def update(self, now: int, cap: int, zone: PressureZone, floor: int, horizon_us: int) -> int:
        """Update and return the weight.

        :param cap: Upper bound that applies at once in every zone.
        :param floor: Weight at which the steps down of an overload end.
        :param horizon_us: Time until a step has taken effect.
        """
        if zone is PressureZone.CROSSING:
            self._drop_to_zero(now)
        elif cap < self.level:
            self.level = cap
        elif self.level == 0 and cap:  # take the first step at once, since measurements need some traffic
            self.level = min(cap, self._first_level(floor))
        elif zone is PressureZone.OVERLOADED and self.level > floor:
            self._step_down(now, floor, horizon_us)
        elif zone is PressureZone.RELAXED or self.level < min(floor, cap):
            return self._ramp_up(now, cap, horizon_us)
        self._raised_at_us = now
        return self.level

    def _drop_to_zero(self, now: int) -> None:
        if self.level:
            is_relapse = now - self._dropped_at_us < RELAPSE_WINDOW_US
            self.relapses = min(MAX_RELAPSES, self.relapses + 1) if is_relapse else 0
            self._dropped_at_us = now
            self._was_overloaded = True
        self.level = 0

    def _first_level(self, floor: int) -> int:
        """Return the first weight after 0: FIRST_STEP, or up to half of `floor` after an overload."""
        # With FIRST_STEP alone, the ramps after occasional random overloads would cost a fleet more than its spare
        # capacity.
        if self._was_overloaded:
            return max(FIRST_STEP, step_down(floor / 2))
        return FIRST_STEP

    def _step_down(self, now: int, floor: int, horizon_us: int) -> None:
        self._was_overloaded = True
        if now - self._lowered_at_us >= horizon_us:
            self.level = max(floor, max(step for step in STEPS if step < self.level))
            self._lowered_at_us = now

    def _ramp_up(self, now: int, cap: int, horizon_us: int) -> int:
        """Raise the weight, and return it."""
        # Normally, one call takes as many steps as fit into the elapsed time, so that infrequent health checks do not
        # slow the ramp. After an overload, one call takes at most one step, since the effect of each step must be
        # observed before the next one.
        step_us = max(1, self._step_us << self.relapses, horizon_us if self._was_overloaded else 0)
        while now - self._raised_at_us >= step_us and self.level < cap:
            self.level = min(cap, next((step for step in STEPS if step > self.level), FULL_WEIGHT))
            self._raised_at_us = now if self._was_overloaded else self._raised_at_us + step_us
        if self.level >= cap:
            self._raised_at_us = now  # time spent at the cap must not count towards steps after the cap rises
            self._was_overloaded = False
        return self.level
