"""How a request is rejected: whether its caller may try another runner, and when it may come back.

Whether it is rejected at all is decided in `admission` (on arrival) and `deadlines` (in the queue).
"""

from __future__ import annotations

from moorusher.scheduling.interface import Reject, Request
from moorusher.scheduling.job import Job
from moorusher.scheduling.lifecycle import Lifecycle
from moorusher.scheduling.state import SchedulerState

# Part of all arrivals that are retries. Above it most runners are full, and every further attempt costs one
# of them a read: a retry storm.
RETRY_STORM_FRACTION = 0.2
RETRY_FRACTION_LEARNING_RATE = 0.05  # weight of a new arrival in the retry fraction

REJECTIONS_DECAY = 0.9  # what a window leaves of the count of recent rejections
PRESSED_REJECTIONS = 1.0  # recent rejections from which the runner counts as pressed


class Rejection:
    """Rejects requests that never ran, and counts them.

    Attributes:
        retry_fraction: part of the arrivals that were marked as retries, a running mean.
        recent_rejections: rejections, older windows counting less.
    """

    __slots__ = ("_lifecycle", "_state", "recent_rejections", "retry_fraction")

    def __init__(self, state: SchedulerState, lifecycle: Lifecycle) -> None:
        self._state = state
        self._lifecycle = lifecycle
        self.retry_fraction = 0.0
        self.recent_rejections = 0.0

    def record_arrival(self, request: Request) -> None:
        """Learn how many of the arrivals are retries."""
        self.retry_fraction += RETRY_FRACTION_LEARNING_RATE * (request.is_retry - self.retry_fraction)

    def reject(self, job: Job) -> None:
        """Reject a job that never ran.

        Final means that the caller must not try another runner. A first attempt may, as long as retries are
        marked and few. The Retry-After is the time for which a run keeps a slot. A tenant over its quota
        causes none: a caller stays away with all its tenants.
        """
        state = self._state
        self.recent_rejections += 1.0
        is_final = self._is_final(job)
        over_quota = job.tenant.over_quota and state.now < state.draining.drain_at
        retry_after_ms = 0.0 if over_quota else state.expected_slot_ms()
        state.actions.append(Reject(job.id, min(state.settings.max_retry_after_ms, retry_after_ms), is_final))
        self._lifecycle.close(job)

    def is_pressed(self) -> bool:
        """Whether the runner has rejected requests lately."""
        return self.recent_rejections >= PRESSED_REJECTIONS

    def end_window(self) -> None:
        """Let older rejections count less."""
        self.recent_rejections *= REJECTIONS_DECAY

    def _is_final(self, job: Job) -> bool:
        if not self._state.settings.retries_marked or job.request.is_retry:
            return True
        return self.retry_fraction > RETRY_STORM_FRACTION
