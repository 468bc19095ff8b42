"""How far something heard some time ago can be believed: the kernel's gauges, and the connection to the kernel."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

FLAP_WINDOW_US = 30_000_000  # losses of the connection within it are counted together
MAX_FLAPS = 6  # counted; the settling time doubles with each and stays bounded
SHORT_LOSS_US = 500_000  # without a connection, which means nothing: a reconnect takes up to 0.4 s
FLAPPING_TRUST = 0.5  # in a connection that is up, and was lost several times


def freshness(age_us: int, fresh_us: int, expired_us: int) -> float:
    """1 while fresh, 0 once expired, evenly less between."""
    if age_us <= fresh_us:
        return 1.0
    if age_us >= expired_us:
        return 0.0
    return (expired_us - age_us) / (expired_us - fresh_us)


@dataclass(frozen=True, slots=True)
class LinkState:
    """How far the connection to the kernel is to be trusted.

    Attributes:
        trust: 0 to 1.
        failed: the kernel's state counts as unknown.
        reason: in words; "" where there is nothing to say.
    """

    trust: float
    failed: bool
    reason: str


_TRUSTED = LinkState(1.0, False, "")


class LinkMonitor:
    """The connection to the kernel. Down for a moment it means little, down for long the kernel's state is unknown. One
    that flaps is not there again with its first return: it has to stay, for longer with each loss."""

    def __init__(self) -> None:
        self._losses: deque[int] = deque(maxlen=MAX_FLAPS)  # their times, in us
        self._down_since_us: int | None = None
        self._up_since_us = 0
        self._distrusted = False  # until it has settled

    def lost(self, now: int) -> None:
        """The connection is lost."""
        if self._down_since_us is None:
            self._down_since_us = now
            self._losses.append(now)

    def up(self, now: int) -> None:
        """The kernel has answered."""
        if self._down_since_us is not None:
            self._down_since_us = None
            self._up_since_us = now

    def flaps(self, now: int) -> int:
        """How often the connection was lost lately."""
        while self._losses and now - self._losses[0] > FLAP_WINDOW_US:
            self._losses.popleft()
        return len(self._losses)

    def state(self, now: int, grace_us: int, settle_us: int) -> LinkState:
        """The connection now, where a loss is forgiven for `grace_us` and a return has to last `settle_us`."""
        flaps = self.flaps(now)
        if self._down_since_us is not None:
            return self._state_while_down(now - self._down_since_us, flaps, grace_us)
        return self._state_while_up(now - self._up_since_us, flaps, settle_us)

    def _state_while_down(self, down_us: int, flaps: int, grace_us: int) -> LinkState:
        reason = f"kernel link gone for {down_us / 1e6:.1f} s"
        if down_us > grace_us:
            self._distrusted = True
        if self._distrusted:
            return LinkState(0.0, True, reason)
        if down_us <= SHORT_LOSS_US and flaps == 1:
            return _TRUSTED
        return LinkState(freshness(down_us, 0, grace_us), False, reason)

    def _state_while_up(self, up_us: int, flaps: int, settle_us: int) -> LinkState:
        settling_us = settle_us << max(0, flaps - 1) if flaps else 0
        if up_us >= settling_us or not flaps:
            self._distrusted = False
            return _TRUSTED
        if self._distrusted:
            reason = f"kernel link back for {up_us / 1e6:.1f} s, lost {flaps} times in 30 s"
            return LinkState(0.0, True, reason)
        if flaps < 2:
            return _TRUSTED
        return LinkState(FLAPPING_TRUST, False, f"kernel link lost {flaps} times in 30 s")
