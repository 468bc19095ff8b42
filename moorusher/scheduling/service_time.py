"""Estimates of how long requests run and how much core time they cost."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

from moorusher.scheduling.interface import RequestClass
from moorusher.scheduling.job import Job
from moorusher.scheduling.timing import NEVER

RUN_TIME_LEARNING_RATE = 0.1  # weight of a new sample in the mean length of a run
COST_LEARNING_RATE = 0.05  # weight of a new sample in the mean cost of a run
INITIAL_COST_FRACTION = 0.2  # of the shortest latency objective: the cost assumed before the first run

# By the mean alone half of the last runs that are started would be late.
RUN_TIME_DEVIATIONS = 0.5  # mean deviations that are added to the mean length of a run

# After an outage the mean may exceed the objective. If nothing were started then, no run would show that the
# outage is over.
MAX_RUN_TIME_FRACTION = 0.5  # of the latency objective

STATED_WAIT_SAMPLES = 32  # samples of each class
USUAL_WAIT_DIVISOR = 4  # a quarter of the samples are shorter than the usual wait
WINDOWS_OF_HISTORY = 5  # a class that is present from the start counts as known for so many windows


class ClassState:
    """What this runner has learnt of one class of requests. Compared and hashed by identity.

    Attributes:
        request_class: the settings of the class.
        run_ms: mean length of a run, calls included.
        run_deviation_ms: mean absolute deviation of that length.
        arrivals: requests of this window that were considered for admission.
        demand: part of all slots that the class asks for, a running mean over windows. See `priority`.
        credit_ms: slot time that the class may still take. Infinite where no class outranks it.
        windows: windows since the class appeared; sets how fast `demand` is learnt.
        stated_waits_ms: the newest total waits that callers stated, counted from when the request was sent.
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

    def __init__(self, request_class: RequestClass, run_ms: float, windows: int = WINDOWS_OF_HISTORY) -> None:
        self.request_class = request_class
        self.run_ms = run_ms
        self.run_deviation_ms = 0.0
        self.arrivals = 0
        self.demand = 0.0
        self.credit_ms = NEVER
        self.windows = windows
        self.stated_waits_ms: deque[float] = deque(maxlen=STATED_WAIT_SAMPLES)

    def record_run(self, took_ms: float, completed: bool) -> None:
        """Learn from a run. One that was stopped shows only that it would have taken at least as long."""
        if completed or took_ms > self.run_ms:
            deviation_ms = abs(took_ms - self.run_ms)
            self.run_deviation_ms += RUN_TIME_LEARNING_RATE * (deviation_ms - self.run_deviation_ms)
            self.run_ms += RUN_TIME_LEARNING_RATE * (took_ms - self.run_ms)

    def expected_run_ms(self) -> float:
        """How long a run is expected to take, at most half of the latency objective."""
        expected_ms = self.run_ms + RUN_TIME_DEVIATIONS * self.run_deviation_ms
        return min(expected_ms, MAX_RUN_TIME_FRACTION * self.request_class.latency_objective_ms)

    def age_ms(self, stated_wait_ms: float) -> float:
        """The least time for which a request existed before it was sent: what its stated wait lacks.

        A retry that is not marked as one shows by this that its client has waited already.
        """
        usual_ms = sorted(self.stated_waits_ms)[len(self.stated_waits_ms) // USUAL_WAIT_DIVISOR]
        return max(0.0, usual_ms - stated_wait_ms)

    def redefine(self, request_class: RequestClass) -> ClassState:
        """Take new settings of the class. Stated waits depend on its deadline, run lengths do not."""
        if request_class.deadline_ms != self.request_class.deadline_ms:
            self.stated_waits_ms.clear()
        self.request_class = request_class
        return self


class ServiceTime:
    """The estimates of this runner over all classes.

    Attributes:
        classes: one state for each class of the settings, in their order.
        mean_cost_ms: mean core time of a run.
        slot_ms: mean time for which a run keeps a slot without a break (until its end or its call).
        cost_known: whether a run has completed, so that `mean_cost_ms` is measured.
    """

    __slots__ = ("classes", "cost_known", "mean_cost_ms", "slot_ms")

    def __init__(self, classes: Sequence[RequestClass]) -> None:
        self.mean_cost_ms = INITIAL_COST_FRACTION * min(c.latency_objective_ms for c in classes)
        self.slot_ms = self.mean_cost_ms
        self.classes = [ClassState(c, self.mean_cost_ms) for c in classes]
        self.cost_known = False

    def record_cost(self, cost_ms: float) -> None:
        """Learn from the core time of a completed run. The first one replaces the assumption."""
        rate = COST_LEARNING_RATE if self.cost_known else 1.0
        self.mean_cost_ms += rate * (max(cost_ms, 1.0) - self.mean_cost_ms)
        self.cost_known = True

    def record_slot_time(self, slot_ms: float) -> None:
        """Learn from the time for which a run kept its slot."""
        self.slot_ms += RUN_TIME_LEARNING_RATE * (slot_ms - self.slot_ms)

    def expected_slot_ms(self, now: float, slots: Sequence[Job | None], on_cores: int) -> float:
        """Time for which a run keeps a slot. The age of present runs shows a slowdown before they end."""
        mean_age_ms = sum(now - job.on_core_since for job in slots if job is not None) / max(1, on_cores)
        return max(self.slot_ms, mean_age_ms)
