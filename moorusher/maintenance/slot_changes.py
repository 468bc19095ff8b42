"""Changes of the schedule that members make: slots are granted, and each machine goes through its own.

`max_slots` is `MaintenancePolicy.max_out` of the member that makes the change. Slots alone are counted against it here:
the schedule has no record of lost machines, which `disruption_budget.py` counts against the same number, too.
"""

from __future__ import annotations

from collections.abc import Sequence

from .operator_changes import finish_slot
from .schedule import Schedule, Slot, SlotOutcome, SlotStage
from .transitions import Change, return_to_queue, updated, with_request, with_slot

MAX_FAILED_RETURNS = 2  # after which an operator must look


class GrantSlots(Change):
    """Grants slots that were planned on one revision of the schedule, and on no other.

    revision: int, that they were planned on.
    granted: (request id, seat) of each.
    max_slots: int, at a time; lost machines that have none are not counted.
    at_s: float, Unix time.
    is_applied: bool, to the schedule that was found last.
    """

    def __init__(
        self, revision: int, granted: Sequence[tuple[str, str]], max_slots: int, at_s: float
    ) -> None:
        self.revision = revision
        self.granted = tuple(granted)
        self.max_slots = max_slots
        self.at_s = at_s
        self.is_applied = False

    def apply(self, schedule: Schedule) -> Schedule | None:
        """Return the schedule with the slots, or None if it went on since or all that may be out are."""
        self.is_applied = False
        if schedule.revision != self.revision or schedule.pause_reason:
            return None
        if len(schedule.slots) + len(self.granted) > self.max_slots:
            return None
        changed = schedule
        for request_id, seat in self.granted:
            with_grant = self._granted(changed, request_id, seat, schedule)
            if with_grant is None:
                return None
            changed = with_grant
        self.is_applied = True
        return changed

    def _granted(self, changed: Schedule, request_id: str, seat: str, schedule: Schedule) -> Schedule | None:
        request = changed.request(request_id)
        if request is None or seat not in request.queued or changed.slot(seat) is not None:
            return None
        slot = Slot(
            seat,
            request_id,
            schedule.revision + 1,
            since_s=self.at_s,
            duration_s=request.duration_s,
            completion=request.completion,
            failed_grants=schedule.failed_grants_of(request_id, seat),
        )
        queued = tuple(other for other in request.queued if other != seat)
        changed = with_request(changed, updated(request, queued=queued))
        return updated(changed, slots=(*changed.slots, slot))

    def affected_seats(self) -> Sequence[str]:
        """Return the machines that got a slot."""
        return [seat for _, seat in self.granted] if self.is_applied else ()


class SlotChange(Change):
    """A change by the machine itself, of the slot that it was granted.

    slot: as last known.
    incarnation: int, of the process.
    stages: in which it may be made.
    """

    stages: tuple[SlotStage, ...] = ()

    def __init__(self, slot: Slot, incarnation: int) -> None:
        self.seat = slot.seat
        self.granted_revision = slot.granted_revision
        self.incarnation = incarnation

    def current_slot(self, schedule: Schedule) -> Slot | None:
        """Return the slot, if it is the same grant and in one of the stages."""
        slot = schedule.slot(self.seat)
        if slot is None or slot.granted_revision != self.granted_revision:
            return None
        return slot if slot.stage in self.stages else None


class AcceptSlot(SlotChange):
    """This process drains; or it replaces the one that did, was cleared, or came back."""

    stages = (SlotStage.DRAINING, SlotStage.CLEARED, SlotStage.RETURNED)

    def apply(self, schedule: Schedule) -> Schedule | None:
        """Return the schedule with this process in the slot, or None if it is there or the slot is gone."""
        slot = self.current_slot(schedule)
        if slot is None or slot.incarnation == self.incarnation:
            return None
        return with_slot(schedule, updated(slot, incarnation=self.incarnation))


class ClearMachine(SlotChange):
    """The machine is drained: from here on its operator may be told.

    max_slots: int, the machine's own bound; if it is lower than the one that the slot was granted under, the machine is
        not cleared.
    at_s: float, Unix time.
    boot_id, settings_digest: str, of the machine now.
    """

    stages = (SlotStage.DRAINING,)

    def __init__(
        self,
        slot: Slot,
        incarnation: int,
        max_slots: int,
        at_s: float,
        boot_id: str,
        settings_digest: str,
    ) -> None:
        super().__init__(slot, incarnation)
        self.max_slots = max_slots
        self.at_s = at_s
        self.boot_id = boot_id
        self.settings_digest = settings_digest

    def apply(self, schedule: Schedule) -> Schedule | None:
        """Return the schedule with the machine cleared, or None if it may not be."""
        slot = self.current_slot(schedule)
        if slot is None or slot.incarnation != self.incarnation:
            return None
        if schedule.pause_reason or len(schedule.slots) > self.max_slots:
            return None
        cleared = updated(
            slot,
            stage_code=SlotStage.CLEARED.value,
            since_s=self.at_s,
            boot_id=self.boot_id,
            settings_digest=self.settings_digest,
        )
        return with_slot(schedule, cleared)


class ReturnSlot(SlotChange):
    """The machine does not go now, and is queued again.

    note: str, the reason.
    counts: bool, as a grant that came to nothing.
    """

    stages = (SlotStage.DRAINING,)

    def __init__(self, slot: Slot, incarnation: int, note: str, counts: bool = True) -> None:
        super().__init__(slot, incarnation)
        self.note = note
        self.counts = counts

    def apply(self, schedule: Schedule) -> Schedule | None:
        """Return the schedule with the machine queued or suspended, or None if the slot is gone."""
        slot = self.current_slot(schedule)
        return None if slot is None else return_to_queue(schedule, slot, self.note, self.counts)


class MarkReturned(SlotChange):
    """A process proves that the work is over; or a further one is there, after the one that came back has ended."""

    stages = (SlotStage.CLEARED, SlotStage.RETURNED)

    def __init__(self, slot: Slot, incarnation: int, at_s: float, settings_digest: str) -> None:
        super().__init__(slot, incarnation)
        self.at_s = at_s
        self.settings_digest = settings_digest

    def apply(self, schedule: Schedule) -> Schedule | None:
        """Return the schedule with the machine returned or suspended, or None if that is known."""
        slot = self.current_slot(schedule)
        if slot is None or slot.incarnation == self.incarnation:
            return None
        failed_returns = slot.failed_returns + (slot.stage is SlotStage.RETURNED)
        stage = SlotStage.RETURNED
        note = slot.note
        if slot.settings_digest and slot.settings_digest != self.settings_digest:
            note = "came back with other settings"
        if failed_returns >= MAX_FAILED_RETURNS:
            stage = SlotStage.SUSPENDED
            note = f"came back, and ended again {failed_returns} times"
        returned = updated(
            slot,
            stage_code=stage.value,
            incarnation=self.incarnation,
            since_s=self.at_s,
            failed_returns=failed_returns,
            note=note,
        )
        return with_slot(schedule, returned)


class CompleteSlot(SlotChange):
    """The machine serves as before: its slot is finished."""

    stages = (SlotStage.RETURNED,)

    def __init__(self, slot: Slot, incarnation: int, at_s: float, max_history: int) -> None:
        super().__init__(slot, incarnation)
        self.at_s = at_s
        self.max_history = max_history

    def apply(self, schedule: Schedule) -> Schedule | None:
        """Return the schedule without the slot, or None if another process has come back."""
        slot = self.current_slot(schedule)
        if slot is None or slot.incarnation != self.incarnation:
            return None
        return finish_slot(schedule, slot, SlotOutcome.COMPLETED, self.at_s, slot.note, self.max_history)
