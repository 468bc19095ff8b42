"""Budget of retries and hedged requests: a fraction of the number of calls, plus a small constant rate.

The budget prevents retry storms: during an outage of all endpoints, attempts must not greatly outnumber calls.
"""

from __future__ import annotations

MAX_SAVED_ATTEMPTS = 10.0
INITIAL_ATTEMPTS = 1.0


class RetryBudget:
    """A token bucket; a retry or hedged request takes one token."""

    def __init__(self, attempts_per_call: float, min_attempts_per_s: float, now: int) -> None:
        """Create a bucket with INITIAL_ATTEMPTS tokens.

        :param attempts_per_call: Tokens added with each call.
        :param min_attempts_per_s: Tokens added per second.
        :param now: In microseconds.
        """
        self._attempts_per_call = attempts_per_call
        self._min_attempts_per_s = min_attempts_per_s
        self._tokens = INITIAL_ATTEMPTS
        self._refilled_at = now

    def call_started(self) -> None:
        """Add the tokens of one call."""
        self._tokens = min(MAX_SAVED_ATTEMPTS, self._tokens + self._attempts_per_call)

    def try_acquire(self, now: int) -> bool:
        """Take a token; return False if there is none."""
        earned = self._min_attempts_per_s * (now - self._refilled_at) / 1e6
        self._tokens = min(MAX_SAVED_ATTEMPTS, self._tokens + earned)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
