"""Dispatch: passes the events of a turn to the scheduler in one call, and carries out its actions in order."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import replace

from moorusher.scheduling import interface as api
from moorusher.scheduling.scheduler import Scheduler
from moorusher.time_units import MS

from .action_executor import ActionExecutor
from .answer import Answer, Cause, Verdict
from .completion import Completion
from .engine_state import EngineState
from .kernel_status import KernelStatus
from .requests import STARTED_STAGES

log = logging.getLogger("moorusher")


class Dispatcher:
    """Owns the scheduler and calls it at the end of each turn.

    Attributes:
        scheduler: The scheduler; None until the kernel is up.
        coexisting: Load of another process of this runner, as last reported to the scheduler.
    """

    def __init__(
        self,
        state: EngineState,
        completion: Completion,
        executor: ActionExecutor,
        kernel_status: KernelStatus,
        make_scheduler: Callable[[api.Settings], Scheduler],
    ) -> None:
        self._state = state
        self._completion = completion
        self._executor = executor
        self._kernel_status = kernel_status
        self._make_scheduler = make_scheduler
        self._turn = state.turn
        self._turn.on_end = self.end_turn
        self.scheduler: Scheduler | None = None
        self.coexisting = api.PredecessorLoad()
        self._opened_warming_up = False  # whether the scheduler was created for a kernel that is warming up

    def open(self) -> None:
        """Create and open a scheduler."""
        state = self._state
        # The kernel's own report is used, since the settings describe the kernel at the time they were written.
        self._opened_warming_up = self._kernel_status.is_warming_up()
        scheduler = self._make_scheduler(replace(state.settings, warming_up=self._opened_warming_up))
        self.scheduler = scheduler
        # For a kernel that is warming up, the opening time is the kernel's start, from which the warm-up is counted.
        # For a warm kernel it is the current time, because the scheduler's first window begins at the opening time.
        opened_at_us = self._kernel_status.started_at_us if self._opened_warming_up else state.clock.now
        for action in scheduler.open(state.clock.scheduler_ms(opened_at_us)):
            self._executor.carry_out(action)
        self._turn.events.append(self.coexisting)
        drain_state = state.drain_state
        if drain_state.shutting_down:
            self._turn.events.append(api.DrainNotice(drain_state.remaining_us / MS, drain_state.replaced))

    def end_turn(self) -> None:
        """Pass the turn's events to the scheduler and carry out the resulting actions."""
        events = self._turn.close()
        self._completion.deliver_answers()
        scheduler = self.scheduler
        if scheduler is not None and events:
            try:
                actions = scheduler.step(self._state.clock.scheduler_ms(), events)
            except Exception:
                log.exception("scheduler step failed, replacing the scheduler: events=%s", events)
                self._replace_scheduler()
                actions = []
            for action in actions:
                try:
                    self._executor.carry_out(action)
                except Exception:
                    log.exception("could not carry out an action of the scheduler: action=%s", action)
                    self._fail_request(getattr(action, "id", 0))
        if self._state.drain_state.stop_at_us is not None:
            self._state.hooks.turn_ended_while_draining()

    def _replace_scheduler(self) -> None:
        # After an exception in a step, the scheduler's state can't be trusted, so all unanswered requests fail and a
        # new scheduler is created. The key table remains, so that nothing runs twice. Idempotent runs are stopped. All
        # other runs continue, and the new scheduler ignores their ends.
        self._state.counters.add("faults")
        for number in list(self._state.table.by_number):
            self._fail_request(number)
        self.open()

    def _fail_request(self, number: int) -> None:
        request = self._state.table.by_number.get(number)
        if request is None:
            return
        self._completion.answer(request, Answer(Verdict.FAILED, cause=Cause.INTERNAL_ERROR))
        if request.stage not in STARTED_STAGES:
            self._completion.drop_unstarted(number)
        elif request.request_class.effect is api.Effect.IDEMPOTENT:
            self._state.runs.stop(number)

    def coexist(self, coexisting: api.PredecessorLoad) -> None:
        """Report the load of another process of this runner to the scheduler."""
        self._turn.start()
        self.coexisting = coexisting
        self._turn.events.append(coexisting)

    def settings_changed(
        self, settings: api.Settings, classes: tuple[int, ...], tenants: tuple[int, ...]
    ) -> None:
        """Pass new settings to the scheduler, with the former index of each class and tenant."""
        if self.scheduler is not None:
            settings = replace(settings, warming_up=self._opened_warming_up)
            self._turn.events.append(api.Reconfiguration(settings, classes, tenants))
