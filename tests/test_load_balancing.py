"""Load balancing by itself: tables, properties, and hard cases played in virtual time."""

from __future__ import annotations

import random
from collections import Counter
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from moorusher.lab.server_pool_simulation import (
    CallLoad,
    FaultKind,
    PoolSimulation,
    RoutingMethod,
    ServerFault,
    SimulatedServer,
)
from moorusher.load_balancing.concurrency_limit import ConcurrencyLimit
from moorusher.load_balancing.endpoint import Endpoint, EndpointState, InFlight
from moorusher.load_balancing.latency import MIN_QUANTILE_SAMPLES, LatencyEstimate, median
from moorusher.load_balancing.load_balancer import LoadBalancer
from moorusher.load_balancing.messages import (
    AttemptEnded,
    AttemptOutcome,
    CallCancelled,
    CallStarted,
    CancelAttempt,
    CompleteCall,
    EndpointRemoved,
    Instruction,
    SendAttempt,
    TimerFired,
)
from moorusher.load_balancing.outlier_detection import EjectionReason
from moorusher.load_balancing.picker import subset_order
from moorusher.load_balancing.policy import EndpointConfig, LoadBalancingPolicy
from moorusher.load_balancing.retry import backoff_us
from moorusher.load_balancing.retry_budget import RetryBudget
from moorusher.scheduling.interface import Effect

S, MS = 1_000_000, 1_000
HOST = "127.0.0.1"


def servers(count: int, **more: Any) -> list[EndpointConfig]:
    return [EndpointConfig(f"s{i}", (HOST, i + 1), **more) for i in range(count)]


def router(count: int = 4, now: int = 0, **policy: Any) -> LoadBalancer:
    return LoadBalancer(servers(count), LoadBalancingPolicy(**policy), "r1", random.Random(1).random, now)


def sends(effects: list[Instruction]) -> list[SendAttempt]:
    return [e for e in effects if isinstance(e, SendAttempt)]


def overs(effects: list[Instruction]) -> list[tuple[int, AttemptOutcome]]:
    return [(e.call_id, e.outcome) for e in effects if isinstance(e, CompleteCall)]


# ---- what is measured ----


def test_a_latency_peak_counts_at_once_and_decays() -> None:
    latency = LatencyEstimate()
    for i in range(30):
        latency.add(i * S, 10_000)
    latency.add(30 * S, 200_000)
    assert latency.expected(30 * S) == 200_000
    assert 30_000 < latency.expected(35 * S) < 80_000
    assert latency.long < 20_000 and latency.quantile(0.5) == 10_000
    assert LatencyEstimate().quantile(0.95) is None and LatencyEstimate().expected(S) == 0


@given(st.lists(st.floats(1, 1e6), min_size=1, max_size=200))
def test_no_latency_estimate_leaves_the_range_of_its_samples(took: list[float]) -> None:
    latency = LatencyEstimate()
    for i, t in enumerate(took):
        latency.add(i * 1000, t)
    low, high = min(took) * 0.999, max(took) * 1.001
    assert low <= latency.short <= high and low <= latency.long <= high and low <= latency.peak <= high
    assert (latency.quantile(0.95) is None) is (len(took) < MIN_QUANTILE_SAMPLES)
    assert low <= median(took) <= high


def test_the_concurrency_limit_rises_unless_latency_does_and_falls_where_it_does() -> None:
    limit = ConcurrencyLimit(2, 100)
    for _ in range(200):
        limit.answered(10, 10, int(limit.value))
    assert limit.value == 100
    for _ in range(200):
        limit.answered(100, 10, int(limit.value))
    assert limit.value == 2 and limit.allows(1) and not limit.allows(2)
    for _ in range(200):
        limit.answered(10, 10, 0)
    assert limit.value == 2  # it was not tried
    before = ConcurrencyLimit(2, 100)
    before.overloaded()
    assert before.value < 16


def test_the_retry_budget_is_a_fraction_of_the_calls_and_a_trickle() -> None:
    budget, taken = RetryBudget(0.1, 0.0, 0), 0
    for _ in range(1000):
        budget.call_started()
        taken += budget.try_take(0)
    assert 95 <= taken <= 101
    assert sum(RetryBudget(0.0, 1.0, 0).try_take(now * S) for now in range(1)) == 1
    floor = RetryBudget(0.0, 1.0, 0)
    assert sum(floor.try_take(i * S // 10) for i in range(1, 101)) in (10, 11)
    assert [backoff_us(tries, 10, 250, 0.5) for tries in (1, 2, 5, 6, 99)] == [
        5000,
        10000,
        80000,
        125000,
        125000,
    ]


# ---- choice ----


def test_each_runner_has_a_subset_of_its_own_and_a_change_moves_few() -> None:
    members = [Endpoint(s, LoadBalancingPolicy(), 0) for s in servers(100)]
    before = {r: [m.config.name for m in subset_order(f"r{r}", members)][:10] for r in range(300)}
    load = Counter(name for names in before.values() for name in names)
    assert len(load) == 100 and max(load.values()) < 2 * 30
    after = {r: [m.config.name for m in subset_order(f"r{r}", members[1:])][:10] for r in range(300)}
    for r, names in before.items():
        assert len(set(names) - set(after[r])) == ("s0" in names)
    heavy = [
        Endpoint(EndpointConfig(f"s{i}", (HOST, 1), weight=4.0 if i == 0 else 1.0), LoadBalancingPolicy(), 0)
        for i in range(50)
    ]
    got = Counter(subset_order(f"r{r}", heavy)[0].config.name for r in range(1000))
    assert got["s0"] > 2 * 1000 / 53


def test_the_own_zone_is_preferred_until_it_is_clearly_worse() -> None:
    near, far = servers(2, zone="a"), [EndpointConfig(f"f{i}", (HOST, 9), zone="b") for i in range(2)]
    r = LoadBalancer(
        [*near, *far], LoadBalancingPolicy(zone="a", hedging_enabled=False), "r1", random.Random(1).random, 0
    )
    for i in range(40):
        (send,) = sends(r.handle(CallStarted(i * S, i, Effect.IDEMPOTENT, i * S + S)))
        assert send.endpoint in ("s0", "s1")
        r.handle(AttemptEnded(i * S + 10 * MS, send.attempt_id, AttemptOutcome.ANSWERED))
    for member in r.endpoints.by_name.values():
        for i in range(20):
            member.latency.add(40 * S + i, 100 * MS if member.config.zone == "a" else 10 * MS)
    spilled = [
        sends(r.handle(CallStarted(41 * S + i, 100 + i, Effect.IDEMPOTENT, 42 * S)))[0].endpoint
        for i in range(4)
    ]
    assert all(name.startswith("f") for name in spilled)


def test_a_new_server_gets_calls_gradually() -> None:
    r = router(4, hedging_enabled=False)
    r.endpoints.add(0, EndpointConfig("new", (HOST, 9)))
    got = Counter[int]()
    for i in range(6000):
        now = i * 5 * MS
        (send,) = sends(r.handle(CallStarted(now, i, Effect.IDEMPOTENT, now + S)))
        got[now // (10 * S)] += send.endpoint == "new"
        r.handle(AttemptEnded(now + 3 * MS, send.attempt_id, AttemptOutcome.ANSWERED))
    assert got[0] < 0.8 * got[2] and 250 < got[2] < 600  # an even share of 2,000 is 400


# ---- calls ----


def test_a_call_with_an_idempotency_key_is_retried_only_after_a_proof() -> None:
    for end, again in (
        (AttemptOutcome.REJECTED, True),
        (AttemptOutcome.NOT_CONNECTED, True),
        (AttemptOutcome.FAILED, False),
        (AttemptOutcome.NOT_AWAITED, False),
    ):
        r = router(hedging_enabled=False)
        (send,) = sends(r.handle(CallStarted(0, 1, Effect.IDEMPOTENT_WITH_KEY, S)))
        out = r.handle(AttemptEnded(MS, send.attempt_id, end))
        assert (overs(out) == []) is again
        wake = r.next_timer()
        assert (wake is not None) is again
        if wake is not None:
            (second,) = sends(r.handle(TimerFired(wake)))
            assert second.endpoint != send.endpoint and wake <= MS + 10 * MS


def test_nothing_is_retried_past_the_deadline_or_the_budget() -> None:
    r = router(hedging_enabled=False)
    (send,) = sends(r.handle(CallStarted(0, 1, Effect.IDEMPOTENT, 20 * MS)))
    assert overs(r.handle(AttemptEnded(19 * MS, send.attempt_id, AttemptOutcome.NOT_CONNECTED))) == [
        (1, AttemptOutcome.NOT_CONNECTED)
    ]
    r = router(hedging_enabled=False, retry_budget_ratio=0.0, min_retries_per_s=0.0)
    ends = []
    for i in range(10):
        (send,) = sends(r.handle(CallStarted(0, i, Effect.IDEMPOTENT, S)))
        ends.append(bool(overs(r.handle(AttemptEnded(MS, send.attempt_id, AttemptOutcome.FAILED)))))
    assert ends == [False] + [True] * 9 and r.counts.denied_by_budget == 9


def test_a_hedged_request_goes_elsewhere_the_first_answer_wins_and_the_other_is_cancelled() -> None:
    r = router(2, retry_budget_ratio=1.0)
    for i in range(80):
        (send,) = sends(r.handle(CallStarted(i * S, i, Effect.IDEMPOTENT, i * S + S)))
        r.handle(AttemptEnded(i * S + 10 * MS, send.attempt_id, AttemptOutcome.ANSWERED))
    r.handle(TimerFired(100 * S))
    (first,) = sends(r.handle(CallStarted(100 * S, 1000, Effect.IDEMPOTENT, 101 * S)))
    (keyed,) = sends(r.handle(CallStarted(100 * S, 1001, Effect.IDEMPOTENT_WITH_KEY, 101 * S)))
    wake = r.next_timer()
    assert wake is not None and wake <= 100 * S + 25 * MS
    (second,) = sends(r.handle(TimerFired(wake)))
    assert second.call_id == 1000 and second.endpoint != first.endpoint
    out = r.handle(AttemptEnded(wake + MS, second.attempt_id, AttemptOutcome.ANSWERED))
    assert overs(out) == [(1000, AttemptOutcome.ANSWERED)] and CancelAttempt(first.attempt_id) in out
    assert (
        r.handle(AttemptEnded(wake + 2 * MS, first.attempt_id, AttemptOutcome.ANSWERED)) == []
    )  # it comes too late to count
    assert r.counts.hedges == r.counts.hedges_won == 1 and keyed.attempt_id not in [
        e.attempt_id for e in out if isinstance(e, CancelAttempt)
    ]


def test_calls_without_a_server_wait_by_deadline_and_a_full_queue_rejects() -> None:
    r = router(1, min_concurrency=1, max_concurrency=1, max_queued_calls=2, hedging_enabled=False)
    (first,) = sends(r.handle(CallStarted(0, 1, Effect.IDEMPOTENT_WITH_KEY, 9 * S)))
    assert (
        r.handle(CallStarted(0, 2, Effect.IDEMPOTENT_WITH_KEY, 5 * S)) == []
        and r.handle(CallStarted(0, 3, Effect.IDEMPOTENT_WITH_KEY, 2 * S)) == []
    )
    assert overs(r.handle(CallStarted(0, 4, Effect.IDEMPOTENT_WITH_KEY, S))) == [(4, AttemptOutcome.REJECTED)]
    (due_first,) = sends(r.handle(AttemptEnded(MS, first.attempt_id, AttemptOutcome.ANSWERED)))
    assert due_first.call_id == 3
    assert r.handle(CallCancelled(MS, 2)) == [] and r.handle(
        AttemptEnded(2 * MS, due_first.attempt_id, AttemptOutcome.ANSWERED)
    ) == [CompleteCall(3, due_first.attempt_id, AttemptOutcome.ANSWERED)]
    assert r.open_calls == 0 and len(r._queue) == 0


# ---- ejection ----


def fail(r: LoadBalancer, name: str, count: int, now: int = 0) -> None:
    for _ in range(count):
        r.endpoints.by_name[name].in_flight[-1] = InFlight(now)
        r.endpoints.attempt_ended(now, r.endpoints.by_name[name], -1, AttemptOutcome.FAILED)


def test_a_server_is_ejected_longer_each_time_and_returns_by_a_health_check() -> None:
    r, now = router(4, hedging_enabled=False), 0
    member = r.endpoints.by_name["s0"]
    lasted = []
    for _ in range(3):
        fail(r, "s0", 5, now)
        assert member.state is EndpointState.EJECTED
        lasted.append((member.outliers.ejected_until - now) / S)
        assert all(
            sends(r.handle(CallStarted(now + i, 10 + i, Effect.IDEMPOTENT, now + S)))[0].endpoint != "s0"
            for i in range(20)
        )
        for i in range(20):
            r.handle(CallCancelled(now + 30, 10 + i))
        now = member.outliers.ejected_until
        assert (
            sends(r.handle(CallStarted(now, 1, Effect.IDEMPOTENT_WITH_KEY, now + S)))[0].endpoint != "s0"
        )  # a keyed call is no probe
        (probe,) = sends(r.handle(CallStarted(now, 2, Effect.IDEMPOTENT, now + S)))
        assert probe.endpoint == "s0"
        assert (
            sends(r.handle(CallStarted(now, 3, Effect.IDEMPOTENT, now + S)))[0].endpoint != "s0"
        )  # one at a time
        r.handle(AttemptEnded(now + MS, probe.attempt_id, AttemptOutcome.ANSWERED))
        assert str(member.state) == "EndpointState.ACTIVE" and member.ramp(now + MS) == pytest.approx(
            0.1, abs=0.01
        )
        for number in (1, 2, 3):
            r.handle(CallCancelled(now + MS, number))
    assert lasted == [5, 10, 20]


def test_a_health_check_that_fails_ejects_again_and_a_cancelled_one_is_repeated() -> None:
    r = router(4, hedging_enabled=False)
    fail(r, "s0", 5)
    now = r.endpoints.by_name["s0"].outliers.ejected_until
    (probe,) = sends(r.handle(CallStarted(now, 1, Effect.IDEMPOTENT, now + S)))
    r.handle(CallCancelled(now + MS, 1))
    assert r.endpoints.by_name["s0"].state is EndpointState.AWAITING_HEALTH_CHECK
    (probe,) = sends(r.handle(CallStarted(now + 2 * MS, 2, Effect.IDEMPOTENT, now + S)))
    assert probe.endpoint == "s0"
    r.handle(AttemptEnded(now + 3 * MS, probe.attempt_id, AttemptOutcome.FAILED))
    assert (r.endpoints.by_name["s0"].state, r.endpoints.by_name["s0"].outliers.reason) == (
        EndpointState.EJECTED,
        EjectionReason.HEALTH_CHECK_FAILED,
    )


@pytest.mark.parametrize("retired", [False, True])
def test_a_health_check_that_is_cancelled_while_its_server_drains_brings_no_call_back(retired: bool) -> None:
    """An operator drains or retires a server while its health check is under way, and the call is cancelled. The end
    of that call used to put the server back among those that wait for a health check: it got calls again, and one
    that was to be forgotten stayed for ever."""
    r = router(4, hedging_enabled=False)
    fail(r, "s0", 5)
    now = r.endpoints.by_name["s0"].outliers.ejected_until
    (health_check,) = sends(r.handle(CallStarted(now, 1, Effect.IDEMPOTENT, now + S)))
    assert health_check.endpoint == "s0"
    (r.endpoints.retire if retired else r.endpoints.drain)("s0")
    r.handle(CallCancelled(now + MS, 1))
    assert ("s0" in r.endpoints.by_name) is not retired
    later = [
        sends(r.handle(CallStarted(now + 2 * MS, number, Effect.IDEMPOTENT, now + S)))
        for number in range(2, 12)
    ]
    assert "s0" not in {send.endpoint for (send,) in later}


def test_at_most_a_fraction_is_ejected_and_some_server_is_always_in_service() -> None:
    r = router(6, hedging_enabled=False)
    for i in range(6):
        fail(r, f"s{i}", 50)
    assert sum(m.state is EndpointState.EJECTED for m in r.endpoints.by_name.values()) == 2
    r = router(6, hedging_enabled=False, max_ejected_fraction=1.0)
    for i in range(6):
        fail(r, f"s{i}", 50)
    assert all(m.state is EndpointState.EJECTED for m in r.endpoints.by_name.values())
    assert sends(r.handle(CallStarted(MS, 1, Effect.IDEMPOTENT, S))) and r.endpoints.ejection.panics


# ---- membership under load ----


def test_servers_are_added_drained_and_removed_with_calls_in_flight() -> None:
    r = router(2, hedging_enabled=False, retry_budget_ratio=1.0)
    flights = [
        sends(
            r.handle(CallStarted(0, i, Effect.IDEMPOTENT if i % 2 == 0 else Effect.IDEMPOTENT_WITH_KEY, S))
        )[0]
        for i in range(12)
    ]
    assert r.endpoints.drain("s0") and not r.endpoints.drain("none")
    assert {sends(r.handle(CallStarted(MS, 20 + i, Effect.IDEMPOTENT, S)))[0].endpoint for i in range(4)} == {
        "s1"
    }
    r.endpoints.retire("s0")
    for f in [f for f in flights if f.endpoint == "s0"]:
        assert "s0" in r.endpoints.by_name
        r.handle(AttemptEnded(2 * MS, f.attempt_id, AttemptOutcome.ANSWERED))
    assert "s0" not in r.endpoints.by_name
    r.endpoints.add(3 * MS, EndpointConfig("s0", (HOST, 99)))
    assert r.endpoints.by_name["s0"].config.address == (HOST, 99)
    out = r.handle(EndpointRemoved(4 * MS, "s1"))
    keyed = [f.call_id for f in flights if f.endpoint == "s1" and f.call_id % 2]
    assert [number for number, _ in overs(out)] == keyed  # nothing proves that they did not run
    assert len([e for e in out if isinstance(e, CancelAttempt)]) >= len(keyed)


# ---- in virtual time ----


def tier(*faults: ServerFault | None, count: int = 8) -> list[SimulatedServer]:
    return [SimulatedServer(f"s{i}", fault=faults[i] if i < len(faults) else None) for i in range(count)]


FAULTS = {
    "hang": ServerFault(FaultKind.HANG, 5),
    "slow": ServerFault(FaultKind.SLOW, 5, factor=15),
    "fail": ServerFault(FaultKind.FAIL, 5),
    "turn": ServerFault(FaultKind.REJECT, 5),
}


@pytest.mark.parametrize("fault", FAULTS)
def test_a_faulty_server_loses_its_calls_and_the_others_serve_on(fault: str) -> None:
    told = {
        method.value: PoolSimulation(tier(FAULTS[fault]), method, 3, CallLoad(seconds=15)).run()
        for method in (RoutingMethod.LOAD_BALANCER, RoutingMethod.ROUND_ROBIN)
    }
    assert told["tier"].share_in_time > 0.98 > told["round"].share_in_time
    assert told["tier"].seconds_until_shifted({"s0"}, 5, 1 / 8) < 3
    assert told["tier"].attempts <= 1.1 * told["tier"].calls
    assert told["tier"].executed_twice == 0


def test_a_server_that_recovers_gets_its_calls_back() -> None:
    world = PoolSimulation(
        tier(ServerFault(FaultKind.FAIL, 3, 6)), RoutingMethod.LOAD_BALANCER, 1, CallLoad(seconds=45)
    )
    told = world.run()
    lately = Counter(who for at, who in told.sent if at > 38)
    assert lately["s0"] > 0.5 * sum(lately.values()) / 8
    assert world.load_balancer.endpoints.by_name["s0"].state is EndpointState.ACTIVE


def test_all_servers_failing_is_no_reason_to_send_more() -> None:
    told = PoolSimulation(
        tier(*[ServerFault(FaultKind.FAIL, 5, 10)] * 8), RoutingMethod.LOAD_BALANCER, 1, CallLoad(seconds=20)
    ).run()
    assert told.attempts <= 1.1 * told.calls + 20
    assert sum(b.calls for b in told.bins[15:20]) - sum(b.in_time for b in told.bins[15:20]) < 20


@settings(max_examples=25, deadline=None)
@given(
    st.integers(0, 10_000),
    st.lists(st.sampled_from(["hang", "slow", "fail", "turn", ""]), min_size=3, max_size=6),
)
def test_every_call_ends_once_nothing_is_left_and_no_key_runs_twice(seed: int, kinds: list[str]) -> None:
    faults = [ServerFault(FaultKind(kind), 0.5, 2) if kind else None for kind in kinds]
    world = PoolSimulation(
        tier(*faults, count=len(faults)),
        RoutingMethod.LOAD_BALANCER,
        seed,
        CallLoad(rate=80, seconds=3),
        policy=LoadBalancingPolicy(max_queued_calls=4, base_ejection_s=0.3),
    )
    told = world.run()
    assert sum(told.outcomes.values()) == told.calls and told.executed_twice == 0
    r = world.load_balancer
    assert r.open_calls == 0 and len(r._queue) == 0 and not r._call_of
    assert all(not m.in_flight for m in r.endpoints.by_name.values())
    assert told.attempts <= told.calls * 1.08 + 10 + 0.5 * 5 + 1
