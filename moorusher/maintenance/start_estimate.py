"""When each queued machine is likely to go, for operators. Nothing is decided by it."""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Mapping, Sequence

from .policy import MaintenancePolicy
from .schedule import MaintenanceRequest, Schedule, SlotStage

OVERHEAD_S = 10.0  # assumed for draining and warming up, beside the work itself


def estimate_starts(
    schedule: Schedule,
    order: Sequence[tuple[MaintenanceRequest, str]],
    zones: Mapping[str, str],
    policy: MaintenancePolicy,
    now_s: float,
) -> dict[tuple[str, str], float]:
    """Return the seconds until each queued machine goes, by request id and seat, if all work takes as long as stated.

    order: the queue.
    zones: by seat.
    now_s: Unix time.
    """
    ends = _expected_ends(schedule, zones, now_s)
    out_by_zone = Counter(zone for _, zone in ends)
    starts: dict[tuple[str, str], float] = {}
    remaining = list(order)
    elapsed_s = 0.0
    while remaining:
        waiting = []
        for request, seat in remaining:
            zone = zones.get(seat, "")
            if len(ends) >= policy.max_out or out_by_zone[zone] >= policy.max_out_per_zone:
                waiting.append((request, seat))
                continue
            starts[request.id, seat] = max(elapsed_s, request.not_before_s - now_s)
            heapq.heappush(ends, (elapsed_s + request.duration_s + OVERHEAD_S, zone))
            out_by_zone[zone] += 1
        remaining = waiting
        if remaining:
            if not ends:
                break
            elapsed_s, zone = heapq.heappop(ends)
            out_by_zone[zone] -= 1
    return starts


def _expected_ends(schedule: Schedule, zones: Mapping[str, str], now_s: float) -> list[tuple[float, str]]:
    """Return a heap of (seconds from now, zone) of the slots that are granted."""
    ends = []
    for slot in schedule.slots:
        worked_s = now_s - slot.since_s if slot.stage is SlotStage.CLEARED else 0.0
        left_s = slot.duration_s + OVERHEAD_S - worked_s
        ends.append((max(0.0, left_s), zones.get(slot.seat, "")))
    heapq.heapify(ends)
    return ends
