"""Rejection of requests: whether the caller may try another runner, and the Retry-After.

The decision to reject is made in `admission` (on arrival) and `deadlines` (in the queue).
"""

from __future__ import annotations

from moorusher.scheduling.interface import Reject, Request
from moorusher.scheduling.job import Job
from moorusher.scheduling.lifecycle import Lifecycle
from moorusher.scheduling.state import SchedulerState

# Share of retries in all arrivals above which there is a retry storm: most runners are full, and each
# additional attempt costs one of them the work of reading a request.
RETRY_STORM_FRACTION = 0.2
RETRY_FRACTION_LEARNING_RATE = 0.05  # weight of a new arrival in the retry fraction

REJECTIONS_DECAY = 0.9  # factor by which the count of recent rejections decays in each window
REJECTIONS_UNDER_PRESSURE = 1.0  # number of recent rejections from which the runner counts as under pressure


class Rejection:
    """Rejects requests that never ran, and counts the rejections.

    Attributes:
        retry_fraction: Share of the arrivals that are marked as retries, a running mean.
        recent_rejections: Number of rejections, with a weight that decays by window.
    """

    __slots__ = ("_lifecycle", "_state", "recent_rejections", "retry_fraction")

    def __init__(self, state: SchedulerState, lifecycle: Lifecycle) -> None:
        self._state = state
        self._lifecycle = lifecycle
        self.retry_fraction = 0.0
        self.recent_rejections = 0.0

    def record_arrival(self, request: Request) -> None:
        """Update the share of retries with a new arrival."""
        self.retry_fraction += RETRY_FRACTION_LEARNING_RATE * (request.is_retry - self.retry_fraction)

    def reject(self, job: Job) -> None:
        """Reject a job that never ran.

        After a final rejection, the caller must not try another runner. The rejection of a first attempt is
        not final if retries are marked and few. The Retry-After is the expected slot time, up to a limit. A
        tenant over its quota gets no Retry-After unless the runner drains, because the caller would pause the
        requests of all its tenants.
        """
        state = self._state
        self.recent_rejections += 1.0
        is_final = self._is_final(job)
        over_quota = job.tenant.over_quota and state.now < state.draining.drain_at
        retry_after_ms = 0.0 if over_quota else state.expected_slot_ms()
        state.actions.append(Reject(job.id, min(state.settings.max_retry_after_ms, retry_after_ms), is_final))
        self._lifecycle.close(job)

    def is_under_pressure(self) -> bool:
        """Return whether the runner has rejected requests recently."""
        return self.recent_rejections >= REJECTIONS_UNDER_PRESSURE

    def end_window(self) -> None:
        """Reduce the weight of earlier rejections. Called at the end of each window."""
        self.recent_rejections *= REJECTIONS_DECAY

    def _is_final(self, job: Job) -> bool:
        if not self._state.settings.retries_marked or job.request.is_retry:
            return True
        return self.retry_fraction > RETRY_STORM_FRACTION
