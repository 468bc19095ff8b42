"""Estimates of the duration and the core time of runs."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

from moorusher.scheduling.interface import RequestClass
from moorusher.scheduling.job import Job
from moorusher.scheduling.timing import NEVER

RUN_TIME_LEARNING_RATE = 0.1  # weight of a new sample in the mean duration of a run
COST_LEARNING_RATE = 0.05  # weight of a new sample in the mean cost of a run
INITIAL_COST_FRACTION = 0.2  # cost assumed before the first run, as a share of the shortest latency objective

# Number of mean deviations that are added to the mean duration of a run. With the mean alone, half of the
# runs that are started just in time would end late.
RUN_TIME_DEVIATIONS = 0.5

# Upper bound of the expected duration of a run, as a share of the latency objective. After an outage, the
# mean may exceed the objective; without this bound nothing would be started, and no run would show that the
# outage is over.
MAX_RUN_TIME_FRACTION = 0.5

STATED_WAIT_SAMPLES = 32  # samples kept for each class
USUAL_WAIT_DIVISOR = 4  # the usual wait is the first quartile: 1/4 of the samples are shorter

# Initial value of `ClassState.windows` for a class that exists from the start. Its demand is learned at the
# normal rate, unlike that of a class that is added later.
INITIAL_WINDOWS = 5


class ClassState:
    """Estimates for one class of requests. Compared and hashed by identity.

    Attributes:
        request_class: Settings of the class.
        run_ms: Mean duration of a run, including calls.
        run_deviation_ms: Mean absolute deviation of that duration.
        arrivals: Number of requests considered for admission in this window.
        demand: Share of all slots that the class needs, a running mean over windows. See `priority`.
        credit_ms: Slot time that the class may still use. Infinite if no class outranks it.
        windows: Number of windows since the class was added. Determines the learning rate of `demand`.
        stated_waits_ms: Most recent waits stated by callers, counted from when the request was sent.
    """

    __slots__ = (
        "arrivals",
        "credit_ms",
        "demand",
        "request_class",
        "run_deviation_ms",
        "run_ms",
        "stated_waits_ms",
        "windows",
    )

    def __init__(self, request_class: RequestClass, run_ms: float, windows: int = INITIAL_WINDOWS) -> None:
        self.request_class = request_class
        self.run_ms = run_ms
        self.run_deviation_ms = 0.0
        self.arrivals = 0
        self.demand = 0.0
        self.credit_ms = NEVER
        self.windows = windows
        self.stated_waits_ms: deque[float] = deque(maxlen=STATED_WAIT_SAMPLES)

    def record_run(self, duration_ms: float, completed: bool) -> None:
        """Update the estimates with a run.

        The duration of an incomplete run is only a lower bound, so it counts only if it exceeds the mean.
        """
        if completed or duration_ms > self.run_ms:
            deviation_ms = abs(duration_ms - self.run_ms)
            self.run_deviation_ms += RUN_TIME_LEARNING_RATE * (deviation_ms - self.run_deviation_ms)
            self.run_ms += RUN_TIME_LEARNING_RATE * (duration_ms - self.run_ms)

    def expected_run_ms(self) -> float:
        """Return the expected duration of a run, at most half of the latency objective."""
        expected_ms = self.run_ms + RUN_TIME_DEVIATIONS * self.run_deviation_ms
        return min(expected_ms, MAX_RUN_TIME_FRACTION * self.request_class.latency_objective_ms)

    def age_ms(self, stated_wait_ms: float) -> float:
        """Return the minimum time for which a client had waited before it sent a request.

        This is the difference between the usual wait and the stated wait. It identifies retries that are not
        marked.
        """
        usual_ms = sorted(self.stated_waits_ms)[len(self.stated_waits_ms) // USUAL_WAIT_DIVISOR]
        return max(0.0, usual_ms - stated_wait_ms)

    def redefine(self, request_class: RequestClass) -> ClassState:
        """Apply new settings to the class and return its state.

        Stated waits depend on the deadline and are cleared if it has changed. Run durations do not depend on
        the deadline.
        """
        if request_class.deadline_ms != self.request_class.deadline_ms:
            self.stated_waits_ms.clear()
        self.request_class = request_class
        return self


class ServiceTime:
    """Estimates over all classes.

    Attributes:
        classes: State of each class of the settings, in their order.
        mean_cost_ms: Mean core time of a run.
        slot_ms: Mean time for which a run holds a slot without interruption, until its end or its call.
        cost_known: Whether a run has completed, so that `mean_cost_ms` is measured.
    """

    __slots__ = ("classes", "cost_known", "mean_cost_ms", "slot_ms")

    def __init__(self, classes: Sequence[RequestClass]) -> None:
        self.mean_cost_ms = INITIAL_COST_FRACTION * min(c.latency_objective_ms for c in classes)
        self.slot_ms = self.mean_cost_ms
        self.classes = [ClassState(c, self.mean_cost_ms) for c in classes]
        self.cost_known = False

    def record_cost(self, cost_ms: float) -> None:
        """Update the mean cost with a completed run. The first run replaces the initial assumption."""
        rate = COST_LEARNING_RATE if self.cost_known else 1.0
        self.mean_cost_ms += rate * (max(cost_ms, 1.0) - self.mean_cost_ms)
        self.cost_known = True

    def record_slot_time(self, slot_ms: float) -> None:
        """Update the mean slot time with the time for which a run held its slot."""
        self.slot_ms += RUN_TIME_LEARNING_RATE * (slot_ms - self.slot_ms)

    def expected_slot_ms(self, now: float, slots: Sequence[Job | None], on_cores: int) -> float:
        """Return the time for which a run is expected to hold a slot, in ms.

        The age of current runs is included, because it shows a slowdown before they end.
        """
        mean_age_ms = sum(now - job.on_core_since for job in slots if job is not None) / max(1, on_cores)
        return max(self.slot_ms, mean_age_ms)
