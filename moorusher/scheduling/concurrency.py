"""How many requests run at once: slots on the cores, and the bound on runs while the runner warms up."""

from __future__ import annotations

from moorusher.scheduling.interface import PredecessorLoad, Settings
from moorusher.scheduling.job import NO_SLOT, Job, JobState

BUSY_FRACTION = 0.8  # use of the cores below which a slot may be added, above which one is removed
SATURATED_FRACTION = 0.8  # of a window with all slots taken and a queue, from which a slot may be added
MAX_RUNNING_FRACTION = 0.8  # of the number of runs that the machine survives


class Concurrency:
    """The slots, and the runs inside and outside of them.

    Attributes:
        settings: the present settings.
        started_at: when the runner opened, in ms of its clock; warming up counts from here.
        predecessor: what the process that this one replaces still takes.
        limit: number of slots, at least the number of cores.
        slots: the job in each slot; its length is `limit`.
        on_cores: jobs in state `RUNNING`, with a slot or without.
        running: jobs that have started and not ended, downstream calls included.
        saturated_ms: time of this window with as many runs on the cores as slots, and a queue.
        cpu_busy: part of the cores in use, as the machine's gauge said last.
        service_ms: the service clock: core time that one job on the cores has had since the start.
    """

    __slots__ = (
        "cpu_busy",
        "limit",
        "on_cores",
        "predecessor",
        "running",
        "saturated_ms",
        "service_ms",
        "settings",
        "slots",
        "started_at",
    )

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.started_at = 0.0
        self.predecessor = PredecessorLoad()
        self.limit = settings.cores
        self.slots: list[Job | None] = [None] * settings.cores
        self.on_cores = 0
        self.running = 0
        self.saturated_ms = 0.0
        self.cpu_busy = 1.0
        self.service_ms = 0.0

    def advance(self, elapsed_ms: float, has_queue: bool) -> None:
        """Count the time since the last step. More jobs than cores share the cores evenly."""
        if has_queue and self.on_cores >= self.limit:
            self.saturated_ms += elapsed_ms
        self.service_ms += elapsed_ms * min(1.0, self.settings.cores / max(1, self.on_cores))

    def max_running(self, now: float) -> float:
        """How many runs the runner may have: below what the machine survives at its present warmth."""
        settings = self.settings
        age_ms = now - self.started_at
        warmed = min(1.0, age_ms / max(1.0, settings.warm_up_ms)) if settings.warming_up else 1.0
        speed = settings.warm_up_initial_speed + (1 - settings.warm_up_initial_speed) * warmed
        per_core = 1 + (settings.survivable_runs_per_core - 1) * speed
        return max(1.0, MAX_RUNNING_FRACTION * settings.cores * per_core - self.predecessor.running)

    def own_limit(self) -> int:
        """Of the slots, those that the process that this one replaces leaves."""
        return max(1, self.limit - self.predecessor.on_cores)

    def acquire_core(self, job: Job, slot: int, now: float) -> None:
        """A job takes the cores in a free slot, or without one (`NO_SLOT`) if it returns and none is free."""
        if slot != NO_SLOT:
            self.slots[slot] = job
        job.slot = slot
        job.charged_until_ms = self.service_ms
        job.on_core_since = now
        job.state = JobState.RUNNING
        self.on_cores += 1

    def lowest_free_slot(self) -> int:
        """The number of the lowest free slot, or `NO_SLOT`."""
        return next((number for number, job in enumerate(self.slots) if job is None), NO_SLOT)

    def release_core(self, job: Job) -> None:
        """A job leaves the cores. Its slot may have been removed, or be another's, since it took it."""
        self.on_cores -= 1
        if 0 <= job.slot < len(self.slots) and self.slots[job.slot] is job:
            self.slots[job.slot] = None

    def runs_of(self, tenant: object) -> bool:
        """Whether a slot holds a job of this tenant."""
        return any(job is not None and job.tenant is tenant for job in self.slots)

    def adjust_limit(self, now: float, window_ms: float) -> None:
        """At the end of a window, add a slot if requests wait at idle cores; remove one if they are busy."""
        saturated = self.saturated_ms > SATURATED_FRACTION * window_ms
        if saturated and self.cpu_busy < BUSY_FRACTION and self.limit + 1 < self.max_running(now):
            self.limit += 1
            self.slots.append(None)
        elif self.cpu_busy > BUSY_FRACTION and self.limit > self.settings.cores and self.slots[-1] is None:
            self.limit -= 1
            self.slots.pop()
        self.saturated_ms = 0.0
