"""Callers that wait until a machine may be worked on, or until its request has ended."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from .local_machine import MachineState, proves_work_over
from .schedule import Schedule, Slot, SlotOutcome, SlotStage


class WaitStatus(Enum):
    """The status that a caller gets as the answer. The values are part of the API."""

    GRANTED = "granted"  # the machine may be worked on
    QUEUED = "waits"
    SUSPENDED = "held back"  # the machine gets no slot until an operator resumes it
    WITHDRAWN = "withdrawn"
    FINISHED = "over"


@dataclass(frozen=True, slots=True)
class WaitResult:
    """The answer to a caller, with a note for operators."""

    status: WaitStatus
    note: str = ""


WaitCallback = Callable[[WaitResult], None]


@dataclass(slots=True, eq=False)
class Waiter:
    """A caller that waits for one machine of a request, until the deadline at most."""

    request_id: str
    seat: str
    deadline_us: int
    callback: WaitCallback


class Waiters:
    """The callers that wait at one member."""

    def __init__(self, machine_state: Callable[[], MachineState]) -> None:
        """:param machine_state: Returns the state of this member's machine."""
        self._machine_state = machine_state
        self._waiters: list[Waiter] = []

    def __len__(self) -> int:
        """Return the number of waiting callers."""
        return len(self._waiters)

    @property
    def request_ids(self) -> set[str]:
        """Ids of the requests that a caller waits for at this member."""
        return {waiter.request_id for waiter in self._waiters}

    def add(self, waiter: Waiter) -> Callable[[], None]:
        """Register a caller. Returns a function that removes it without an answer."""
        self._waiters.append(waiter)
        return lambda: self._remove(waiter)

    def _remove(self, waiter: Waiter) -> None:
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def answer_ready(self, schedule: Schedule, is_known: bool) -> None:
        """Answer the callers whose result follows from the schedule.

        :param is_known: Whether the schedule has been read yet.
        """
        for waiter in list(self._waiters):
            result = self.result_for(waiter, schedule, is_known)
            if result is not None:
                self._answer(waiter, result)

    def answer_expired(
        self, schedule: Schedule, is_known: bool, now_us: int, waiting_reason: Callable[[str, str], str]
    ) -> None:
        """Answer the callers whose deadline has passed.

        :param waiting_reason: Returns why a machine waits, given the request id and the seat.
        """
        for waiter in [waiter for waiter in self._waiters if now_us >= waiter.deadline_us]:
            result = self.result_for(waiter, schedule, is_known)
            if result is None:
                reason = waiting_reason(waiter.request_id, waiter.seat)
                result = WaitResult(WaitStatus.QUEUED, reason)
            self._answer(waiter, result)

    def _answer(self, waiter: Waiter, result: WaitResult) -> None:
        if waiter in self._waiters:
            self._waiters.remove(waiter)
            waiter.callback(result)

    def result_for(self, waiter: Waiter, schedule: Schedule, is_known: bool) -> WaitResult | None:
        """Return the answer to a caller, or None if it has to wait."""
        slot = schedule.slot(waiter.seat)
        if slot is not None and slot.request_id == waiter.request_id:
            return self._result_of_slot(slot)
        request = schedule.request(waiter.request_id)
        if request is not None and waiter.seat in request.queued:
            return None
        if request is not None and waiter.seat in dict(request.suspended):
            return WaitResult(WaitStatus.SUSPENDED, dict(request.suspended)[waiter.seat])
        entry = schedule.last_entry(waiter.request_id, waiter.seat)
        if entry is None:
            if request is None and not is_known:
                return None
            return WaitResult(WaitStatus.WITHDRAWN, "nothing is known of it any more")
        is_withdrawn = entry.outcome == SlotOutcome.WITHDRAWN
        status = WaitStatus.WITHDRAWN if is_withdrawn else WaitStatus.FINISHED
        return WaitResult(status, entry.note)

    def _result_of_slot(self, slot: Slot) -> WaitResult | None:
        if slot.stage is SlotStage.DRAINING:
            return None
        if slot.stage is not SlotStage.CLEARED:
            return WaitResult(WaitStatus.FINISHED, slot.note)
        if proves_work_over(slot, self._machine_state()):
            return None  # the clearance was for a caller on an earlier boot; the reboot has ended that caller
        return WaitResult(WaitStatus.GRANTED, slot.note)
