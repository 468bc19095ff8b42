"""How much of the memory is reserved, and whether another request fits."""

from __future__ import annotations

from moorusher.scheduling.interface import PredecessorLoad, Settings
from moorusher.scheduling.job import Job

MAX_RESERVED_FRACTION = 0.97  # of `memory_kb` in the settings


class MemoryBudget:
    """Queued, running and remembered requests share the memory.

    Attributes:
        settings: the present settings.
        limit_kb: what may be reserved in all; fixed at the start.
        jobs_kb: reserved by jobs, queued and running.
        key_entries: entries in the table of idempotency keys.
        predecessor: what the process that this one replaces still takes.
    """

    __slots__ = ("jobs_kb", "key_entries", "limit_kb", "predecessor", "settings")

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.limit_kb = settings.memory_kb * MAX_RESERVED_FRACTION
        self.jobs_kb = 0.0
        self.key_entries = 0
        self.predecessor = PredecessorLoad()

    def reserved_kb(self) -> float:
        """All that is reserved at present."""
        return self.jobs_kb + self.settings.key_entry_kb * self.key_entries + self.predecessor.memory_kb

    def run_extra_kb(self, job: Job) -> float:
        """What a run of the job takes beyond what the job takes in the queue."""
        return job.memory_kb * (self.settings.run_memory_factor - 1)

    def can_admit(self, job: Job) -> bool:
        """Whether a job, which is already reserved, may be queued: its key and its run must fit too."""
        return self.reserved_kb() + self.settings.key_entry_kb + self.run_extra_kb(job) <= self.limit_kb

    def can_start(self, job: Job) -> bool:
        """Whether the run of a queued job fits."""
        return self.reserved_kb() + self.run_extra_kb(job) <= self.limit_kb

    def is_exceeded(self) -> bool:
        """Whether more is reserved than may be."""
        return self.reserved_kb() > self.limit_kb
