"""What the decision module wants done, carried out on the core's tables and links."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from moorusher.scheduling import interface as api

from .answer import Answer, Cause, Verdict
from .call import Asked
from .clock import MS
from .requests import UNDER_WAY, Stage
from .run import Kernel

if TYPE_CHECKING:
    from .request_engine import Decider

log = logging.getLogger("moorusher")

GAUGE_LEAD = 25 * MS  # gauges are asked for so long before a timer is due, to be fresh when it is


class Actions:
    """One method for each kind of action of `moorusher.scheduling.interface`."""

    def __init__(self, core: Decider, kernel: Kernel) -> None:
        self._core, self._kernel = core, kernel
        self._methods: dict[type, Callable[[Any], None]] = {
            api.Start: self._start,
            api.Stop: self._stop,
            api.Reject: self._reject,
            api.Fail: self._fail,
            api.Call: self._call,
            api.SkipCall: self._skip_call,
            api.StoreKey: self._remember,
            api.DropKey: self._forget,
            api.ShareResult: self._share,
            api.SetHealth: self._set_health,
            api.Signal: self._signal,
            api.CloseIdleConnections: self._trim_connections,
            api.SetTimer: self._set_timer,
            api.Log: self._log,
        }

    def carry_out(self, action: api.Action) -> None:
        """One action, at once."""
        self._methods[type(action)](action)

    def _start(self, action: api.Start) -> None:
        core = self._core
        request = core.table.by_number.get(action.id)
        if request is None or request.stage is not Stage.HELD:
            core.events.append(api.RunEnded(action.id, api.Outcome.NOT_AWAITED))
            core.touch()
        elif request.key is not None and core.coordinator.begins(request):
            request.stage = Stage.BEGINNING
        else:
            core.command(request)

    def _stop(self, action: api.Stop) -> None:
        request = self._core.table.by_number.get(action.id)
        if request is not None and request.stage is Stage.BEGINNING:
            self._core.unwanted.add(action.id)
        else:
            self._core.runs.stop(action.id)

    def _reject(self, action: api.Reject) -> None:
        core = self._core
        if (request := core.table.by_number.get(action.id)) is None:
            return
        if request.stage is not Stage.HELD:
            # It has run, or waits for one that may have: the promise of a refusal can't be given.
            log.error("request %s was to be refused after a run", request.rid)
            return self._fail(api.Fail(action.id))
        core.watch.refused(core.clock.now)
        core.answer(
            request, Answer(Verdict.REFUSED, b"", Cause.TURNED_AWAY, action.retry_after_ms, action.final)
        )
        core.drop_unrun(action.id)

    def _fail(self, action: api.Fail) -> None:
        if (request := self._core.table.by_number.get(action.id)) is None:
            return
        self._core.answer(request, Answer(Verdict.FAILED, cause=Cause.GIVEN_UP))
        if request.stage not in UNDER_WAY:
            self._core.drop_unrun(action.id)

    def _call(self, action: api.Call) -> None:
        core = self._core
        run = core.runs.get(action.id)
        if run is None or not run.notice:
            return
        core.counters.add("calls")
        request = run.request
        token = request.key and f"{request.key[1]}.{run.calls}"
        way = None if request.ruling is None else request.ruling.way
        timeout_ms = max(1, round(action.timeout_ms))
        effect = request.cls.effect
        asked = Asked(request.rid, run.route, request.tenant, effect, token, run.call, timeout_ms, way)
        core.calls.make(action.id, asked, core)

    def _skip_call(self, action: api.SkipCall) -> None:
        self._core.counters.add("calls left out")
        self._core.calls.drop(action.id)
        self._core.runs.go_on(action.id, None)

    def _remember(self, action: api.StoreKey) -> None:
        self._core.keys.keep_until(action.id, self._core.clock.now + round(action.ttl_ms * MS))

    def _forget(self, action: api.DropKey) -> None:
        self._core.drop_unrun(action.id)

    def _share(self, action: api.ShareResult) -> None:
        """From the result of the try that holds the key, or once that has one."""
        core = self._core
        if (request := core.table.by_number.get(action.id)) is None:
            return
        entry = None if request.repeats is None else core.keys.of_try(request.repeats)
        request.stage = Stage.SHARING
        if entry is not None and not entry.over:
            entry.waiters.append(action.id)
        else:
            core.shared(action.id, entry.result if entry is not None else None)

    def _set_health(self, action: api.SetHealth) -> None:
        self._core.healthy = action.healthy

    def _signal(self, action: api.Signal) -> None:
        self._core.hint = action.value

    def _trim_connections(self, action: api.CloseIdleConnections) -> None:
        self._core.trim(round(action.idle_ms * MS))

    def _set_timer(self, action: api.SetTimer) -> None:
        core = self._core
        due = core.clock.now + max(0, round(action.delay_ms * MS))
        if due - core.clock.now <= GAUGE_LEAD:
            self._kernel.ask_gauges()
        else:
            core.alarms.at(due - GAUGE_LEAD, self._kernel.ask_gauges)
        core.alarms.at(due, lambda: core.events.append(api.Timer(action.token, core.told_gauges())))

    def _log(self, action: api.Log) -> None:
        log.info("module: %s", action.text)
