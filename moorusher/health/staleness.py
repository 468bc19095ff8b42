"""Trust in old measurements of the kernel, and in the connection to the kernel."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

FLAP_WINDOW_US = 30_000_000  # losses of the connection are counted over this window
MAX_FLAPS = 6  # limits the counted losses, and so the settling time that doubles with each
SHORT_LOSS_US = 500_000  # a loss up to this long is ignored, since a reconnect takes up to 0.4 s
FLAPPING_TRUST = 0.5  # trust in a connection that is up but was lost several times


def freshness(age_us: int, fresh_us: int, expired_us: int) -> float:
    """Return the trust in a measurement: 1 up to `fresh_us`, 0 from `expired_us` on, and linear in between."""
    if age_us <= fresh_us:
        return 1.0
    if age_us >= expired_us:
        return 0.0
    return (expired_us - age_us) / (expired_us - fresh_us)


@dataclass(frozen=True, slots=True)
class LinkState:
    """Trust in the connection to the kernel.

    Attributes:
        trust: From 0 to 1.
        failed: Whether the kernel's state is unknown.
        reason: Text that explains reduced trust; may be "".
    """

    trust: float
    failed: bool
    reason: str


_TRUSTED = LinkState(1.0, False, "")


class LinkMonitor:
    """Monitors the connection to the kernel.

    A short loss is tolerated; after a long one the kernel's state is unknown. A restored connection must stay up for a
    settling time before it is trusted; the settling time doubles with each recent loss.
    """

    def __init__(self) -> None:
        """Create a monitor of a connection that is up."""
        self._losses: deque[int] = deque(maxlen=MAX_FLAPS)  # times in us
        self._down_since_us: int | None = None
        self._up_since_us = 0
        self._distrusted = False  # True from a long loss until the connection has settled

    def lost(self, now: int) -> None:
        """Record that the connection was lost."""
        if self._down_since_us is None:
            self._down_since_us = now
            self._losses.append(now)

    def up(self, now: int) -> None:
        """Record that the kernel has answered on a connection."""
        if self._down_since_us is not None:
            self._down_since_us = None
            self._up_since_us = now

    def flaps(self, now: int) -> int:
        """Return the number of losses within FLAP_WINDOW_US."""
        while self._losses and now - self._losses[0] > FLAP_WINDOW_US:
            self._losses.popleft()
        return len(self._losses)

    def state(self, now: int, grace_us: int, stabilization_us: int) -> LinkState:
        """Return the current trust in the connection.

        :param grace_us: Time without a connection after which the kernel's state is unknown.
        :param stabilization_us: Time that a connection must stay up after its first loss.
        """
        flaps = self.flaps(now)
        if self._down_since_us is not None:
            return self._state_while_down(now - self._down_since_us, flaps, grace_us)
        return self._state_while_up(now - self._up_since_us, flaps, stabilization_us)

    def _state_while_down(self, down_us: int, flaps: int, grace_us: int) -> LinkState:
        reason = f"kernel link gone for {down_us / 1e6:.1f} s"
        if down_us > grace_us:
            self._distrusted = True
        if self._distrusted:
            return LinkState(0.0, True, reason)
        if down_us <= SHORT_LOSS_US and flaps == 1:
            return _TRUSTED
        return LinkState(freshness(down_us, 0, grace_us), False, reason)

    def _state_while_up(self, up_us: int, flaps: int, stabilization_us: int) -> LinkState:
        required_up_us = stabilization_us << max(0, flaps - 1) if flaps else 0
        if up_us >= required_up_us or not flaps:
            self._distrusted = False
            return _TRUSTED
        if self._distrusted:
            reason = f"kernel link back for {up_us / 1e6:.1f} s, lost {flaps} times in 30 s"
            return LinkState(0.0, True, reason)
        if flaps < 2:
            return _TRUSTED
        return LinkState(FLAPPING_TRUST, False, f"kernel link lost {flaps} times in 30 s")
