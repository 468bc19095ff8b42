"""Idempotency keys: which requests have an entry in the table of keys, and what a repeat of one is given."""

from __future__ import annotations

from typing import TYPE_CHECKING

from moorusher.scheduling.interface import Effect, ShareResult, StoreKey
from moorusher.scheduling.job import Job, JobState
from moorusher.scheduling.memory import MemoryBudget
from moorusher.scheduling.timing import TICK_MS

if TYPE_CHECKING:
    from moorusher.scheduling.lifecycle import Lifecycle
    from moorusher.scheduling.state import SchedulerState

KEY_MARGIN_MS = 2 * TICK_MS  # an entry is kept so much longer than the window in which repeats come


class StoredKeys:
    """The entries that the runner keeps for this scheduler.

    Attributes:
        entries: until when each request's entry is kept, in ms of the runner's clock.
    """

    __slots__ = ("_memory", "entries")

    def __init__(self, memory: MemoryBudget) -> None:
        self._memory = memory
        self.entries: dict[int, float] = {}

    def enter(self, job: Job, now: float) -> StoreKey | None:
        """Enter a job that is about to be queued, if its class has keys: a repeat may come while it waits."""
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
        """Drop the entry of a job that never ran; whether it had one."""
        had_entry = self.entries.pop(job.id, None) is not None
        self._memory.key_entries = len(self.entries)
        return had_entry

    def expire(self, now: float) -> None:
        """Drop the entries whose time is over."""
        self.entries = {job_id: until for job_id, until in self.entries.items() if until > now}
        self._memory.key_entries = len(self.entries)


def share_prior_result(job: Job, state: SchedulerState, lifecycle: Lifecycle) -> bool:
    """Answer a repeat with the result of the request that it repeats, which is queued or has run.

    A repeat is never run itself, unless its class has no effect and the prior request has not started.
    Without memory or time for its result it fails: it is not rejected, since some attempt of it may have
    run.

    Returns:
        Whether `job` is such a repeat and has been dealt with.
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
