"""Graceful shutdown: until when requests are still admitted, and by when all are answered."""

from __future__ import annotations

from moorusher.scheduling.interface import Action, DrainNotice, SetHealth, Settings, Signal, SignalKind
from moorusher.scheduling.timing import NEVER, TICK_MS

# Callers learn late that the runner drains, and whoever takes over is warming up. Until then it serves.
SERVE_FRACTION = 0.4  # of the time between the drain notice and the stop

STOP_MARGIN_MS = 4 * TICK_MS  # all is answered so long before the stop


class Draining:
    """The shutdown of this runner. All times are in ms of its clock, `NEVER` while it does not drain.

    Attributes:
        drain_at: when the first drain notice came.
        stop_at: when every request must have been answered.
        serve_until: until when callers are still allowed to send.
        callers_stopped: whether callers were told to send nothing more.
    """

    __slots__ = ("callers_stopped", "drain_at", "serve_until", "stop_at")

    def __init__(self) -> None:
        self.drain_at = NEVER
        self.stop_at = NEVER
        self.serve_until = NEVER
        self.callers_stopped = False

    def start(self, notice: DrainNotice, now: float, settings: Settings) -> list[Action]:
        """A drain notice came. Replaced by another process of the runner, it needs no caller to stay away."""
        self.stop_at = now + notice.remaining_ms - STOP_MARGIN_MS
        if notice.replaced:
            return []
        self.drain_at = min(self.drain_at, now)
        self.serve_until = now + min(settings.drain_grace_ms, SERVE_FRACTION * notice.remaining_ms)
        return [SetHealth(False, True)]

    def stop_callers(self, signal: SignalKind) -> list[Action]:
        """From now on callers are to send nothing: the signal is the one that says so under its meaning."""
        self.serve_until = NEVER
        self.callers_stopped = True
        if signal is SignalKind.OFF:
            return []
        return [Signal(1.0 if signal is SignalKind.FLOOR else 0.0)]

    def rejects(self, sent_at: float, settings: Settings) -> bool:
        """Whether a request was sent so long after the drain notice that its caller knew of it."""
        return sent_at > self.drain_at + settings.drain_grace_ms
