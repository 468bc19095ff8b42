"""Estimates of when each queued machine gets its slot. They are shown to operators; no decision depends on them."""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Mapping, Sequence

from .policy import MaintenancePolicy
from .schedule import MaintenanceRequest, Schedule, SlotStage

OVERHEAD_S = 10.0  # assumed time for draining and warming up, in addition to the work itself


def estimate_starts(
    schedule: Schedule,
    order: Sequence[tuple[MaintenanceRequest, str]],
    zones: Mapping[str, str],
    policy: MaintenancePolicy,
    now_s: float,
) -> dict[tuple[str, str], float]:
    """Return the seconds until each queued machine gets its slot, by request id and seat.

    All work is assumed to take as long as its request states.

    :param order: The queue.
    :param zones: Zones by seat.
    :param now_s: Unix time.
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
    """Return a heap of (seconds until the expected end, zone) of the granted slots."""
    ends = []
    for slot in schedule.slots:
        worked_s = now_s - slot.since_s if slot.stage is SlotStage.CLEARED else 0.0
        remaining_s = slot.duration_s + OVERHEAD_S - worked_s
        ends.append((max(0.0, remaining_s), zones.get(slot.seat, "")))
    heapq.heapify(ends)
    return ends
