"""The endpoints of one load balancer: membership, endpoints in service, and selection of an endpoint for a call."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from .ejection import EjectionControl
from .endpoint import Endpoint, EndpointState
from .errors import TooManyEndpointsError
from .latency import median
from .messages import AttemptOutcome
from .picker import Picker, subset_order
from .policy import MAX_ENDPOINTS, EndpointConfig, LoadBalancingPolicy
from .prior import MIN_WEIGHT_TO_EJECT, Prior, PriorVerifier

TYPICAL_LATENCY_PERIOD_US = 250_000  # interval between calculations of the median latency


class Selection(NamedTuple):
    """The endpoint selected for a call, and whether the call is its health check."""

    endpoint: Endpoint
    is_health_check: bool = False


class EndpointSet:
    """The endpoints of one load balancer.

    Attributes:
        by_name: All endpoints, including draining ones.
        ejection: Ejects and reinstates endpoints.
    """

    def __init__(
        self,
        configs: Iterable[EndpointConfig],
        policy: LoadBalancingPolicy,
        runner: str,
        draw: Callable[[], float],
        now: int,
    ) -> None:
        """Create a set of established endpoints.

        :param runner: Name of this runner; determines its subset.
        :param draw: Returns a random number in [0, 1).
        """
        self._policy = policy
        self._runner = runner
        self.by_name: dict[str, Endpoint] = {}
        self.ejection = EjectionControl(policy, self.by_name)
        self._picker = Picker(draw, policy.zone_spill_ratio)
        self._verifier: PriorVerifier | None = None
        # All endpoints in the runner's order.
        self._ordered: list[Endpoint] = []
        # The next four lists are derived by `_rebuild`: endpoints that get calls, those inside and those outside of
        # this runner's zone (both empty if the runner has no zone), and endpoints that await their health check.
        self._in_service: list[Endpoint] = []
        self._local: list[Endpoint] = []
        self._remote: list[Endpoint] = []
        self._awaiting_health_check: list[Endpoint] = []
        # Time of the next rebuild in microseconds; None if none is scheduled.
        self._rebuild_at: int | None = 0
        self._typical_latency_us = 0.0
        self._typical_latency_at = -TYPICAL_LATENCY_PERIOD_US
        for config in configs:
            self.add(now, config, established=True)

    # ---- membership ----

    @property
    def has_members(self) -> bool:
        """Whether any endpoint is not draining."""
        return any(endpoint.state is not EndpointState.DRAINING for endpoint in self._ordered)

    def add(self, now: int, config: EndpointConfig, established: bool = False) -> None:
        """Add an endpoint in slow start, or replace the configuration of the endpoint with that name.

        :param established: Whether to skip slow start.
        :raises TooManyEndpointsError: The set already has MAX_ENDPOINTS endpoints.
        """
        known = self.by_name.get(config.name)
        if known is not None:
            known.config = config
            if known.state is EndpointState.DRAINING:
                known.state = EndpointState.ACTIVE
                known.retiring = False
        elif len(self.by_name) >= MAX_ENDPOINTS:
            raise TooManyEndpointsError(MAX_ENDPOINTS)
        else:
            self.by_name[config.name] = Endpoint(config, self._policy, now, established, self._runner)
        self._ordered = subset_order(self._runner, list(self.by_name.values()))
        self._request_rebuild()

    def drain(self, name: str) -> bool:
        """Send no new calls to an endpoint; calls in flight continue. Return False if no endpoint has that name."""
        endpoint = self.by_name.get(name)
        if endpoint is None:
            return False
        endpoint.state = EndpointState.DRAINING
        self._request_rebuild()
        return True

    def retire(self, name: str) -> None:
        """Drain an endpoint, and remove it when its calls in flight have ended."""
        if self.drain(name):
            endpoint = self.by_name[name]
            endpoint.retiring = True
            self._remove_if_retired(endpoint)

    def remove(self, name: str) -> Endpoint | None:
        """Remove an endpoint at once and return it; the caller has to end its attempts in flight."""
        endpoint = self.by_name.get(name)
        if endpoint is not None:
            endpoint.state = EndpointState.DRAINING
            self._discard(endpoint)
        return endpoint

    def _remove_if_retired(self, endpoint: Endpoint) -> None:
        if endpoint.retiring and endpoint.state is EndpointState.DRAINING and not endpoint.in_flight:
            self._discard(endpoint)

    def _discard(self, endpoint: Endpoint) -> None:
        self.by_name.pop(endpoint.config.name, None)
        self._ordered = [other for other in self._ordered if other is not endpoint]
        self._request_rebuild()

    # ---- endpoints in service ----

    def _request_rebuild(self) -> None:
        self._rebuild_at = 0

    def _rebuild(self, now: int) -> None:
        """Derive the endpoints in service: the first active ones in the runner's order, up to the subset size."""
        size = self._policy.subset_size or len(self._ordered)
        members = [endpoint for endpoint in self._ordered if endpoint.state is not EndpointState.DRAINING]
        self.ejection.start_health_checks(now, members)
        self._awaiting_health_check = [endpoint for endpoint in members if endpoint.awaits_health_check]
        active = [endpoint for endpoint in members if endpoint.state is EndpointState.ACTIVE][:size]
        self._in_service = self.ejection.apply_panic_mode(members[:size], active)
        self._local = []
        self._remote = []
        if zone := self._policy.zone:
            self._local = [endpoint for endpoint in self._in_service if endpoint.config.zone == zone]
            self._remote = [endpoint for endpoint in self._in_service if endpoint.config.zone != zone]
        self._rebuild_at = self.ejection.next_health_check(members)

    def in_order(self) -> list[Endpoint]:
        """Return all endpoints in this runner's order."""
        return list(self._ordered)

    def is_in_service(self, endpoint: Endpoint) -> bool:
        """Return whether the endpoint was in service at the last rebuild."""
        return endpoint in self._in_service

    def typical_latency(self, now: int) -> float:
        """Return the median of the endpoints' short-term latencies in microseconds; 0 if none is known."""
        if now - self._typical_latency_at >= TYPICAL_LATENCY_PERIOD_US:
            self._typical_latency_at = now
            measured = [e.latency.short for e in self.by_name.values() if e.latency.samples]
            self._typical_latency_us = median(measured)
        return self._typical_latency_us

    # ---- selection ----

    def select(self, now: int, tolerates_duplicates: bool, avoid: Endpoint | None = None) -> Selection | None:
        """Select an endpoint with capacity for a call; None if there is none.

        :param tolerates_duplicates: Whether the call may be used as a health check.
        :param avoid: Endpoint to exclude.
        """
        if self._rebuild_at is not None and now >= self._rebuild_at:
            self._rebuild(now)
        typical_us = self.typical_latency(now)
        if tolerates_duplicates and self._awaiting_health_check:
            unchecked = self._find_unchecked(now, avoid)
            if unchecked is not None:
                return Selection(unchecked, is_health_check=True)
        picked = None
        if self._local:
            picked = self._picker.pick_by_zone(self._local, self._remote, now, typical_us, avoid)
        if picked is None:
            picked = self._picker.pick(self._in_service, now, typical_us, avoid)
        return None if picked is None else Selection(picked)

    def _find_unchecked(self, now: int, avoid: Endpoint | None) -> Endpoint | None:
        """Return an endpoint that awaits its health check and has no call in flight."""
        for endpoint in self._awaiting_health_check:
            if not endpoint.awaits_health_check or endpoint.in_flight or endpoint is avoid:
                continue
            if endpoint.slow_start_allows_call(now):
                return endpoint
        return None

    def next_slot(self, now: int) -> int | None:
        """Return when slow start next allows a call to an endpoint in service (us); None if it limits none."""
        slots = [slot for e in self._in_service if (slot := e.next_slot(now)) is not None]
        return min(slots, default=None)

    # ---- ends of attempts ----

    def attempt_ended(
        self,
        now: int,
        endpoint: Endpoint,
        attempt_id: int,
        outcome: AttemptOutcome,
        unresponsive: bool = False,
    ) -> None:
        """Update the endpoint from the end of an attempt.

        :param unresponsive: Whether the attempt was cancelled after hanging.
        """
        answered = outcome is AttemptOutcome.ANSWERED
        if unresponsive or outcome is AttemptOutcome.REJECTED:
            endpoint.limit.record_overload()
        is_conclusive = unresponsive or outcome not in (AttemptOutcome.CANCELLED, AttemptOutcome.NOT_AWAITED)
        was_health_check = endpoint.attempt_ended(now, attempt_id, answered, is_conclusive)
        if endpoint.state is EndpointState.DRAINING:
            self._remove_if_retired(endpoint)
            return
        typical_us = self.typical_latency(now)
        if answered:
            self._verify_prior(endpoint, was_health_check, typical_us)
        if was_health_check:
            self.ejection.health_check_ended(now, endpoint, answered, typical_us)
            self._request_rebuild()
        elif self.ejection.attempt_ended(now, endpoint, unresponsive, typical_us):
            self._request_rebuild()

    # ---- priors ----

    def apply_priors(self, priors: Mapping[str, Prior], verifier: PriorVerifier) -> None:
        """Apply priors to endpoints that have no samples of their own.

        An endpoint that other runners had ejected has to pass a health check first, unless too many are unavailable.
        """
        self._verifier = verifier
        unavailable = self.ejection.unavailable()
        for name, prior in priors.items():
            endpoint = self.by_name.get(name)
            if endpoint is None or endpoint.latency.samples or endpoint.failures:
                continue  # own samples are more reliable than a prior
            endpoint.prior = prior
            needs_health_check = prior.ejected and prior.weight >= MIN_WEIGHT_TO_EJECT
            if needs_health_check and self.ejection.allows_unavailable(unavailable + 1):
                endpoint.state = EndpointState.AWAITING_HEALTH_CHECK
                unavailable += 1
        self._request_rebuild()

    def discard_prior(self, name: str) -> None:
        """Discard the prior of an endpoint and the health check that it required."""
        endpoint = self.by_name.get(name)
        if endpoint is None:
            return
        endpoint.prior = None
        if endpoint.awaits_health_check and not endpoint.outliers.ejections:
            endpoint.state = EndpointState.ACTIVE
            self._request_rebuild()

    def _verify_prior(self, endpoint: Endpoint, was_health_check: bool, typical_us: float) -> None:
        if self._verifier is None:
            return
        name = endpoint.config.name
        if was_health_check:
            self._verifier.health_check_passed(name)
        if median_us := self.ejection.comparable_median(endpoint, typical_us):
            latency = endpoint.latency
            self._verifier.latency_measured(name, latency.short / median_us, latency.samples)
