"""Concurrency limits: slots on the cores, and the maximum number of runs while the runner warms up."""

from __future__ import annotations

from moorusher.scheduling.interface import PredecessorLoad, Settings
from moorusher.scheduling.job import NO_SLOT, Job, JobState

BUSY_FRACTION = 0.8  # core utilization; below it a slot may be added, above it a slot is removed

# A slot may be added if all slots are in use and requests are queued for this share of a window.
SATURATED_FRACTION = 0.8

# Maximum number of concurrent runs, as a share of the number that the machine can sustain
# (`survivable_runs_per_core`).
MAX_RUNNING_FRACTION = 0.8


class Concurrency:
    """The slots, and the runs with and without a slot.

    Attributes:
        settings: Current settings.
        started_at: Time when the runner opened, in ms of its clock. Warm-up starts then.
        predecessor: Load of the process that this one replaces.
        limit: Number of slots, at least the number of cores.
        slots: The job in each slot, or None. Its length is `limit`.
        on_cores: Number of jobs in state `RUNNING`, with or without a slot.
        running: Number of jobs that have started and not ended, including those at a downstream call.
        saturated_ms: Time in this window with requests queued and at least as many runs on the cores as
            slots.
        cpu_busy: Share of the cores in use, as last reported by the machine's gauge.
        service_ms: Service clock: core time that a job would have received if it had been on the cores since
            the start.
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
        """Advance the clocks by the time since the last step. More jobs than cores share the cores evenly."""
        if has_queue and self.on_cores >= self.limit:
            self.saturated_ms += elapsed_ms
        self.service_ms += elapsed_ms * min(1.0, self.settings.cores / max(1, self.on_cores))

    def max_running(self, now: float) -> float:
        """Return the maximum number of concurrent runs.

        It is a share of what the machine can sustain at its current warm-up speed, less the runs of the
        predecessor process.
        """
        settings = self.settings
        age_ms = now - self.started_at
        warm_up_progress = min(1.0, age_ms / max(1.0, settings.warm_up_ms)) if settings.warming_up else 1.0
        speed = settings.warm_up_initial_speed + (1 - settings.warm_up_initial_speed) * warm_up_progress
        per_core = 1 + (settings.survivable_runs_per_core - 1) * speed
        return max(1.0, MAX_RUNNING_FRACTION * settings.cores * per_core - self.predecessor.running)

    def usable_slots(self) -> int:
        """Return the number of slots that the predecessor process does not occupy, at least 1."""
        return max(1, self.limit - self.predecessor.on_cores)

    def acquire_core(self, job: Job, slot: int, now: float) -> None:
        """Run a job on the cores, in a free slot or without a slot.

        :param slot: Number of a free slot. `NO_SLOT` for a job that resumes when no slot is free.
        """
        if slot != NO_SLOT:
            self.slots[slot] = job
        job.slot = slot
        job.charged_until_ms = self.service_ms
        job.on_core_since = now
        job.state = JobState.RUNNING
        self.on_cores += 1

    def lowest_free_slot(self) -> int:
        """Return the number of the lowest free slot, or `NO_SLOT` if none is free."""
        return next((number for number, job in enumerate(self.slots) if job is None), NO_SLOT)

    def release_core(self, job: Job) -> None:
        """Remove a job from the cores, and from its slot unless the slot was removed or reused meanwhile."""
        self.on_cores -= 1
        if 0 <= job.slot < len(self.slots) and self.slots[job.slot] is job:
            self.slots[job.slot] = None

    def tenant_has_slot(self, tenant: object) -> bool:
        """Return whether a slot holds a job of this tenant."""
        return any(job is not None and job.tenant is tenant for job in self.slots)

    def adjust_limit(self, now: float, window_ms: float) -> None:
        """Adjust the number of slots at the end of a window.

        A slot is added if requests were queued for most of the window although cores were idle. A slot beyond
        the number of cores is removed if the cores were busy and the last slot is free.
        """
        is_saturated = self.saturated_ms > SATURATED_FRACTION * window_ms
        if is_saturated and self.cpu_busy < BUSY_FRACTION and self.limit + 1 < self.max_running(now):
            self.limit += 1
            self.slots.append(None)
        elif self.cpu_busy > BUSY_FRACTION and self.limit > self.settings.cores and self.slots[-1] is None:
            self.limit -= 1
            self.slots.pop()
        self.saturated_ms = 0.0
