"""Ejection and reinstatement of outliers, and panic mode, in which ejections are ignored.

An ejected endpoint is reinstated by a health check: when its ejection expires, one call that may run twice is sent to
it. An answer that is not slow reinstates the endpoint; a failure or a slow answer ejects it again, for longer. An
inconclusive end, such as a cancelled call, repeats the health check.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from .endpoint import Endpoint, EndpointState
from .outlier_detection import EjectionReason
from .policy import LoadBalancingPolicy

# Number of other endpoints with a measured latency that are needed before the set's median is used for a comparison.
MIN_COMPARABLE_ENDPOINTS = 2


class EjectionControl:
    """Ejects and reinstates the endpoints of one set. `typical_us` is the set's typical latency.

    Attributes:
        ejections: Number of ejections since the start.
        panics: Number of times that panic mode was applied since the start.
    """

    def __init__(self, policy: LoadBalancingPolicy, endpoints: Mapping[str, Endpoint]) -> None:
        """Create the control for `endpoints`, the live mapping of the set's endpoints by name."""
        self._policy = policy
        self._endpoints = endpoints
        self.ejections = 0
        self.panics = 0

    def unavailable(self) -> int:
        """Return the number of endpoints that are ejected or await their health check."""
        return sum(endpoint.is_unavailable for endpoint in self._endpoints.values())

    def allows_unavailable(self, unavailable: int) -> bool:
        """Return whether this many endpoints may be unavailable at a time; the others have to take their calls."""
        return unavailable <= self._policy.max_ejected_fraction * len(self._endpoints)

    def comparable_median(self, endpoint: Endpoint, typical_us: float) -> float:
        """Return the set's median latency (us); 0 if too few other endpoints were measured for a comparison."""
        measured = sum(e.latency.samples > 0 for e in self._endpoints.values() if e is not endpoint)
        return typical_us if measured >= MIN_COMPARABLE_ENDPOINTS else 0.0

    def health_check_ended(self, now: int, endpoint: Endpoint, answered: bool, typical_us: float) -> None:
        """Reinstate the endpoint or eject it again, depending on the health check's outcome."""
        if answered and not endpoint.outliers.is_slow(endpoint.latency, typical_us):
            endpoint.reinstate(now)
        else:
            self._eject(now, endpoint, EjectionReason.HEALTH_CHECK_FAILED)

    def attempt_ended(self, now: int, endpoint: Endpoint, unresponsive: bool, typical_us: float) -> bool:
        """Eject an active endpoint that has become an outlier, and return whether it was ejected.

        :param unresponsive: Whether the attempt was cancelled after hanging (`outlier_detection.is_unresponsive`).
        """
        if endpoint.state is not EndpointState.ACTIVE:
            return False
        median_us = self.comparable_median(endpoint, typical_us)
        reason = endpoint.outliers.find_reason(endpoint.latency, median_us)
        if reason is None or not self.allows_unavailable(self.unavailable() + 1):
            return False
        if unresponsive and reason is EjectionReason.CONSECUTIVE_FAILURES:
            reason = EjectionReason.UNRESPONSIVE
        self._eject(now, endpoint, reason)
        return True

    def _eject(self, now: int, endpoint: Endpoint, reason: EjectionReason) -> None:
        endpoint.eject(now, reason)
        self.ejections += 1

    def start_health_checks(self, now: int, endpoints: Sequence[Endpoint]) -> None:
        """Move endpoints whose ejection has expired to AWAITING_HEALTH_CHECK."""
        for endpoint in endpoints:
            if endpoint.state is EndpointState.EJECTED and now >= endpoint.outliers.ejected_until:
                endpoint.state = EndpointState.AWAITING_HEALTH_CHECK

    def next_health_check(self, endpoints: Sequence[Endpoint]) -> int | None:
        """Return when the next ejection expires (us); None if no endpoint is ejected."""
        ends = [e.outliers.ejected_until for e in endpoints if e.state is EndpointState.EJECTED]
        return min(ends, default=None)

    def apply_panic_mode(self, subset: Sequence[Endpoint], active: list[Endpoint]) -> list[Endpoint]:
        """Return the endpoints to send calls to: the active ones, or in panic mode the whole subset.

        Panic mode applies when so much weight is unavailable that the active endpoints could not take all calls. The
        apparent faults then most likely have one common cause outside of the endpoints.
        """
        total_weight = sum(endpoint.config.weight for endpoint in subset)
        active_weight = sum(endpoint.config.weight for endpoint in active)
        if not total_weight or active_weight >= self._policy.panic_threshold * total_weight:
            return active
        self.panics += 1
        return list(subset)
