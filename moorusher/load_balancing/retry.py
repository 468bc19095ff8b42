"""Whether a failed attempt is retried, and after which backoff.

Inputs: the call's effect, the outcome, attempts made and allowed, the time left until its deadline, the retry budget.
A retry needs all of: an effect or a proof that allows it (`scheduling.retry_policy`), an attempt left, time left after
the backoff, and a token of the budget.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from moorusher.scheduling.retry_policy import may_retry

from .calls import OpenCall
from .messages import AttemptOutcome
from .policy import LoadBalancingPolicy
from .retry_budget import RetryBudget

MIN_REMAINING_US = 5_000  # until the deadline; with less a further attempt can't be answered in time
MAX_BACKOFF_DOUBLINGS = 20


@dataclass(slots=True, frozen=True)
class RetryAt:
    """Make another attempt at the time `at` (us)."""

    at: int


@dataclass(slots=True, frozen=True)
class NoRetry:
    """The outcome is final. `budget_spent`: only the retry budget stood against another attempt."""

    budget_spent: bool = False


def has_time_remaining(now: float, deadline: int) -> bool:
    """Whether an attempt made at `now` (us) can still be answered before `deadline` (us)."""
    return now + MIN_REMAINING_US < deadline


def backoff_us(attempts: int, base_ms: float, max_ms: float, draw: float) -> int:
    """Return an exponential backoff with full jitter, in microseconds.

    `attempts` made so far, from 1 on; `draw` is random, from 0 to under 1.
    """
    bound_ms = min(max_ms, base_ms * (1 << min(attempts - 1, MAX_BACKOFF_DOUBLINGS)))
    return round(draw * bound_ms * 1000)


def decide_retry(
    now: int,
    call: OpenCall,
    outcome: AttemptOutcome,
    policy: LoadBalancingPolicy,
    budget: RetryBudget,
    draw: Callable[[], float],
) -> RetryAt | NoRetry:
    """Decide on `call`, of which the last attempt in flight ended as `outcome`; a retry is paid from the budget."""
    if call.attempts_made >= call.max_attempts or not may_retry(call.effect, outcome.evidence):
        return NoRetry()
    if not has_time_remaining(now, call.deadline):
        return NoRetry()
    wait_us = backoff_us(call.attempts_made, policy.base_backoff_ms, policy.max_backoff_ms, draw())
    if not has_time_remaining(now + wait_us, call.deadline):
        return NoRetry()
    if not budget.try_take(now):
        return NoRetry(budget_spent=True)
    return RetryAt(now + wait_us)
