"""One endpoint as this runner knows it: its state, its calls in flight, its estimates and its limits."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from .concurrency_limit import ConcurrencyLimit
from .latency import LatencyEstimate
from .outlier_detection import EjectionReason, OutlierDetection
from .policy import EndpointConfig, LoadBalancingPolicy
from .prior import Prior
from .slow_start import SlowStart, slot_phase

MIN_SUCCESS_RATE = 0.1  # by which the expected wait is divided at least
UNKNOWN_LATENCY_US = 1.0  # where neither the endpoint nor the set has a latency yet


class EndpointState(Enum):
    """Whether an endpoint gets calls. The values are those of `state` in the JSON of /servers."""

    ACTIVE = "in"
    EJECTED = "ejected"
    AWAITING_HEALTH_CHECK = (
        "probed"  # its ejection is over: one call that may run twice decides whether it returns
    )
    DRAINING = "leaving"  # an operator removes it: no new calls


@dataclass(slots=True)
class InFlight:
    """An attempt that has not ended; `sent_at` in microseconds."""

    sent_at: int
    is_health_check: bool = False


class Endpoint:
    """One endpoint.

    config: name, address, weight and zone (EndpointConfig); it may be replaced in service.
    state: see EndpointState.
    retiring: draining, and to be forgotten with its last call (bool).
    latency, limit, slow_start, outliers: its estimates and limits, each in a module of its own.
    in_flight: attempts that have not ended, by id, the oldest first (dict of InFlight).
    first_seen, last_seen: when it was added and when a call last said something of it, in microseconds.
    calls, failures: in all (int).
    prior: what others have learnt of it (Prior), None where nothing is known or it proved wrong.
    """

    def __init__(
        self,
        config: EndpointConfig,
        policy: LoadBalancingPolicy,
        now: int,
        established: bool = False,
        runner: str = "",
    ) -> None:
        """`established`: it needs no slow start. `runner`: this instance's name."""
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

    # ---- choice ----

    @property
    def awaits_health_check(self) -> bool:
        """Whether it waits for its health check."""
        return self.state is EndpointState.AWAITING_HEALTH_CHECK

    @property
    def is_unavailable(self) -> bool:
        """Whether it is ejected, or has not yet passed the health check after an ejection."""
        return self.state in (EndpointState.EJECTED, EndpointState.AWAITING_HEALTH_CHECK)

    def ramp(self, now: int) -> float:
        """Return the fraction of its full share that it may have now."""
        return self.slow_start.ramp(now)

    def slow_start_allows_call(self, now: int) -> bool:
        """Whether slow start allows one more call."""
        return self.slow_start.allows_call(now, self.awaits_health_check)

    def has_capacity(self, now: int) -> bool:
        """Whether its concurrency limit and slow start allow one more call."""
        return self.limit.allows(len(self.in_flight)) and self.slow_start.allows_call(
            now, self.awaits_health_check
        )

    def next_slot(self, now: int) -> int | None:
        """Return when slow start allows the next call (us); None where slow start is not what it waits for."""
        return self.slow_start.next_slot(now, self.awaits_health_check)

    def cost(self, now: int, typical_latency_us: float) -> float:
        """Return the expected wait of one more call in microseconds, over the endpoint's weight.

        `typical_latency_us` is the set's median and stands in for what is unknown.
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
            # A hanging endpoint yields no latency at all: the age of its oldest call stands in.
            oldest = next(iter(self.in_flight.values()))
            wait_us = max(wait_us, now - oldest.sent_at)
        # What fails at once must not attract calls by being quick.
        success_rate = max(MIN_SUCCESS_RATE, success_rate)
        return wait_us * (len(self.in_flight) + 1) / (self.config.weight * success_rate * success_rate)

    # ---- calls ----

    def attempt_sent(self, now: int, attempt_id: int, is_health_check: bool) -> None:
        """Take note of an attempt that is sent to it."""
        self.slow_start.call_sent(now, self.awaits_health_check)
        self.in_flight[attempt_id] = InFlight(now, is_health_check)
        self.calls += 1

    def attempt_ended(self, now: int, attempt_id: int, answered: bool, is_conclusive: bool) -> bool:
        """Take note of an attempt's end, and return whether it decided a health check.

        `is_conclusive`: False where the end says nothing of the endpoint; a health check is repeated then.
        """
        flight = self.in_flight.pop(attempt_id, None)
        if flight is None:
            return False
        if not is_conclusive:
            # A draining endpoint stays so: a health check that was cancelled must not bring it back.
            if flight.is_health_check and self.state is not EndpointState.DRAINING:
                self.state = EndpointState.AWAITING_HEALTH_CHECK
            return False
        self.last_seen = now
        self.outliers.record(answered)
        if answered:
            self.latency.add(now, now - flight.sent_at)
            self.limit.answered(self.latency.short, self.latency.long, len(self.in_flight) + 1)
        else:
            self.failures += 1
        return flight.is_health_check

    # ---- ejection ----

    def eject(self, now: int, reason: EjectionReason) -> None:
        """Take it out of service; `outliers.ejected_until` says until when."""
        self.outliers.ejected(now, reason)
        self.state = EndpointState.EJECTED

    def reinstate(self, now: int) -> None:
        """Return it to service in slow start, without the outcomes and latencies from before its ejection.

        One that was held out by a prior alone, and never ejected, has nothing to recover from.
        """
        self.outliers.reinstated()
        self.state = EndpointState.ACTIVE
        if not self.outliers.ejections:
            return
        long_term_us = self.latency.long
        self.latency = LatencyEstimate()
        self.latency.long = long_term_us
        self.slow_start.restart(now)
