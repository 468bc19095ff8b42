"""Execution: the stage of a request from the run command to the end of the run, including its downstream calls.

The kernel connection and the call transports report their events here.
"""

from __future__ import annotations

import logging

from moorusher.scheduling import interface as api

from .answer import Answer, Cause, Verdict
from .completion import Completion
from .engine_state import EngineState
from .outcomes import SCHEDULER_OUTCOMES, EndReason
from .requests import Request, RequestStage

log = logging.getLogger("moorusher")

MAX_IDS_LOGGED = 8  # request ids in one log line


class Execution:
    """Starts runs and processes the reports of the kernel and the call transports."""

    def __init__(self, state: EngineState, completion: Completion) -> None:
        self._state = state
        self._completion = completion
        self._turn = state.turn
        self._table = state.table
        self._runs = state.runs
        self._calls = state.calls
        self._keys = state.keys
        self._counters = state.counters

    def start(self, request: Request) -> None:
        """Command the kernel to run a request, unless another attempt has its key."""
        # The key is marked as started together with the command, so that a faulty scheduler can't start two runs under
        # one key.
        if request.key is not None and not self._keys.start(
            request.number, self._state.clock.now, request.request_class.idempotency_window_ms
        ):
            log.error(
                "the scheduler started a request whose idempotency key another attempt has: request=%s",
                request.rid,
            )
            self._completion.answer(request, Answer(Verdict.FAILED, cause=Cause.INTERNAL_ERROR))
            self._completion.end(request, EndReason.RUN_UNKNOWN_TO_KERNEL)
            return
        request.stage = RequestStage.RUNNING
        self._counters.add("runs", request.tenant)
        self._runs.start(request)

    # ---- reports of the kernel ----

    def run_ended(self, rid: str, reason: EndReason, body: bytes) -> None:
        """Record that a run has ended, with its result. Ignores a second report of the same run."""
        self._turn.start()
        request = self._table.by_rid.get(rid)
        run = None if request is None else self._runs.end(request.number)
        if request is None or run is None:
            return
        if reason is EndReason.RUN_UNKNOWN_TO_KERNEL and run.acknowledged:
            log.error("the kernel reports a run as unknown that it had acknowledged: request=%s", rid)
        self._calls.drop(request.number)
        state = self._state
        runs_on_cores = self._runs.on_cores + 1
        state.hooks.demand.run_ended(
            request, run.core_us(state.clock.now, state.settings.cores, runs_on_cores)
        )
        succeeded = reason is EndReason.RUN_SUCCEEDED
        self._counters.add("runs " + ("passed" if succeeded else "not passed"), request.tenant)
        self._completion.answer(request, _answer_of_run(reason, body))
        result = body if succeeded else None
        self._completion.end(request, reason)
        for waiter in self._keys.finish(request.number, result):
            self._completion.share_result(waiter, result)

    def command_rejected(self, command: str, rid: str) -> None:
        """Called when the kernel answers a command with EINVAL."""
        # A rejected run command ends the run, unless the kernel has acknowledged the run. Other commands are rejected
        # because they arrive after the end of their run, so nothing has to be done.
        self._counters.add("commands refused")
        request = self._table.by_rid.get(rid)
        run = self._runs.get(request.number) if request else None
        log.warning("the kernel rejected a command: command=%s request=%s", command, rid)
        if command == "SCHED" and run is not None and not run.acknowledged:
            self.run_ended(rid, EndReason.RUN_UNKNOWN_TO_KERNEL, b"")

    def call_needed(self, rid: str, notice: int, body: bytes) -> None:
        """Called when a run requests a downstream call.

        :param notice: number of the kernel's notice that requests the call.
        """
        self._turn.start()
        request = self._table.by_rid.get(rid)
        if request is not None and self._runs.call_needed(request.number, notice, body):
            self._calls.drop(request.number)
            self._turn.events.append(api.CallNeeded(request.number))

    def reconnected(self, commands_read: int) -> None:
        """Send again the commands that may be lost. Called when a new connection has received the kernel's replay.

        :param commands_read: number of commands that the kernel is known to have read.
        """
        self._turn.start()
        resent = self._runs.resend(commands_read, self._is_awaited)
        self._counters.add("kernel commands said again", by=len(resent.runs) + len(resent.replies))
        self._counters.add("kernel replies that may be lost", by=len(resent.uncertain))
        for number in resent.uncertain:
            self._stop_at_deadline(number)
        for number in resent.unwanted:
            run = self._runs.get(number)
            if run is not None:
                self.run_ended(run.request.rid, EndReason.RUN_NEVER_STARTED, b"")
        if resent.runs or resent.replies or resent.uncertain:
            log.info(
                "resent commands on a new connection to the kernel: runs=%d replies=%d uncertain=%s",
                len(resent.runs),
                len(resent.replies),
                self._request_ids(resent.uncertain) or "none",
            )

    def _is_awaited(self, request: Request) -> bool:
        """Return whether the caller of the request, or of a retry of the request, still waits."""
        if request.reply is not None:
            return True
        entry = self._keys.of_attempt(request.number)
        return entry is not None and bool(entry.waiters)

    def _request_ids(self, numbers: list[int]) -> str:
        by_number = self._table.by_number
        return " ".join(by_number[number].rid for number in numbers[:MAX_IDS_LOGGED] if number in by_number)

    def _stop_at_deadline(self, number: int) -> None:
        """Schedule a check at the deadline, which stops the run if it may then wait for a lost reply to its call."""
        request = self._table.by_number.get(number)
        if request is not None:
            due = max(request.deadline_us, self._state.clock.now)
            self._state.alarms.at(due, lambda: self._runs.stop_uncertain(number))

    # ---- reports of the call transports ----

    def call_ended(self, number: int, reason: EndReason, body: bytes) -> None:
        """Record that a request's call has ended, with its reply. Ignores a call that was abandoned before."""
        self._turn.start()
        took_ms = self._calls.end(number, reason)
        if took_ms is None:
            return
        outcome = SCHEDULER_OUTCOMES[reason]
        answered = outcome is api.ExecutionOutcome.OK
        self._counters.add("calls " + ("answered" if answered else reason.value))
        if answered:
            self._runs.resume(number, body)
        self._turn.events.append(api.CallEnded(number, outcome, took_ms))


def _answer_of_run(reason: EndReason, body: bytes) -> Answer:
    if reason is EndReason.RUN_SUCCEEDED:
        return Answer(Verdict.SERVED, body)
    if reason is EndReason.RUN_UNKNOWN_TO_KERNEL:
        return Answer(Verdict.FAILED, cause=Cause.UNKNOWN_TO_KERNEL)
    return Answer(Verdict.FAILED, cause=Cause.RUN_FAILED)
