"""One endpoint as seen by this runner: state, calls in flight, estimates and limits."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from .concurrency_limit import ConcurrencyLimit
from .latency import LatencyEstimate
from .outlier_detection import EjectionReason, OutlierDetection
from .policy import EndpointConfig, LoadBalancingPolicy
from .prior import Prior
from .slow_start import SlowStart, slot_phase

MIN_SUCCESS_RATE = 0.1  # lower bound of the success rate in the cost of a call
UNKNOWN_LATENCY_US = 1.0  # used while neither the endpoint nor the set has a measured latency


class EndpointState(Enum):
    """Whether an endpoint gets calls. The values appear as `state` in the JSON of /servers."""

    ACTIVE = "in"
    EJECTED = "ejected"
    # The ejection has expired; one call that may run twice decides whether the endpoint is reinstated.
    AWAITING_HEALTH_CHECK = "probed"
    DRAINING = "leaving"  # removed by an operator: gets no new calls


@dataclass(slots=True)
class InFlight:
    """An attempt in flight; `sent_at` is in microseconds."""

    sent_at: int
    is_health_check: bool = False


class Endpoint:
    """One endpoint of a load balancer.

    Attributes:
        config: Name, address, weight and zone; may be replaced while calls are in flight.
        state: Whether it gets calls.
        retiring: Whether it is draining and is removed when its last call ends.
        latency, limit, slow_start, outliers: Estimates and limits, each in a module of its own.
        in_flight: Attempts that have not ended, by id, oldest first.
        first_seen, last_seen: When it was added and when its last conclusive attempt ended, in microseconds.
        calls, failures: Totals since it was added.
        prior: Estimate learned by other runners; None if there is none or it proved wrong.
    """

    def __init__(
        self,
        config: EndpointConfig,
        policy: LoadBalancingPolicy,
        now: int,
        established: bool = False,
        runner: str = "",
    ) -> None:
        """Create an active endpoint.

        :param established: Whether to skip slow start.
        :param runner: Name of this runner; determines the phase of its slow start slots.
        """
        self.config = config
        self.state = EndpointState.ACTIVE
        self.retiring = False
        self.latency = LatencyEstimate()
        self.limit = ConcurrencyLimit(policy.min_concurrency, policy.max_concurrency)
        self.slow_start = SlowStart(policy, slot_phase(runner, config.name), now, established)
        self.outliers = OutlierDetection(policy)
        self.in_flight: dict[int, InFlight] = {}
        self.first_seen = now
        self.last_seen = now
        self.calls = 0
        self.failures = 0
        self.prior: Prior | None = None

    # ---- selection ----

    @property
    def awaits_health_check(self) -> bool:
        """Whether its ejection has expired and its health check is due."""
        return self.state is EndpointState.AWAITING_HEALTH_CHECK

    @property
    def is_unavailable(self) -> bool:
        """Whether it is ejected or has not yet passed its health check."""
        return self.state in (EndpointState.EJECTED, EndpointState.AWAITING_HEALTH_CHECK)

    def ramp(self, now: int) -> float:
        """Return the fraction of its full share of calls that slow start permits now, from 0 to 1."""
        return self.slow_start.ramp(now)

    def slow_start_allows_call(self, now: int) -> bool:
        """Return whether slow start allows one more call."""
        return self.slow_start.allows_call(now, self.awaits_health_check)

    def has_capacity(self, now: int) -> bool:
        """Return whether the concurrency limit and slow start allow one more call."""
        return self.limit.allows(len(self.in_flight)) and self.slow_start.allows_call(
            now, self.awaits_health_check
        )

    def next_slot(self, now: int) -> int | None:
        """Return when slow start allows the next call (us); None if slow start does not limit it."""
        return self.slow_start.next_slot(now, self.awaits_health_check)

    def cost(self, now: int, typical_latency_us: float) -> float:
        """Return the expected wait of one more call in microseconds, divided by weight and squared success rate.

        :param typical_latency_us: Median latency of the set; replaces an unknown latency.
        """
        typical_us = typical_latency_us or UNKNOWN_LATENCY_US
        wait_us = self.latency.expected(now) or typical_us
        success_rate = self.outliers.success_rate()
        if self.prior is not None:
            influence = self.prior.influence(self.latency.samples)
            wait_us += influence * (typical_us * self.prior.latency_ratio - wait_us)
            influence = self.prior.influence(self.outliers.outcomes)
            success_rate += influence * (self.prior.success_rate - success_rate)
        if self.in_flight:
            # A hanging endpoint yields no latency samples, so the age of its oldest call is a lower bound.
            oldest = next(iter(self.in_flight.values()))
            wait_us = max(wait_us, now - oldest.sent_at)
        # An endpoint that fails immediately must not attract calls by its short latency.
        success_rate = max(MIN_SUCCESS_RATE, success_rate)
        return wait_us * (len(self.in_flight) + 1) / (self.config.weight * success_rate * success_rate)

    # ---- calls ----

    def attempt_sent(self, now: int, attempt_id: int, is_health_check: bool) -> None:
        """Record an attempt that is sent to this endpoint."""
        self.slow_start.call_sent(now, self.awaits_health_check)
        self.in_flight[attempt_id] = InFlight(now, is_health_check)
        self.calls += 1

    def attempt_ended(self, now: int, attempt_id: int, answered: bool, is_conclusive: bool) -> bool:
        """Record the end of an attempt, and return whether it decided a health check.

        :param is_conclusive: Whether the end is evidence about the endpoint; if not, a health check is repeated.
        """
        flight = self.in_flight.pop(attempt_id, None)
        if flight is None:
            return False
        if not is_conclusive:
            # A draining endpoint remains draining: a cancelled health check must not make it eligible for calls again.
            if flight.is_health_check and self.state is not EndpointState.DRAINING:
                self.state = EndpointState.AWAITING_HEALTH_CHECK
            return False
        self.last_seen = now
        self.outliers.record(answered)
        if answered:
            self.latency.add(now, now - flight.sent_at)
            self.limit.record_answer(self.latency.short, self.latency.long, len(self.in_flight) + 1)
        else:
            self.failures += 1
        return flight.is_health_check

    # ---- ejection ----

    def eject(self, now: int, reason: EjectionReason) -> None:
        """Eject the endpoint until `outliers.ejected_until`."""
        self.outliers.start_ejection(now, reason)
        self.state = EndpointState.EJECTED

    def reinstate(self, now: int) -> None:
        """Return the endpoint to service in slow start, and discard its earlier outcomes and short-term latencies.

        An endpoint that was unavailable only because of a prior, and never ejected here, skips slow start.
        """
        self.outliers.end_ejection()
        self.state = EndpointState.ACTIVE
        if not self.outliers.ejections:
            return
        long_term_us = self.latency.long
        self.latency = LatencyEstimate()
        self.latency.long = long_term_us
        self.slow_start.restart(now)
