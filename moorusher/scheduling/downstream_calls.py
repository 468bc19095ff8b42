"""Calls that requests make while they run: budget, timeout, retries with backoff, and when to do without.

`Settings.downstream` (`extra.below` of the platform's settings) decides on the budget. Under `SHARED` the
dependency is shared by all runners, each of which has a part of the calls that it bears. Under `TIER` it is
a further tier, whose budget is unlimited and whose calls are bounded in number alone. Under `OFF` no call is
sent.

Where a call goes does not follow from that setting: `server/composition.py` chooses the backend by what the
configuration has. Servers of `[tier]` in the operator's file come first, with `load_balancing` over them;
then a uwsgi peer; then the database. Load balancing may make several attempts of one call, and hedge them.

Retries here are of a whole call, by the request's own deadline; `retry_policy` names the other layers.
"""

from __future__ import annotations

from moorusher.scheduling.interface import CallEnded, Downstream, ExecutionOutcome, Settings, StartCall
from moorusher.scheduling.job import Job, JobState
from moorusher.scheduling.lifecycle import Lifecycle
from moorusher.scheduling.retry_policy import EVIDENCE_OF_OUTCOME, may_retry
from moorusher.scheduling.state import SchedulerState
from moorusher.scheduling.timing import NEVER

BUDGET_BURST_FRACTION = 0.5  # of a window's call time that may be spent at once; the rest flows back evenly
TIER_CALLS_PER_CORE = 4.0  # calls to a further tier at once
CALL_TIME_LEARNING_RATE = 0.1  # weight of a new sample in the mean length of a call
MIN_TIMEOUT_MS = 1.0

# The number of calls at once to a shared dependency: additive increase, multiplicative decrease. A crowded
# dependency ends nothing in time: fewer calls have more time each.
CALLS_INCREASE = 0.1  # calls, for as many successes as may be out at once
CALLS_DECREASE_FRACTION = 0.2  # of the limit, for each failure

RETRY_BACKOFF_MS = 50.0  # times the failed attempts so far: the pause before the next attempt

# A call whose timeout is shorter could only time out, and takes from those that could end.
TIMEOUT_PER_CALL_TIME = 2.0  # times its usual length that a call must be given
TIMEOUT_OF_IDLE_BUDGET = 0.5  # of the timeout under an idle budget: at most so much is asked

# An optional call: its request goes on without it.
SKIP_WAIT_SLOT_TIMES = 0.7  # times the usual slot time for which a request waits for a call to go out
ABANDON_SLOT_TIMES = 1.5  # times the usual slot time that a request needs after its call, to be in time


class DownstreamCalls:
    """The downstream calls of this runner, and the budget for them.

    Like a start, a call is charged the most that it may take, and the rest is refunded at its end: by what
    the call took, not by when a slow runner hears of it. So over every window the runner spends its part in
    the mean, however many calls hang.

    Attributes:
        waiting: jobs in state `AWAITING_CALL`.
        in_flight: jobs in state `CALLING`.
        max_in_flight: calls that may be out at once.
        call_ms: mean length of a call; one that timed out counts if it was longer.
        spent_ms: call time that is charged and has not flowed back yet.
        budget_ms: the most that may be charged at a time.
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
        """Let the part of the budget that is not for bursts flow back."""
        flown_back_ms = elapsed_ms * (1 - BUDGET_BURST_FRACTION) * self._state.settings.call_quota
        self.spent_ms = max(0.0, self.spent_ms - flown_back_ms)

    def request_call(self, job: Job) -> None:
        """A running job cannot go on without a downstream call."""
        if job.state is not JobState.RUNNING:
            return
        now = self._state.now
        self._lifecycle.suspend(job)
        job.call_attempts = 0
        job.call_wanted_at = now
        job.next_call_at = now
        self.waiting.append(job)

    def send(self) -> None:
        """Send the calls that may go out, first those that their requests need most; skip hopeless ones."""
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

    def ended(self, job: Job, event: CallEnded) -> None:
        """A call is over: settle its charge, learn from it, and resume its job or retry after a backoff."""
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
            self._lifecycle.fail(job)  # the call may have taken effect

    def is_too_long(self, job: Job) -> bool:
        """Whether a job must go on without its call now, which is out, so that the rest of it can be in time.

        Only where the request is worth something without the call, and had such time to begin with.
        """
        if job.request_class.value_fraction_without_call <= 0:
            return False
        needed_ms = ABANDON_SLOT_TIMES * self._state.service_time.slot_ms
        had_time = needed_ms <= job.objective_at - job.started_at
        return had_time and job.objective_at - self._state.now < needed_ms

    def abandon(self, job: Job) -> None:
        """A job goes on without its call, which is out: the charge is settled by the time taken so far."""
        state = self._state
        self.in_flight -= 1
        took_ms = max(0.0, state.now - job.call_sent_at)
        self.spent_ms += took_ms + state.settings.abandoned_call_ms - job.call_charge_ms
        self._lifecycle.resume_without_call(job)

    def _should_skip(self, job: Job) -> bool:
        """Whether an optional call could not end in time, or is so scarce that its request blocks others."""
        if job.request_class.value_fraction_without_call <= 0:
            return False
        state = self._state
        slot_ms = state.service_time.slot_ms
        is_late = job.objective_at - state.now < self.call_ms + slot_ms
        return is_late or state.now - job.call_wanted_at > SKIP_WAIT_SLOT_TIMES * slot_ms

    def _may_send(self, job: Job) -> bool:
        """Whether a call fits under the budget and the limit, with a timeout that it could end in."""
        needed_ms = TIMEOUT_PER_CALL_TIME * (
            (1 + job.request_class.value_fraction_without_call) * self.call_ms
        )
        idle_timeout_ms = self._timeout_ms(0.0)
        enough_ms = min(needed_ms, TIMEOUT_OF_IDLE_BUDGET * idle_timeout_ms, idle_timeout_ms)
        if self._timeout_ms(self.spent_ms) < enough_ms:
            return False
        return self.spent_ms < self.budget_ms and self.in_flight + 1 <= self.max_in_flight

    def _send_call(self, job: Job) -> None:
        state = self._state
        job.state = JobState.CALLING
        job.call_sent_at = state.now
        self.in_flight += 1
        until_due_ms = min(job.deadline_at, state.draining.stop_at) - state.now
        timeout_ms = max(MIN_TIMEOUT_MS, min(until_due_ms, self._timeout_ms(self.spent_ms)))
        job.call_charge_ms = timeout_ms + state.settings.abandoned_call_ms
        self.spent_ms += job.call_charge_ms
        state.actions.append(StartCall(job.id, timeout_ms))

    def _timeout_ms(self, spent_ms: float) -> float:
        """How long a call may take if all that may be out at once are to stay within the budget."""
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
