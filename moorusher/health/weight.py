"""The weight that is told: down in steps and up in slower ones; nothing at all where a crossing is forecast.

A runner that is merely crowded must not shed its load at once: with few runners its neighbours would be crowded by it,
and shed it in turn, for ever. So the weight is moved a step at a time, and no step is taken before the one before it
can have shown its effect: after the horizon, in which balancers ask, act, and the queue answers. Between calm and
crowded it stays. What settles is the weight at which a runner has what it can do (integral control with a dead band).
"""

from __future__ import annotations

from enum import Enum

STEPS = (0, 1, 5, 10, 20, 35, 50, 75, 100)  # all weights that are ever told: few words, so few changes
FIRST = 5  # after nothing: enough to judge by
RELAPSE = 30_000_000  # us after a fall to nothing within which a further one counts as a relapse
MOST_RELAPSES = 2  # a climb takes at most 2**2 times as long
SPREAD = 0.3  # of a step's time by which runners differ: those that recover together don't climb together


class Zone(Enum):
    """Where a runner's pressure stands."""

    CALM = "calm"
    BETWEEN = "between"
    CROWDED = "crowded"
    FULL = "full"  # it would fall over before balancers can act on a smaller step


def step_down(weight: float) -> int:
    """The highest step that is not above `weight`; what is above 0 stays above 0."""
    return max((s for s in STEPS if s <= weight), default=0) or (1 if weight > 0 else 0)


class Governor:
    """`phase` (0 to 1, the owner's) sets this runner's pace apart from its neighbours'. Times in us."""

    def __init__(self, climb_us: int, phase: float) -> None:
        self.level = 0
        self._phase = phase
        self._lowered = -RELAPSE
        self._raised = 0
        self._fell = -RELAPSE  # to nothing, of a crowd
        self._hurt = False  # it was crowded on its way: it climbs no faster than effects can be seen
        self.relapses = 0
        self.pace(climb_us)

    def pace(self, climb_us: int) -> None:
        self._step = round(climb_us / (len(STEPS) - 1) * (1 - SPREAD / 2 + SPREAD * self._phase))

    def begin(self, now: int) -> None:
        """At full weight, without a climb."""
        self.level, self._raised = 100, now

    def follow(self, now: int, cap: int, zone: Zone, floor: int, horizon: int) -> int:
        """The weight to tell now. `cap` bounds it at once, whatever the zone; `floor` is where the steps down of a
        crowd end: where all are crowded, all must go on taking what they are worth."""
        if zone is Zone.FULL:
            if self.level:
                self.relapses = min(MOST_RELAPSES, self.relapses + 1) if now - self._fell < RELAPSE else 0
                self._fell, self._hurt = now, True
            self.level = 0
        elif cap < self.level:
            self.level = cap
        elif self.level == 0 and cap:  # something, so that there is something to judge by: it costs no wait
            # Out of a crowd that drained, half of what it is worth: were it the first step each time, a fleet in which
            # chance alone fills a runner now and then would lose more to their climbs than it has to spare.
            self.level = min(cap, max(FIRST, step_down(floor / 2))) if self._hurt else min(cap, FIRST)
        elif zone is Zone.CROWDED and self.level > floor:
            self._hurt = True
            if now - self._lowered >= horizon:
                self.level = max(floor, max(s for s in STEPS if s < self.level))
                self._lowered = now
        elif zone is Zone.CALM or self.level < min(floor, cap):
            return self._climb(now, cap, horizon)
        self._raised = now
        return self.level

    def _climb(self, now: int, cap: int, horizon: int) -> int:
        """Asked seldom it is not left behind: as many steps are taken as there was time for. Out of a crowd only one a
        look: nobody saw what it was like between."""
        pace = max(1, self._step << self.relapses, horizon if self._hurt else 0)
        while now - self._raised >= pace and self.level < cap:
            self.level = min(cap, next((s for s in STEPS if s > self.level), 100))
            self._raised = now if self._hurt else self._raised + pace
        if self.level >= cap:
            self._raised = now  # time spent at the top is no credit for a higher one
            self._hurt = False
        return self.level
