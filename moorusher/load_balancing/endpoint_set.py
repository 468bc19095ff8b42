"""The endpoints of one load balancer: membership, who is in service now, and the selection for a call."""

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

TYPICAL_LATENCY_PERIOD_US = 250_000  # between two calculations of the median latency


class Selection(NamedTuple):
    """The endpoint for a call, and whether the call is its health check."""

    endpoint: Endpoint
    is_health_check: bool = False


class EndpointSet:
    """A set of endpoints as one load balancer sees them.

    by_name: all endpoints, draining ones included (dict of Endpoint).
    ejection: who is ejected and returns (EjectionControl).
    """

    def __init__(
        self,
        configs: Iterable[EndpointConfig],
        policy: LoadBalancingPolicy,
        runner: str,
        draw: Callable[[], float],
        now: int,
    ) -> None:
        """`runner`: this instance's name, for its subset. `draw` returns random numbers from 0 to under 1."""
        self._policy = policy
        self._runner = runner
        self.by_name: dict[str, Endpoint] = {}
        self.ejection = EjectionControl(policy, self.by_name)
        self._picker = Picker(draw, policy.zone_spill_ratio)
        self._verifier: PriorVerifier | None = None
        # All endpoints in the runner's order.
        self._ordered: list[Endpoint] = []
        # What `_rebuild` derives: endpoints that calls go to, those of them in and out of this runner's zone (both
        # empty where the runner has no zone), and those that wait for their health check.
        self._in_service: list[Endpoint] = []
        self._local: list[Endpoint] = []
        self._remote: list[Endpoint] = []
        self._awaiting_health_check: list[Endpoint] = []
        # When to rebuild, in microseconds; None: not by time alone.
        self._rebuild_at: int | None = 0
        self._typical_latency_us = 0.0
        self._typical_latency_at = -TYPICAL_LATENCY_PERIOD_US
        for config in configs:
            self.add(now, config, established=True)

    # ---- membership ----

    def add(self, now: int, config: EndpointConfig, established: bool = False) -> None:
        """Add an endpoint in slow start, or change the address, weight or zone of the one with that name.

        `established`: without slow start. Raises TooManyEndpointsError.
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
        """Send no new calls to an endpoint; those in flight end as they do. False where there is none of the name."""
        endpoint = self.by_name.get(name)
        if endpoint is None:
            return False
        endpoint.state = EndpointState.DRAINING
        self._request_rebuild()
        return True

    def retire(self, name: str) -> None:
        """Drain an endpoint, and forget it once its calls in flight have ended."""
        if self.drain(name):
            endpoint = self.by_name[name]
            endpoint.retiring = True
            self._forget_if_retired(endpoint)

    def remove(self, name: str) -> Endpoint | None:
        """Forget an endpoint at once and return it; its attempts in flight are the caller's to end."""
        endpoint = self.by_name.get(name)
        if endpoint is not None:
            endpoint.state = EndpointState.DRAINING
            self._forget(endpoint)
        return endpoint

    def _forget_if_retired(self, endpoint: Endpoint) -> None:
        if endpoint.retiring and endpoint.state is EndpointState.DRAINING and not endpoint.in_flight:
            self._forget(endpoint)

    def _forget(self, endpoint: Endpoint) -> None:
        self.by_name.pop(endpoint.config.name, None)
        self._ordered = [other for other in self._ordered if other is not endpoint]
        self._request_rebuild()

    # ---- who is in service ----

    def _request_rebuild(self) -> None:
        self._rebuild_at = 0

    def _rebuild(self, now: int) -> None:
        """Derive who is in service: the first active ones of the runner's order, as many as its subset has."""
        size = self._policy.subset_size or len(self._ordered)
        members = [endpoint for endpoint in self._ordered if endpoint.state is not EndpointState.DRAINING]
        self.ejection.begin_health_checks(now, members)
        self._awaiting_health_check = [endpoint for endpoint in members if endpoint.awaits_health_check]
        active = [endpoint for endpoint in members if endpoint.state is EndpointState.ACTIVE][:size]
        self._in_service = self.ejection.or_all_in_panic(members[:size], active)
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
        """Whether calls went to the endpoint as the lists were last derived."""
        return endpoint in self._in_service

    def typical_latency(self, now: int) -> float:
        """Return the median of the endpoints' short-term latencies in microseconds; 0 while none is known."""
        if now - self._typical_latency_at >= TYPICAL_LATENCY_PERIOD_US:
            self._typical_latency_at = now
            measured = [e.latency.short for e in self.by_name.values() if e.latency.samples]
            self._typical_latency_us = median(measured)
        return self._typical_latency_us

    # ---- selection ----

    def select(self, now: int, tolerates_duplicates: bool, avoid: Endpoint | None = None) -> Selection | None:
        """Select an endpoint with capacity for a call; None where there is none.

        `tolerates_duplicates`: the call may serve as a health check. `avoid`: not this one.
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
        """Find an endpoint that waits for its health check and has no call in flight."""
        for endpoint in self._awaiting_health_check:
            if not endpoint.awaits_health_check or endpoint.in_flight or endpoint is avoid:
                continue
            if endpoint.slow_start_allows_call(now):
                return endpoint
        return None

    def next_slot(self, now: int) -> int | None:
        """Return when slow start allows a call to an endpoint in service (us); None where none has to be waited for."""
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
        """Take what an attempt's end says of its endpoint. `unresponsive`: it was cancelled after hanging."""
        answered = outcome is AttemptOutcome.ANSWERED
        if unresponsive or outcome is AttemptOutcome.REJECTED:
            endpoint.limit.overloaded()
        is_conclusive = unresponsive or outcome not in (AttemptOutcome.CANCELLED, AttemptOutcome.NOT_AWAITED)
        was_health_check = endpoint.attempt_ended(now, attempt_id, answered, is_conclusive)
        if endpoint.state is EndpointState.DRAINING:
            self._forget_if_retired(endpoint)
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

    def learn(self, priors: Mapping[str, Prior], verifier: PriorVerifier) -> None:
        """Take priors for endpoints that were not called yet.

        One that was ejected elsewhere has to pass a health check first, as far as the fraction that may be out allows.
        """
        self._verifier = verifier
        unavailable = self.ejection.unavailable()
        for name, prior in priors.items():
            endpoint = self.by_name.get(name)
            if endpoint is None or endpoint.latency.samples or endpoint.failures:
                continue  # own samples count for more
            endpoint.prior = prior
            believed = prior.ejected and prior.weight >= MIN_WEIGHT_TO_EJECT
            if believed and self.ejection.allows(unavailable + 1):
                endpoint.state = EndpointState.AWAITING_HEALTH_CHECK
                unavailable += 1
        self._request_rebuild()

    def unlearn(self, name: str) -> None:
        """Drop the prior of an endpoint, and what followed from it."""
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
