"""The budget that retries and hedged requests share: a fraction of the calls, and a trickle by time.

It bounds retry storms: an outage of all endpoints must not be answered with many more attempts than there are calls.
"""

from __future__ import annotations

MAX_SAVED_ATTEMPTS = 10.0
INITIAL_ATTEMPTS = 1.0


class RetryBudget:
    """A token bucket; one token pays for one further attempt."""

    def __init__(self, attempts_per_call: float, min_attempts_per_s: float, now: int) -> None:
        """`attempts_per_call`: earned by each call; `min_attempts_per_s`: earned by time; `now` in microseconds."""
        self._attempts_per_call = attempts_per_call
        self._min_attempts_per_s = min_attempts_per_s
        self._tokens = INITIAL_ATTEMPTS
        self._refilled_at = now

    def call_started(self) -> None:
        """Earn what one call is worth."""
        self._tokens = min(MAX_SAVED_ATTEMPTS, self._tokens + self._attempts_per_call)

    def try_take(self, now: int) -> bool:
        """Pay for one further attempt; False where the budget is spent."""
        earned = self._min_attempts_per_s * (now - self._refilled_at) / 1e6
        self._tokens = min(MAX_SAVED_ATTEMPTS, self._tokens + earned)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
