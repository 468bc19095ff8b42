"""Signals to callers: how many requests each may have outstanding, and when idle connections close."""

from __future__ import annotations

from moorusher.scheduling.interface import CloseIdleConnections, Settings, Signal, SignalKind
from moorusher.scheduling.rejection import Rejection
from moorusher.scheduling.state import SchedulerState

# Part of the shortest latency objective that requests may spend in the queue, by the allowance.
QUEUE_FRACTION = 0.5
QUEUE_FRACTION_PRESSED = 0.25  # after rejections

MIN_ALLOWANCE_CHANGE = 0.05  # of the allowance sent last: a smaller change is not sent

CALLERS_PER_CORE = 16  # callers whose idle connections a runner can afford
SURPLUS_IDLE_MS = 100.0  # idle time of connections where there are more callers than that


class Allowance:
    """The number of requests that each caller may have outstanding here.

    Attributes:
        last_sent: the allowance that was sent last, -1 before the first.
    """

    __slots__ = ("_rejection", "_state", "last_sent")

    def __init__(self, state: SchedulerState, rejection: Rejection) -> None:
        self._state = state
        self._rejection = rejection
        self.last_sent = -1.0

    def end_window(self) -> None:
        """Work out the allowance and send it if it has changed.

        What is not sent here costs no read, and goes where there is capacity.
        """
        state = self._state
        if state.settings.signal is not SignalKind.ALLOWANCE or state.draining.callers_stopped:
            return
        if not state.service_time.cost_known:
            return
        allowance = self._work_out()
        if abs(allowance - self.last_sent) > MIN_ALLOWANCE_CHANGE * self.last_sent:
            self.last_sent = allowance
            state.actions.append(Signal(allowance))

    def _work_out(self) -> float:
        """What runs and may be queued, shared so that those who send most give way.

        Those who have less than an even share outstanding leave the rest to the others.
        """
        state = self._state
        concurrency = state.concurrency
        fraction = QUEUE_FRACTION_PRESSED if self._rejection.is_pressed() else QUEUE_FRACTION
        wait_ms = fraction * min(c.latency_objective_ms for c in state.settings.classes)
        queueable = concurrency.limit * wait_ms / state.expected_slot_ms()
        capacity = max(concurrency.running, concurrency.limit) + queueable
        callers = max(1, state.settings.callers)
        for count in sorted(self._outstanding_by_caller().values()):
            if count * callers >= capacity or callers == 1:
                break
            capacity -= count
            callers -= 1
        return max(1.0, round(capacity / callers, 1))

    def _outstanding_by_caller(self) -> dict[int, int]:
        outstanding: dict[int, int] = {}
        for job in self._state.jobs.values():
            if not job.answered:
                caller = job.request.caller
                outstanding[caller] = outstanding.get(caller, 0) + 1
        return outstanding


class IdleConnections:
    """How long idle connections stay open. They take cores and places in the table of connections.

    Attributes:
        arrivals: requests read in this window.
        idle_ms: the idle time that holds at present.
    """

    __slots__ = ("arrivals", "idle_ms")

    def __init__(self, settings: Settings) -> None:
        self.arrivals = 0
        self.idle_ms = settings.max_idle_connection_ms

    def end_window(self, settings: Settings, window_ms: float) -> list[CloseIdleConnections]:
        """Close idle connections early where callers are many and none would be back in time to use one."""
        longest_ms = settings.max_idle_connection_ms
        return_ms = settings.callers * window_ms / max(1, self.arrivals)
        has_surplus = settings.callers > CALLERS_PER_CORE * settings.cores and return_ms > longest_ms
        idle_ms = min(longest_ms, SURPLUS_IDLE_MS) if has_surplus else longest_ms
        self.arrivals = 0
        if idle_ms == self.idle_ms:
            return []
        self.idle_ms = idle_ms
        return [CloseIdleConnections(idle_ms)]
