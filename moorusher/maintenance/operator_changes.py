"""Changes of the schedule that operators request."""

from __future__ import annotations

from collections.abc import Sequence

from .errors import (
    AlreadyClearedError,
    MachineInServiceError,
    RequestIdConflictError,
    TooManyRequestsError,
    UnknownRequestError,
)
from .schedule import HistoryEntry, MaintenanceRequest, Schedule, Slot, SlotOutcome, SlotStage
from .transitions import (
    Change,
    finish_requests,
    return_to_queue,
    updated,
    with_request,
    without_slot,
)

MAX_WITHDRAWN_ENTRIES = 8  # history entries of one withdrawal


class SubmitRequest(Change):
    """Adds a request; idempotent by its id. Errors: RequestIdConflictError, TooManyRequestsError."""

    def __init__(self, request: MaintenanceRequest, max_requests: int) -> None:
        self.request = request
        self.max_requests = max_requests

    def apply(self, schedule: Schedule) -> Schedule | None:
        """Return the schedule with the request, or None if the request is known already or is rejected."""
        known = schedule.request(self.request.id)
        if known is not None:
            if not known.is_same_request(self.request):
                self.error = RequestIdConflictError(
                    f"{self.request.id}: another ask has that id: {known.reason}, by {known.requested_by}"
                )
            return None
        if schedule.is_finished(self.request.id):
            return None
        if len(schedule.requests) >= self.max_requests:
            self.error = TooManyRequestsError(f"{len(schedule.requests)} asks are open")
            return None
        return updated(schedule, requests=(*schedule.requests, self.request))


class WithdrawRequest(Change):
    """Withdraws the queued, suspended and draining seats of a request.

    Errors: UnknownRequestError; AlreadyClearedError if seats were cleared already, though the others are withdrawn.

    Attributes:
        seats: Seats to withdraw; all if empty.
        too_late: Seats that the last call could not withdraw, since they were cleared already.
    """

    def __init__(
        self, request_id: str, seats: Sequence[str], at_s: float, requested_by: str, max_history: int
    ) -> None:
        self.request_id = request_id
        self.seats = frozenset(seats)
        self.at_s = at_s
        self.requested_by = requested_by
        self.max_history = max_history
        self.too_late: list[str] = []
        self._revoked: list[str] = []

    def apply(self, schedule: Schedule) -> Schedule | None:
        """Return the schedule without these seats, or None if there is nothing to withdraw."""
        request = schedule.request(self.request_id)
        self.too_late = []
        self._revoked = []
        if request is None:
            if not schedule.is_finished(self.request_id):
                self.error = UnknownRequestError(f"{self.request_id}: no such ask is open")
            return None
        revoked = self._revocable_seats(schedule)
        queued = [seat for seat in request.queued if self._includes(seat)]
        suspended = [seat for seat, _ in request.suspended if self._includes(seat)]
        withdrawn = [*queued, *suspended, *revoked]
        if not withdrawn:
            return None
        self._revoked = revoked
        return self._withdrawn(schedule, request, withdrawn)

    def _includes(self, seat: str) -> bool:
        return not self.seats or seat in self.seats

    def _revocable_seats(self, schedule: Schedule) -> list[str]:
        """Return the seats that drain. Set `too_late` to the other seats with a slot, and `error` if there are any."""
        slots = [
            slot
            for slot in schedule.slots
            if slot.request_id == self.request_id and self._includes(slot.seat)
        ]
        self.too_late = [slot.seat for slot in slots if slot.stage is not SlotStage.DRAINING]
        if self.too_late:
            self.error = AlreadyClearedError(
                f"{', '.join(self.too_late)}: told to go already; the rest of {self.request_id} is withdrawn"
            )
        return sorted(slot.seat for slot in slots if slot.seat not in self.too_late)

    def _withdrawn(self, schedule: Schedule, request: MaintenanceRequest, withdrawn: list[str]) -> Schedule:
        remaining = updated(
            request,
            queued=tuple(seat for seat in request.queued if not self._includes(seat)),
            suspended=tuple(entry for entry in request.suspended if not self._includes(entry[0])),
        )
        slots = tuple(slot for slot in schedule.slots if slot.seat not in self._revoked)
        changed = updated(with_request(schedule, remaining), slots=slots)
        entries = [
            HistoryEntry(
                self.request_id, seat, SlotOutcome.WITHDRAWN.value, self.at_s, f"by {self.requested_by}"
            )
            for seat in withdrawn[:MAX_WITHDRAWN_ENTRIES]
        ]
        return finish_requests(changed, self.max_history, *entries)

    def affected_seats(self) -> Sequence[str]:
        """Return the seats whose slots were revoked."""
        return self._revoked


class PauseAll(Change):
    """Stops granting slots until resumed. Draining machines are queued again; cleared ones stay cleared."""

    def __init__(self, reason: str) -> None:
        self.reason = reason
        self._revoked: list[str] = []

    def apply(self, schedule: Schedule) -> Schedule | None:
        """Return the paused schedule, or None if it is already paused for that reason and no machine drains."""
        draining = [slot for slot in schedule.slots if slot.stage is SlotStage.DRAINING]
        self._revoked = [slot.seat for slot in draining]
        if schedule.pause_reason == self.reason and not draining:
            return None
        changed = schedule
        for slot in draining:
            changed = return_to_queue(changed, slot, "", is_failure=False)
        return updated(changed, pause_reason=self.reason)

    def affected_seats(self) -> Sequence[str]:
        """Return the seats whose slots were revoked."""
        return self._revoked


class Resume(Change):
    """Ends the pause, or queues one suspended seat again. Errors: MachineInServiceError.

    Attributes:
        seat: The suspended seat; empty to end the pause.
    """

    def __init__(self, seat: str = "") -> None:
        self.seat = seat

    def apply(self, schedule: Schedule) -> Schedule | None:
        """Return the resumed schedule, or None if the schedule is not paused, or the given seat is not suspended."""
        if not self.seat:
            return updated(schedule, pause_reason="") if schedule.pause_reason else None
        changed = schedule
        is_found = False
        for request in schedule.requests:
            if any(seat == self.seat for seat, _ in request.suspended):
                is_found = True
                changed = with_request(changed, self._requeue(request))
        if is_found:
            return changed
        slot = schedule.slot(self.seat)
        state = "" if slot is None else f"; it is {slot.stage.api_name}"
        self.error = MachineInServiceError(f"{self.seat}: not held back{state}")
        return None

    def _requeue(self, request: MaintenanceRequest) -> MaintenanceRequest:
        return updated(
            request,
            queued=(*request.queued, self.seat),
            suspended=tuple(entry for entry in request.suspended if entry[0] != self.seat),
        )


class FinishSlot(Change):
    """Finishes a slot by an operator's statement: the machine has returned, won't be worked on, or will never return.

    Errors: MachineInServiceError.
    """

    def __init__(self, seat: str, at_s: float, stated_by: str, max_history: int) -> None:
        self.seat = seat
        self.at_s = at_s
        self.stated_by = stated_by
        self.max_history = max_history

    def apply(self, schedule: Schedule) -> Schedule | None:
        """Return the schedule without the slot, or None if the machine is not out."""
        slot = schedule.slot(self.seat)
        if slot is None or slot.stage is SlotStage.DRAINING:
            state = "" if slot is None else ", it drains"
            self.error = MachineInServiceError(f"{self.seat}: not out{state}")
            return None
        outcome = SlotOutcome.COMPLETED if slot.stage is SlotStage.RETURNED else SlotOutcome.ABANDONED
        return finish_slot(schedule, slot, outcome, self.at_s, f"said by {self.stated_by}", self.max_history)

    def affected_seats(self) -> Sequence[str]:
        """Return the machine whose slot is finished."""
        return (self.seat,)


def finish_slot(
    schedule: Schedule, slot: Slot, outcome: SlotOutcome, at_s: float, note: str, max_history: int
) -> Schedule:
    """Return the schedule with the slot finished and counted as completed in its request."""
    changed = without_slot(schedule, slot)
    request = schedule.request(slot.request_id)
    if request is not None:
        changed = with_request(changed, updated(request, completed=request.completed + 1))
    entry = HistoryEntry(slot.request_id, slot.seat, outcome.value, at_s, note)
    return finish_requests(changed, max_history, entry)
