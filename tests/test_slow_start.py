"""Slow start: the calls of all runners together to one server stay within its budget, for any number of runners."""

from __future__ import annotations

import math
import random
from bisect import bisect_left

import pytest

from moorusher.load_balancing.load_balancer import LoadBalancer
from moorusher.load_balancing.messages import (
    AttemptEnded,
    AttemptOutcome,
    CallCancelled,
    CallStarted,
    CancelAttempt,
    CompleteCall,
    Instruction,
    SendAttempt,
    TimerFired,
)
from moorusher.load_balancing.policy import EndpointConfig, LoadBalancingPolicy
from moorusher.load_balancing.slow_start import MIN_RAMP, SlotCounter, SlowStartBudget, slot_phase
from moorusher.scheduling.interface import Effect

S, MS = 1_000_000, 1_000
WINDOW_US = S
SLOW_START_S = 10.0
CALL_DURATION_US = 60 * MS
NEW = EndpointConfig("new", ("127.0.0.1", 9))


def statistical_tolerance(calls: float) -> float:
    """Return by how much the number of calls may exceed a budget of `calls` by chance."""
    return 2 * math.sqrt(calls) + 2 if calls >= 30 else 3 * math.sqrt(calls) + 3


class Runners:
    """Independent runners that call the same servers, which answer every call. One server is in slow start."""

    def __init__(self, count: int, calls: int, others: int, seed: int) -> None:
        policy = LoadBalancingPolicy(
            slow_start_s=SLOW_START_S, slow_start_calls=calls, runners=count, hedging_enabled=False
        )
        self.rng = random.Random(seed)
        established = [EndpointConfig(f"s{i}", ("127.0.0.1", i + 1)) for i in range(others)]
        self.balancers = [
            LoadBalancer(established, policy, f"r{i}", self.rng.random, 0) for i in range(count)
        ]
        for balancer in self.balancers:
            balancer.endpoints.add(0, NEW)
        # `sent_at` has the times of the calls to the new server.
        self.calls, self.sent_at = calls, list[int]()
        self._in_flight: list[tuple[int, LoadBalancer, int]] = []  # end, balancer, attempt id
        self._last_call_id = 0

    def start_call(self, now: int, balancer: LoadBalancer) -> None:
        self._last_call_id += 1
        self._execute(
            now,
            balancer,
            balancer.handle(CallStarted(now, self._last_call_id, Effect.IDEMPOTENT, now + 2 * S)),
        )

    def _execute(self, now: int, balancer: LoadBalancer, instructions: list[Instruction]) -> None:
        for instruction in instructions:
            if isinstance(instruction, SendAttempt):
                if instruction.endpoint == NEW.name:
                    self.sent_at.append(now)
                self._in_flight.append((now + CALL_DURATION_US, balancer, instruction.attempt_id))

    def advance(self, now: int) -> None:
        """Answer the calls that end by `now`, and fire the timers that are due."""
        due = [e for e in self._in_flight if e[0] <= now]
        self._in_flight = [e for e in self._in_flight if e[0] > now]
        for _, balancer, attempt in due:
            self._execute(now, balancer, balancer.handle(AttemptEnded(now, attempt, AttemptOutcome.ANSWERED)))
        for balancer in self.balancers:
            while (timer_at := balancer.next_timer()) is not None and timer_at <= now:
                self._execute(timer_at, balancer, balancer.handle(TimerFired(timer_at)))

    def max_excess(self) -> float:
        """Return the maximum excess of calls over the budget and tolerance of a window; negative if there is none."""
        excess = -math.inf
        self.sent_at.sort()
        for i, at in enumerate(self.sent_at):
            budget = self.calls * min(1.0, max(MIN_RAMP, (at + WINDOW_US) / (SLOW_START_S * S)))
            calls_in_window = bisect_left(self.sent_at, at + WINDOW_US) - i
            excess = max(excess, calls_in_window - budget - statistical_tolerance(budget))
        return excess


@pytest.mark.parametrize("runner_count", [1, 5, 25, 30])
@pytest.mark.parametrize("calls", [8, 40, 200])
@pytest.mark.parametrize("others", [0, 3])
@pytest.mark.parametrize("burst", [False, True])
def test_the_calls_of_all_runners_together_stay_within_the_budget(
    runner_count: int, calls: int, others: int, burst: bool
) -> None:
    """The demand is several times the budget. With `burst`, all calls start at the same time after an idle period."""
    runners = Runners(runner_count, calls, others, seed=runner_count + calls)
    for now in range(0, round(SLOW_START_S * S), 20 * MS):
        runners.advance(now)
        new_calls = 4 * calls // 50 + 1
        if burst:
            new_calls = 40 * new_calls if now % (800 * MS) == 0 else 0
        for _ in range(new_calls):
            runners.start_call(now, runners.rng.choice(runners.balancers))
    assert runners.max_excess() <= 0
    if not others and not burst:
        assert len(runners.sent_at) > 0.4 * calls * SLOW_START_S / 2, "queued calls use the budget"


def test_calls_queued_for_a_server_in_slow_start_are_sent_by_its_slot_timer() -> None:
    policy = LoadBalancingPolicy(slow_start_s=SLOW_START_S, slow_start_calls=10, runners=20)
    balancer = LoadBalancer([], policy, "r1", random.Random(1).random, 0)
    balancer.endpoints.add(0, NEW)
    instructions = [
        e for n in range(3) for e in balancer.handle(CallStarted(0, n, Effect.IDEMPOTENT, 60 * S))
    ]
    assert len(instructions) <= 1
    now = 0
    while len(instructions) < 3:
        timer_at = balancer.next_timer()
        assert timer_at is not None and now < timer_at < 60 * S, "no other event would serve the queue"
        now = timer_at
        instructions += [e for e in balancer.handle(TimerFired(now)) if isinstance(e, SendAttempt)]
    assert not any(isinstance(e, CancelAttempt | CompleteCall) for e in instructions)


def test_health_checks_of_an_ejected_server_also_require_a_slot() -> None:
    runners = 30
    policy = LoadBalancingPolicy(
        slow_start_s=SLOW_START_S,
        slow_start_calls=10,
        runners=runners,
        consecutive_failures=1,
        max_ejected_fraction=1.0,
        hedging_enabled=False,
        retry_budget_ratio=0.0,
        min_retries_per_s=0.0,
        panic_threshold=0.0,
    )
    health_checks = 0
    for i in range(runners):
        balancer = LoadBalancer(
            [NEW, EndpointConfig("other", ("127.0.0.1", 1))], policy, f"r{i}", random.Random(i).random, 0
        )
        while balancer.endpoints.by_name[NEW.name].in_flight == {}:
            balancer.handle(CallStarted(0, 1, Effect.IDEMPOTENT, S))
        attempt = next(iter(balancer.endpoints.by_name[NEW.name].in_flight))
        balancer.handle(AttemptEnded(0, attempt, AttemptOutcome.FAILED))
        ejected_until = balancer.endpoints.by_name[NEW.name].outliers.ejected_until
        instructions = balancer.handle(CallStarted(ejected_until, 2, Effect.IDEMPOTENT, ejected_until + S))
        health_checks += any(isinstance(e, SendAttempt) and e.endpoint == NEW.name for e in instructions)
    budget = policy.slow_start_calls * MIN_RAMP
    assert health_checks <= budget + statistical_tolerance(budget)


def test_a_slot_allows_one_call_and_an_unused_slot_expires_early() -> None:
    budget = SlowStartBudget(calls=100, window_us=S, runners=10)
    slots = SlotCounter(budget, 0.0, 0)
    assert slots.is_open(0, 1.0)
    slots.call_sent(0, 1.0)
    assert not slots.is_open(1, 1.0) and slots.opens_at(1, 1.0) == 100 * MS
    assert slots.is_open(100 * MS, 1.0) and slots.is_open(450 * MS, 1.0)
    long_slots = SlotCounter(SlowStartBudget(calls=10, window_us=S, runners=100), 0.0, 0)
    assert long_slots.is_open(0, 1.0)
    assert not long_slots.is_open(5 * S, 1.0) and long_slots.is_open(10 * S, 1.0)
    assert len({slot_phase(f"r{i}", "s") for i in range(100)}) == 100


@pytest.mark.parametrize("others", [1, 3, 9])
def test_without_a_budget_the_share_of_a_server_in_slow_start_follows_its_ramp(others: int) -> None:
    """No calls are in flight, so all costs are equal. The two random choices of the picker may be the same server."""
    established = [EndpointConfig(f"s{i}", ("127.0.0.1", i + 1)) for i in range(others)]
    balancer = LoadBalancer(
        established,
        LoadBalancingPolicy(slow_start_s=SLOW_START_S, hedging_enabled=False),
        "r1",
        random.Random(3).random,
        0,
    )
    balancer.endpoints.add(0, NEW)
    for ramp in (MIN_RAMP, 0.5):
        now, calls_to_new, calls = round(ramp * SLOW_START_S * S), 0, 4_000
        for call_id in range(calls):
            (instruction,) = balancer.handle(CallStarted(now, call_id, Effect.IDEMPOTENT, now + S))
            assert isinstance(instruction, SendAttempt)
            calls_to_new += instruction.endpoint == NEW.name
            balancer.handle(CallCancelled(now, call_id))
        expected_share = ramp / (others + ramp)
        assert 0.5 * expected_share < calls_to_new / calls < 1.8 * expected_share
