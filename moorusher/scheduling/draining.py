"""Graceful shutdown: the times until which requests are admitted and by which all are answered."""

from __future__ import annotations

from moorusher.scheduling.interface import Action, DrainNotice, SetHealth, Settings, Signal, SignalKind
from moorusher.scheduling.timing import NEVER, TICK_MS

# Share of the time from the drain notice to the stop in which the runner still serves: callers learn of the
# drain with a delay, and the runners that take over its load have to warm up.
SERVE_FRACTION = 0.4

STOP_MARGIN_MS = 4 * TICK_MS  # time before the stop by which all requests are answered


class Draining:
    """State of the shutdown. All times are in ms of the runner's clock, and `NEVER` if it does not drain.

    Attributes:
        drain_at: Time of the first drain notice.
        stop_at: Time by which every request must be answered.
        serve_until: Time until which callers may send requests.
        callers_stopped: Whether callers were notified to send no more requests.
    """

    __slots__ = ("callers_stopped", "drain_at", "serve_until", "stop_at")

    def __init__(self) -> None:
        self.drain_at = NEVER
        self.stop_at = NEVER
        self.serve_until = NEVER
        self.callers_stopped = False

    def start(self, notice: DrainNotice, now: float, settings: Settings) -> list[Action]:
        """Start to drain after a drain notice, and return the resulting actions.

        If another process of the runner replaces this one, callers go on sending to the runner as before.
        """
        self.stop_at = now + notice.remaining_ms - STOP_MARGIN_MS
        if notice.replaced:
            return []
        self.drain_at = min(self.drain_at, now)
        self.serve_until = now + min(settings.drain_grace_ms, SERVE_FRACTION * notice.remaining_ms)
        return [SetHealth(False, True)]

    def stop_callers(self, signal: SignalKind) -> list[Action]:
        """Notify callers to send no more requests, by the signal value that has this meaning."""
        self.serve_until = NEVER
        self.callers_stopped = True
        if signal is SignalKind.OFF:
            return []
        return [Signal(1.0 if signal is SignalKind.FLOOR else 0.0)]

    def rejects(self, sent_at: float, settings: Settings) -> bool:
        """Return whether a request was sent after the grace period in which callers learn of the drain."""
        return sent_at > self.drain_at + settings.drain_grace_ms
