"""How many calls may be in flight at one server: as many as it takes without getting slower (gradient of the short
against the long latency, as in adaptive concurrency limits)."""

from __future__ import annotations

SMOOTH = 0.1  # of a new estimate, at each answer
TOLERANCE = 1.5  # the short latency may be so many times the long before the limit falls
START = 16.0


class Limit:
    """The limit on calls in flight at one server, as its answers move it."""

    def __init__(self, least: int, most: int) -> None:
        self._least, self._most = least, most
        self.value = min(float(most), max(float(least), START))

    def answered(self, short: float, long: float, in_flight: int) -> None:
        if short <= 0:
            return
        gradient = max(0.5, min(1.0, TOLERANCE * long / short))
        if gradient == 1.0 and in_flight < self.value / 2:
            return  # it was not tried: that nothing got slower proves nothing
        wanted = self.value * gradient + (self.value**0.5 if gradient == 1.0 else 0.0)
        self.value = min(self._most, max(self._least, self.value + SMOOTH * (wanted - self.value)))

    def overloaded(self) -> None:
        """It turned a call away, or let one run out of time: less at once."""
        self.value = max(self._least, 0.9 * self.value)

    def room(self, in_flight: int) -> bool:
        return in_flight < int(self.value)
