"""Application of the cluster's decisions about idempotency keys.

A key may be granted to this runner, belong to an attempt of another runner, move to another runner or be taken over
from one. The engine requests these decisions through `coordination.KeyCoordinator`.
"""

from __future__ import annotations

import logging

from moorusher.scheduling import interface as api
from moorusher.time_units import MS

from .answer import Answer, Cause, Reply, Verdict
from .completion import Completion
from .engine_state import EngineState
from .execution import Execution
from .idempotency_keys import IdempotencyKey, KeyEntry, KeyOwner
from .intake import Intake
from .outcomes import EndReason
from .registration import RETRY_AFTER_MS, InvalidArrival
from .requests import Arrival, Request, RequestStage
from .routes import Ruling

log = logging.getLogger("moorusher")


class RemoteClaims:
    """Receives the cluster's decisions, by request or by key."""

    def __init__(
        self, state: EngineState, completion: Completion, intake: Intake, execution: Execution
    ) -> None:
        self._state = state
        self._completion = completion
        self._intake = intake
        self._execution = execution
        self._turn = state.turn
        self._table = state.table
        self._keys = state.keys

    # ---- answers to `acquire_key` ----

    def granted(self, request: Request) -> None:
        """Pass the request to the scheduler. Called when this runner has the request's key."""
        if request.number in self._table.by_number:
            self._intake.schedule(request)

    def joined(self, request: Request) -> None:
        """Have the request wait for the result of another runner's attempt, which has the request's key."""
        self._cede_key(request)
        if request.number in self._table.by_number:
            self._intake.schedule(request)

    def unavailable(self, request: Request, why: str, never_ran: bool = True) -> None:
        """Answer a request whose key could not be acquired.

        :param never_ran: whether no other runner knows of the request, so that it can't have run.
        """
        if request.number in self._table.by_number:
            self._intake.reject_before_scheduling(request, why, never_ran)

    # ---- answers to `announce_start` ----

    def start_confirmed(self, request: Request) -> None:
        """Start the run, unless it was stopped meanwhile. Called when a majority has acknowledged the start."""
        if not self._is_starting(request):
            return
        self._turn.start()
        if request.reply is None or request.stop_requested:
            self._end_unstarted(request)
        else:
            self._execution.start(request)

    def start_unconfirmed(self, request: Request, why: str) -> None:
        """Fail the request without a run. Called when no majority has acknowledged the start."""
        # The request is not rejected, since the other runners may consider this runner dead and run the request.
        if not self._is_starting(request):
            return
        self._turn.start()
        log.warning(
            "request failed before its run: request=%s tenant=%s reason=%r", request.rid, request.tenant, why
        )
        self._completion.answer(request, Answer(Verdict.FAILED, cause=Cause.MAY_RUN_ELSEWHERE))
        self._end_unstarted(request)

    def _is_starting(self, request: Request) -> bool:
        return self._table.by_number.get(request.number) is request and request.stage is RequestStage.STARTING

    def _end_unstarted(self, request: Request) -> None:
        """End a request that the scheduler has started but whose run was not commanded."""
        if request.reply is not None:
            self._completion.answer(request, Answer(Verdict.FAILED, cause=Cause.ABANDONED))
        self._turn.events.append(api.RunEnded(request.number, api.ExecutionOutcome.NOT_AWAITED))
        self._table.remove(request)
        self._completion.fail_waiters(self._keys.release(request.number))

    # ---- keys that move to another runner ----

    def moved_away(self, request: Request) -> None:
        """Have a queued or starting request wait for the result of another runner, which has taken it over."""
        # The request is removed from the scheduler. It fails if there is no result `answer_slack_ms` before its
        # deadline.
        entry = self._keys.of_attempt(request.number)
        if request.number not in self._table.by_number or entry is None:
            return
        self._turn.start()
        self._cede_key(request)
        if request.stage is RequestStage.STARTING:
            self._turn.events.append(api.RunEnded(request.number, api.ExecutionOutcome.NOT_AWAITED))
        else:
            self._turn.events.append(api.RequestAbandoned(request.number))
        request.stage = RequestStage.AWAITING_SHARED_RESULT
        if request.reply is None:
            self._table.remove(request)
            return
        entry.waiters.append(request.number)
        state = self._state
        due = request.deadline_us - round(state.settings.answer_slack_ms * MS)
        number = request.number
        state.alarms.at(max(due, state.clock.now), lambda: self._completion.share_result(number, None))

    def _cede_key(self, request: Request) -> None:
        entry = self._keys.of_attempt(request.number)
        if entry is not None and not entry.remote:
            number = self._table.allocate_number()
            self._keys.cede(entry, number, entry.body_digest, entry.expires_us, KeyOwner.ELSEWHERE)
            request.retry_of = number

    def take_over(
        self, arrival: Arrival, reply: Reply, tag: int, ruling: Ruling | None = None
    ) -> Request | InvalidArrival:
        """Continue a request of another runner, after this runner has acquired the request's key."""
        return self._intake.resubmit(arrival, reply, tag, ruling)

    # ---- the end of other runners' attempts ----

    def result_received(self, key: IdempotencyKey, result: bytes | None) -> None:
        """Share the result of another runner's attempt with the requests that wait for it.

        :param result: the result; None if the attempt has ended without one.
        """
        self._turn.start()
        entry = self._open_remote_entry(key)
        if entry is not None:
            for waiter in self._keys.finish(entry.number, result):
                self._completion.share_result(waiter, result)
            self._intake.key_claims.finished_elsewhere(entry, result)

    def never_ran(self, key: IdempotencyKey) -> None:
        """Reject the requests that wait for another runner's attempt, which has not run and never will."""
        self._turn.start()
        entry = self._open_remote_entry(key)
        if entry is None or entry.owner is KeyOwner.PEER:
            return  # the other process of this runner may have run it since, and reports how its attempt ends
        self._intake.key_claims.released_elsewhere(entry)
        for number in self._keys.release_remote(entry):
            request = self._table.by_number.get(number)
            if request is not None:
                answer = Answer(Verdict.REJECTED, b"", Cause.REJECTED, RETRY_AFTER_MS)
                self._completion.answer(request, answer)
                self._completion.end(request, EndReason.RUN_NEVER_STARTED)

    def _open_remote_entry(self, key: IdempotencyKey) -> KeyEntry | None:
        entry = self._keys.find(key, self._state.clock.now)
        if entry is None or not entry.remote or entry.finished:
            return None
        return entry
