"""Order in which queued requests start (2DFQ^E)."""

from __future__ import annotations

from moorusher.scheduling.interface import (
    ExecutionOutcome,
    RequestClass,
    RunEnded,
    Tenant,
    Timer,
)

from ..helpers import done, opened, request, started

PATIENT = RequestClass(latency_objective_ms=1e6, deadline_ms=2e6)


def test_two_idle_slots_start_two_requests_and_the_third_is_queued() -> None:
    scheduler = opened()
    actions = scheduler.step(1.0, [request(1), request(2), request(3)])
    assert started(actions) == [1, 2]
    assert started(scheduler.step(50.0, done(1))) == [3]


def test_eligibility_is_staggered_by_slot() -> None:
    scheduler = opened(cores=2, tenants=(Tenant(1.0), Tenant(1.0)))
    cheap, expensive = scheduler.state.queue.tenants[0], scheduler.state.queue.tenants[1]
    (
        cheap.max_cost_ratios[scheduler.state.service_time.classes[0]],
        expensive.max_cost_ratios[scheduler.state.service_time.classes[0]],
    ) = 1.0, 4.0
    scheduler.admission.arrive(request(1, 0))
    scheduler.admission.arrive(request(2, 1))
    scheduler.state.queue.virtual_time, cheap.start_tag, expensive.start_tag = (
        0.0,
        0.3 * scheduler.state.service_time.mean_cost_ms,
        1.0 * scheduler.state.service_time.mean_cost_ms,
    )
    scheduler.state.queue.virtual_time = 0.1 * scheduler.state.service_time.mean_cost_ms
    # On slot 0, no tenant is eligible whose start tag is after the virtual time. On slot 1 of 2, a tenant is eligible
    # earlier by half of its L_max.
    cheap.start_tag, expensive.start_tag = (
        0.3 * scheduler.state.service_time.mean_cost_ms,
        0.3 * scheduler.state.service_time.mean_cost_ms,
    )
    assert scheduler.state.queue.pick(0, 2) is None
    assert scheduler.state.queue.pick(1, 2) is cheap
    scheduler.state.queue.virtual_time = 0.3 * scheduler.state.service_time.mean_cost_ms
    expensive.start_tag = 1.0 * scheduler.state.service_time.mean_cost_ms
    # The cheap tenant's start tag is ahead by more than half of its L_max, so only the expensive tenant is eligible.
    cheap.start_tag = 0.9 * scheduler.state.service_time.mean_cost_ms
    assert scheduler.state.queue.pick(1, 2) is expensive


def test_tenants_of_small_requests_keep_the_high_slot() -> None:
    """The paper's example: two slots, request sizes 1 and 4. Expensive tenants must rarely use both slots at once."""
    scheduler = opened(cores=2, tenants=tuple(Tenant(1.0) for _ in range(4)), classes=(PATIENT,))
    cost_ms = {0: 40.0, 1: 40.0, 2: 160.0, 3: 160.0}
    next_id, ends, now, both_expensive_ms, runs = 100, {}, 0.0, 0.0, dict.fromkeys(cost_ms, 0)
    tenant_of: dict[int, int] = {}
    batch = []
    for tenant in cost_ms:
        for _ in range(4):
            tenant_of[next_id] = tenant
            batch.append(request(next_id, tenant))
            next_id += 1
    actions = scheduler.step(now, batch)
    while now < 6000.0:
        for request_id in started(actions):
            ends[request_id] = now + cost_ms[tenant_of[request_id]]
            runs[tenant_of[request_id]] += 1
        next_step = now + 20.0
        if sum(1 for other in ends if tenant_of[other] >= 2) == 2 and now > 2000.0:
            both_expensive_ms += next_step - now
        now = next_step
        ended = [other for other, end in ends.items() if end <= now]
        for other in ended:
            del ends[other]
        new_requests = []
        for other in ended:
            tenant_of[next_id] = tenant_of[other]
            new_requests.append(request(next_id, tenant_of[other]))
            next_id += 1
        actions = scheduler.step(now, [*done(*ended), *new_requests, Timer(0)])
    assert both_expensive_ms < 0.25 * 4000.0
    assert runs[0] > 2.5 * runs[2]


def test_tenants_run_in_proportion_to_their_weights() -> None:
    scheduler = opened(cores=1, tenants=(Tenant(3.0), Tenant(1.0)), classes=(PATIENT,))
    actions = scheduler.step(0.0, [request(i, i % 2) for i in range(1, 9)])
    now, next_id, runs, tenant_of = 0.0, 9, [0, 0], {i: i % 2 for i in range(1, 9)}
    for _ in range(200):
        (request_id,) = started(actions)
        runs[tenant_of[request_id]] += 1
        tenant_of[next_id] = tenant_of[request_id]
        now += 20.0
        actions = scheduler.step(now, [*done(request_id), request(next_id, tenant_of[request_id]), Timer(0)])
        next_id += 1
    assert 2.5 < runs[0] / runs[1] < 3.5


def test_a_start_is_charged_l_max_and_the_unused_part_is_refunded_at_the_end() -> None:
    scheduler = opened(cores=1)
    scheduler.state.queue.tenants[0].max_cost_ratios[scheduler.state.service_time.classes[0]] = 2.0
    scheduler.step(0.0, [request(1)])
    charged_ms = 2.0 * scheduler.state.service_time.mean_cost_ms
    assert scheduler.state.queue.tenants[0].start_tag == charged_ms
    scheduler.step(30.0, done(1))
    assert abs(scheduler.state.queue.tenants[0].start_tag - 30.0) < 1e-6


def test_refresh_charging_charges_core_time_beyond_the_prepaid_time() -> None:
    scheduler = opened(cores=1)
    scheduler.state.queue.tenants[0].max_cost_ratios[scheduler.state.service_time.classes[0]] = (
        10.0 / scheduler.state.service_time.mean_cost_ms
    )
    scheduler.step(0.0, [request(1)])
    scheduler.step(25.0, [Timer(0, (1.0,))])
    assert abs(scheduler.state.queue.tenants[0].start_tag - 25.0) < 1e-6


def test_an_unpredictable_tenant_is_estimated_as_an_expensive_one() -> None:
    scheduler = opened(cores=1)
    for i, (tenant, cost_ms) in enumerate(
        [(0, 20.0), (1, 20.0), (0, 20.0), (1, 70.0), (0, 20.0), (1, 20.0)], 1
    ):
        arrival = scheduler.state.now + 500.0
        scheduler.step(arrival, [request(i, tenant), Timer(0)])
        scheduler.step(arrival + cost_ms, [RunEnded(i, ExecutionOutcome.OK)])
    assert (
        scheduler.state.queue.tenants[1].max_cost_ratios[scheduler.state.service_time.classes[0]]
        > 2 * scheduler.state.queue.tenants[0].max_cost_ratios[scheduler.state.service_time.classes[0]]
    )


def test_an_idle_tenant_gains_no_credit() -> None:
    scheduler = opened(cores=1)
    now = 0.0
    for i in range(1, 40):
        scheduler.step(now, [request(i, 0)])
        now += 20.0
        scheduler.step(now, done(i))
    scheduler.step(now, [request(100, 1)])
    assert scheduler.state.queue.virtual_time > 0
    assert scheduler.state.queue.tenants[1].start_tag >= scheduler.state.queue.virtual_time
