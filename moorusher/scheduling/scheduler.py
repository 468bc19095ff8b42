"""Scheduler of one runner. Maps events to actions; `scheduling/interface.py` defines their types.

The scheduler is deterministic: it does no I/O, reads no clock and uses no randomness. Equal events at equal
times give equal actions. Each rule is a module of this package; the scheduler calls the rules in a fixed
order.
"""

from __future__ import annotations

from collections.abc import Sequence

from moorusher.scheduling import interface as api
from moorusher.scheduling.admission import Admission
from moorusher.scheduling.deadlines import Deadlines
from moorusher.scheduling.dispatch import Dispatch
from moorusher.scheduling.downstream_calls import DownstreamCalls
from moorusher.scheduling.job import JobState
from moorusher.scheduling.lifecycle import Lifecycle
from moorusher.scheduling.priority import update_credits
from moorusher.scheduling.quotas import update_over_quota
from moorusher.scheduling.reconfiguration import reconfigure
from moorusher.scheduling.rejection import Rejection
from moorusher.scheduling.signals import Allowance, IdleConnections
from moorusher.scheduling.state import SchedulerState
from moorusher.scheduling.timing import TICK_MS, WINDOW_MS


class Scheduler:
    """Scheduler of one runner. Call `open` once, then `step` for every batch of events.

    Attributes:
        state: State that the rules share.
        lifecycle: State transitions of jobs.
        rejection: Rejection of requests.
        calls: Downstream calls.
        deadlines: Answers to overdue jobs.
        admission: Admission to the queue.
        dispatch: Start of queued requests.
        allowance: Number of requests that callers may have outstanding.
        connections: Idle timeout of connections.
        timer_is_set: Whether a timer is outstanding. There is one while there are jobs.
    """

    def __init__(self, settings: api.Settings) -> None:
        self.state = SchedulerState(settings)
        self.lifecycle = Lifecycle(self.state)
        self.rejection = Rejection(self.state, self.lifecycle)
        self.calls = DownstreamCalls(self.state, self.lifecycle)
        self.deadlines = Deadlines(self.state, self.lifecycle, self.rejection, self.calls)
        self.admission = Admission(self.state, self.lifecycle, self.rejection)
        self.dispatch = Dispatch(self.state, self.lifecycle)
        self.allowance = Allowance(self.state, self.rejection)
        self.connections = IdleConnections(settings)
        self.timer_is_set = False

    def open(self, now: float) -> list[api.Action]:
        """Open the runner at `now`, in ms, and return the first actions.

        Health checks do no real work, which would use core time that requests need.
        """
        self.state.open(now)
        return [api.SetHealth(True, True)]

    def step(self, now: float, events: Sequence[api.Event]) -> list[api.Action]:
        """Process events that all occur at `now`, in ms, and return the actions to execute, in order.

        :raises ValueError: If the clock goes backwards, or the settings don't have a request's class.
        """
        state = self.state
        if now < state.now:
            raise ValueError(f"the clock steps back from {state.now} to {now}")
        state.actions = []
        self.calls.advance(now - state.now)
        state.advance(now)
        self._handle_ends(events)
        # Overdue requests are answered before new ones are admitted, because many may have become overdue
        # during a pause of the process.
        self.deadlines.sweep()
        for event in events:
            self._handle(event)
        if now >= state.draining.serve_until:
            state.actions += state.draining.stop_callers(state.settings.signal)
        self.calls.send()
        self.deadlines.reject_expected_late()
        self.dispatch.fill_slots()
        if state.jobs and not self.timer_is_set:
            self.timer_is_set = True
            state.actions.append(api.SetTimer(TICK_MS))
        return state.actions

    def _handle_ends(self, events: Sequence[api.Event]) -> None:
        """Process ended runs and calls in order, before all other events.

        If a call and its run end in one batch, the call must be settled first. Otherwise it would seem that
        the run had ended during the call.
        """
        jobs = self.state.jobs
        for event in events:
            if isinstance(event, api.RunEnded):
                self._run_ended(event)
            elif isinstance(event, api.CallEnded) and event.id in jobs:
                self.calls.call_ended(jobs[event.id], event)

    def _handle(self, event: api.Event) -> None:
        state = self.state
        if isinstance(event, api.Request):
            self._request_arrived(event)
        elif isinstance(event, api.Timer):
            self._timer_fired(event)
        elif isinstance(event, api.CallNeeded):
            if event.id in state.jobs:
                self.calls.request_call(state.jobs[event.id])
        elif isinstance(event, api.RequestAbandoned):
            if event.id in state.jobs:
                self.lifecycle.close(state.jobs[event.id])
        elif isinstance(event, api.DrainNotice):
            state.actions += state.draining.start(event, state.now, state.settings)
        elif isinstance(event, api.Reconfiguration):
            reconfigure(state, event)
        elif isinstance(event, api.PredecessorLoad):
            state.set_predecessor_load(event)

    def _request_arrived(self, request: api.Request) -> None:
        if request.id in self.state.jobs:
            return
        self.admission.arrive(request)
        self.connections.arrivals += 1

    def _run_ended(self, event: api.RunEnded) -> None:
        job = self.state.jobs.get(event.id)
        if job is None or job.state is JobState.QUEUED:
            return
        if job.state is JobState.CALLING:
            self.calls.in_flight -= 1
        # Only a successful run counts in the estimates of costs, because a failed run may have ended early.
        self.lifecycle.end(job, completed=event.outcome is api.ExecutionOutcome.OK)

    def _timer_fired(self, event: api.Timer) -> None:
        state = self.state
        self.timer_is_set = False
        gauges = dict(zip(state.settings.gauges, event.gauges, strict=False))
        state.concurrency.cpu_busy = gauges.get("cpu_busy", state.concurrency.cpu_busy)
        if state.now - state.window_started_at >= WINDOW_MS:
            self._end_window()

    def _end_window(self) -> None:
        """Update the estimates and limits that change once per window."""
        state = self.state
        concurrency = state.concurrency
        window_ms = state.now - state.window_started_at
        state.queue.update_service_rate(window_ms)
        concurrency.adjust_limit(state.now, window_ms)
        state.keys.expire(state.now)
        state.actions += self.connections.end_window(state.settings, window_ms)
        self.rejection.end_window()
        self.allowance.end_window()
        service_time = state.service_time
        update_credits(service_time.classes, service_time.slot_ms, concurrency.limit, window_ms)
        update_over_quota(state.queue.tenants.values(), state.settings.over_quota_weight)
        state.queue.remove_idle(len(state.settings.tenants))
        state.window_started_at = state.now
