"""Operator settings of load balancing; `config/load_balancing.py` reads them from `[tier]` and checks their bounds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

MAX_ENDPOINTS = 1000


class EndpointProtocol(Enum):
    """Protocol of an endpoint. The values are those of the key `protocol` in settings and API."""

    HTTP = "http"  # calls in the HTTP form that the platform uses
    UWSGI = "uwsgi"


@dataclass(frozen=True, slots=True)
class EndpointConfig:
    """A server in the operator's settings. The name identifies it; all other fields may change at run time."""

    name: str
    address: tuple[str, int]  # host and port
    weight: float = 1.0  # relative share of calls
    zone: str = ""
    protocol: EndpointProtocol = EndpointProtocol.HTTP


@dataclass(frozen=True, slots=True)
class LoadBalancingPolicy:
    """Limits and thresholds. Units are in the names; fractions are from 0 to 1.

    `config/load_balancing.py` maps the keys of `[tier]` to these fields: numbers by `TIER_SETTINGS`, `zone` to `zone`,
    and `hedge` to `hedging_enabled`.
    """

    # Selection of an endpoint.
    zone: str = ""  # zone of this runner, whose endpoints are preferred; "" for no preference
    subset_size: int = 0  # number of endpoints that this runner uses; 0 for all
    # A call leaves the zone if the expected wait there is more than this multiple of the wait in other zones.
    zone_spill_ratio: float = 2.0
    # Limits.
    min_concurrency: int = 2  # lower bound of an endpoint's limit on calls in flight
    max_concurrency: int = 256  # upper bound of an endpoint's limit on calls in flight
    max_queued_calls: int = 64  # calls in the queue of one load balancer, for all of its endpoints together
    # Outlier detection and ejection.
    consecutive_failures: int = 5  # number of consecutive failures that ejects an endpoint
    max_failure_rate: float = 0.5  # an endpoint is ejected if a higher fraction of its last calls failed
    # An endpoint with a higher ratio of its mean latency to the set's median is ejected.
    outlier_latency_ratio: float = 4.0
    base_ejection_s: float = 5.0  # duration of the first ejection; doubled for each consecutive one
    max_ejection_s: float = 120.0
    max_ejected_fraction: float = 0.34  # maximum fraction of the endpoints that may be ejected
    panic_threshold: float = 0.5  # fraction of the total weight in service below which ejections are ignored
    # Retries and hedged requests.
    retry_budget_ratio: float = 0.08  # retries and hedged requests allowed per call
    min_retries_per_s: float = 0.5  # retries allowed regardless of the number of calls
    base_backoff_ms: float = 10.0  # upper bound of the first backoff; doubled with each attempt
    max_backoff_ms: float = 250.0
    hedging_enabled: bool = True
    # Slow start.
    slow_start_s: float = 10.0  # time until a new or reinstated endpoint gets its full share
    # Calls per window that all runners together may send to one endpoint at the end of slow start; 0 for no limit.
    slow_start_calls: int = 0
    slow_start_window_ms: float = 1_000.0
    runners: int = 1  # number of runners that call these endpoints
