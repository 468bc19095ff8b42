"""Outlier detection: whether an endpoint is an outlier, and how long its ejection lasts.

An endpoint is an outlier by the outcomes of its last calls, by its mean latency compared with the set's median, or by
calls that hang. `ejection` decides whether it may be ejected now, and when it is reinstated.
"""

from __future__ import annotations

from collections import deque
from enum import Enum

from .latency import LatencyEstimate
from .policy import LoadBalancingPolicy

OUTCOME_WINDOW = 30  # number of recent calls used for the failure rate
MIN_CALLS = 15  # minimum number of outcomes for a failure rate, and of samples for a latency comparison
# An ejection that begins later than this after the end of the previous one has the base duration again.
EJECTION_MEMORY_US = 60_000_000
MAX_EJECTION_DOUBLINGS = 16
# A call without an answer counts as hanging after this multiple of the set's typical latency, but not before
# MIN_UNRESPONSIVE_US.
UNRESPONSIVE_RATIO = 3.0
MIN_UNRESPONSIVE_US = 500_000


class EjectionReason(Enum):
    """Why an endpoint was ejected. The values appear as `why` in the JSON of /servers."""

    CONSECUTIVE_FAILURES = "failures one after the other"
    FAILURE_RATE = "share of failures"
    LATENCY_OUTLIER = "far slower than the others"
    HEALTH_CHECK_FAILED = "its probe failed"
    UNRESPONSIVE = "calls hang"


def is_unresponsive(age_us: int, typical_latency_us: float) -> bool:
    """Return whether a call that is cancelled at this age counts as a failure of its endpoint.

    A hanging endpoint never ends a call by itself: without this rule it would never be ejected.
    """
    return age_us >= max(MIN_UNRESPONSIVE_US, UNRESPONSIVE_RATIO * typical_latency_us)


class OutlierDetection:
    """The outlier detection of one endpoint.

    Attributes:
        consecutive_failures: Number of failures since the last answer.
        ejections: Number of ejections since the endpoint was added.
        ejected_until: End of the latest ejection in microseconds.
        reason: Reason of the current ejection; None if there is none.
    """

    def __init__(self, policy: LoadBalancingPolicy) -> None:
        """Create a detection without outcomes."""
        self._policy = policy
        self._recent_outcomes: deque[bool] = deque(maxlen=OUTCOME_WINDOW)  # True if the call was answered
        self._consecutive_ejections = 0  # each one doubles the next ejection's duration
        self.consecutive_failures = 0
        self.ejections = 0
        self.ejected_until = 0
        self.reason: EjectionReason | None = None

    @property
    def outcomes(self) -> int:
        """Number of known recent outcomes."""
        return len(self._recent_outcomes)

    def success_rate(self) -> float:
        """Return the fraction of recent calls that were answered; 1 if no outcome is known."""
        if not self._recent_outcomes:
            return 1.0
        return sum(self._recent_outcomes) / len(self._recent_outcomes)

    def record(self, answered: bool) -> None:
        """Record a call's outcome."""
        self._recent_outcomes.append(answered)
        self.consecutive_failures = 0 if answered else self.consecutive_failures + 1

    def find_reason(self, latency: LatencyEstimate, median_latency_us: float) -> EjectionReason | None:
        """Return why the endpoint is an outlier now; None if it is not.

        :param median_latency_us: Median latency of the set; 0 if too few other endpoints were measured.
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
        """Return whether the mean latency is that of an outlier, regardless of the number of samples."""
        return (
            median_latency_us > 0 and latency.short > self._policy.outlier_latency_ratio * median_latency_us
        )

    def start_ejection(self, now: int, reason: EjectionReason) -> None:
        """Begin an ejection. Its duration doubles, up to the maximum, if the previous ejection ended recently."""
        if now > self.ejected_until + EJECTION_MEMORY_US:
            self._consecutive_ejections = 0
        self._consecutive_ejections += 1
        doublings = min(self._consecutive_ejections - 1, MAX_EJECTION_DOUBLINGS)
        duration_s = min(self._policy.max_ejection_s, self._policy.base_ejection_s * 2**doublings)
        self.ejected_until = now + round(duration_s * 1e6)
        self.reason = reason
        self.ejections += 1
        self.consecutive_failures = 0

    def end_ejection(self) -> None:
        """End the ejection, and discard the outcomes from before it."""
        self.reason = None
        if self.ejections:
            self._recent_outcomes.clear()
