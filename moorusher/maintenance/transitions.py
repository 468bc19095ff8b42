"""The base of every change of the schedule. Each is a function of the schedule that is found in the register.

So the majority itself rejects what no longer fits: a grant planned on an older schedule, a clearance whose grant was
withdrawn meanwhile, the return of a machine that was abandoned.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from .errors import MaintenanceError
from .schedule import (
    HistoryEntry,
    MaintenanceRequest,
    Schedule,
    Slot,
    SlotOutcome,
    decode_schedule,
    encode_schedule,
)

MAX_FAILED_GRANTS = 2  # after which an operator must look

updated = msgspec.structs.replace


class Change:
    """A change of the register's bytes, by `apply` on the schedule that they hold.

    error: why the change can't be made to the schedule that was found last; None if it was made, then or before.
    """

    error: MaintenanceError | None = None

    def __call__(self, value: bytes | None) -> bytes | None:
        """Return the new value of the register, or None if it stays as it is."""
        self.error = None
        schedule = decode_schedule(value)
        changed = self.apply(schedule)
        if changed is None:
            return None
        return encode_schedule(updated(changed, revision=schedule.revision + 1))

    def apply(self, schedule: Schedule) -> Schedule | None:
        """Return the schedule after the change, or None if nothing is to be changed. Sets `error` if it can't be."""
        raise NotImplementedError

    def affected_seats(self) -> Sequence[str]:
        """Return the seats that should read the schedule soon."""
        return ()


def without_slot(schedule: Schedule, slot: Slot) -> Schedule:
    """Return the schedule without the slot of that machine."""
    return updated(schedule, slots=tuple(other for other in schedule.slots if other.seat != slot.seat))


def with_slot(schedule: Schedule, slot: Slot) -> Schedule:
    """Return the schedule with this slot of the machine in place of its present one."""
    slots = tuple(slot if other.seat == slot.seat else other for other in schedule.slots)
    return updated(schedule, slots=slots)


def with_request(schedule: Schedule, request: MaintenanceRequest) -> Schedule:
    """Return the schedule with this request in place of the present one of its id."""
    requests = tuple(request if other.id == request.id else other for other in schedule.requests)
    return updated(schedule, requests=requests)


def finish_requests(schedule: Schedule, max_history: int, *entries: HistoryEntry) -> Schedule:
    """Add entries to the history, and finish requests of which nothing is queued, suspended or granted any more."""
    granted_ids = {slot.request_id for slot in schedule.slots}
    finished = [
        request
        for request in schedule.requests
        if not request.queued and not request.suspended and request.id not in granted_ids
    ]
    finished_ids = {request.id for request in finished}
    history = [*schedule.history, *entries, *_finished_entries(finished, entries)]
    return updated(
        schedule,
        requests=tuple(request for request in schedule.requests if request.id not in finished_ids),
        history=tuple(history[-max_history:]),
        failed_grants=tuple(failed for failed in schedule.failed_grants if failed[0] not in finished_ids),
    )


def _finished_entries(
    finished: Sequence[MaintenanceRequest], entries: Sequence[HistoryEntry]
) -> list[HistoryEntry]:
    at_s = entries[-1].at_s if entries else 0.0
    is_completed = any(entry.outcome == SlotOutcome.COMPLETED for entry in entries)
    made = []
    for request in finished:
        outcome = SlotOutcome.COMPLETED if request.completed or is_completed else SlotOutcome.WITHDRAWN
        made.append(HistoryEntry(request.id, "", outcome.value, at_s, f"{request.completed} done"))
    return made


def return_to_queue(schedule: Schedule, slot: Slot, note: str, counts: bool) -> Schedule:
    """Take a slot back; its machine is queued first. If `counts` and it is the last grant that may fail, the machine is
    suspended with `note` instead."""
    changed = without_slot(schedule, slot)
    request = schedule.request(slot.request_id)
    if request is None:
        return changed
    failed = schedule.failed_grants_of(request.id, slot.seat) + counts
    other_failed = tuple(one for one in changed.failed_grants if one[:2] != (request.id, slot.seat))
    if failed >= MAX_FAILED_GRANTS:
        suspended = updated(request, suspended=(*request.suspended, (slot.seat, note)))
        return updated(with_request(changed, suspended), failed_grants=other_failed)
    if failed:
        other_failed = (*other_failed, (request.id, slot.seat, failed))
    changed = updated(changed, failed_grants=other_failed)
    return with_request(changed, updated(request, queued=(slot.seat, *request.queued)))
