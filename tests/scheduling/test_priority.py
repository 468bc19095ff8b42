"""Capacity that is reserved for classes that outrank others."""

from __future__ import annotations

from dataclasses import replace

from moorusher.scheduling import interface as api
from moorusher.scheduling.interface import (
    Tenant,
)

from ..helpers import SAFE, done, only, opened, request, started

HIGH_PRIORITY = replace(SAFE, name="hold", priority_weight=10.0)


def test_slots_are_reserved_for_the_class_of_higher_priority_weight() -> None:
    """In overload, free slots went to whatever came first, and the class of most value lost like the rest."""
    scheduler = opened(cores=2, classes=(SAFE, HIGH_PRIORITY), tenants=(Tenant(1.0),))
    ran = {0: 0, 1: 0}
    offered = {0: 0, 1: 0}
    running: dict[int, tuple[float, int]] = {}
    for i in range(1, 4000):
        now = 5.0 * i
        ends = [ended_id for ended_id, (at, _) in running.items() if at <= now]
        for ended_id in ends:
            ran[running.pop(ended_id)[1]] += 1
        batch: list[api.Event] = [*done(*ends), api.Timer(0, (1.0,))]
        if i % 8 == 0:  # 25 a second, a third of them dear; 10 a second can be run
            class_index = int(i % 24 == 0)
            offered[class_index] += 1
            batch.append(request(i, class_index=class_index))
        kinds = {event.id: event.class_index for event in batch if isinstance(event, api.Request)} | {
            job.id: job.request.class_index for job in scheduler.state.jobs.values()
        }
        for ended_id in started(scheduler.step(now, batch)):
            running[ended_id] = (now + 200.0, kinds[ended_id])
    assert ran[1] > 0.85 * offered[1]
    assert 0 < ran[0] < 0.3 * offered[0]


def test_a_free_slot_is_reserved_for_nobody() -> None:
    """Runners of the lower tier rejected calls with most of their slots free, for a class that did not come."""
    scheduler = opened(cores=3, classes=(SAFE, HIGH_PRIORITY), tenants=(Tenant(1.0),))
    scheduler.step(0.0, [request(1)])
    scheduler.state.service_time.classes[0].credit_ms = -1.0
    assert started(scheduler.step(5.0, [request(2)])) == [2]
    assert started(scheduler.step(10.0, [request(3, class_index=1)])) == [3]
    scheduler.state.service_time.classes[0].credit_ms = -1.0
    assert [rejected.id for rejected in only(scheduler.step(15.0, [request(4)]), api.Reject)] == [
        4
    ]  # now none is free
