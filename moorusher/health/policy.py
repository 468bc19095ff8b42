"""Operator settings of the health state; `config/health.py` reads them from `[standing]`."""

from __future__ import annotations

from dataclasses import dataclass

MAX_MAINTENANCE_S = 7 * 86_400.0  # for a longer absence, remove the runner
MAX_REASON_LENGTH = 200  # characters


@dataclass(frozen=True, slots=True)
class HealthPolicy:
    """Thresholds and durations of the health state.

    Pressure is the highest of three numbers: the forecast load, the queue wait and the rejections, each as a fraction
    of a limit. If the forecast load is 1 or more, the runner is expected to collapse before load balancers can react.

    Attributes:
        max_probe_interval_ms: Assumed maximum interval of a load balancer's health checks; a longer observed interval
            replaces it.
        balancer_reaction_ms: Time after a load balancer has read a report until requests that it sent earlier no longer
            arrive.
        survivable_runs_per_core: Highest window mean of runs per core at which a warm runner does not collapse; 0 to
            use the value from the runner's settings.
        overloaded_threshold: Pressure at or above which a runner is overloaded.
        no_traffic_threshold: Pressure at or above which the weight is 0; the margin up to 1 is for unforeseen load.
        recovery_threshold: Pressure below which an overloaded runner has recovered.
        min_overloaded_weight: Lowest weight of an overloaded runner with a pressure below `no_traffic_threshold`.
        max_queue_wait_fraction: Queue wait that corresponds to pressure 1, as a fraction of the shortest latency
            objective. Pressure from queue wait or rejections is capped below `no_traffic_threshold`.
        max_rejected_fraction: Fraction of requests rejected in the last window that corresponds to pressure 1.
        ramp_s: Duration of the recovery ramp from weight 0 to full weight.
        gauges_fresh_ms: Age up to which gauges are fully trusted.
        gauges_expired_ms: Age from which gauges are ignored.
        link_down_grace_ms: Time without a connection to the kernel after which the kernel's state is unknown.
        link_stabilization_ms: Time that a restored connection must stay up; doubled with each additional loss.
    """

    max_probe_interval_ms: float = 2000.0
    balancer_reaction_ms: float = 500.0
    survivable_runs_per_core: float = 0.0
    overloaded_threshold: float = 0.7
    no_traffic_threshold: float = 0.85
    recovery_threshold: float = 0.5
    min_overloaded_weight: int = 10
    max_queue_wait_fraction: float = 0.3
    max_rejected_fraction: float = 0.5
    ramp_s: float = 10.0
    gauges_fresh_ms: float = 1000.0
    gauges_expired_ms: float = 5000.0
    link_down_grace_ms: float = 2000.0
    link_stabilization_ms: float = 500.0
