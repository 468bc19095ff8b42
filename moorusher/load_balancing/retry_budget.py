"""Further attempts come from a budget: a share of the calls, and a little time has earned. An outage must not be
answered with more calls than there were."""

from __future__ import annotations

BURST = 10.0  # attempts that can be saved up


class Budget:
    """Tokens for further attempts: each call earns a part of one, and so does time."""

    def __init__(self, share: float, floor_per_s: float, now: int) -> None:
        self.share, self.floor = share, floor_per_s
        self._tokens, self._at = 1.0, now

    def called(self) -> None:
        self._tokens = min(BURST, self._tokens + self.share)

    def take(self, now: int) -> bool:
        self._tokens = min(BURST, self._tokens + self.floor * (now - self._at) / 1e6)
        self._at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def backoff_us(tries: int, base_ms: float, most_ms: float, draw: float) -> int:
    """Full jitter: anything up to a bound that doubles. `draw` from 0 to under 1; `tries` from 1 on."""
    most = min(most_ms, base_ms * (1 << min(tries - 1, 20)))
    return round(draw * most * 1000)
