"""Load balancing without I/O: tables, properties, and simulations in virtual time."""

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


def load_balancer(count: int = 4, now: int = 0, **policy: Any) -> LoadBalancer:
    return LoadBalancer(servers(count), LoadBalancingPolicy(**policy), "r1", random.Random(1).random, now)


def sent_attempts(instructions: list[Instruction]) -> list[SendAttempt]:
    return [e for e in instructions if isinstance(e, SendAttempt)]


def completed_calls(instructions: list[Instruction]) -> list[tuple[int, AttemptOutcome]]:
    return [(e.call_id, e.outcome) for e in instructions if isinstance(e, CompleteCall)]


# ---- estimates and limits ----


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
def test_latency_estimates_stay_within_the_range_of_their_samples(latencies_us: list[float]) -> None:
    latency = LatencyEstimate()
    for i, t in enumerate(latencies_us):
        latency.add(i * 1000, t)
    low, high = min(latencies_us) * 0.999, max(latencies_us) * 1.001
    assert low <= latency.short <= high and low <= latency.long <= high and low <= latency.peak <= high
    assert (latency.quantile(0.95) is None) is (len(latencies_us) < MIN_QUANTILE_SAMPLES)
    assert low <= median(latencies_us) <= high


def test_the_concurrency_limit_rises_at_a_level_latency_and_falls_as_latency_increases() -> None:
    limit = ConcurrencyLimit(2, 100)
    for _ in range(200):
        limit.record_answer(10, 10, int(limit.value))
    assert limit.value == 100
    for _ in range(200):
        limit.record_answer(100, 10, int(limit.value))
    assert limit.value == 2 and limit.allows(1) and not limit.allows(2)
    for _ in range(200):
        limit.record_answer(10, 10, 0)
    assert limit.value == 2  # the limit does not rise while less than half of it is in use
    lowered = ConcurrencyLimit(2, 100)
    lowered.record_overload()
    assert lowered.value < 16


def test_the_retry_budget_is_a_fraction_of_the_calls_plus_a_constant_rate() -> None:
    budget, taken = RetryBudget(0.1, 0.0, 0), 0
    for _ in range(1000):
        budget.call_started()
        taken += budget.try_acquire(0)
    assert 95 <= taken <= 101
    assert sum(RetryBudget(0.0, 1.0, 0).try_acquire(now * S) for now in range(1)) == 1
    constant_rate = RetryBudget(0.0, 1.0, 0)
    assert sum(constant_rate.try_acquire(i * S // 10) for i in range(1, 101)) in (10, 11)
    assert [backoff_us(attempts, 10, 250, 0.5) for attempts in (1, 2, 5, 6, 99)] == [
        5000,
        10000,
        80000,
        125000,
        125000,
    ]


# ---- selection ----


def test_subsets_differ_between_runners_and_the_removal_of_a_server_replaces_only_that_server() -> None:
    endpoints = [Endpoint(s, LoadBalancingPolicy(), 0) for s in servers(100)]
    before = {n: [e.config.name for e in subset_order(f"r{n}", endpoints)][:10] for n in range(300)}
    runners_of_server = Counter(name for names in before.values() for name in names)
    assert len(runners_of_server) == 100 and max(runners_of_server.values()) < 2 * 30
    after = {n: [e.config.name for e in subset_order(f"r{n}", endpoints[1:])][:10] for n in range(300)}
    for n, names in before.items():
        assert len(set(names) - set(after[n])) == ("s0" in names)
    one_heavy = [
        Endpoint(EndpointConfig(f"s{i}", (HOST, 1), weight=4.0 if i == 0 else 1.0), LoadBalancingPolicy(), 0)
        for i in range(50)
    ]
    first_choices = Counter(subset_order(f"r{n}", one_heavy)[0].config.name for n in range(1000))
    assert first_choices["s0"] > 2 * 1000 / 53


def test_the_own_zone_is_preferred_until_it_is_clearly_worse() -> None:
    local, remote = servers(2, zone="a"), [EndpointConfig(f"f{i}", (HOST, 9), zone="b") for i in range(2)]
    balancer = LoadBalancer(
        [*local, *remote],
        LoadBalancingPolicy(zone="a", hedging_enabled=False),
        "r1",
        random.Random(1).random,
        0,
    )
    for i in range(40):
        (send,) = sent_attempts(balancer.handle(CallStarted(i * S, i, Effect.IDEMPOTENT, i * S + S)))
        assert send.endpoint in ("s0", "s1")
        balancer.handle(AttemptEnded(i * S + 10 * MS, send.attempt_id, AttemptOutcome.ANSWERED))
    for endpoint in balancer.endpoints.by_name.values():
        for i in range(20):
            endpoint.latency.add(40 * S + i, 100 * MS if endpoint.config.zone == "a" else 10 * MS)
    spilled = [
        sent_attempts(balancer.handle(CallStarted(41 * S + i, 100 + i, Effect.IDEMPOTENT, 42 * S)))[
            0
        ].endpoint
        for i in range(4)
    ]
    assert all(name.startswith("f") for name in spilled)


def test_a_new_server_gets_calls_gradually() -> None:
    balancer = load_balancer(4, hedging_enabled=False)
    balancer.endpoints.add(0, EndpointConfig("new", (HOST, 9)))
    calls_by_10_s = Counter[int]()
    for i in range(6000):
        now = i * 5 * MS
        (send,) = sent_attempts(balancer.handle(CallStarted(now, i, Effect.IDEMPOTENT, now + S)))
        calls_by_10_s[now // (10 * S)] += send.endpoint == "new"
        balancer.handle(AttemptEnded(now + 3 * MS, send.attempt_id, AttemptOutcome.ANSWERED))
    # An even share of 2,000 calls is 400.
    assert calls_by_10_s[0] < 0.8 * calls_by_10_s[2] and 250 < calls_by_10_s[2] < 600


# ---- calls ----


def test_a_call_with_an_idempotency_key_is_retried_only_if_it_provably_did_not_run() -> None:
    for end, is_retried in (
        (AttemptOutcome.REJECTED, True),
        (AttemptOutcome.NOT_CONNECTED, True),
        (AttemptOutcome.FAILED, False),
        (AttemptOutcome.NOT_AWAITED, False),
    ):
        balancer = load_balancer(hedging_enabled=False)
        (send,) = sent_attempts(balancer.handle(CallStarted(0, 1, Effect.IDEMPOTENT_WITH_KEY, S)))
        instructions = balancer.handle(AttemptEnded(MS, send.attempt_id, end))
        assert (completed_calls(instructions) == []) is is_retried
        timer_at = balancer.next_timer()
        assert (timer_at is not None) is is_retried
        if timer_at is not None:
            (second,) = sent_attempts(balancer.handle(TimerFired(timer_at)))
            assert second.endpoint != send.endpoint and timer_at <= MS + 10 * MS


def test_no_call_is_retried_after_its_deadline_or_beyond_the_budget() -> None:
    balancer = load_balancer(hedging_enabled=False)
    (send,) = sent_attempts(balancer.handle(CallStarted(0, 1, Effect.IDEMPOTENT, 20 * MS)))
    assert completed_calls(
        balancer.handle(AttemptEnded(19 * MS, send.attempt_id, AttemptOutcome.NOT_CONNECTED))
    ) == [(1, AttemptOutcome.NOT_CONNECTED)]
    balancer = load_balancer(hedging_enabled=False, retry_budget_ratio=0.0, min_retries_per_s=0.0)
    completed = []
    for i in range(10):
        (send,) = sent_attempts(balancer.handle(CallStarted(0, i, Effect.IDEMPOTENT, S)))
        completed.append(
            bool(completed_calls(balancer.handle(AttemptEnded(MS, send.attempt_id, AttemptOutcome.FAILED))))
        )
    assert completed == [False] + [True] * 9 and balancer.counts.denied_by_budget == 9


def test_a_hedge_is_sent_to_another_server_and_the_copy_without_an_answer_is_cancelled() -> None:
    balancer = load_balancer(2, retry_budget_ratio=1.0)
    for i in range(80):
        (send,) = sent_attempts(balancer.handle(CallStarted(i * S, i, Effect.IDEMPOTENT, i * S + S)))
        balancer.handle(AttemptEnded(i * S + 10 * MS, send.attempt_id, AttemptOutcome.ANSWERED))
    balancer.handle(TimerFired(100 * S))
    (first,) = sent_attempts(balancer.handle(CallStarted(100 * S, 1000, Effect.IDEMPOTENT, 101 * S)))
    (with_key,) = sent_attempts(
        balancer.handle(CallStarted(100 * S, 1001, Effect.IDEMPOTENT_WITH_KEY, 101 * S))
    )
    timer_at = balancer.next_timer()
    assert timer_at is not None and timer_at <= 100 * S + 25 * MS
    (second,) = sent_attempts(balancer.handle(TimerFired(timer_at)))
    assert second.call_id == 1000 and second.endpoint != first.endpoint
    instructions = balancer.handle(AttemptEnded(timer_at + MS, second.attempt_id, AttemptOutcome.ANSWERED))
    assert (
        completed_calls(instructions) == [(1000, AttemptOutcome.ANSWERED)]
        and CancelAttempt(first.attempt_id) in instructions
    )
    # A late answer of the cancelled copy is ignored.
    assert balancer.handle(AttemptEnded(timer_at + 2 * MS, first.attempt_id, AttemptOutcome.ANSWERED)) == []
    assert balancer.counts.hedges == balancer.counts.hedges_won == 1 and with_key.attempt_id not in [
        e.attempt_id for e in instructions if isinstance(e, CancelAttempt)
    ]


def test_queued_calls_are_served_by_deadline_and_a_full_queue_rejects_calls() -> None:
    balancer = load_balancer(
        1, min_concurrency=1, max_concurrency=1, max_queued_calls=2, hedging_enabled=False
    )
    (first,) = sent_attempts(balancer.handle(CallStarted(0, 1, Effect.IDEMPOTENT_WITH_KEY, 9 * S)))
    assert (
        balancer.handle(CallStarted(0, 2, Effect.IDEMPOTENT_WITH_KEY, 5 * S)) == []
        and balancer.handle(CallStarted(0, 3, Effect.IDEMPOTENT_WITH_KEY, 2 * S)) == []
    )
    assert completed_calls(balancer.handle(CallStarted(0, 4, Effect.IDEMPOTENT_WITH_KEY, S))) == [
        (4, AttemptOutcome.REJECTED)
    ]
    (next_sent,) = sent_attempts(balancer.handle(AttemptEnded(MS, first.attempt_id, AttemptOutcome.ANSWERED)))
    assert next_sent.call_id == 3
    assert balancer.handle(CallCancelled(MS, 2)) == [] and balancer.handle(
        AttemptEnded(2 * MS, next_sent.attempt_id, AttemptOutcome.ANSWERED)
    ) == [CompleteCall(3, next_sent.attempt_id, AttemptOutcome.ANSWERED)]
    assert balancer.open_calls == 0 and len(balancer._queue) == 0


# ---- ejection ----


def fail_attempts(balancer: LoadBalancer, name: str, count: int, now: int = 0) -> None:
    """Let `count` attempts at an endpoint fail."""
    for _ in range(count):
        balancer.endpoints.by_name[name].in_flight[-1] = InFlight(now)
        balancer.endpoints.attempt_ended(now, balancer.endpoints.by_name[name], -1, AttemptOutcome.FAILED)


def test_each_ejection_lasts_longer_and_ends_with_a_health_check() -> None:
    balancer, now = load_balancer(4, hedging_enabled=False), 0
    endpoint = balancer.endpoints.by_name["s0"]
    durations_s = []
    for _ in range(3):
        fail_attempts(balancer, "s0", 5, now)
        assert endpoint.state is EndpointState.EJECTED
        durations_s.append((endpoint.outliers.ejected_until - now) / S)
        assert all(
            sent_attempts(balancer.handle(CallStarted(now + i, 10 + i, Effect.IDEMPOTENT, now + S)))[
                0
            ].endpoint
            != "s0"
            for i in range(20)
        )
        for i in range(20):
            balancer.handle(CallCancelled(now + 30, 10 + i))
        now = endpoint.outliers.ejected_until
        # A call with an idempotency key is not used as a health check.
        assert (
            sent_attempts(balancer.handle(CallStarted(now, 1, Effect.IDEMPOTENT_WITH_KEY, now + S)))[
                0
            ].endpoint
            != "s0"
        )
        (health_check,) = sent_attempts(balancer.handle(CallStarted(now, 2, Effect.IDEMPOTENT, now + S)))
        assert health_check.endpoint == "s0"
        # There is only one health check at a time.
        assert (
            sent_attempts(balancer.handle(CallStarted(now, 3, Effect.IDEMPOTENT, now + S)))[0].endpoint
            != "s0"
        )
        balancer.handle(AttemptEnded(now + MS, health_check.attempt_id, AttemptOutcome.ANSWERED))
        assert str(endpoint.state) == "EndpointState.ACTIVE" and endpoint.ramp(now + MS) == pytest.approx(
            0.1, abs=0.01
        )
        for number in (1, 2, 3):
            balancer.handle(CallCancelled(now + MS, number))
    assert durations_s == [5, 10, 20]


def test_a_failed_health_check_ejects_again_and_a_cancelled_one_is_repeated() -> None:
    balancer = load_balancer(4, hedging_enabled=False)
    fail_attempts(balancer, "s0", 5)
    now = balancer.endpoints.by_name["s0"].outliers.ejected_until
    (health_check,) = sent_attempts(balancer.handle(CallStarted(now, 1, Effect.IDEMPOTENT, now + S)))
    balancer.handle(CallCancelled(now + MS, 1))
    assert balancer.endpoints.by_name["s0"].state is EndpointState.AWAITING_HEALTH_CHECK
    (health_check,) = sent_attempts(balancer.handle(CallStarted(now + 2 * MS, 2, Effect.IDEMPOTENT, now + S)))
    assert health_check.endpoint == "s0"
    balancer.handle(AttemptEnded(now + 3 * MS, health_check.attempt_id, AttemptOutcome.FAILED))
    assert (balancer.endpoints.by_name["s0"].state, balancer.endpoints.by_name["s0"].outliers.reason) == (
        EndpointState.EJECTED,
        EjectionReason.HEALTH_CHECK_FAILED,
    )


@pytest.mark.parametrize("retired", [False, True])
def test_a_cancelled_health_check_does_not_reactivate_a_draining_server(retired: bool) -> None:
    """An operator drains or retires a server during its health check, and then the call is cancelled.

    The end of that call must not change the server's state back to AWAITING_HEALTH_CHECK. Otherwise a drained server
    would get calls again, and a retired one would never be removed.
    """
    balancer = load_balancer(4, hedging_enabled=False)
    fail_attempts(balancer, "s0", 5)
    now = balancer.endpoints.by_name["s0"].outliers.ejected_until
    (health_check,) = sent_attempts(balancer.handle(CallStarted(now, 1, Effect.IDEMPOTENT, now + S)))
    assert health_check.endpoint == "s0"
    (balancer.endpoints.retire if retired else balancer.endpoints.drain)("s0")
    balancer.handle(CallCancelled(now + MS, 1))
    assert ("s0" in balancer.endpoints.by_name) is not retired
    later = [
        sent_attempts(balancer.handle(CallStarted(now + 2 * MS, number, Effect.IDEMPOTENT, now + S)))
        for number in range(2, 12)
    ]
    assert "s0" not in {send.endpoint for (send,) in later}


def test_at_most_a_fraction_is_ejected_and_some_server_is_always_in_service() -> None:
    balancer = load_balancer(6, hedging_enabled=False)
    for i in range(6):
        fail_attempts(balancer, f"s{i}", 50)
    assert sum(m.state is EndpointState.EJECTED for m in balancer.endpoints.by_name.values()) == 2
    balancer = load_balancer(6, hedging_enabled=False, max_ejected_fraction=1.0)
    for i in range(6):
        fail_attempts(balancer, f"s{i}", 50)
    assert all(m.state is EndpointState.EJECTED for m in balancer.endpoints.by_name.values())
    assert (
        sent_attempts(balancer.handle(CallStarted(MS, 1, Effect.IDEMPOTENT, S)))
        and balancer.endpoints.ejection.panics
    )


# ---- membership under load ----


def test_servers_are_added_drained_and_removed_with_calls_in_flight() -> None:
    balancer = load_balancer(2, hedging_enabled=False, retry_budget_ratio=1.0)
    initial_attempts = [
        sent_attempts(
            balancer.handle(
                CallStarted(0, i, Effect.IDEMPOTENT if i % 2 == 0 else Effect.IDEMPOTENT_WITH_KEY, S)
            )
        )[0]
        for i in range(12)
    ]
    assert balancer.endpoints.drain("s0") and not balancer.endpoints.drain("none")
    assert {
        sent_attempts(balancer.handle(CallStarted(MS, 20 + i, Effect.IDEMPOTENT, S)))[0].endpoint
        for i in range(4)
    } == {"s1"}
    balancer.endpoints.retire("s0")
    for attempt in [a for a in initial_attempts if a.endpoint == "s0"]:
        assert "s0" in balancer.endpoints.by_name
        balancer.handle(AttemptEnded(2 * MS, attempt.attempt_id, AttemptOutcome.ANSWERED))
    assert "s0" not in balancer.endpoints.by_name
    balancer.endpoints.add(3 * MS, EndpointConfig("s0", (HOST, 99)))
    assert balancer.endpoints.by_name["s0"].config.address == (HOST, 99)
    instructions = balancer.handle(EndpointRemoved(4 * MS, "s1"))
    calls_with_key = [a.call_id for a in initial_attempts if a.endpoint == "s1" and a.call_id % 2]
    # These calls may have run, so they are not retried.
    assert [call_id for call_id, _ in completed_calls(instructions)] == calls_with_key
    assert len([e for e in instructions if isinstance(e, CancelAttempt)]) >= len(calls_with_key)


# ---- simulations in virtual time ----


def simulated_servers(*faults: ServerFault | None, count: int = 8) -> list[SimulatedServer]:
    return [SimulatedServer(f"s{i}", fault=faults[i] if i < len(faults) else None) for i in range(count)]


FAULTS = {
    "hang": ServerFault(FaultKind.HANG, 5),
    "slow": ServerFault(FaultKind.SLOW, 5, factor=15),
    "fail": ServerFault(FaultKind.FAIL, 5),
    "turn": ServerFault(FaultKind.REJECT, 5),
}


@pytest.mark.parametrize("fault", FAULTS)
def test_calls_move_from_a_faulty_server_to_the_others(fault: str) -> None:
    results = {
        method.value: PoolSimulation(simulated_servers(FAULTS[fault]), method, 3, CallLoad(seconds=15)).run()
        for method in (RoutingMethod.LOAD_BALANCER, RoutingMethod.ROUND_ROBIN)
    }
    assert results["tier"].share_in_time > 0.98 > results["round"].share_in_time
    assert results["tier"].seconds_until_shifted({"s0"}, 5, 1 / 8) < 3
    assert results["tier"].attempts <= 1.1 * results["tier"].calls
    assert results["tier"].executed_twice == 0


def test_a_recovered_server_gets_its_share_of_calls_again() -> None:
    simulation = PoolSimulation(
        simulated_servers(ServerFault(FaultKind.FAIL, 3, 6)),
        RoutingMethod.LOAD_BALANCER,
        1,
        CallLoad(seconds=45),
    )
    results = simulation.run()
    calls_after_recovery = Counter(server for at, server in results.sent if at > 38)
    assert calls_after_recovery["s0"] > 0.5 * sum(calls_after_recovery.values()) / 8
    assert simulation.load_balancer.endpoints.by_name["s0"].state is EndpointState.ACTIVE


def test_an_outage_of_all_servers_does_not_multiply_attempts() -> None:
    results = PoolSimulation(
        simulated_servers(*[ServerFault(FaultKind.FAIL, 5, 10)] * 8),
        RoutingMethod.LOAD_BALANCER,
        1,
        CallLoad(seconds=20),
    ).run()
    assert results.attempts <= 1.1 * results.calls + 20
    assert sum(b.calls for b in results.bins[15:20]) - sum(b.in_time for b in results.bins[15:20]) < 20


@settings(max_examples=25, deadline=None)
@given(
    st.integers(0, 10_000),
    st.lists(st.sampled_from(["hang", "slow", "fail", "turn", ""]), min_size=3, max_size=6),
)
def test_every_call_ends_once_and_no_call_with_a_key_runs_twice(seed: int, kinds: list[str]) -> None:
    faults = [ServerFault(FaultKind(kind), 0.5, 2) if kind else None for kind in kinds]
    simulation = PoolSimulation(
        simulated_servers(*faults, count=len(faults)),
        RoutingMethod.LOAD_BALANCER,
        seed,
        CallLoad(rate=80, seconds=3),
        policy=LoadBalancingPolicy(max_queued_calls=4, base_ejection_s=0.3),
    )
    results = simulation.run()
    assert sum(results.outcomes.values()) == results.calls and results.executed_twice == 0
    balancer = simulation.load_balancer
    assert balancer.open_calls == 0 and len(balancer._queue) == 0 and not balancer._call_of
    assert all(not m.in_flight for m in balancer.endpoints.by_name.values())
    assert results.attempts <= results.calls * 1.08 + 10 + 0.5 * 5 + 1
