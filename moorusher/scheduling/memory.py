"""Memory budget for requests and idempotency keys."""

from __future__ import annotations

from moorusher.scheduling.interface import PredecessorLoad, Settings
from moorusher.scheduling.job import Job

MAX_RESERVED_FRACTION = 0.97  # share of `Settings.memory_kb`


class MemoryBudget:
    """Memory that is shared by queued requests, runs and entries of idempotency keys.

    Attributes:
        settings: Current settings.
        limit_kb: Maximum of the reserved memory, fixed at the start.
        jobs_kb: Memory reserved by queued and running jobs.
        key_entries: Number of entries in the table of idempotency keys.
        predecessor: Load of the process that this one replaces.
    """

    __slots__ = ("jobs_kb", "key_entries", "limit_kb", "predecessor", "settings")

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.limit_kb = settings.memory_kb * MAX_RESERVED_FRACTION
        self.jobs_kb = 0.0
        self.key_entries = 0
        self.predecessor = PredecessorLoad()

    def reserved_kb(self) -> float:
        """Return the memory that is currently reserved."""
        return self.jobs_kb + self.settings.key_entry_kb * self.key_entries + self.predecessor.memory_kb

    def run_extra_kb(self, job: Job) -> float:
        """Return the additional memory of the job during its run."""
        return job.memory_kb * (self.settings.run_memory_factor - 1)

    def can_admit(self, job: Job) -> bool:
        """Return whether a job, whose own memory is already reserved, fits with its key and its run."""
        return self.reserved_kb() + self.settings.key_entry_kb + self.run_extra_kb(job) <= self.limit_kb

    def can_start(self, job: Job) -> bool:
        """Return whether the memory suffices for the run of a queued job."""
        return self.reserved_kb() + self.run_extra_kb(job) <= self.limit_kb

    def is_exceeded(self) -> bool:
        """Return whether the reserved memory exceeds the limit."""
        return self.reserved_kb() > self.limit_kb
