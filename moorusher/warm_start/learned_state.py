"""What one runner has learnt of its endpoints, as a value.

Nothing of tenants, bodies or tokens is in it. It has ages in place of times, since clocks differ. The names on disk and
in `GET /knowledge` are older than those of the fields; they are mapped in the `rename` of each struct alone.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum

import msgspec

from ..load_balancing.endpoint import Endpoint, EndpointState

MAX_ENDPOINTS = 1000
MAX_NAME_LENGTH = 64


class DonorCondition(Enum):
    """How the donor itself was when its state was captured: it decides how far its figures are trusted.

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
    """One endpoint as one runner knows it.

    name: the endpoint's.
    short_latency_us, long_latency_us, latency_spread_us: means and mean deviation, in microseconds.
    samples: answered calls that the latencies come from.
    success_rate: the fraction of the last calls that were answered.
    concurrency_limit: calls.
    ejected: ejected, or waiting for its health check.
    ejections: in all.
    first_seen_s, last_seen_s: ages when the state was captured, in seconds.
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
    """What one runner knew at one moment.

    donor: the runner's name.
    condition: how it was then.
    uptime_s: how long it had served, in seconds; a young donor knows little.
    age_s: seconds since the state was captured.
    endpoints: those that anything is known of.
    """

    donor: str
    condition: DonorCondition = DonorCondition.HEALTHY
    uptime_s: float = 0.0
    age_s: float = 0.0
    endpoints: tuple[EndpointStats, ...] = ()

    def aged(self, by_s: float) -> LearnedState:
        """Return the state as it is so many seconds later."""
        return msgspec.structs.replace(self, age_s=self.age_s + max(0.0, by_s))


def capture_learned_state(
    donor: str,
    endpoints: Iterable[Endpoint],
    now: int,
    uptime_us: int,
    condition: DonorCondition = DonorCondition.HEALTHY,
) -> LearnedState:
    """Capture what is known of endpoints at `now` (us); those that nothing is known of are left out."""
    stats = [_stats_of(endpoint, now) for endpoint in endpoints if _is_known(endpoint)]
    stats.sort(key=lambda one: one.last_seen_s)
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
