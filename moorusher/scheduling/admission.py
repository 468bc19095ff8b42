"""Admission control: decides by expected wait, deadline, memory and class credit if a request is queued."""

from __future__ import annotations

from moorusher.scheduling.deadlines import set_deadlines
from moorusher.scheduling.fair_queue import DEFAULT_WEIGHT, TenantQueue
from moorusher.scheduling.idempotency import share_prior_result
from moorusher.scheduling.interface import Request
from moorusher.scheduling.job import Job
from moorusher.scheduling.lifecycle import Lifecycle
from moorusher.scheduling.priority import outranks
from moorusher.scheduling.rejection import Rejection
from moorusher.scheduling.service_time import ClassState
from moorusher.scheduling.state import SchedulerState
from moorusher.scheduling.timing import NEVER

# Longest expected wait of an admitted request, as a share of its slack: the time until its objective minus
# the expected duration of its run. A request that would wait longer is rejected at once: after a late
# rejection its caller has no time left to try another runner.
MAX_WAIT_FRACTION = 0.55

RESIDUAL_SLOT_FRACTION = 0.5  # mean remaining time of the run that ends next, as a share of the slot time


class Admission:
    """Queues requests or rejects them on arrival."""

    __slots__ = ("_lifecycle", "_rejection", "_state")

    def __init__(self, state: SchedulerState, lifecycle: Lifecycle, rejection: Rejection) -> None:
        self._state = state
        self._lifecycle = lifecycle
        self._rejection = rejection

    def arrive(self, request: Request) -> None:
        """Queue a new request, reject it, or answer it with the result of the request that it repeats.

        :raises ValueError: If the settings don't have the request's class.
        """
        state = self._state
        class_state = self._class_state(request)
        self._rejection.record_arrival(request)
        job = Job(request, self._tenant(request), class_state, state.now)
        set_deadlines(job, state)
        state.jobs[job.id] = job
        state.memory.jobs_kb += job.memory_kb
        if share_prior_result(job, state, self._lifecycle):
            return
        if state.draining.rejects(job.sent_at, state.settings) or not state.memory.can_admit(job):
            self._rejection.reject(job)
            return
        class_state.arrivals += 1
        job.tenant.arrivals += 1
        if self._is_too_late(job):
            self._rejection.reject(self._lowest_ranked(job))
        if not job.answered:
            entry = state.keys.add(job, state.now)
            if entry is not None:
                state.actions.append(entry)
            state.queue.enqueue(job)

    def _is_too_late(self, job: Job) -> bool:
        """Return whether the job would wait too long.

        An idle runner admits every job, so that a wrong estimate cannot block admission for good.
        """
        state = self._state
        wait_ms = self.expected_wait_ms(job)
        # A job of a class that has used up its credit is not queued, but may start at once if a slot is free:
        # free slots are not reserved for other classes.
        if wait_ms > 0.0 and job.class_state.credit_ms < 0:
            wait_ms = NEVER
        return wait_ms > self.max_wait_ms(job) and state.concurrency.running + state.queue.waiting > 0

    def _lowest_ranked(self, job: Job) -> Job:
        """Return the job to reject: the last queued one of the same tenant that `job` outranks, or `job`."""
        for queued in reversed(job.tenant.waiting):
            if outranks(job.request_class, queued.request_class):
                return queued
        return job

    def max_wait_ms(self, job: Job) -> float:
        """Return the longest time for which the job may be queued, in ms.

        The client of a marked retry has already waited for earlier attempts, which the retry's own age does
        not include. To limit retry storms, a marked retry may not wait at all, unless other tenants are over
        their quota and its own tenant is not. All classes of a tenant over its quota get the limit of the
        most urgent class. Otherwise classes with longer objectives would fill the queue and starve the most
        urgent one.
        """
        state = self._state
        over_quota = job.tenant.over_quota
        if job.request.is_retry and (
            over_quota or not any(tenant.over_quota for tenant in state.queue.tenants.values())
        ):
            return 0.0
        slack_ms = job.objective_at - state.now - job.class_state.expected_run_ms()
        if over_quota:
            classes = state.service_time.classes
            slack_ms = min(
                [slack_ms, *(c.request_class.latency_objective_ms - c.expected_run_ms() for c in classes)]
            )
        return MAX_WAIT_FRACTION * slack_ms

    def expected_wait_ms(self, job: Job) -> float:
        """Return how long the job is expected to be queued, in ms.

        The estimate is the time in which the tenant's queue is served at the tenant's weight, as if the other
        backlogged tenants remained backlogged. Its upper bound is the time for the queued jobs of all tenants
        that `job` does not outrank.
        """
        state = self._state
        concurrency = state.concurrency
        if concurrency.on_cores + state.queue.waiting < concurrency.usable_slots():
            return 0.0
        tenant = job.tenant
        backlogged = [other for other in state.queue.tenants.values() if other.waiting or other is tenant]
        weights = sum(other.weight for other in backlogged)
        ahead_of_all = sum(other.count_ahead(job) for other in backlogged)
        ahead = min(tenant.count_ahead(job) * weights / tenant.weight, ahead_of_all)
        return (ahead + RESIDUAL_SLOT_FRACTION) * state.expected_slot_ms() / concurrency.limit

    def _class_state(self, request: Request) -> ClassState:
        """Return the state of the request's class, or a new one if the settings no longer have the class."""
        classes = self._state.service_time.classes
        if request.class_index >= len(classes) or (request.class_index < 0 and request.request_class is None):
            raise ValueError(
                f"request {request.id}: class_index {request.class_index} is not among the settings' classes"
            )
        if request.request_class is not None and request.class_index < 0:
            return ClassState(request.request_class, self._state.service_time.mean_cost_ms)
        return classes[request.class_index]

    def _tenant(self, request: Request) -> TenantQueue:
        """Return the queue of the request's tenant, or of its caller if requests don't name tenants."""
        tenants = self._state.queue.tenants
        number = -1 - request.caller
        if self._state.settings.tenants and request.tenant is not None:
            number = request.tenant
        tenant = tenants.get(number)
        if tenant is None:
            tenant = tenants[number] = TenantQueue(DEFAULT_WEIGHT)
        return tenant
