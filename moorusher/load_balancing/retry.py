"""Decides whether a failed attempt is retried, and after which backoff.

A retry requires all of: an effect or evidence that permits it (`scheduling.retry_policy`), a remaining attempt, time
remaining after the backoff, and a token of the retry budget. If a call fails, its request may make the call again
(`scheduling/downstream_calls.py`).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from moorusher.scheduling.retry_policy import may_retry

from .calls import OpenCall
from .messages import AttemptOutcome
from .policy import LoadBalancingPolicy
from .retry_budget import RetryBudget

MIN_REMAINING_US = 5_000  # minimum time until the deadline in which an attempt can still be answered
MAX_BACKOFF_DOUBLINGS = 20


@dataclass(slots=True, frozen=True)
class RetryAt:
    """Decision to make another attempt at the time `at` (us)."""

    at: int


@dataclass(slots=True, frozen=True)
class NoRetry:
    """Decision that the outcome is final; `budget_spent` if only the retry budget prevented a retry."""

    budget_spent: bool = False


def has_time_remaining(now: float, deadline: int) -> bool:
    """Return whether an attempt made at `now` (us) can still be answered before `deadline` (us)."""
    return now + MIN_REMAINING_US < deadline


def backoff_us(attempts: int, base_ms: float, max_ms: float, draw: float) -> int:
    """Return an exponential backoff with full jitter, in microseconds.

    :param attempts: Number of attempts made, at least 1.
    :param draw: Random number in [0, 1).
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
    """Decide whether to retry a call whose last attempt in flight has ended; a retry takes a token from the budget."""
    if call.attempts_made >= call.max_attempts or not may_retry(call.effect, outcome.evidence):
        return NoRetry()
    if not has_time_remaining(now, call.deadline):
        return NoRetry()
    wait_us = backoff_us(call.attempts_made, policy.base_backoff_ms, policy.max_backoff_ms, draw())
    if not has_time_remaining(now + wait_us, call.deadline):
        return NoRetry()
    if not budget.try_acquire(now):
        return NoRetry(budget_spent=True)
    return RetryAt(now + wait_us)
