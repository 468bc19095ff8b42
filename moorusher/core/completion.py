"""Completion, the last stage of a request: the only place where it is answered and removed from the tables."""

from __future__ import annotations

from moorusher.scheduling import interface as api
from moorusher.time_units import MS

from .answer import Answer, Cause, Verdict
from .engine_state import EngineState
from .outcomes import SCHEDULER_OUTCOMES, EndReason
from .requests import STARTED_STAGES, Request
from .unconfirmed_rejections import HeldAnswer, UnconfirmedRejections


class Completion:
    """Answers requests and removes those that have ended."""

    def __init__(self, state: EngineState) -> None:
        self._state = state
        self._turn = state.turn
        self._table = state.table
        self._keys = state.keys
        self._counters = state.counters
        self._is_submitting = False
        # Answers to requests that ended within the call that submitted them, by request number.
        self._held_answers: dict[int, HeldAnswer] = {}
        self._unconfirmed = UnconfirmedRejections(state.clock, state.alarms)

    # ---- answers within a submission ----

    def hold_answers(self) -> None:
        """Hold all answers until `deliver_answers`. Called when a frontend submits a request.

        The frontend records the request as open once the submission returns. A connection whose request was answered
        before that would count as busy for good.
        """
        self._is_submitting = True

    def submission_returns(self) -> None:
        """Send further answers at once. Called at the end of a submission."""
        self._is_submitting = False

    def deliver_answers(self) -> None:
        """Send the held answers. Called at the end of the turn."""
        while self._held_answers:
            held = self._held_answers.pop(next(iter(self._held_answers)))
            held.reply.answer(held.tag, held.answer, self._state.load_signal)

    def discard_answer(self, request: Request) -> None:
        """Discard the held answer of a request whose caller has disconnected."""
        self._held_answers.pop(request.number, None)
        self._unconfirmed.pop(request.number, is_released=True)

    # ---- rejections that the cluster confirms ----

    def key_released(self, number: int, is_confirmed: bool) -> None:
        """Send the rejection of a request whose key was released in the cluster, or a failure without confirmation."""
        held = self._unconfirmed.pop(number, is_confirmed)
        if held is not None:
            self._turn.start()
            self._send(number, held)

    def fail_unconfirmed(self) -> None:
        """Send the failures of all rejections that are not confirmed. Called before the process exits."""
        for number in self._unconfirmed.numbers():
            self.key_released(number, is_confirmed=False)

    # ---- the end of a request ----

    def answer(self, request: Request, answer: Answer) -> None:
        """Send the answer of a request, unless it was answered before or its caller has disconnected."""
        reply = request.reply
        request.reply = None
        if reply is None:
            return
        held = HeldAnswer(reply, request.tag, request.tenant, answer)
        if answer.verdict is Verdict.REJECTED:
            state = self._state
            state.hooks.demand.rejected(request)
            if state.hooks.coordinator.must_confirm_rejection(request):
                slack_ms = state.settings.answer_slack_ms
                self._unconfirmed.add(
                    request, held, slack_ms, lambda number: self.key_released(number, False)
                )
                return
        self._send(request.number, held)

    def _send(self, number: int, held: HeldAnswer) -> None:
        answer = held.answer
        self._counters.add(answer.verdict.value, held.tenant)
        if answer.verdict is Verdict.FAILED:
            self._counters.add("failed: " + answer.cause.value)
        if self._is_submitting:
            self._held_answers[number] = held
        else:
            held.reply.answer(held.tag, answer, self._state.load_signal)

    def end(self, request: Request, reason: EndReason) -> None:
        """End a request after its run or its wait for another attempt's result, and notify the scheduler."""
        took_ms = (self._state.clock.now - request.arrived_us) / MS
        self._turn.events.append(api.RunEnded(request.number, SCHEDULER_OUTCOMES[reason], took_ms))
        self._turn.start()
        self._table.remove(request)

    def drop_unstarted(self, number: int) -> None:
        """Remove a request that ends without a run of its own, and free its key.

        Has no effect on a started or unanswered request.
        """
        request = self._table.by_number.get(number)
        # An unanswered request remains in the table and retains its key, even if the scheduler has dropped the key.
        if request is None or request.stage in STARTED_STAGES or request.reply is not None:
            return
        self._table.remove(request)
        self.fail_waiters(self._keys.release(number))

    def fail_waiters(self, waiters: list[int]) -> None:
        """Fail requests whose awaited attempt has ended without a result."""
        for waiter in waiters:
            self.share_result(waiter, None)

    def share_result(self, number: int, result: bytes | None) -> None:
        """Answer a request that waited for another attempt's result; fail it if `result` is None."""
        request = self._table.by_number.get(number)
        if request is None:
            return
        self._turn.start()
        if result is None:
            self.answer(request, Answer(Verdict.FAILED, cause=Cause.NO_SHARED_RESULT))
            self.end(request, EndReason.RUN_FAILED)
        else:
            self.answer(request, Answer(Verdict.SERVED, result))
            self.end(request, EndReason.RUN_SUCCEEDED)
