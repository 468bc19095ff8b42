"""What becomes of requests where other runners have a word on their keys: granted here, joined with a try of another,
given away, taken up. Answers to what the core has asked its `KeyCoordinator`; nothing is decided of a key here.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from moorusher.scheduling import interface as api

from .answer import Answer, Cause, Reply, Verdict
from .clock import MS
from .idempotency_keys import Key
from .intake import BUSY_MS, Fault
from .outcomes import Ending
from .requests import Arrival, Request, Stage
from .routes import Ruling

if TYPE_CHECKING:
    from .request_engine import Decider

log = logging.getLogger("moorusher")


class Others:
    """Carries out in the core what the fleet has settled of a key."""

    def __init__(self, core: Decider) -> None:
        self._core = core

    def granted(self, request: Request) -> None:
        """Its key is this runner's."""
        if request.number in self._core.table.by_number:
            self._core.hand_on(request)

    def joined(self, request: Request) -> None:
        """Another runner has its key: it waits for that try's result, as a repeat of it."""
        self._give(request)
        if request.number in self._core.table.by_number:
            self._core.hand_on(request)

    def uncovered(self, request: Request, why: str, proven: bool = True) -> None:
        """`proven`: nobody else knows of it. Else it is told without the promise that it never runs."""
        if request.number in self._core.table.by_number:
            self._core.turn_away(request, why, proven)

    def _give(self, request: Request) -> None:
        entry = self._core.keys.of_try(request.number)
        if entry is not None and not entry.theirs:
            self._core.keys.give(entry, self._core.table.number(), entry.body, entry.until)
            request.repeats = entry.number

    def given(self, request: Request) -> None:
        """Another runner has what the module here held or had started: it waits for the result beside the module, until
        it is due."""
        entry = self._core.keys.of_try(request.number)
        if request.number not in self._core.table.by_number or entry is None:
            return
        self._core.touch()
        self._give(request)
        self._core.events.append(
            api.RunEnded(request.number, api.Outcome.NOT_AWAITED)
            if request.stage is Stage.BEGINNING
            else api.RequestAbandoned(request.number)
        )
        request.stage = Stage.SHARING
        if request.reply is None:
            self._core.table.remove(request)
            return
        entry.waiters.append(request.number)
        due = request.due - round(self._core.settings.answer_slack_ms * MS)
        self._core.alarms.at(max(due, self._core.clock.now), lambda: self._core.shared(request.number, None))

    def begun(self, request: Request) -> None:
        """Enough others know that it may run."""
        if (
            self._core.table.by_number.get(request.number) is not request
            or request.stage is not Stage.BEGINNING
        ):
            return
        self._core.touch()
        if request.reply is None or request.number in self._core.unwanted:
            self._never(request)
        else:
            self._core.command(request)

    def not_begun(self, request: Request, why: str) -> None:
        """Nobody could be told: it is not commanded here, and never will be. Others may take this runner for lost, and
        run it: its caller gets no promise."""
        if (
            self._core.table.by_number.get(request.number) is not request
            or request.stage is not Stage.BEGINNING
        ):
            return
        self._core.touch()
        log.warning("request %s turned away: %s", request.rid, why)
        self._core.answer(request, Answer(Verdict.FAILED, cause=Cause.MAY_GO_ON))
        self._never(request)

    def _never(self, request: Request) -> None:
        """Started by the module, and not commanded."""
        self._core.unwanted.discard(request.number)
        if request.reply is not None:
            self._core.answer(request, Answer(Verdict.FAILED, cause=Cause.GIVEN_UP))
        self._core.events.append(api.RunEnded(request.number, api.Outcome.NOT_AWAITED))
        self._core.table.remove(request)
        for waiter in self._core.keys.drop(request.number):
            self._core.shared(waiter, None)

    def take_up(
        self, arrival: Arrival, reply: Reply, tag: int, ruling: Ruling | None = None
    ) -> Request | Fault:
        """Work that another runner held. Its key is this runner's already, and its rules are those it was read under
        there."""
        self._core.touch()
        if not self._core.opened:
            return Fault.NOT_READY
        taken = self._core.intake.take(arrival, reply, tag, takes_up=True)
        if isinstance(taken, Request):
            taken.ruling = ruling
            self._core.counters.add("taken up", taken.tenant)
            self._core.watch.came(self._core.clock.now)
            self._core.hand_on(taken)
        return taken

    def result_of_another(self, key: Key, result: bytes | None) -> None:
        """What another runner held under this key is over."""
        self._core.touch()
        entry = self._core.keys.find(key, self._core.clock.now)
        if entry is not None and entry.theirs and not entry.over:
            for waiter in self._core.keys.settle(entry.number, result):
                self._core.shared(waiter, result)

    def none_ran(self, key: Key) -> None:
        """What another runner held under this key never ran, and nobody goes on with it: who waits here may return."""
        self._core.touch()
        entry = self._core.keys.find(key, self._core.clock.now)
        if entry is None or not entry.theirs or entry.over:
            return
        for number in self._core.keys.forget(entry):
            if (request := self._core.table.by_number.get(number)) is not None:
                self._core.answer(request, Answer(Verdict.REFUSED, b"", Cause.TURNED_AWAY, BUSY_MS))
                self._core.over(request, Ending.RUN_NEVER_BEGAN)
