"""How many calls may be in flight at one endpoint: as many as it takes without getting slower.

Inputs: the short-term and long-term mean latency in microseconds, calls in flight, and signs of overload. The limit
follows the gradient of the long-term against the short-term latency, as in adaptive concurrency limits.
"""

from __future__ import annotations

INITIAL_LIMIT = 16.0  # calls
SMOOTHING = 0.1  # of a new estimate, at each answer
LATENCY_TOLERANCE = 1.5  # short-term over long-term latency from which the limit falls
MIN_GRADIENT = 0.5  # an estimate falls to no less than this part of the limit
OVERLOAD_FACTOR = 0.9  # applied at each rejection or hanging call


class ConcurrencyLimit:
    """The limit on calls in flight at one endpoint.

    value: the limit as a float, so that small steps add up; its whole part counts.
    """

    def __init__(self, min_limit: int, max_limit: int) -> None:
        """Start at INITIAL_LIMIT, within the bounds (calls)."""
        self._min_limit = min_limit
        self._max_limit = max_limit
        self.value = min(float(max_limit), max(float(min_limit), INITIAL_LIMIT))

    def answered(self, short_us: float, long_us: float, in_flight: int) -> None:
        """Adapt to an answer. `in_flight`: calls, the one that was answered included."""
        if short_us <= 0:
            return
        gradient = max(MIN_GRADIENT, min(1.0, LATENCY_TOLERANCE * long_us / short_us))
        if gradient == 1.0 and in_flight < self.value / 2:
            return  # the limit was not used: that nothing got slower proves nothing
        headroom = self.value**0.5 if gradient == 1.0 else 0.0
        estimate = self.value * gradient + headroom
        smoothed = self.value + SMOOTHING * (estimate - self.value)
        self.value = min(self._max_limit, max(self._min_limit, smoothed))

    def overloaded(self) -> None:
        """Lower the limit at once: the endpoint rejected a call or let one hang."""
        self.value = max(self._min_limit, OVERLOAD_FACTOR * self.value)

    def allows(self, in_flight: int) -> bool:
        """Whether one more call may be sent beside those in flight."""
        return in_flight < int(self.value)
