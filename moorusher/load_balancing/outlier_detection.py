"""When an endpoint is an outlier, and for how long it is ejected.

Inputs: the outcomes of its last calls, its mean latency and the set's median latency (us), a call that hangs.
`ejection` decides whether it may be ejected at this moment, and when it returns.
"""

from __future__ import annotations

from collections import deque
from enum import Enum

from .latency import LatencyEstimate
from .policy import LoadBalancingPolicy

OUTCOME_WINDOW = 30  # calls that a failure rate is taken from
MIN_CALLS = 15  # with fewer outcomes or samples no rate and no latency counts
EJECTION_MEMORY_US = 60_000_000  # after the end of an ejection; a later one counts as the first again
MAX_EJECTION_DOUBLINGS = 16
UNRESPONSIVE_RATIO = (
    3.0  # of the set's typical latency, from which a call without an answer counts as hanging
)
MIN_UNRESPONSIVE_US = 500_000


class EjectionReason(Enum):
    """Why an endpoint was ejected. The values are those of `why` in the JSON of /servers."""

    CONSECUTIVE_FAILURES = "failures one after the other"
    FAILURE_RATE = "share of failures"
    LATENCY_OUTLIER = "far slower than the others"
    HEALTH_CHECK_FAILED = "its probe failed"
    UNRESPONSIVE = "calls hang"


def is_unresponsive(age_us: int, typical_latency_us: float) -> bool:
    """Whether a call that was sent so long ago and is now given up counts as a failure of its endpoint.

    An endpoint that hangs never ends a call by itself: without this it would never fail, and never be ejected.
    """
    return age_us >= max(MIN_UNRESPONSIVE_US, UNRESPONSIVE_RATIO * typical_latency_us)


class OutlierDetection:
    """The outlier detection of one endpoint.

    consecutive_failures: since the last answer (int).
    ejections: in all (int).
    ejected_until: the end of the newest ejection, in microseconds (int).
    reason: of the present ejection (EjectionReason), None while there is none.
    """

    def __init__(self, policy: LoadBalancingPolicy) -> None:
        """Start with no outcomes."""
        self._policy = policy
        self._recent_outcomes: deque[bool] = deque(maxlen=OUTCOME_WINDOW)  # True: answered
        self._ejections_in_row = 0  # that the length of the next ejection grows with
        self.consecutive_failures = 0
        self.ejections = 0
        self.ejected_until = 0
        self.reason: EjectionReason | None = None

    @property
    def outcomes(self) -> int:
        """Return how many recent outcomes are known."""
        return len(self._recent_outcomes)

    def success_rate(self) -> float:
        """Return the fraction of the recent calls that were answered; 1 where none is known."""
        if not self._recent_outcomes:
            return 1.0
        return sum(self._recent_outcomes) / len(self._recent_outcomes)

    def record(self, answered: bool) -> None:
        """Take note of a call's outcome."""
        self._recent_outcomes.append(answered)
        self.consecutive_failures = 0 if answered else self.consecutive_failures + 1

    def find_reason(self, latency: LatencyEstimate, median_latency_us: float) -> EjectionReason | None:
        """Return why the endpoint is an outlier now; None where it is none.

        `median_latency_us` is the set's; 0 where too few others are known to compare with.
        """
        policy = self._policy
        if self.consecutive_failures >= policy.consecutive_failures:
            return EjectionReason.CONSECUTIVE_FAILURES
        if self.outcomes >= MIN_CALLS and 1 - self.success_rate() > policy.max_failure_rate:
            return EjectionReason.FAILURE_RATE
        if latency.samples >= MIN_CALLS and self.is_slow(latency, median_latency_us):
            return EjectionReason.LATENCY_OUTLIER
        return None

    def is_slow(self, latency: LatencyEstimate, median_latency_us: float) -> bool:
        """Whether the mean latency is that of an outlier, from however few samples."""
        return (
            median_latency_us > 0 and latency.short > self._policy.outlier_latency_ratio * median_latency_us
        )

    def ejected(self, now: int, reason: EjectionReason) -> None:
        """Begin an ejection; it lasts twice as long as the one before, where that ended lately."""
        if now > self.ejected_until + EJECTION_MEMORY_US:
            self._ejections_in_row = 0
        self._ejections_in_row += 1
        doublings = min(self._ejections_in_row - 1, MAX_EJECTION_DOUBLINGS)
        duration_s = min(self._policy.max_ejection_s, self._policy.base_ejection_s * 2**doublings)
        self.ejected_until = now + round(duration_s * 1e6)
        self.reason = reason
        self.ejections += 1
        self.consecutive_failures = 0

    def reinstated(self) -> None:
        """End the ejection; the outcomes before it count no more."""
        self.reason = None
        if self.ejections:
            self._recent_outcomes.clear()
