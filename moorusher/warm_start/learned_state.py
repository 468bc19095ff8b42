"""What one runner has learnt about its endpoints, as a value."""

# The state contains no data of tenants, bodies or tokens. It has ages instead of times, since clocks differ. On disk
# and in `GET /knowledge` the fields have other names, which the `rename` of each struct maps.

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum

import msgspec

from ..load_balancing.endpoint import Endpoint, EndpointState

MAX_ENDPOINTS = 1000
MAX_NAME_LENGTH = 64  # characters


class DonorCondition(Enum):
    """The condition of the donor when its state was captured. It affects the weight of the donor's measurements.

    The values are on disk and in `GET /knowledge`.
    """

    HEALTHY = "well"
    SLOW = "slow"
    OVERLOADED = "crowded"
    WARMING_UP = "cold"
    PAUSED = "paused"


_STATS_NAMES = {
    "short_latency_us": "short_us",
    "long_latency_us": "long_us",
    "latency_spread_us": "spread_us",
    "success_rate": "answered",
    "concurrency_limit": "limit",
    "ejected": "out",
}


class EndpointStats(msgspec.Struct, frozen=True, omit_defaults=True, rename=_STATS_NAMES):
    """One runner's statistics of one endpoint.

    Attributes:
        name: Name of the endpoint.
        short_latency_us, long_latency_us, latency_spread_us: Short-term and long-term mean, and mean deviation.
        samples: Number of answered calls in the latencies.
        success_rate: Fraction of the last calls that were answered.
        concurrency_limit: Limit of concurrent calls.
        ejected: Whether it was ejected or waited for its health check.
        ejections: Total number of ejections.
        first_seen_s, last_seen_s: Seconds since it was first and last seen.
    """

    name: str
    short_latency_us: float = 0.0
    long_latency_us: float = 0.0
    latency_spread_us: float = 0.0
    samples: int = 0
    success_rate: float = 1.0
    concurrency_limit: float = 0.0
    ejected: bool = False
    ejections: int = 0
    first_seen_s: float = 0.0
    last_seen_s: float = 0.0


_STATE_NAMES = {"uptime_s": "up_s", "endpoints": "servers"}


class LearnedState(msgspec.Struct, frozen=True, omit_defaults=True, rename=_STATE_NAMES):
    """What one runner had learnt when its state was captured.

    Attributes:
        donor: Name of the runner.
        condition: Its condition.
        uptime_s: How long it had served; a runner that started recently has learnt little.
        age_s: Time since the state was captured.
        endpoints: Endpoints with statistics.
    """

    donor: str
    condition: DonorCondition = DonorCondition.HEALTHY
    uptime_s: float = 0.0
    age_s: float = 0.0
    endpoints: tuple[EndpointStats, ...] = ()

    def aged(self, elapsed_s: float) -> LearnedState:
        """Return the state with its age increased; a negative `elapsed_s` counts as 0."""
        return msgspec.structs.replace(self, age_s=self.age_s + max(0.0, elapsed_s))


def capture_learned_state(
    donor: str,
    endpoints: Iterable[Endpoint],
    now: int,
    uptime_us: int,
    condition: DonorCondition = DonorCondition.HEALTHY,
) -> LearnedState:
    """Capture the statistics of endpoints, except active ones without any answered or failed call.

    :param now: Time of the endpoints' clock, in microseconds.
    """
    stats = [_stats_of(endpoint, now) for endpoint in endpoints if _is_known(endpoint)]
    stats.sort(key=lambda entry: entry.last_seen_s)
    return LearnedState(donor, condition, uptime_us / 1e6, 0.0, tuple(stats[:MAX_ENDPOINTS]))


def _is_known(endpoint: Endpoint) -> bool:
    was_called = endpoint.latency.samples > 0 or endpoint.failures > 0
    return was_called or endpoint.state is not EndpointState.ACTIVE


def _stats_of(endpoint: Endpoint, now: int) -> EndpointStats:
    return EndpointStats(
        name=endpoint.config.name,
        short_latency_us=endpoint.latency.short,
        long_latency_us=endpoint.latency.long,
        latency_spread_us=endpoint.latency.spread,
        samples=endpoint.latency.samples,
        success_rate=endpoint.outliers.success_rate(),
        concurrency_limit=endpoint.limit.value,
        ejected=endpoint.is_unavailable,
        ejections=endpoint.outliers.ejections,
        first_seen_s=(now - endpoint.first_seen) / 1e6,
        last_seen_s=(now - endpoint.last_seen) / 1e6,
    )
