"""The first stages of a request, up to the scheduler: it is registered, its idempotency key is claimed with the other
process of this runner and with the other runners, its customer's rules are applied, then the scheduler is told.

Each step may hold the request back until an answer comes; the next one goes on from there.
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
    """Brings requests to the scheduler.

    Attributes:
        registrar: checks arrivals.
        key_claims: claims keys with another process of this runner.
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
        """A frontend has read a request. What is invalid is answered by the frontend, in its protocol's words."""
        self._turn.begin()
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
        """Count an arrival that is no request."""
        self._state.counters.add("faulty")
        return reason

    def resubmit(
        self, arrival: Arrival, reply: Reply, tag: int, ruling: Ruling | None
    ) -> Request | InvalidArrival:
        """Work of another runner that this one goes on with. Its key is this runner's already, and its rules are those
        that it was read under there."""
        self._turn.begin()
        state = self._state
        request = self.registrar.register(arrival, reply, tag, takes_over=True)
        if isinstance(request, Request):
            request.ruling = ruling
            state.counters.add("taken up", request.tenant)
            state.hooks.observer.request_arrived(state.clock.now)
            self.schedule(request)
        return request

    def key_claimed(self, request: Request) -> None:
        """No other process of this runner has its key: the other runners are asked next."""
        if not self._state.hooks.coordinator.acquire_key(request):
            self.schedule(request)

    def schedule(self, request: Request) -> None:
        """Its key is this runner's, or it retries an attempt that is known here: the scheduler is told, unless the
        customer's rules reject it. Only now is it certain that such a rejection comes after no run."""
        self._turn.begin()
        self._count_demand(request)
        if request.ruling is not None and request.ruling.refusal and request.retry_of is None:
            self._reject_by_rules(request)
            return
        self._turn.events.append(self.registrar.scheduler_event(request))

    def _reject_by_rules(self, request: Request) -> None:
        """Final: no other runner would serve it."""
        self._state.counters.add("ruled out", request.tenant)
        reason = request.ruling.refusal.encode()
        answer = Answer(Verdict.REJECTED, reason, Cause.FORBIDDEN_BY_RULES, RETRY_AFTER_MS, final=True)
        self._completion.answer(request, answer)
        self._completion.drop_unstarted(request.number)

    def reject_before_scheduling(self, request: Request, why: str, never_ran: bool = True) -> None:
        """Its key can't be had. `never_ran`: it is certain that no attempt of it runs; else it fails, without that
        promise."""
        self._turn.begin()
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
        """Once, and only where no earlier attempt is known, here or at other runners."""
        if request.uncounted and request.retry_of is None:
            self._state.hooks.demand.requested(request)
        request.uncounted = False

    def caller_disconnected(self, request: Request) -> None:
        """Its caller has cancelled it, or the connection is lost: no answer is owed."""
        if request.reply is None:
            return
        self._turn.begin()
        request.reply = None
        self._state.counters.add("gone", request.tenant)
        self._turn.events.append(api.RequestAbandoned(request.number))
        if request.stage not in STARTED_STAGES:
            self._completion.drop_unstarted(request.number)
