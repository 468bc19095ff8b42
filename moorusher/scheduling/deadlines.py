"""When a request is due, and which ones are given up: overdue, or of no use any more when they would end."""

from __future__ import annotations

from moorusher.scheduling.downstream_calls import DownstreamCalls
from moorusher.scheduling.job import Job, JobState
from moorusher.scheduling.lifecycle import Lifecycle
from moorusher.scheduling.rejection import Rejection
from moorusher.scheduling.state import SchedulerState
from moorusher.scheduling.timing import NEVER, TICK_MS

DEADLINE_MARGIN_MS = TICK_MS / 2  # a deadline that passes before the next tick is met at this one


def set_deadlines(job: Job, state: SchedulerState) -> None:
    """Work out a new job's deadline and latency objective, both from when its caller sent it.

    A wait that the caller states replaces the deadline of the class. Where callers pass their deadline on,
    a stated wait of 0 means that nobody waits any more; else it means that none was stated. A wait that is
    no number counts as not stated. A wait that is shorter than usual shows that the client has waited
    already (an unmarked retry), and moves the objective forward.
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
    """Gives up jobs whose time has passed, whatever they are doing."""

    __slots__ = ("_calls", "_lifecycle", "_rejection", "_state")

    def __init__(
        self, state: SchedulerState, lifecycle: Lifecycle, rejection: Rejection, calls: DownstreamCalls
    ) -> None:
        self._state = state
        self._lifecycle = lifecycle
        self._rejection = rejection
        self._calls = calls

    def sweep(self) -> None:
        """Charge running jobs for their use, and answer every job that is overdue or has become futile.

        A step comes late when the process was paused: what is overdue is answered before anything new is
        admitted.
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
            if job.state is JobState.CALLING and self._calls.is_too_long(job):
                self._calls.abandon(job)
            elif state.now >= min(job.deadline_at, stop_at) - DEADLINE_MARGIN_MS:
                self._give_up(job)
            elif self._is_futile(job) and self._lifecycle.may_stop(job):
                self._lifecycle.fail(job)

    def reject_hopeless(self) -> None:
        """Reject every queued job whose run could not end by its objective, wherever it is in its queue."""
        now = self._state.now
        stop_at = self._state.draining.stop_at
        for tenant in self._state.queue.tenants.values():
            if not tenant.waiting:
                continue
            for job in list(tenant.waiting):
                if now + job.class_state.expected_run_ms() > min(job.objective_at, stop_at):
                    self._rejection.reject(job)

    def _give_up(self, job: Job) -> None:
        """Answer an overdue job. A queued one never ran; any other fails: running work is no excuse."""
        if job.state is JobState.QUEUED:
            self._rejection.reject(job)
        else:
            self._lifecycle.fail(job)

    def _is_futile(self, job: Job) -> bool:
        """Whether a job is past its objective, worth nothing when late, and keeps others from the cores.

        One that stands at a downstream call is given up even if nobody else waits: no work is lost.
        """
        if job.state is JobState.SHARING_RESULT:
            return False
        if self._state.now < job.objective_at or job.request_class.late_value_fraction > 0:
            return False
        is_at_call = job.state is JobState.AWAITING_CALL or job.state is JobState.CALLING
        return is_at_call or self._state.queue.waiting > 0
