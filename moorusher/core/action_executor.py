"""Executor of the scheduler's actions, with one method for each action of `moorusher.scheduling.interface`."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from moorusher.scheduling import interface as api
from moorusher.time_units import MS

from .answer import Answer, Cause, Verdict
from .call import CallRequest
from .completion import Completion
from .engine_state import EngineState
from .execution import Execution
from .kernel_status import KernelStatus
from .outcomes import EndReason
from .requests import STARTED_STAGES, RequestStage

log = logging.getLogger("moorusher")

# Gauges are requested this long before a scheduler timer is due, so that they are fresh when the timer fires.
GAUGE_LEAD_US = 25 * MS


class ActionExecutor:
    """Applies actions to the engine's tables, the kernel and the downstream calls."""

    def __init__(
        self, state: EngineState, completion: Completion, execution: Execution, kernel_status: KernelStatus
    ) -> None:
        self._state = state
        self._completion = completion
        self._execution = execution
        self._kernel_status = kernel_status
        self._turn = state.turn
        self._table = state.table
        self._methods: dict[type, Callable[[Any], None]] = {
            api.Start: self._start,
            api.Stop: self._stop,
            api.Reject: self._reject,
            api.Fail: self._fail,
            api.StartCall: self._start_call,
            api.SkipCall: self._skip_call,
            api.StoreKey: self._store_key,
            api.DropKey: self._drop_key,
            api.ShareResult: self._share_result,
            api.SetHealth: self._set_health,
            api.Signal: self._set_load_signal,
            api.CloseIdleConnections: self._close_idle_connections,
            api.SetTimer: self._set_timer,
            api.Log: self._log,
        }

    def carry_out(self, action: api.Action) -> None:
        """Carry out one action immediately."""
        self._methods[type(action)](action)

    def _start(self, action: api.Start) -> None:
        request = self._table.by_number.get(action.id)
        if request is None or request.stage is not RequestStage.QUEUED:
            self._turn.events.append(api.RunEnded(action.id, api.ExecutionOutcome.NOT_AWAITED))
            self._turn.start()
        elif request.key is not None and self._state.hooks.coordinator.announce_start(request):
            request.stage = RequestStage.STARTING
        else:
            self._execution.start(request)

    def _stop(self, action: api.Stop) -> None:
        request = self._table.by_number.get(action.id)
        if request is not None and request.stage is RequestStage.STARTING:
            request.stop_requested = True
        else:
            self._state.runs.stop(action.id)

    def _reject(self, action: api.Reject) -> None:
        request = self._table.by_number.get(action.id)
        if request is None:
            return
        if request.stage is not RequestStage.QUEUED:
            # A rejection would promise that the request never ran. This request has started, or waits for the result of
            # another attempt, which may have run. So it fails instead.
            log.error("the scheduler rejected a request that is no longer queued: request=%s", request.rid)
            self._fail(api.Fail(action.id))
            return
        self._state.hooks.observer.request_rejected(self._state.clock.now)
        self._completion.answer(
            request, Answer(Verdict.REJECTED, b"", Cause.REJECTED, action.retry_after_ms, action.final)
        )
        self._completion.drop_unstarted(action.id)

    def _fail(self, action: api.Fail) -> None:
        request = self._table.by_number.get(action.id)
        if request is None:
            return
        self._completion.answer(request, Answer(Verdict.FAILED, cause=Cause.ABANDONED))
        if request.stage not in STARTED_STAGES:
            self._completion.drop_unstarted(action.id)

    def _start_call(self, action: api.StartCall) -> None:
        run = self._state.runs.get(action.id)
        if run is None or not run.notice:
            return
        self._state.counters.add("calls")
        request = run.request
        call = CallRequest(
            request.rid,
            run.route,
            request.tenant,
            request.request_class.effect,
            request.key and f"{request.key[1]}.{run.calls}",
            run.call_body,
            max(1, round(action.timeout_ms)),
            None if request.ruling is None else request.ruling.path,
        )
        number = action.id
        self._state.calls.make(
            number, call, lambda: self._execution.call_ended(number, EndReason.CALL_TIMED_OUT, b"")
        )

    def _skip_call(self, action: api.SkipCall) -> None:
        self._state.counters.add("calls left out")
        self._state.calls.drop(action.id)
        self._state.runs.resume(action.id, None)

    def _store_key(self, action: api.StoreKey) -> None:
        self._state.keys.extend(action.id, self._state.clock.now + round(action.ttl_ms * MS))

    def _drop_key(self, action: api.DropKey) -> None:
        self._completion.drop_unstarted(action.id)

    def _share_result(self, action: api.ShareResult) -> None:
        # The result is that of the attempt that has the key. If that attempt is open, the request waits for its result.
        request = self._table.by_number.get(action.id)
        if request is None:
            return
        entry = None if request.retry_of is None else self._state.keys.of_attempt(request.retry_of)
        request.stage = RequestStage.AWAITING_SHARED_RESULT
        if entry is not None and not entry.finished:
            entry.waiters.append(action.id)
        else:
            self._completion.share_result(action.id, entry.result if entry is not None else None)

    def _set_health(self, action: api.SetHealth) -> None:
        self._state.healthy = action.healthy

    def _set_load_signal(self, action: api.Signal) -> None:
        self._state.load_signal = action.value

    def _close_idle_connections(self, action: api.CloseIdleConnections) -> None:
        self._state.hooks.trim_connections(round(action.idle_ms * MS))

    def _set_timer(self, action: api.SetTimer) -> None:
        state = self._state
        due = state.clock.now + max(0, round(action.delay_ms * MS))
        if due - state.clock.now <= GAUGE_LEAD_US:
            state.kernel.request_gauges()
        else:
            state.alarms.at(due - GAUGE_LEAD_US, state.kernel.request_gauges)
        state.alarms.at(due, lambda: self._timer_due(action.token))

    def _timer_due(self, token: int) -> None:
        self._turn.events.append(api.Timer(token, self._kernel_status.gauges))

    def _log(self, action: api.Log) -> None:
        log.info("scheduler: %s", action.text)
