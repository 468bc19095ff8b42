"""Servers in slow start: what all runners together send to one keeps to its budget, however few or many they are."""

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
WINDOW = S
SLOW_S = 10.0
CALL = 60 * MS  # until it is answered
NEW = EndpointConfig("new", ("127.0.0.1", 9))


def slack(calls: float) -> float:
    """What chance may add to a budget of so many calls."""
    return 2 * math.sqrt(calls) + 2 if calls >= 30 else 3 * math.sqrt(calls) + 3


class Processes:
    """Runners that know nothing of each other, at servers that answer all; one server is new, or back."""

    def __init__(self, count: int, calls: int, others: int, seed: int) -> None:
        policy = LoadBalancingPolicy(
            slow_start_s=SLOW_S, slow_start_calls=calls, runners=count, hedging_enabled=False
        )
        self.rng = random.Random(seed)
        warm = [EndpointConfig(f"s{i}", ("127.0.0.1", i + 1)) for i in range(others)]
        self.routers = [LoadBalancer(warm, policy, f"r{i}", self.rng.random, 0) for i in range(count)]
        for router in self.routers:
            router.endpoints.add(0, NEW)
        self.calls, self.sent = calls, list[int]()
        self._ends: list[tuple[int, LoadBalancer, int]] = []
        self._number = 0

    def ask(self, now: int, router: LoadBalancer) -> None:
        self._number += 1
        self._do(now, router, router.handle(CallStarted(now, self._number, Effect.IDEMPOTENT, now + 2 * S)))

    def _do(self, now: int, router: LoadBalancer, effects: list[Instruction]) -> None:
        for effect in effects:
            if isinstance(effect, SendAttempt):
                if effect.endpoint == NEW.name:
                    self.sent.append(now)
                self._ends.append((now + CALL, router, effect.attempt_id))

    def go_on(self, now: int) -> None:
        """What is answered by now, and what waits for its time."""
        due = [e for e in self._ends if e[0] <= now]
        self._ends = [e for e in self._ends if e[0] > now]
        for _, router, attempt in due:
            self._do(now, router, router.handle(AttemptEnded(now, attempt, AttemptOutcome.ANSWERED)))
        for router in self.routers:
            while (wake := router.next_timer()) is not None and wake <= now:
                self._do(wake, router, router.handle(TimerFired(wake)))

    def worst(self) -> float:
        """The most by which a window went over what was allowed in it; negative where none did."""
        over = -math.inf
        self.sent.sort()
        for i, at in enumerate(self.sent):
            budget = self.calls * min(1.0, max(MIN_RAMP, (at + WINDOW) / (SLOW_S * S)))
            got = bisect_left(self.sent, at + WINDOW) - i
            over = max(over, got - budget - slack(budget))
        return over


@pytest.mark.parametrize("processes", [1, 5, 25, 30])
@pytest.mark.parametrize("calls", [8, 40, 200])
@pytest.mark.parametrize("others", [0, 3])
@pytest.mark.parametrize("burst", [False, True])
def test_what_all_runners_send_together_keeps_to_the_budget(
    processes: int, calls: int, others: int, burst: bool
) -> None:
    """Demand is several times the budget; in a burst all ask in one moment, after a rest."""
    p = Processes(processes, calls, others, seed=processes + calls)
    for now in range(0, round(SLOW_S * S), 20 * MS):
        p.go_on(now)
        asks = 4 * calls // 50 + 1
        if burst:
            asks = 40 * asks if now % (800 * MS) == 0 else 0
        for _ in range(asks):
            p.ask(now, p.rng.choice(p.routers))
    assert p.worst() <= 0
    if not others and not burst:
        assert len(p.sent) > 0.4 * calls * SLOW_S / 2, "what waits for it makes use of the budget"


def test_calls_that_wait_for_a_server_in_slow_start_go_out_with_its_slots_by_a_timer() -> None:
    policy = LoadBalancingPolicy(slow_start_s=SLOW_S, slow_start_calls=10, runners=20)
    router = LoadBalancer([], policy, "r1", random.Random(1).random, 0)
    router.endpoints.add(0, NEW)
    got = [e for n in range(3) for e in router.handle(CallStarted(0, n, Effect.IDEMPOTENT, 60 * S))]
    assert len(got) <= 1
    now = 0
    while len(got) < 3:
        wake = router.next_timer()
        assert wake is not None and now < wake < 60 * S, "nothing else would ever look at them"
        now = wake
        got += [e for e in router.handle(TimerFired(now)) if isinstance(e, SendAttempt)]
    assert not any(isinstance(e, CancelAttempt | CompleteCall) for e in got)


def test_health_checks_of_a_server_that_was_ejected_need_a_slot_too() -> None:
    runners = 30
    policy = LoadBalancingPolicy(
        slow_start_s=SLOW_S,
        slow_start_calls=10,
        runners=runners,
        consecutive_failures=1,
        max_ejected_fraction=1.0,
        hedging_enabled=False,
        retry_budget_ratio=0.0,
        min_retries_per_s=0.0,
        panic_threshold=0.0,
    )
    probes = 0
    for i in range(runners):
        router = LoadBalancer(
            [NEW, EndpointConfig("other", ("127.0.0.1", 1))], policy, f"r{i}", random.Random(i).random, 0
        )
        while router.endpoints.by_name[NEW.name].in_flight == {}:
            router.handle(CallStarted(0, 1, Effect.IDEMPOTENT, S))
        attempt = next(iter(router.endpoints.by_name[NEW.name].in_flight))
        router.handle(AttemptEnded(0, attempt, AttemptOutcome.FAILED))
        back = router.endpoints.by_name[NEW.name].outliers.ejected_until
        got = router.handle(CallStarted(back, 2, Effect.IDEMPOTENT, back + S))
        probes += any(isinstance(e, SendAttempt) and e.endpoint == NEW.name for e in got)
    budget = policy.slow_start_calls * MIN_RAMP
    assert probes <= budget + slack(budget)


def test_slots_are_one_call_each_and_an_unused_one_is_soon_lost() -> None:
    budget = SlowStartBudget(calls=100, window_us=S, runners=10)
    slots = SlotCounter(budget, 0.0, 0)
    assert slots.is_open(0, 1.0)
    slots.call_sent(0, 1.0)
    assert not slots.is_open(1, 1.0) and slots.opens_at(1, 1.0) == 100 * MS
    assert slots.is_open(100 * MS, 1.0) and slots.is_open(450 * MS, 1.0)
    rare = SlotCounter(SlowStartBudget(calls=10, window_us=S, runners=100), 0.0, 0)
    assert rare.is_open(0, 1.0) and not rare.is_open(5 * S, 1.0) and rare.is_open(10 * S, 1.0)
    assert len({slot_phase(f"r{i}", "s") for i in range(100)}) == 100


@pytest.mark.parametrize("others", [1, 3, 9])
def test_without_a_budget_the_share_of_a_server_in_slow_start_follows_its_ramp(others: int) -> None:
    """Also where the tier is idle, so that its calls in flight tell nothing; and where two draws can meet."""
    warm = [EndpointConfig(f"s{i}", ("127.0.0.1", i + 1)) for i in range(others)]
    router = LoadBalancer(
        warm,
        LoadBalancingPolicy(slow_start_s=SLOW_S, hedging_enabled=False),
        "r1",
        random.Random(3).random,
        0,
    )
    router.endpoints.add(0, NEW)
    for ramp in (MIN_RAMP, 0.5):
        now, got, calls = round(ramp * SLOW_S * S), 0, 4_000
        for number in range(calls):
            (send,) = router.handle(CallStarted(now, number, Effect.IDEMPOTENT, now + S))
            assert isinstance(send, SendAttempt)
            got += send.endpoint == NEW.name
            router.handle(CallCancelled(now, number))
        fair = ramp / (others + ramp)
        assert 0.5 * fair < got / calls < 1.8 * fair
