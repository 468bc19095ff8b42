"""Signals to callers: the number of requests that each may have outstanding, and the idle timeout."""

from __future__ import annotations

from moorusher.scheduling.interface import CloseIdleConnections, Settings, Signal, SignalKind
from moorusher.scheduling.rejection import Rejection
from moorusher.scheduling.state import SchedulerState

# Longest time for which requests within the allowance are queued, as a share of the shortest latency
# objective.
QUEUE_FRACTION = 0.5
QUEUE_FRACTION_UNDER_PRESSURE = 0.25  # the same after recent rejections

MIN_ALLOWANCE_CHANGE = 0.05  # share of the allowance sent last; a smaller change is not sent

CALLERS_PER_CORE = 16  # callers whose idle connections the runner can keep open without a shortage of cores
SURPLUS_IDLE_MS = 100.0  # idle timeout of connections if there are more callers


class Allowance:
    """The number of requests that each caller may have outstanding at this runner.

    Attributes:
        last_sent: The allowance that was sent last, -1 before the first.
    """

    __slots__ = ("_rejection", "_state", "last_sent")

    def __init__(self, state: SchedulerState, rejection: Rejection) -> None:
        self._state = state
        self._rejection = rejection
        self.last_sent = -1.0

    def end_window(self) -> None:
        """Compute the allowance at the end of a window, and send it if it has changed.

        Callers delay requests beyond their allowance or send them to other runners, so that this runner does
        not have to read and reject them.
        """
        state = self._state
        if state.settings.signal is not SignalKind.ALLOWANCE or state.draining.callers_stopped:
            return
        if not state.service_time.cost_known:
            return
        allowance = self._compute()
        if abs(allowance - self.last_sent) > MIN_ALLOWANCE_CHANGE * self.last_sent:
            self.last_sent = allowance
            state.actions.append(Signal(allowance))

    def _compute(self) -> float:
        """Return the largest number of outstanding requests that one caller may have.

        The capacity for runs and queued requests is divided among the callers by max-min fairness: callers
        with fewer outstanding requests than an even share leave the rest of their share to the others.
        """
        state = self._state
        concurrency = state.concurrency
        fraction = QUEUE_FRACTION_UNDER_PRESSURE if self._rejection.is_under_pressure() else QUEUE_FRACTION
        wait_ms = fraction * min(c.latency_objective_ms for c in state.settings.classes)
        queue_capacity = concurrency.limit * wait_ms / state.expected_slot_ms()
        capacity = max(concurrency.running, concurrency.limit) + queue_capacity
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
    """The idle timeout of connections. Idle connections use core time and entries in the connection table.

    Attributes:
        arrivals: Number of requests read in this window.
        idle_ms: Current idle timeout.
    """

    __slots__ = ("arrivals", "idle_ms")

    def __init__(self, settings: Settings) -> None:
        self.arrivals = 0
        self.idle_ms = settings.max_idle_connection_ms

    def end_window(self, settings: Settings, window_ms: float) -> list[CloseIdleConnections]:
        """Set the idle timeout at the end of a window, and return the resulting actions.

        Idle connections are closed early if there are many callers and the mean caller would not send its
        next request before the normal timeout.
        """
        max_idle_ms = settings.max_idle_connection_ms
        request_interval_ms = settings.callers * window_ms / max(1, self.arrivals)
        has_surplus = (
            settings.callers > CALLERS_PER_CORE * settings.cores and request_interval_ms > max_idle_ms
        )
        idle_ms = min(max_idle_ms, SURPLUS_IDLE_MS) if has_surplus else max_idle_ms
        self.arrivals = 0
        if idle_ms == self.idle_ms:
            return []
        self.idle_ms = idle_ms
        return [CloseIdleConnections(idle_ms)]
