"""The ordinary path: 2DFQ^E."""

from __future__ import annotations

from typing import Any

from moorusher.scheduling import Balancer
from moorusher.scheduling.draining import SERVE_FRACTION
from moorusher.scheduling.interface import (
    DrainNotice,
    Outcome,
    RequestClass,
    RunEnded,
    Signal,
    SignalKind,
    Tenant,
    Timer,
)

from .helpers import done, only, opened, request, started

PATIENT = RequestClass(aim_ms=1e6, deadline_ms=2e6)


def test_two_idle_slots_start_two_requests_and_hold_the_third() -> None:
    balancer = opened()
    acts = balancer.step(1.0, [request(1), request(2), request(3)])
    assert started(acts) == [1, 2]
    assert started(balancer.step(50.0, done(1))) == [3]


def test_eligibility_is_staggered_by_slot() -> None:
    balancer = opened(cores=2, tenants=(Tenant(1.0), Tenant(1.0)))
    cheap, dear = balancer.state.queue.tenants[0], balancer.state.queue.tenants[1]
    (
        cheap.max_cost_ratios[balancer.state.service_time.classes[0]],
        dear.max_cost_ratios[balancer.state.service_time.classes[0]],
    ) = 1.0, 4.0
    balancer.admission.arrive(request(1, 0))
    balancer.admission.arrive(request(2, 1))
    balancer.state.queue.virtual_time, cheap.start_tag, dear.start_tag = (
        0.0,
        0.3 * balancer.state.service_time.mean_cost_ms,
        1.0 * balancer.state.service_time.mean_cost_ms,
    )
    balancer.state.queue.virtual_time = 0.1 * balancer.state.service_time.mean_cost_ms
    # On slot 0 nobody whose start tag lies ahead is eligible; slot 1 of 2 forgives half of L_max.
    cheap.start_tag, dear.start_tag = (
        0.3 * balancer.state.service_time.mean_cost_ms,
        0.3 * balancer.state.service_time.mean_cost_ms,
    )
    assert balancer.state.queue.pick(0, 2) is None
    assert balancer.state.queue.pick(1, 2) is cheap
    balancer.state.queue.virtual_time = 0.3 * balancer.state.service_time.mean_cost_ms
    dear.start_tag = 1.0 * balancer.state.service_time.mean_cost_ms
    cheap.start_tag = (
        0.9 * balancer.state.service_time.mean_cost_ms
    )  # further ahead than half of its own small L_max: only the dear one is eligible
    assert balancer.state.queue.pick(1, 2) is dear


def test_the_cheap_tenant_keeps_the_high_slot() -> None:
    """The paper's example: two slots, sizes 1 and 4; the dear tenants never hold both slots together."""
    balancer = opened(cores=2, tenants=tuple(Tenant(1.0) for _ in range(4)), classes=(PATIENT,))
    size = {0: 40.0, 1: 40.0, 2: 160.0, 3: 160.0}
    nxt, ends, now, both, runs = 100, {}, 0.0, 0.0, {t: 0 for t in size}
    owner: dict[int, int] = {}
    batch = []
    for t in size:
        for _ in range(4):
            owner[nxt] = t
            batch.append(request(nxt, t))
            nxt += 1
    acts = balancer.step(now, batch)
    while now < 6000.0:
        for rid in started(acts):
            ends[rid] = now + size[owner[rid]]
            runs[owner[rid]] += 1
        soon = now + 20.0
        if sum(1 for r in ends if owner[r] >= 2) == 2 and now > 2000.0:
            both += soon - now
        now = soon
        over = [r for r, at in ends.items() if at <= now]
        for r in over:
            del ends[r]
        fresh = []
        for r in over:
            owner[nxt] = owner[r]
            fresh.append(request(nxt, owner[r]))
            nxt += 1
        acts = balancer.step(now, [*done(*over), *fresh, Timer(0)])
    assert both < 0.25 * 4000.0
    assert runs[0] > 2.5 * runs[2]


def test_turns_follow_the_weights() -> None:
    balancer = opened(cores=1, tenants=(Tenant(3.0), Tenant(1.0)), classes=(PATIENT,))
    acts = balancer.step(0.0, [request(i, i % 2) for i in range(1, 9)])
    now, nxt, runs, owner = 0.0, 9, [0, 0], {i: i % 2 for i in range(1, 9)}
    for _ in range(200):
        (rid,) = started(acts)
        runs[owner[rid]] += 1
        owner[nxt] = owner[rid]
        now += 20.0
        acts = balancer.step(now, [*done(rid), request(nxt, owner[rid]), Timer(0)])
        nxt += 1
    assert 2.5 < runs[0] / runs[1] < 3.5


def test_a_start_is_charged_with_lmax_and_the_end_refunds() -> None:
    balancer = opened(cores=1)
    balancer.state.queue.tenants[0].max_cost_ratios[balancer.state.service_time.classes[0]] = 2.0
    balancer.step(0.0, [request(1)])
    paid = 2.0 * balancer.state.service_time.mean_cost_ms
    assert balancer.state.queue.tenants[0].start_tag == paid
    balancer.step(30.0, done(1))
    assert abs(balancer.state.queue.tenants[0].start_tag - 30.0) < 1e-6


def test_refresh_charges_use_beyond_what_was_paid() -> None:
    balancer = opened(cores=1)
    balancer.state.queue.tenants[0].max_cost_ratios[balancer.state.service_time.classes[0]] = (
        10.0 / balancer.state.service_time.mean_cost_ms
    )
    balancer.step(0.0, [request(1)])
    balancer.step(25.0, [Timer(0, (1.0,))])
    assert abs(balancer.state.queue.tenants[0].start_tag - 25.0) < 1e-6


def test_an_erratic_tenant_is_taken_for_a_costly_one() -> None:
    balancer = opened(cores=1)
    for i, (tenant, cost) in enumerate([(0, 20.0), (1, 20.0), (0, 20.0), (1, 70.0), (0, 20.0), (1, 20.0)], 1):
        at = balancer.state.now + 500.0
        balancer.step(at, [request(i, tenant), Timer(0)])
        balancer.step(at + cost, [RunEnded(i, Outcome.OK)])
    assert (
        balancer.state.queue.tenants[1].max_cost_ratios[balancer.state.service_time.classes[0]]
        > 2 * balancer.state.queue.tenants[0].max_cost_ratios[balancer.state.service_time.classes[0]]
    )


def test_an_idle_tenant_gains_no_credit() -> None:
    balancer = opened(cores=1)
    now = 0.0
    for i in range(1, 40):
        balancer.step(now, [request(i, 0)])
        now += 20.0
        balancer.step(now, done(i))
    balancer.step(now, [request(100, 1)])
    assert balancer.state.queue.virtual_time > 0
    assert balancer.state.queue.tenants[1].start_tag >= balancer.state.queue.virtual_time


def test_cost_is_shared_when_more_run_than_there_are_cores() -> None:
    balancer = opened(cores=2)
    balancer.state.concurrency.limit, balancer.state.concurrency.slots = 4, [None] * 4
    balancer.step(0.0, [request(i) for i in range(1, 5)])
    balancer.step(20.0, done(1))
    assert abs(balancer.state.concurrency.service_ms - 10.0) < 1e-6


def test_n_rises_under_idle_cores_and_falls_back_to_them() -> None:
    balancer = opened(cores=2)
    balancer.step(0.0, [request(i) for i in range(1, 5)])
    balancer.step(600.0, [Timer(0, (0.3,))])
    assert balancer.state.concurrency.limit == 3
    balancer.step(1200.0, done(1, 2, 3, 4))
    balancer.step(1300.0, [Timer(0, (0.95,))])
    balancer.step(1900.0, [Timer(0, (0.95,))])
    assert balancer.state.concurrency.limit == 2
    balancer.step(2500.0, [Timer(0, (0.95,))])
    assert balancer.state.concurrency.limit == 2


def busy_since(took: float, held: dict[int, int], **changes: Any) -> tuple[Balancer, list[float]]:
    """One run that took so long, then as many requests of each caller; what callers are told then."""
    balancer = opened(
        cores=2,
        callers=3,
        classes=(PATIENT, RequestClass(aim_ms=1000, deadline_ms=4000)),
        **{"signal": SignalKind.ALLOWANCE} | changes,
    )
    balancer.step(0.0, [request(1)])
    balancer.step(took, done(1))
    ids = iter(range(2, 1000))
    balancer.step(1000.0, [request(next(ids), caller=c) for c, count in held.items() for _ in range(count)])
    return balancer, [a.value for a in only(balancer.step(1010.0, [Timer(0, (0.9,))]), Signal)]


def test_callers_are_told_how_many_requests_they_may_have_out() -> None:
    _, (even,) = busy_since(100.0, {1: 9, 2: 9, 3: 9})
    _, (skewed,) = busy_since(100.0, {1: 1, 2: 1, 3: 25})
    assert even < 3 < skewed < 25  # who sends most gives way, and has what the others leave
    _, (slow,) = busy_since(900.0, {1: 9, 2: 9, 3: 9})
    assert slow < even  # a slow server holds less: what it would keep waiting goes elsewhere
    balancer, told = busy_since(100.0, {1: 9}, signal=SignalKind.OFF)
    assert told == []
    balancer, _ = busy_since(100.0, {1: 9})
    assert only(balancer.step(1015.0, [Timer(0, (0.9,))]), Signal) == []  # nothing new to say


def test_refusals_make_the_allowance_smaller_for_a_while() -> None:
    balancer, (roomy,) = busy_since(100.0, {1: 9, 2: 9, 3: 9})
    balancer.shedding.recent_rejections = 20.0
    (pressed,) = only(balancer.step(1520.0, [Timer(0, (0.9,))]), Signal)
    assert pressed.value < roomy


def test_a_leaving_server_lets_callers_send_until_its_doors_close() -> None:
    balancer, _ = busy_since(100.0, {1: 9, 2: 9, 3: 9}, drain_grace_ms=2000.0)
    assert only(balancer.step(1600.0, [DrainNotice(4000.0)]), Signal) == []
    closing = 1600.0 + SERVE_FRACTION * 4000.0
    assert all(a.value > 0 for a in only(balancer.step(closing - 1, [Timer(0, (0.9,))]), Signal))
    assert [a.value for a in only(balancer.step(closing, [Timer(0, (0.9,))]), Signal)] == [0.0]
    assert (
        only(balancer.step(closing + 600, [Timer(0, (0.9,))]), Signal) == []
    )  # nothing more is allowed from here
