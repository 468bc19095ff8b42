"""State transitions of a job: start, suspension and resumption around a call, end, answer without a result.

No decisions are made here. Each method updates all state that the transition affects, and adds the action
that the runner must execute.
"""

from __future__ import annotations

from moorusher.scheduling.interface import DropKey, Effect, Fail, Preemption, SkipCall, Start, Stop
from moorusher.scheduling.job import Job, JobState
from moorusher.scheduling.state import SchedulerState


class Lifecycle:
    """Executes the state transitions of jobs."""

    __slots__ = ("_state",)

    def __init__(self, state: SchedulerState) -> None:
        self._state = state

    def start(self, job: Job, slot: int) -> None:
        """Start the first job of a tenant's queue in a free slot."""
        state = self._state
        state.concurrency.running += 1
        state.memory.jobs_kb += state.memory.run_extra_kb(job)
        job.has_run = True
        job.started_at = state.now
        job.class_state.credit_ms -= state.service_time.slot_ms
        state.queue.charge_start(job)
        state.concurrency.acquire_core(job, slot, state.now)
        state.actions.append(Start(job.id))

    def suspend(self, job: Job) -> None:
        """Remove a running job from the cores until its downstream call has ended."""
        self._charge_and_release_core(job)
        job.state = JobState.AWAITING_CALL

    def resume(self, job: Job) -> None:
        """Return a job to the cores, in the lowest free slot or without a slot."""
        concurrency = self._state.concurrency
        concurrency.acquire_core(job, concurrency.lowest_free_slot(), self._state.now)

    def resume_without_call(self, job: Job) -> None:
        """Return a job to the cores without a result of its downstream call."""
        self._state.actions.append(SkipCall(job.id))
        self.resume(job)

    def end(self, job: Job, completed: bool) -> None:
        """Remove a job at the end of its run, or of its wait for another request's result.

        :param completed: Whether the run ended successfully, so that its cost and duration are
            representative.
        """
        if job.state is not JobState.SHARING_RESULT:
            self._end_run(job, completed)
        self._discard(job)

    def fail(self, job: Job) -> None:
        """Answer a job with an error, which does not tell whether it ran."""
        self._state.actions.append(Fail(job.id))
        self.close(job)

    def close(self, job: Job) -> None:
        """Mark a job as answered. Remove it if it has no run of its own, or stop the run if allowed."""
        state = self._state
        job.answered = True
        if job.state is JobState.QUEUED:
            if state.queue.remove(job) and not state.concurrency.tenant_has_slot(job.tenant):
                state.queue.deactivate_if_empty(job.tenant)
            if state.keys.drop(job):
                state.actions.append(DropKey(job.id))
            self._discard(job)
        elif job.state is JobState.SHARING_RESULT:
            self._discard(job)
        elif job.state is JobState.RUNNING and self.may_stop(job):
            state.actions.append(Stop(job.id))

    def may_stop(self, job: Job) -> bool:
        """Return whether a run of the job may be stopped: only an idempotent run, which can be repeated."""
        return (
            self._state.settings.preemption is not Preemption.OFF
            and job.request_class.effect is Effect.IDEMPOTENT
        )

    def _end_run(self, job: Job, completed: bool) -> None:
        state = self._state
        if job.state is JobState.RUNNING:
            state.service_time.record_slot_time(state.now - job.on_core_since)
        job.class_state.record_run(state.now - job.started_at, completed)
        job.answered = True
        if job.state is JobState.RUNNING:
            self._charge_and_release_core(job)
        state.queue.refund(job)
        state.concurrency.running -= 1
        if completed:
            state.service_time.record_cost(job.used_ms)
            state.queue.record_cost(job)
        state.queue.deactivate_if_empty(job.tenant)
        state.memory.jobs_kb -= state.memory.run_extra_kb(job)

    def _charge_and_release_core(self, job: Job) -> None:
        concurrency = self._state.concurrency
        self._state.queue.charge_use(job, concurrency.service_ms)
        concurrency.release_core(job)

    def _discard(self, job: Job) -> None:
        self._state.memory.jobs_kb -= self._state.jobs.pop(job.id).memory_kb
