"""Adaptive limit on calls in flight at one endpoint.

The limit follows the gradient, the ratio of the long-term to the short-term mean latency: it rises while the latency
stays level and falls when the latency increases. Rejected and hanging calls lower the limit at once.
"""

from __future__ import annotations

INITIAL_LIMIT = 16.0  # calls
SMOOTHING = 0.1  # weight of a new estimate, applied at each answer
LATENCY_TOLERANCE = 1.5  # ratio of short-term to long-term latency above which the limit falls
MIN_GRADIENT = 0.5  # lower bound of an estimate, as a fraction of the current limit
OVERLOAD_FACTOR = 0.9  # multiplies the limit at each rejected or hanging call


class ConcurrencyLimit:
    """The limit on calls in flight at one endpoint.

    Attributes:
        value: The limit as a float, so that small steps accumulate; only its integer part is enforced.
    """

    def __init__(self, min_limit: int, max_limit: int) -> None:
        """Start at INITIAL_LIMIT, clamped to the bounds (calls)."""
        self._min_limit = min_limit
        self._max_limit = max_limit
        self.value = min(float(max_limit), max(float(min_limit), INITIAL_LIMIT))

    def record_answer(self, short_us: float, long_us: float, in_flight: int) -> None:
        """Adapt the limit after an answer.

        :param short_us: Short-term mean latency.
        :param long_us: Long-term mean latency.
        :param in_flight: Calls in flight, including the answered one.
        """
        if short_us <= 0:
            return
        gradient = max(MIN_GRADIENT, min(1.0, LATENCY_TOLERANCE * long_us / short_us))
        if gradient == 1.0 and in_flight < self.value / 2:
            return  # with less than half of the limit in use, a constant latency does not justify a higher one
        headroom = self.value**0.5 if gradient == 1.0 else 0.0
        estimate = self.value * gradient + headroom
        smoothed = self.value + SMOOTHING * (estimate - self.value)
        self.value = min(self._max_limit, max(self._min_limit, smoothed))

    def record_overload(self) -> None:
        """Lower the limit at once, after the endpoint rejected a call or left one unanswered."""
        self.value = max(self._min_limit, OVERLOAD_FACTOR * self.value)

    def allows(self, in_flight: int) -> bool:
        """Return whether one more call may be sent while `in_flight` calls are in flight."""
        return in_flight < int(self.value)
