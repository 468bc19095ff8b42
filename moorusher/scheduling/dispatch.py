"""Fills free slots with queued requests."""

from __future__ import annotations

from moorusher.scheduling.fair_queue import TenantQueue
from moorusher.scheduling.lifecycle import Lifecycle
from moorusher.scheduling.state import SchedulerState


class Dispatch:
    """Starts queued requests within the limits on slots, runs and memory."""

    __slots__ = ("_lifecycle", "_state")

    def __init__(self, state: SchedulerState, lifecycle: Lifecycle) -> None:
        self._state = state
        self._lifecycle = lifecycle

    def fill_slots(self) -> None:
        """Start eligible requests from the highest slot down, then others from the lowest slot up."""
        state = self._state
        if not state.queue.waiting:
            return
        concurrency = state.concurrency
        slots = concurrency.slots
        usable_slots = concurrency.usable_slots()
        max_running = concurrency.max_running(state.now)
        slot_count = len(slots)
        for by_eligibility in (True, False):
            for slot in range(slot_count - 1, -1, -1) if by_eligibility else range(slot_count):
                if concurrency.on_cores >= usable_slots or concurrency.running >= max_running:
                    return
                if slots[slot] is not None:
                    continue
                tenant = (
                    state.queue.pick(slot, slot_count) if by_eligibility else state.queue.pick_ineligible()
                )
                if tenant is not None and not self._start_next(tenant, slot):
                    return

    def _start_next(self, tenant: TenantQueue, slot: int) -> bool:
        """Start a tenant's first job and return whether its run fits into the memory.

        If it does not fit, no other job is started in its place until a run ends.
        """
        job = tenant.waiting[0]
        if not self._state.memory.can_start(job):
            return False
        self._lifecycle.start(job, slot)
        return True
