"""State machine of calls and their attempts: takes events and returns instructions.

A call is sent to an endpoint, queued if none has capacity, or rejected if the queue is full. A failed attempt may be
retried, and a slow one hedged. The owner of the load balancer executes the instructions that `handle` returns, in
order, and sends TimerFired at the time that `next_timer` returns.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from itertools import count

from .call_queue import CallQueue
from .calls import CallState, OpenCall
from .endpoint import Endpoint
from .endpoint_set import EndpointSet, Selection
from .hedging import hedge_at, hedge_still_useful, may_hedge
from .messages import (
    NO_ATTEMPT,
    AttemptEnded,
    AttemptOutcome,
    CallCancelled,
    CallStarted,
    CancelAttempt,
    CompleteCall,
    EndpointRemoved,
    Event,
    Instruction,
    MembershipChanged,
    SendAttempt,
    TimerFired,
)
from .outlier_detection import is_unresponsive
from .policy import EndpointConfig, LoadBalancingPolicy
from .retry import RetryAt, decide_retry, has_time_remaining
from .retry_budget import RetryBudget
from .timers import NO_CALL, TimerKind, Timers


@dataclass(slots=True)
class Counts:
    """Totals of a load balancer since its start; `status` maps them to the JSON of /servers."""

    calls: int = 0
    attempts: int = 0
    retries: int = 0
    hedges: int = 0
    hedges_won: int = 0  # hedged calls of which the second copy was answered first
    queued: int = 0
    queue_full: int = 0  # calls rejected because the queue was full
    denied_by_budget: int = 0  # retries and hedges for which the budget had no token


class LoadBalancer:
    """The load balancer of one set of endpoints.

    Attributes:
        endpoints: The endpoints; add, drain and retire endpoints there.
        counts: Totals since the start.
    """

    def __init__(
        self,
        configs: Iterable[EndpointConfig],
        policy: LoadBalancingPolicy,
        runner: str,
        draw: Callable[[], float],
        now: int,
        attempt_ids: Iterator[int] | None = None,
    ) -> None:
        """Create a load balancer without calls.

        :param runner: Name of this runner.
        :param draw: Returns a random number in [0, 1).
        :param now: In microseconds.
        :param attempt_ids: Source of attempt ids, if several load balancers share one.
        """
        self._policy = policy
        self._draw = draw
        self.endpoints = EndpointSet(configs, policy, runner, draw, now)
        self.counts = Counts()
        self._budget = RetryBudget(policy.retry_budget_ratio, policy.min_retries_per_s, now)
        self._queue = CallQueue(policy.max_queued_calls)
        self._timers = Timers()
        self._slot_timer_at = 0  # time of the latest SLOT timer in microseconds
        self._attempt_ids = count(1) if attempt_ids is None else attempt_ids
        # Calls that have not ended, by id.
        self._calls: dict[int, OpenCall] = {}
        # Call of each attempt in flight, by attempt id. The call is also in `_calls`, and the id in its `attempts`.
        self._call_of: dict[int, OpenCall] = {}

    @property
    def open_calls(self) -> int:
        """Number of calls that have not ended."""
        return len(self._calls)

    def next_timer(self) -> int | None:
        """Return when TimerFired is due next (us); None if no timer is set."""
        return self._timers.next_time()

    def handle(self, event: Event) -> list[Instruction]:
        """Process one event, and return the instructions to execute, in order."""
        match event:
            case CallStarted():
                return self._on_call_started(event)
            case AttemptEnded():
                return self._on_attempt_ended(event.now, event.attempt_id, event.outcome)
            case CallCancelled():
                return self._on_call_cancelled(event.now, event.call_id)
            case TimerFired():
                return self._on_timer_fired(event.now)
            case EndpointRemoved():
                return self._on_endpoint_removed(event.now, event.name)
            case MembershipChanged():
                return self._on_membership_changed(event.now)

    # ---- events ----

    def _on_call_started(self, event: CallStarted) -> list[Instruction]:
        instructions = self._on_call_cancelled(event.now, event.call_id)
        self.counts.calls += 1
        self._budget.call_started()
        call = OpenCall(event.call_id, event.effect, event.deadline, event.max_attempts)
        self._calls[event.call_id] = call
        return instructions + self._start_attempt(event.now, call)

    def _on_call_cancelled(self, now: int, call_id: int) -> list[Instruction]:
        call = self._calls.pop(call_id, None)
        if call is None:
            return []
        self._queue.discard(call)
        return self._cancel_attempts(now, call) + self._serve_queue(now)

    def _on_attempt_ended(self, now: int, attempt_id: int, outcome: AttemptOutcome) -> list[Instruction]:
        call = self._call_of.pop(attempt_id, None)
        if call is None:
            return []
        endpoint = call.attempts.pop(attempt_id)
        self.endpoints.attempt_ended(now, endpoint, attempt_id, outcome)
        if outcome in (AttemptOutcome.ANSWERED, AttemptOutcome.NOT_AWAITED):
            if call.hedged and outcome is AttemptOutcome.ANSWERED and endpoint is call.last_endpoint:
                self.counts.hedges_won += 1
            return self._complete(now, call, attempt_id, outcome)
        if call.attempts:
            return self._serve_queue(now)  # the other copy may still be answered
        decision = decide_retry(now, call, outcome, self._policy, self._budget, self._draw)
        if isinstance(decision, RetryAt):
            return self._transition_in_flight_backing_off(now, call, decision.at)
        if decision.budget_spent:
            self.counts.denied_by_budget += 1
        return self._complete(now, call, attempt_id, outcome)

    def _on_timer_fired(self, now: int) -> list[Instruction]:
        instructions: list[Instruction] = []
        while (timer := self._timers.pop_due(now)) is not None:
            at, call_id, kind = timer
            call = self._calls.get(call_id)
            if call is None:
                continue
            if kind is TimerKind.RETRY:
                if call.state is CallState.BACKING_OFF and call.retry_at == at:
                    instructions += self._start_attempt(now, call, avoid=call.last_endpoint)
            elif kind is TimerKind.HEDGE and hedge_still_useful(now, call):
                instructions += self._hedge(now, call)
        return instructions + self._serve_queue(now)

    def _on_endpoint_removed(self, now: int, name: str) -> list[Instruction]:
        endpoint = self.endpoints.remove(name)
        instructions: list[Instruction] = []
        for attempt_id in [] if endpoint is None else list(endpoint.in_flight):
            instructions.append(CancelAttempt(attempt_id))
            instructions += self._on_attempt_ended(now, attempt_id, AttemptOutcome.FAILED)
        return instructions

    def _on_membership_changed(self, now: int) -> list[Instruction]:
        if self.endpoints.has_members:
            return self._serve_queue(now)
        return [self._end_waiting(call) for call in list(self._calls.values()) if not call.attempts]

    def _end_waiting(self, call: OpenCall) -> Instruction:
        """End a call that has no attempt in flight. An earlier attempt of it may have run."""
        del self._calls[call.call_id]
        self._queue.discard(call)
        outcome = AttemptOutcome.FAILED if call.attempts_made else AttemptOutcome.REJECTED
        return CompleteCall(call.call_id, NO_ATTEMPT, outcome)

    # ---- transitions of a call ----

    def _start_attempt(self, now: int, call: OpenCall, avoid: Endpoint | None = None) -> list[Instruction]:
        """Send an attempt, queue the call, or reject the call. The call is in STARTING or BACKING_OFF."""
        selection = self.endpoints.select(now, call.tolerates_duplicates, avoid)
        if selection is None and avoid is not None:
            selection = self.endpoints.select(now, call.tolerates_duplicates)
        if selection is not None:
            return [self._transition_to_in_flight(now, call, selection)]
        if self._queue.is_full:
            self.counts.queue_full += 1
            del self._calls[call.call_id]
            return [CompleteCall(call.call_id, NO_ATTEMPT, AttemptOutcome.REJECTED)]
        self._transition_to_queued(now, call)
        return []

    def _transition_to_in_flight(self, now: int, call: OpenCall, selection: Selection) -> Instruction:
        endpoint = selection.endpoint
        attempt_id = next(self._attempt_ids)
        call.state = CallState.IN_FLIGHT
        call.attempts_made += 1
        call.last_endpoint = endpoint
        call.attempts[attempt_id] = endpoint
        self._call_of[attempt_id] = call
        self.counts.attempts += 1
        endpoint.attempt_sent(now, attempt_id, selection.is_health_check)
        if may_hedge(call, self._policy, selection.is_health_check):
            at = hedge_at(now, call, endpoint, self.endpoints.typical_latency(now))
            if at is not None:
                self._timers.add(at, call.call_id, TimerKind.HEDGE)
        timeout_us = max(1, call.deadline - now)
        return SendAttempt(call.call_id, attempt_id, endpoint.config.name, timeout_us)

    def _transition_to_queued(self, now: int, call: OpenCall) -> None:
        self.counts.queued += 1
        self._queue.push(call)
        self._set_slot_timer(now)

    def _transition_in_flight_backing_off(self, now: int, call: OpenCall, at: int) -> list[Instruction]:
        self.counts.retries += 1
        call.state = CallState.BACKING_OFF
        call.retry_at = at
        self._timers.add(at, call.call_id, TimerKind.RETRY)
        return self._serve_queue(now)

    def _complete(
        self, now: int, call: OpenCall, attempt_id: int, outcome: AttemptOutcome
    ) -> list[Instruction]:
        """End a call in IN_FLIGHT with the outcome of one of its attempts, and cancel its other copies."""
        del self._calls[call.call_id]
        completed: list[Instruction] = [CompleteCall(call.call_id, attempt_id, outcome)]
        return completed + self._cancel_attempts(now, call) + self._serve_queue(now)

    def _cancel_attempts(self, now: int, call: OpenCall) -> list[Instruction]:
        """Cancel the call's attempts in flight; an unresponsive one still counts as a failure of its endpoint."""
        instructions: list[Instruction] = []
        for attempt_id, endpoint in call.attempts.items():
            age_us = now - endpoint.in_flight[attempt_id].sent_at
            unresponsive = is_unresponsive(age_us, self.endpoints.typical_latency(now))
            del self._call_of[attempt_id]
            self.endpoints.attempt_ended(now, endpoint, attempt_id, AttemptOutcome.CANCELLED, unresponsive)
            instructions.append(CancelAttempt(attempt_id))
        call.attempts.clear()
        return instructions

    def _hedge(self, now: int, call: OpenCall) -> list[Instruction]:
        """Send a second copy if another endpoint has capacity and the budget has a token."""
        first = next(iter(call.attempts.values()))
        selection = self.endpoints.select(now, call.tolerates_duplicates, avoid=first)
        if selection is None:
            return []
        if not self._budget.try_acquire(now):
            self.counts.denied_by_budget += 1
            return []
        call.hedged = True
        self.counts.hedges += 1
        return [self._transition_to_in_flight(now, call, selection)]

    # ---- the queue ----

    def _serve_queue(self, now: int) -> list[Instruction]:
        """Send queued calls while an endpoint has capacity, earliest deadline first."""
        instructions: list[Instruction] = []
        while (call := self._queue.first()) is not None:
            selection = self.endpoints.select(now, call.tolerates_duplicates)
            if selection is None:
                self._set_slot_timer(now)
                break
            self._queue.pop_first()
            if has_time_remaining(now, call.deadline):
                instructions.append(self._transition_to_in_flight(now, call, selection))
            else:
                call.state = CallState.EXPIRED
        return instructions

    def _set_slot_timer(self, now: int) -> None:
        """Set a timer for the next slot of an endpoint in slow start, since no other event may serve the queue then."""
        slot = self.endpoints.next_slot(now)
        if slot is not None and not now < self._slot_timer_at <= slot:
            self._slot_timer_at = slot
            self._timers.add(slot, NO_CALL, TimerKind.SLOT)
