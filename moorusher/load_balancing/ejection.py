"""Which outliers are ejected, when they return, and when ejections are ignored (panic).

Inputs: each endpoint's outlier detection, the outcome of health checks, how many are out, the weight in service.
An ejected endpoint returns by a health check: when its ejection is over, one call that may run twice is sent to it. An
answer that is not slow reinstates it; a failure or a slow answer ejects it again, for longer. An end that says nothing
of the endpoint, such as a cancelled call, repeats the check.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from .endpoint import Endpoint, EndpointState
from .outlier_detection import EjectionReason
from .policy import LoadBalancingPolicy

MIN_COMPARABLE_ENDPOINTS = (
    2  # others with a latency, from which the set's median says something of one endpoint
)


class EjectionControl:
    """Ejects and reinstates the endpoints of one set.

    ejections: in all (int).
    panics: how often ejections were ignored since too much was ejected (int).
    """

    def __init__(self, policy: LoadBalancingPolicy, endpoints: Mapping[str, Endpoint]) -> None:
        """`endpoints`: those of the set by name, always as they are."""
        self._policy = policy
        self._endpoints = endpoints
        self.ejections = 0
        self.panics = 0

    def unavailable(self) -> int:
        """Return how many endpoints are ejected or wait for their health check."""
        return sum(endpoint.is_unavailable for endpoint in self._endpoints.values())

    def allows(self, unavailable: int) -> bool:
        """Whether so many endpoints may be unavailable at a time: the others have to bear their calls."""
        return unavailable <= self._policy.max_ejected_fraction * len(self._endpoints)

    def comparable_median(self, endpoint: Endpoint, typical_us: float) -> float:
        """Return the set's median latency (us); 0 where too few others were measured to compare `endpoint` with."""
        measured = sum(e.latency.samples > 0 for e in self._endpoints.values() if e is not endpoint)
        return typical_us if measured >= MIN_COMPARABLE_ENDPOINTS else 0.0

    def health_check_ended(self, now: int, endpoint: Endpoint, answered: bool, typical_us: float) -> None:
        """Reinstate the endpoint or eject it again."""
        if answered and not endpoint.outliers.is_slow(endpoint.latency, typical_us):
            endpoint.reinstate(now)
        else:
            self._eject(now, endpoint, EjectionReason.HEALTH_CHECK_FAILED)

    def attempt_ended(self, now: int, endpoint: Endpoint, unresponsive: bool, typical_us: float) -> bool:
        """Eject an active endpoint that has become an outlier, and return whether it was ejected.

        `unresponsive`: the attempt was given up after hanging (`outlier_detection.is_unresponsive`).
        """
        if endpoint.state is not EndpointState.ACTIVE:
            return False
        median_us = self.comparable_median(endpoint, typical_us)
        reason = endpoint.outliers.find_reason(endpoint.latency, median_us)
        if reason is None or not self.allows(self.unavailable() + 1):
            return False
        if unresponsive and reason is EjectionReason.CONSECUTIVE_FAILURES:
            reason = EjectionReason.UNRESPONSIVE
        self._eject(now, endpoint, reason)
        return True

    def _eject(self, now: int, endpoint: Endpoint, reason: EjectionReason) -> None:
        endpoint.eject(now, reason)
        self.ejections += 1

    def begin_health_checks(self, now: int, endpoints: Sequence[Endpoint]) -> None:
        """Let those whose ejection is over wait for their health check."""
        for endpoint in endpoints:
            if endpoint.state is EndpointState.EJECTED and now >= endpoint.outliers.ejected_until:
                endpoint.state = EndpointState.AWAITING_HEALTH_CHECK

    def next_health_check(self, endpoints: Sequence[Endpoint]) -> int | None:
        """Return when the next ejection is over (us); None while nobody is ejected."""
        ends = [e.outliers.ejected_until for e in endpoints if e.state is EndpointState.EJECTED]
        return min(ends, default=None)

    def or_all_in_panic(self, subset: Sequence[Endpoint], active: list[Endpoint]) -> list[Endpoint]:
        """Return the endpoints that calls go to: the active ones, or in panic the whole subset.

        Panic: so much weight is out that the rest could not bear the calls. What looks like many faults is then most
        likely one that all share, and not the endpoints'.
        """
        total_weight = sum(endpoint.config.weight for endpoint in subset)
        active_weight = sum(endpoint.config.weight for endpoint in active)
        if not total_weight or active_weight >= self._policy.panic_threshold * total_weight:
            return active
        self.panics += 1
        return list(subset)
