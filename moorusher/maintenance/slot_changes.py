"""Changes of the schedule that members make: replicas grant slots, and each machine updates its own slot."""

# `max_slots` is `MaintenancePolicy.max_out` of the member that makes the change. Only slots are counted against it
# here, since the schedule has no record of lost machines; `disruption_budget.py` counts slots and lost machines.

from __future__ import annotations

from collections.abc import Sequence

from .operator_changes import finish_slot
from .schedule import Schedule, Slot, SlotOutcome, SlotStage
from .transitions import Change, return_to_queue, updated, with_request, with_slot

MAX_FAILED_RETURNS = 2  # at this number the slot is suspended until an operator finishes it


class GrantSlots(Change):
    """Grants slots. Applies only to the revision of the schedule on which they were planned.

    Attributes:
        revision: The revision on which the slots were planned.
        granted: (request id, seat) of each slot.
        max_slots: Maximum number of slots at a time; lost machines without a slot are not counted.
        at_s: Unix time of the grant.
        is_applied: Whether the last call changed the schedule.
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
        """Return the schedule with the slots; None if its revision differs, it is paused, or a slot is not allowed."""
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
        """Return the machines that were granted a slot."""
        return [seat for _, seat in self.granted] if self.is_applied else ()


class SlotChange(Change):
    """Base of the changes that a machine makes to its own slot.

    Attributes:
        seat, granted_revision: Identify the slot.
        incarnation: Incarnation of the process that makes the change.
        stages: Stages of the slot in which the change is allowed.
    """

    stages: tuple[SlotStage, ...] = ()

    def __init__(self, slot: Slot, incarnation: int) -> None:
        self.seat = slot.seat
        self.granted_revision = slot.granted_revision
        self.incarnation = incarnation

    def current_slot(self, schedule: Schedule) -> Slot | None:
        """Return the machine's slot, or None if it has none, it is of another grant, or `stages` excludes its stage."""
        slot = schedule.slot(self.seat)
        if slot is None or slot.granted_revision != self.granted_revision:
            return None
        return slot if slot.stage in self.stages else None


class AcceptSlot(SlotChange):
    """Records this process in the slot: it starts to drain, or it replaces the process that had accepted the slot."""

    stages = (SlotStage.DRAINING, SlotStage.CLEARED, SlotStage.RETURNED)

    def apply(self, schedule: Schedule) -> Schedule | None:
        """Return the schedule with this process in the slot.

        :returns: None if the process is recorded already, or the slot is suspended or has ended.
        """
        slot = self.current_slot(schedule)
        if slot is None or slot.incarnation == self.incarnation:
            return None
        return with_slot(schedule, updated(slot, incarnation=self.incarnation))


class ClearMachine(SlotChange):
    """Records that the machine has drained and may be worked on.

    Attributes:
        max_slots: The machine's own limit. The machine is not cleared if more slots than that are granted, as when the
            granting member has a higher limit.
        at_s: Unix time of the change.
        boot_id, settings_digest: Boot and settings of the machine at that time.
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
        """Return the schedule with the machine cleared, or None if that is not allowed."""
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
    """Gives up the slot before the machine was cleared. The machine is queued again, or suspended if it failed twice.

    Attributes:
        note: The reason.
        is_failure: Whether this counts as a failed grant.
    """

    stages = (SlotStage.DRAINING,)

    def __init__(self, slot: Slot, incarnation: int, note: str, is_failure: bool = True) -> None:
        super().__init__(slot, incarnation)
        self.note = note
        self.is_failure = is_failure

    def apply(self, schedule: Schedule) -> Schedule | None:
        """Return the schedule with the machine queued or suspended, or None if the slot has ended."""
        slot = self.current_slot(schedule)
        return None if slot is None else return_to_queue(schedule, slot, self.note, self.is_failure)


class MarkReturned(SlotChange):
    """Records that the machine has returned from the work, or that its process has ended again and was restarted."""

    stages = (SlotStage.CLEARED, SlotStage.RETURNED)

    def __init__(self, slot: Slot, incarnation: int, at_s: float, settings_digest: str) -> None:
        super().__init__(slot, incarnation)
        self.at_s = at_s
        self.settings_digest = settings_digest

    def apply(self, schedule: Schedule) -> Schedule | None:
        """Return the schedule with the machine returned or suspended, or None if that is recorded or the slot ended."""
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
    """Finishes the slot of a returned machine that is fully in service again."""

    stages = (SlotStage.RETURNED,)

    def __init__(self, slot: Slot, incarnation: int, at_s: float, max_history: int) -> None:
        super().__init__(slot, incarnation)
        self.at_s = at_s
        self.max_history = max_history

    def apply(self, schedule: Schedule) -> Schedule | None:
        """Return the schedule without the slot, or None if the slot has ended or belongs to another process."""
        slot = self.current_slot(schedule)
        if slot is None or slot.incarnation != self.incarnation:
            return None
        return finish_slot(schedule, slot, SlotOutcome.COMPLETED, self.at_s, slot.note, self.max_history)
