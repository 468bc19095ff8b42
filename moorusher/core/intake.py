"""Intake: the stages of a request before the scheduler.

The request is registered, its idempotency key is claimed with the other process of this runner and with the other
runners, its customer's rules are applied, and it is reported to the scheduler. The claims are asynchronous: the answer
to a claim triggers the next step.
"""

from __future__ import annotations

import logging

from moorusher.scheduling import interface as api

from .answer import Answer, Cause, Reply, Verdict
from .completion import Completion
from .engine_state import EngineState
from .key_claims import KeyClaims
from .registration import RETRY_AFTER_MS, InvalidArrival, Registrar
from .requests import STARTED_STAGES, Arrival, Request
from .routes import Ruling

log = logging.getLogger("moorusher")


class Intake:
    """Accepts requests and passes them to the scheduler.

    Attributes:
        registrar: Checks and registers arrivals.
        key_claims: Claims keys with another process of this runner.
    """

    def __init__(self, state: EngineState, completion: Completion) -> None:
        self._state = state
        self._completion = completion
        self._turn = state.turn
        self.registrar = Registrar(state.settings, state.clock, state.table, state.keys)
        self.key_claims = KeyClaims(
            state.keys,
            state.table,
            state.clock,
            state.alarms,
            state.counters,
            self,
            completion.share_result,
        )

    def submit(self, arrival: Arrival, reply: Reply, tag: int) -> Request | InvalidArrival:
        """Accept a request from a frontend, which gets the answer after this call, at the end of the turn or later.

        Invalid requests are answered by the frontend.
        """
        self._turn.start()
        self._completion.hold_answers()
        try:
            return self._submit(arrival, reply, tag)
        finally:
            self._completion.submission_returns()

    def _submit(self, arrival: Arrival, reply: Reply, tag: int) -> Request | InvalidArrival:
        state = self._state
        if not state.hooks.routes.ready:
            return self.invalid(InvalidArrival.RULES_UNKNOWN)
        request = self.registrar.register(arrival, reply, tag)
        if isinstance(request, InvalidArrival):
            return self.invalid(request)
        request.ruling = state.hooks.routes.rule(arrival, request.tenant)
        request.uncounted = not arrival.is_retry
        state.counters.add("taken", request.tenant)
        state.hooks.observer.request_arrived(state.clock.now)
        if not self.key_claims.claim(request):
            self.key_claimed(request)
        return request

    def invalid(self, reason: InvalidArrival) -> InvalidArrival:
        """Count an invalid arrival and return the reason."""
        self._state.counters.add("faulty")
        return reason

    def resubmit(
        self, arrival: Arrival, reply: Reply, tag: int, ruling: Ruling | None
    ) -> Request | InvalidArrival:
        """Continue a request of another runner, after this runner has acquired the request's key.

        :param ruling: decision by the rules under which the other runner read the request.
        """
        self._turn.start()
        state = self._state
        request = self.registrar.register(arrival, reply, tag, takes_over=True)
        if isinstance(request, Request):
            request.ruling = ruling
            state.counters.add("taken up", request.tenant)
            state.hooks.observer.request_arrived(state.clock.now)
            self.schedule(request)
        return request

    def key_claimed(self, request: Request) -> None:
        """Claim the key with the other runners. Called when no claim with the other process is needed or pending."""
        if not self._state.hooks.coordinator.acquire_key(request):
            self.schedule(request)

    def schedule(self, request: Request) -> None:
        """Pass the request to the scheduler, unless its customer's rules reject it.

        Called once this runner has the request's key or knows the attempt that it retries.
        """
        self._turn.start()
        self._count_demand(request)
        # Rules are not applied earlier: a rejection promises that no attempt has run, which is unknown until the key is
        # claimed.
        if request.ruling is not None and request.ruling.refusal and request.retry_of is None:
            self._reject_by_rules(request)
            return
        self._turn.events.append(self.registrar.scheduler_event(request))

    def _reject_by_rules(self, request: Request) -> None:
        # The answer is final, as the other runners would reject the request, too.
        self._state.counters.add("ruled out", request.tenant)
        reason = request.ruling.refusal.encode()
        answer = Answer(Verdict.REJECTED, reason, Cause.FORBIDDEN_BY_RULES, RETRY_AFTER_MS, final=True)
        self._completion.answer(request, answer)
        self._completion.drop_unstarted(request.number)

    def reject_before_scheduling(self, request: Request, why: str, never_ran: bool = True) -> None:
        """Answer a request whose key could not be acquired.

        :param never_ran: whether no attempt of the request can have run. It is rejected in this case, else it fails.
        """
        self._turn.start()
        self._count_demand(request)
        log.warning(
            "request rejected before scheduling: request=%s tenant=%s reason=%r",
            request.rid,
            request.tenant,
            why,
        )
        if never_ran:
            answer = Answer(Verdict.REJECTED, b"", Cause.KEY_STATE_UNKNOWN, RETRY_AFTER_MS)
        else:
            answer = Answer(Verdict.FAILED, cause=Cause.MAY_RUN_ELSEWHERE)
        self._completion.answer(request, answer)
        self._completion.drop_unstarted(request.number)

    def _count_demand(self, request: Request) -> None:
        # Counts a request once, and only if no earlier attempt is known here or at other runners.
        if request.uncounted and request.retry_of is None:
            self._state.hooks.demand.requested(request)
        request.uncounted = False

    def caller_disconnected(self, request: Request) -> None:
        """Record that the caller has cancelled the request or lost its connection."""
        if request.reply is None:
            self._completion.discard_answer(request)
            return
        self._turn.start()
        request.reply = None
        self._state.counters.add("gone", request.tenant)
        self._turn.events.append(api.RequestAbandoned(request.number))
        if request.stage not in STARTED_STAGES:
            self._completion.drop_unstarted(request.number)
