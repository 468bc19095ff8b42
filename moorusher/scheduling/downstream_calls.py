"""Downstream calls of running requests: budget, timeout, retries with backoff, and skipped calls.

`Settings.downstream` (`extra.below` of the platform's settings) selects the budget. With `SHARED`, all
runners share the dependency, and each has a quota of the calls that the dependency can serve. With `TIER`,
calls go to another tier of runners: their time is unlimited, and only their number is bounded. With `OFF`, no
call is sent.

This setting does not select the target of a call: `server/composition.py` chooses the backend from the
configuration, in this order: the servers of `[tier]` in the operator's file, with `load_balancing`; a uwsgi
peer; the database. Load balancing may make several attempts of one call, and hedge them.

Retries here repeat a whole call until the request's own deadline. `retry_policy` lists the other layers.
"""

from __future__ import annotations

from moorusher.scheduling.interface import CallEnded, Downstream, ExecutionOutcome, Settings, StartCall
from moorusher.scheduling.job import Job, JobState
from moorusher.scheduling.lifecycle import Lifecycle
from moorusher.scheduling.retry_policy import EVIDENCE_OF_OUTCOME, may_retry
from moorusher.scheduling.state import SchedulerState
from moorusher.scheduling.timing import NEVER

# Share of a window's call time that may be spent at once. The rest of the quota is refilled evenly over time.
BUDGET_BURST_FRACTION = 0.5
TIER_CALLS_PER_CORE = 4.0  # concurrent calls to another tier, for each core
CALL_TIME_LEARNING_RATE = 0.1  # weight of a new sample in the mean duration of a call
MIN_TIMEOUT_MS = 1.0

# Additive increase, multiplicative decrease of the number of concurrent calls to a shared dependency. An
# overloaded dependency completes no call in time; with fewer calls, each one gets more time.
CALLS_INCREASE = 0.1  # calls added to the limit for every `max_in_flight` successes
CALLS_DECREASE_FRACTION = 0.2  # share of the limit removed for each failure

RETRY_BACKOFF_MS = 50.0  # pause before the next attempt, multiplied by the number of failed attempts

# Shortest timeout with which a call is sent. A call with a shorter one would only time out, and would use
# budget that other calls need to complete.
TIMEOUT_PER_CALL_TIME = 2.0  # multiple of the mean duration of a call
# Upper bound of that shortest timeout, as a share of the timeout that an unused budget allows.
IDLE_BUDGET_TIMEOUT_FRACTION = 0.5

# Limits for an optional call, without which its request can be answered. Both are multiples of the mean slot
# time.
SKIP_WAIT_SLOT_TIMES = 0.7  # longest time for which a request waits until its call is sent
ABANDON_SLOT_TIMES = 1.5  # time that a request needs after it has abandoned its call to be answered in time


class DownstreamCalls:
    """The downstream calls of this runner and their budget.

    When a call is sent, the longest time that it may take is charged to the budget. When it has ended, the
    unused part of the charge is refunded, based on the duration of the call and not on the time at which a
    slow runner learns of the end. Charged time is refilled evenly over time. Therefore the runner's mean use
    stays within its quota over every window, even if calls hang.

    Attributes:
        waiting: Jobs in state `AWAITING_CALL`.
        in_flight: Number of jobs in state `CALLING`.
        max_in_flight: Maximum number of concurrent calls.
        call_ms: Mean duration of a call. One that timed out counts only if it took longer than the mean.
        spent_ms: Call time that is charged and neither refunded nor refilled yet.
        budget_ms: Budget of call time. No call is sent while `spent_ms` has reached it.
    """

    __slots__ = (
        "_lifecycle",
        "_state",
        "budget_ms",
        "call_ms",
        "in_flight",
        "max_in_flight",
        "spent_ms",
        "waiting",
    )

    def __init__(self, state: SchedulerState, lifecycle: Lifecycle) -> None:
        settings = state.settings
        self._state = state
        self._lifecycle = lifecycle
        self.waiting: list[Job] = []
        self.in_flight = 0
        self.max_in_flight = _initial_max_in_flight(settings)
        self.call_ms = 0.0
        self.spent_ms = 0.0
        self.budget_ms = _budget_ms(settings)

    def advance(self, elapsed_ms: float) -> None:
        """Refill the part of the budget that is not for bursts."""
        refilled_ms = elapsed_ms * (1 - BUDGET_BURST_FRACTION) * self._state.settings.call_quota
        self.spent_ms = max(0.0, self.spent_ms - refilled_ms)

    def request_call(self, job: Job) -> None:
        """Suspend a running job until its downstream call has ended."""
        if job.state is not JobState.RUNNING:
            return
        now = self._state.now
        self._lifecycle.suspend(job)
        job.call_attempts = 0
        job.call_requested_at = now
        job.next_call_at = now
        self.waiting.append(job)

    def send(self) -> None:
        """Skip or send waiting calls, beginning with those on which their requests depend most."""
        if not self.waiting:
            return
        for job in sorted(self.waiting, key=_value_without_call):
            if job.answered:
                continue
            if self._should_skip(job):
                self._lifecycle.resume_without_call(job)
            elif job.next_call_at <= self._state.now and self._may_send(job):
                self._send_call(job)
        self.waiting = [
            job for job in self.waiting if job.state is JobState.AWAITING_CALL and not job.answered
        ]

    def call_ended(self, job: Job, event: CallEnded) -> None:
        """Settle the charge of an ended call, update the estimates, and resume its job, retry or fail it."""
        if job.state is not JobState.CALLING:
            return
        state = self._state
        succeeded = event.outcome is ExecutionOutcome.OK
        timed_out = event.outcome is ExecutionOutcome.TIMEOUT
        self.in_flight -= 1
        lingering_ms = timed_out * state.settings.abandoned_call_ms
        self.spent_ms += event.latency_ms + lingering_ms - job.call_charge_ms
        if succeeded or (timed_out and event.latency_ms > self.call_ms):
            self.call_ms += CALL_TIME_LEARNING_RATE * (event.latency_ms - self.call_ms)
        self._adjust_max_in_flight(succeeded)
        if succeeded:
            self._lifecycle.resume(job)
            return
        job.state = JobState.AWAITING_CALL
        job.call_attempts += 1
        job.next_call_at = state.now + RETRY_BACKOFF_MS * job.call_attempts
        self.waiting.append(job)
        if not job.answered and not may_retry(job.request_class.effect, EVIDENCE_OF_OUTCOME[event.outcome]):
            self._lifecycle.fail(job)  # the call may have had its effect

    def should_abandon(self, job: Job) -> bool:
        """Return whether a job must abandon its call in flight now to be answered in time.

        Applies only if an answer without the call has value, and if the time from the start of the run to the
        objective was long enough for the rest of the request after the call.
        """
        if job.request_class.value_fraction_without_call <= 0:
            return False
        needed_ms = ABANDON_SLOT_TIMES * self._state.service_time.slot_ms
        had_time = needed_ms <= job.objective_at - job.started_at
        return had_time and job.objective_at - self._state.now < needed_ms

    def abandon(self, job: Job) -> None:
        """Resume a job without its call in flight, and settle the charge by the time taken so far."""
        state = self._state
        self.in_flight -= 1
        elapsed_ms = max(0.0, state.now - job.call_sent_at)
        self.spent_ms += elapsed_ms + state.settings.abandoned_call_ms - job.call_charge_ms
        self._lifecycle.resume_without_call(job)

    def _should_skip(self, job: Job) -> bool:
        """Return whether an optional call would end too late, or has waited so long that it delays others."""
        if job.request_class.value_fraction_without_call <= 0:
            return False
        state = self._state
        slot_ms = state.service_time.slot_ms
        is_late = job.objective_at - state.now < self.call_ms + slot_ms
        return is_late or state.now - job.call_requested_at > SKIP_WAIT_SLOT_TIMES * slot_ms

    def _may_send(self, job: Job) -> bool:
        """Return whether budget and limit allow a call with a timeout that is long enough to complete."""
        needed_ms = TIMEOUT_PER_CALL_TIME * (
            (1 + job.request_class.value_fraction_without_call) * self.call_ms
        )
        idle_timeout_ms = self._timeout_ms(0.0)
        required_ms = min(needed_ms, IDLE_BUDGET_TIMEOUT_FRACTION * idle_timeout_ms, idle_timeout_ms)
        if self._timeout_ms(self.spent_ms) < required_ms:
            return False
        return self.spent_ms < self.budget_ms and self.in_flight + 1 <= self.max_in_flight

    def _send_call(self, job: Job) -> None:
        state = self._state
        job.state = JobState.CALLING
        job.call_sent_at = state.now
        self.in_flight += 1
        remaining_ms = min(job.deadline_at, state.draining.stop_at) - state.now
        timeout_ms = max(MIN_TIMEOUT_MS, min(remaining_ms, self._timeout_ms(self.spent_ms)))
        job.call_charge_ms = timeout_ms + state.settings.abandoned_call_ms
        self.spent_ms += job.call_charge_ms
        state.actions.append(StartCall(job.id, timeout_ms))

    def _timeout_ms(self, spent_ms: float) -> float:
        """Return the timeout, in ms, with which `max_in_flight` calls stay within the remaining budget."""
        share_ms = (self.budget_ms - spent_ms) / self.max_in_flight
        return share_ms - self._state.settings.abandoned_call_ms

    def _adjust_max_in_flight(self, succeeded: bool) -> None:
        settings = self._state.settings
        if settings.downstream is not Downstream.SHARED:
            return
        increase = CALLS_INCREASE / self.max_in_flight
        decrease = CALLS_DECREASE_FRACTION * self.max_in_flight
        limit = self.max_in_flight + (increase if succeeded else -decrease)
        self.max_in_flight = max(1.0, min(limit, settings.call_quota))


def _value_without_call(job: Job) -> float:
    return job.request_class.value_fraction_without_call


def _initial_max_in_flight(settings: Settings) -> float:
    if settings.downstream is Downstream.SHARED:
        return max(1.0, settings.call_quota)
    return TIER_CALLS_PER_CORE * settings.cores


def _budget_ms(settings: Settings) -> float:
    if settings.downstream is Downstream.OFF:
        return 0.0
    if settings.downstream is Downstream.TIER:
        return NEVER
    return BUDGET_BURST_FRACTION * settings.call_quota * settings.call_quota_window_ms
