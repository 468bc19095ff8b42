"""How far something told some time ago can be believed: a gauge, and the link to the kernel."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

FLAPS_OVER = 30_000_000  # us: losses of a link within this are counted together
MOST_FLAPS = 6  # counted; a settling time doubles with each and stays bounded
GRACE = 500_000  # us without a link that mean nothing: a dial takes up to 0.4 s


def trust(age_us: int, fresh_us: int, unknown_us: int) -> float:
    """1 while fresh, 0 once unknown, evenly less between."""
    if age_us <= fresh_us:
        return 1.0
    if age_us >= unknown_us:
        return 0.0
    return (unknown_us - age_us) / (unknown_us - fresh_us)


@dataclass(frozen=True, slots=True)
class LinkState:
    """How far the kernel's link is to be trusted."""

    trust: float  # 0 to 1
    failed: bool
    words: str  # "" where there is nothing to say


class LinkWatch:
    """The link to the kernel: down for a moment it means little, down for long the kernel's state is unknown. One
    that comes and goes is not there again with its first return: it has to stay, the longer the oftener it went."""

    def __init__(self) -> None:
        self._lost: deque[int] = deque(maxlen=MOST_FLAPS)
        self._down_since: int | None = None
        self._up_since = 0
        self._was_out = False  # trusted no longer, until it has settled

    def lost(self, now: int) -> None:
        if self._down_since is None:
            self._down_since = now
            self._lost.append(now)

    def up(self, now: int) -> None:
        if self._down_since is not None:
            self._down_since, self._up_since = None, now

    def flaps(self, now: int) -> int:
        while self._lost and now - self._lost[0] > FLAPS_OVER:
            self._lost.popleft()
        return len(self._lost)

    def state(self, now: int, trust_us: int, settle_us: int) -> LinkState:
        flaps = self.flaps(now)
        if self._down_since is not None:
            down = now - self._down_since
            if down > trust_us:
                self._was_out = True
            if self._was_out:
                return LinkState(0.0, True, f"kernel link gone for {down / 1e6:.1f} s")
            if down <= GRACE and flaps == 1:
                return LinkState(1.0, False, "")
            return LinkState(trust(down, 0, trust_us), False, f"kernel link gone for {down / 1e6:.1f} s")
        settle = settle_us << max(0, flaps - 1) if flaps else 0
        up = now - self._up_since
        if up >= settle or not flaps:
            self._was_out = False
            return LinkState(1.0, False, "")
        if self._was_out:
            return LinkState(0.0, True, f"kernel link back for {up / 1e6:.1f} s, lost {flaps} times in 30 s")
        if flaps < 2:
            return LinkState(1.0, False, "")
        return LinkState(0.5, False, f"kernel link lost {flaps} times in 30 s")
