"""Rules of load balancing for retries and hedges: which calls may get another attempt, and when."""

from __future__ import annotations

from typing import Any

import pytest

from moorusher.load_balancing.calls import OpenCall
from moorusher.load_balancing.endpoint import Endpoint
from moorusher.load_balancing.hedging import hedge_at, hedge_still_useful, may_hedge
from moorusher.load_balancing.messages import UNLIMITED_ATTEMPTS, AttemptOutcome
from moorusher.load_balancing.policy import EndpointConfig, LoadBalancingPolicy
from moorusher.load_balancing.retry import MIN_REMAINING_US, NoRetry, RetryAt, decide_retry
from moorusher.load_balancing.retry_budget import RetryBudget
from moorusher.scheduling.interface import Effect
from moorusher.time_units import MS

DEADLINE = 500 * MS
POLICY = LoadBalancingPolicy(base_backoff_ms=10.0, max_backoff_ms=250.0)
IDEMPOTENT, WITH_KEY = Effect.IDEMPOTENT, Effect.IDEMPOTENT_WITH_KEY


def call(
    effect: Effect = IDEMPOTENT, max_attempts: int = UNLIMITED_ATTEMPTS, attempts_made: int = 1
) -> OpenCall:
    return OpenCall(1, effect, DEADLINE, max_attempts, attempts_made=attempts_made)


def decide(now: int, open_call: OpenCall, outcome: AttemptOutcome, tokens: int = 1) -> RetryAt | NoRetry:
    budget = RetryBudget(0.0, 0.0, 0)
    while tokens < 1 and budget.try_acquire(0):
        pass
    return decide_retry(now, open_call, outcome, POLICY, budget, lambda: 0.5)


@pytest.mark.parametrize(
    "effect, outcome, is_retried",
    [
        (IDEMPOTENT, AttemptOutcome.FAILED, True),
        (IDEMPOTENT, AttemptOutcome.REJECTED, True),
        (WITH_KEY, AttemptOutcome.FAILED, False),
        (WITH_KEY, AttemptOutcome.REJECTED, True),
        (WITH_KEY, AttemptOutcome.NOT_CONNECTED, True),
        (Effect.NOT_IDEMPOTENT, AttemptOutcome.FAILED, False),
        (Effect.NOT_IDEMPOTENT, AttemptOutcome.NOT_CONNECTED, True),
    ],
)
def test_a_retry_requires_an_effect_or_an_outcome_that_allows_it(
    effect: Effect, outcome: AttemptOutcome, is_retried: bool
) -> None:
    assert isinstance(decide(0, call(effect), outcome), RetryAt) is is_retried


def test_the_backoff_of_a_retry_doubles_with_each_attempt() -> None:
    failed = AttemptOutcome.FAILED
    assert decide(0, call(attempts_made=1), failed) == RetryAt(5 * MS)
    assert decide(0, call(attempts_made=2), failed) == RetryAt(10 * MS)
    assert decide(0, call(attempts_made=9), failed) == RetryAt(125 * MS)


def test_a_retry_requires_a_remaining_attempt_remaining_time_and_a_budget_token() -> None:
    failed = AttemptOutcome.FAILED
    assert decide(0, call(max_attempts=1), failed) == NoRetry()
    assert decide(DEADLINE - MIN_REMAINING_US, call(), failed) == NoRetry()
    assert decide(DEADLINE - MIN_REMAINING_US - 5 * MS, call(), failed) == NoRetry(), (
        "the backoff ends too close to the deadline"
    )
    assert isinstance(decide(DEADLINE - MIN_REMAINING_US - 6 * MS, call(), failed), RetryAt)
    assert decide(0, call(), failed, tokens=0) == NoRetry(budget_spent=True)


@pytest.mark.parametrize(
    "open_call, policy, is_health_check, is_hedged",
    [
        (call(), {}, False, True),
        (call(WITH_KEY), {}, False, False),
        (call(Effect.NOT_IDEMPOTENT), {}, False, False),
        (call(max_attempts=1), {}, False, False),
        (call(), {}, True, False),
        (call(), {"hedging_enabled": False}, False, False),
    ],
)
def test_only_calls_that_tolerate_duplicates_are_hedged_and_health_checks_never(
    open_call: OpenCall, policy: dict[str, Any], is_health_check: bool, is_hedged: bool
) -> None:
    assert may_hedge(open_call, LoadBalancingPolicy(**policy), is_health_check) is is_hedged


def test_a_hedge_waits_for_the_95th_percentile_or_twice_the_typical_latency() -> None:
    endpoint = Endpoint(EndpointConfig("s", ("127.0.0.1", 1)), POLICY, 0)
    assert hedge_at(0, call(), endpoint, 0.0) is None, "no latency is known"
    assert hedge_at(0, call(), endpoint, 20.0 * MS) == 40 * MS
    for latency_ms in range(1, 101):
        endpoint.latency.add(0, latency_ms * MS)
    percentile = endpoint.latency.quantile(0.95)
    assert percentile is not None and percentile > 90 * MS
    assert hedge_at(0, call(), endpoint, 20.0 * MS) == round(percentile)
    assert hedge_at(DEADLINE - 50 * MS, call(), endpoint, 20.0 * MS) is None, "the deadline is too near"


def test_a_hedge_is_sent_once_and_only_while_its_first_attempt_is_in_flight() -> None:
    endpoint = Endpoint(EndpointConfig("s", ("127.0.0.1", 1)), POLICY, 0)
    open_call = call()
    assert not hedge_still_useful(0, open_call), "the call has no attempt in flight"
    open_call.attempts[1] = endpoint
    assert hedge_still_useful(0, open_call) and not hedge_still_useful(DEADLINE - MIN_REMAINING_US, open_call)
    open_call.hedged = True
    assert not hedge_still_useful(0, open_call)
