"""Capacity that is reserved for classes of higher priority."""

from __future__ import annotations

from dataclasses import replace

from moorusher.scheduling import interface as api
from moorusher.scheduling.interface import (
    Tenant,
)

from ..helpers import SAFE, done, only, opened, request, started

HIGH_PRIORITY = replace(SAFE, name="hold", priority_weight=10.0)


def test_slots_are_reserved_for_the_class_of_higher_priority_weight() -> None:
    """Regression: in overload, slots were assigned in order of arrival, and the most valuable class was rejected as
    often as others."""
    scheduler = opened(cores=2, classes=(SAFE, HIGH_PRIORITY), tenants=(Tenant(1.0),))
    ended_count = {0: 0, 1: 0}
    arrival_count = {0: 0, 1: 0}
    running: dict[int, tuple[float, int]] = {}
    for i in range(1, 4000):
        now = 5.0 * i
        ended = [request_id for request_id, (end, _) in running.items() if end <= now]
        for request_id in ended:
            ended_count[running.pop(request_id)[1]] += 1
        batch: list[api.Event] = [*done(*ended), api.Timer(0, (1.0,))]
        # 25 requests arrive per second, a third of them of high priority. The capacity is 10 per second.
        if i % 8 == 0:
            class_index = int(i % 24 == 0)
            arrival_count[class_index] += 1
            batch.append(request(i, class_index=class_index))
        class_of = {event.id: event.class_index for event in batch if isinstance(event, api.Request)} | {
            job.id: job.request.class_index for job in scheduler.state.jobs.values()
        }
        for request_id in started(scheduler.step(now, batch)):
            running[request_id] = (now + 200.0, class_of[request_id])
    assert ended_count[1] > 0.85 * arrival_count[1]
    assert 0 < ended_count[0] < 0.3 * arrival_count[0]


def test_free_slots_are_not_reserved() -> None:
    """Regression: runners of a downstream tier rejected calls although most of their slots were free, because the
    slots were reserved for a class without requests."""
    scheduler = opened(cores=3, classes=(SAFE, HIGH_PRIORITY), tenants=(Tenant(1.0),))
    scheduler.step(0.0, [request(1)])
    scheduler.state.service_time.classes[0].credit_ms = -1.0
    assert started(scheduler.step(5.0, [request(2)])) == [2]
    assert started(scheduler.step(10.0, [request(3, class_index=1)])) == [3]
    scheduler.state.service_time.classes[0].credit_ms = -1.0
    # No slot is free any more.
    assert [rejected.id for rejected in only(scheduler.step(15.0, [request(4)]), api.Reject)] == [4]
