"""The operator's settings of load balancing; `config/load_balancing.py` reads and bounds them from `[tier]`."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

MAX_ENDPOINTS = 1000


class EndpointProtocol(Enum):
    """The protocol an endpoint speaks. The values are those of the key `protocol` in settings and API."""

    HTTP = "http"  # calls as the platform sends them
    UWSGI = "uwsgi"


@dataclass(frozen=True, slots=True)
class EndpointConfig:
    """One server as the operator lists it. The name is its identity; everything else may change in service."""

    name: str
    address: tuple[str, int]  # host and port
    weight: float = 1.0  # its share of the calls, relative to the others' weights
    zone: str = ""
    protocol: EndpointProtocol = EndpointProtocol.HTTP


@dataclass(frozen=True, slots=True)
class LoadBalancingPolicy:
    """Limits and thresholds. Units are in the names; ratios and fractions run from 0 to 1 where nothing else is said.

    `config/load_balancing.py` maps the keys of `[tier]` to these fields: the numbers by `TIER_FIGURES`, besides them
    `zone`, and `hedge` to `hedging_enabled`.
    """

    # Choice of an endpoint.
    zone: str = ""  # this runner's own; endpoints in it are preferred
    subset_size: int = 0  # endpoints that this runner keeps to; 0: all
    zone_spill_ratio: float = (
        2.0  # expected wait in the own zone over that elsewhere from which a call leaves the zone
    )
    # Limits.
    min_concurrency: int = 2  # calls in flight at an endpoint, however slow it is
    max_concurrency: int = 256  # calls in flight at an endpoint, however fast it is
    max_queued_calls: int = 64  # calls that may wait for an endpoint
    # Outlier detection and ejection.
    consecutive_failures: int = 5  # that eject an endpoint
    max_failure_rate: float = 0.5  # of its last calls; more ejects it
    outlier_latency_ratio: float = 4.0  # its mean latency over the set's median; more ejects it
    base_ejection_s: float = 5.0  # the first ejection; each further one lasts twice as long
    max_ejection_s: float = 120.0
    max_ejected_fraction: float = 0.34  # of the endpoints
    panic_threshold: float = 0.5  # fraction of the weight in service under which ejections are ignored
    # Retries and hedged requests.
    retry_budget_ratio: float = 0.08  # retries and hedged requests a call
    min_retries_per_s: float = 0.5  # retries that are allowed however few calls there are
    base_backoff_ms: float = 10.0  # bound of the first backoff; doubled with each attempt
    max_backoff_ms: float = 250.0
    hedging_enabled: bool = True
    # Slow start.
    slow_start_s: float = 10.0  # until a new or returning endpoint gets its full share
    slow_start_calls: int = 0  # calls a window from all runners together as slow start ends; 0: no bound
    slow_start_window_ms: float = 1_000.0
    runners: int = 1  # that call these endpoints
