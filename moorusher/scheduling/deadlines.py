"""Deadlines and latency objectives, and the rules that end jobs which are overdue or can't be in time."""

from __future__ import annotations

from moorusher.scheduling.downstream_calls import DownstreamCalls
from moorusher.scheduling.job import Job, JobState
from moorusher.scheduling.lifecycle import Lifecycle
from moorusher.scheduling.rejection import Rejection
from moorusher.scheduling.state import SchedulerState
from moorusher.scheduling.timing import NEVER, TICK_MS

# A job is answered this much before its deadline, because the next check is only at the next tick.
DEADLINE_MARGIN_MS = TICK_MS / 2


def set_deadlines(job: Job, state: SchedulerState) -> None:
    """Set a new job's deadline and latency objective, counted from the time when its caller sent it.

    A wait stated by the caller (`Request.ttl_ms`), counted from now, replaces the deadline of the class. If
    callers propagate deadlines, a stated wait of 0 means that nobody waits any more; otherwise it means that
    no wait was stated. NaN and infinity count as not stated. A stated wait that is shorter than usual shows
    an unmarked retry, whose client has already waited; it makes the objective earlier.
    """
    request = job.request
    request_class = job.request_class
    age_ms = 0.0
    stated_ms = NEVER if request.ttl_ms is None else request.ttl_ms
    if stated_ms < NEVER and (state.settings.propagates_deadline or stated_ms > 0):
        job.deadline_at = state.now + max(0.0, stated_ms)
        total_wait_ms = stated_ms + request.waited_ms
        job.class_state.stated_waits_ms.append(total_wait_ms)
        age_ms = job.class_state.age_ms(total_wait_ms)
    cost_ms = job.cost_hint_ms or state.service_time.mean_cost_ms
    objective_ms = request_class.latency_objective_ms + request_class.objective_ms_per_cost_ms * cost_ms
    job.objective_at = min(job.deadline_at, job.sent_at - age_ms + objective_ms)


class Deadlines:
    """Answers jobs in any state that are overdue or can't be answered in time."""

    __slots__ = ("_calls", "_lifecycle", "_rejection", "_state")

    def __init__(
        self, state: SchedulerState, lifecycle: Lifecycle, rejection: Rejection, calls: DownstreamCalls
    ) -> None:
        self._state = state
        self._lifecycle = lifecycle
        self._rejection = rejection
        self._calls = calls

    def sweep(self) -> None:
        """Charge running jobs for their core time, and answer each job that is overdue or has lost its value.

        A job that can be in time only without its downstream call abandons the call. The scheduler calls this
        before it admits new requests, because jobs may have become overdue during a pause of the process.
        """
        state = self._state
        charge_use = state.queue.charge_use
        service_ms = state.concurrency.service_ms
        stop_at = state.draining.stop_at
        for job in list(state.jobs.values()):
            if job.state is JobState.RUNNING:
                charge_use(job, service_ms)
            if job.answered:
                continue
            if job.state is JobState.CALLING and self._calls.should_abandon(job):
                self._calls.abandon(job)
            elif state.now >= min(job.deadline_at, stop_at) - DEADLINE_MARGIN_MS:
                self._answer_overdue(job)
            elif self._has_lost_value(job) and self._lifecycle.may_stop(job):
                self._lifecycle.fail(job)

    def reject_expected_late(self) -> None:
        """Reject every queued job, at any position, whose run is not expected to end by its objective."""
        now = self._state.now
        stop_at = self._state.draining.stop_at
        for tenant in self._state.queue.tenants.values():
            if not tenant.waiting:
                continue
            for job in list(tenant.waiting):
                if now + job.class_state.expected_run_ms() > min(job.objective_at, stop_at):
                    self._rejection.reject(job)

    def _answer_overdue(self, job: Job) -> None:
        """Reject an overdue job if it is queued, and so never ran; fail it in any other state."""
        if job.state is JobState.QUEUED:
            self._rejection.reject(job)
        else:
            self._lifecycle.fail(job)

    def _has_lost_value(self, job: Job) -> bool:
        """Return whether the job is past its objective, has no value when late, and should be ended.

        A job on the cores is ended only if requests are queued. A job at a downstream call is ended even
        without a queue, since no work on the cores is lost.
        """
        if job.state is JobState.SHARING_RESULT:
            return False
        if self._state.now < job.objective_at or job.request_class.late_value_fraction > 0:
            return False
        is_at_call = job.state is JobState.AWAITING_CALL or job.state is JobState.CALLING
        return is_at_call or self._state.queue.waiting > 0
