"""Base class and helpers of the changes of the schedule. A change is a function of the value found in the register."""

# An outdated change is therefore rejected when it is applied: a grant that was planned on an older schedule, a
# clearance whose grant has been withdrawn, or the return of a machine that an operator has abandoned.

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

MAX_FAILED_GRANTS = 2  # at this number the machine is suspended until an operator resumes it

updated = msgspec.structs.replace


class Change:
    """A change of the encoded schedule. Subclasses implement `apply`.

    Attributes:
        error: Why the last call rejected the change; None if the change was made or was not needed.
    """

    error: MaintenanceError | None = None

    def __call__(self, value: bytes | None) -> bytes | None:
        """Return the new value of the register, or None to leave it unchanged."""
        self.error = None
        schedule = decode_schedule(value)
        changed = self.apply(schedule)
        if changed is None:
            return None
        return encode_schedule(updated(changed, revision=schedule.revision + 1))

    def apply(self, schedule: Schedule) -> Schedule | None:
        """Return the changed schedule, or None to leave it unchanged. Sets `error` if the change is rejected."""
        raise NotImplementedError

    def affected_seats(self) -> Sequence[str]:
        """Return the seats to notify of the change."""
        return ()


def without_slot(schedule: Schedule, slot: Slot) -> Schedule:
    """Return the schedule without the slot of the machine that has `slot`."""
    return updated(schedule, slots=tuple(other for other in schedule.slots if other.seat != slot.seat))


def with_slot(schedule: Schedule, slot: Slot) -> Schedule:
    """Return the schedule with the machine's slot replaced by `slot`."""
    slots = tuple(slot if other.seat == slot.seat else other for other in schedule.slots)
    return updated(schedule, slots=slots)


def with_request(schedule: Schedule, request: MaintenanceRequest) -> Schedule:
    """Return the schedule with the request of the same id replaced by `request`."""
    requests = tuple(request if other.id == request.id else other for other in schedule.requests)
    return updated(schedule, requests=requests)


def finish_requests(schedule: Schedule, max_history: int, *entries: HistoryEntry) -> Schedule:
    """Add entries to the history, and finish the requests without any queued, suspended or granted seat."""
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
    finished_entries = []
    for request in finished:
        outcome = SlotOutcome.COMPLETED if request.completed or is_completed else SlotOutcome.WITHDRAWN
        finished_entries.append(
            HistoryEntry(request.id, "", outcome.value, at_s, f"{request.completed} done")
        )
    return finished_entries


def return_to_queue(schedule: Schedule, slot: Slot, note: str, is_failure: bool) -> Schedule:
    """Revoke a slot and queue its machine as the first of its request.

    :param is_failure: Whether this counts as a failed grant. After MAX_FAILED_GRANTS of them the machine is suspended
        with `note` instead of being queued.
    """
    changed = without_slot(schedule, slot)
    request = schedule.request(slot.request_id)
    if request is None:
        return changed
    failed = schedule.failed_grants_of(request.id, slot.seat) + is_failure
    other_failed = tuple(entry for entry in changed.failed_grants if entry[:2] != (request.id, slot.seat))
    if failed >= MAX_FAILED_GRANTS:
        suspended = updated(request, suspended=(*request.suspended, (slot.seat, note)))
        return updated(with_request(changed, suspended), failed_grants=other_failed)
    if failed:
        other_failed = (*other_failed, (request.id, slot.seat, failed))
    changed = updated(changed, failed_grants=other_failed)
    return with_request(changed, updated(request, queued=(slot.seat, *request.queued)))
