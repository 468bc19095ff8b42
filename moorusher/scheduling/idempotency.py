"""Idempotency keys: entries in the table of keys, and the answers to repeated requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from moorusher.scheduling.interface import Effect, ShareResult, StoreKey
from moorusher.scheduling.job import Job, JobState
from moorusher.scheduling.memory import MemoryBudget
from moorusher.scheduling.timing import TICK_MS

if TYPE_CHECKING:
    from moorusher.scheduling.lifecycle import Lifecycle
    from moorusher.scheduling.state import SchedulerState

KEY_MARGIN_MS = 2 * TICK_MS  # time for which an entry is kept after the idempotency window


class StoredKeys:
    """Entries in the runner's table of idempotency keys.

    Attributes:
        entries: Expiry time of each request's entry, in ms of the runner's clock, by request number.
    """

    __slots__ = ("_memory", "entries")

    def __init__(self, memory: MemoryBudget) -> None:
        self._memory = memory
        self.entries: dict[int, float] = {}

    def add(self, job: Job, now: float) -> StoreKey | None:
        """Add an entry for a job if its class uses idempotency keys, and return the action that stores it.

        Called before the job is queued, because a repeat may arrive while it waits in the queue.
        """
        request_class = job.request_class
        if request_class.effect is not Effect.IDEMPOTENT_WITH_KEY:
            return None
        ttl_ms = request_class.idempotency_window_ms - job.request.waited_ms + KEY_MARGIN_MS
        if ttl_ms <= 0:
            return None
        self.entries[job.id] = now + ttl_ms
        self._memory.key_entries = len(self.entries)
        return StoreKey(job.id, ttl_ms)

    def drop(self, job: Job) -> bool:
        """Remove the entry of a job that never ran, and return whether it had one."""
        had_entry = self.entries.pop(job.id, None) is not None
        self._memory.key_entries = len(self.entries)
        return had_entry

    def expire(self, now: float) -> None:
        """Remove the expired entries."""
        self.entries = {job_id: until for job_id, until in self.entries.items() if until > now}
        self._memory.key_entries = len(self.entries)


def share_prior_result(job: Job, state: SchedulerState, lifecycle: Lifecycle) -> bool:
    """Answer a repeated request with the result of the prior request, which is queued or was started.

    A repeat is not run itself, unless its class is idempotent without a key and the prior request is still
    queued. If there is no memory or no time for the result, the repeat fails. It is not rejected, because a
    rejection guarantees that no attempt ran.

    :returns: Whether `job` is such a repeat and has been handled.
    """
    prior_id = job.request.repeat_of
    if prior_id is None:
        return False
    prior = state.jobs.get(prior_id)
    is_queued = prior is not None and not prior.has_run
    if is_queued and job.request_class.effect is Effect.IDEMPOTENT:
        return False
    job.state = JobState.SHARING_RESULT
    if not state.memory.is_exceeded() and state.now < state.draining.stop_at:
        state.actions.append(ShareResult(job.id))
    else:
        lifecycle.fail(job)
    return True
