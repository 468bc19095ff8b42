"""What the operator sets of the health state. `config/health.py` reads it from `[standing]`."""

from __future__ import annotations

from dataclasses import dataclass

MAX_MAINTENANCE_S = 7 * 86_400.0  # a maintenance that is to last longer is a removal
MAX_REASON_LENGTH = 200  # characters


@dataclass(frozen=True, slots=True)
class HealthPolicy:
    """Defaults hold where nothing is set. Pressure is 1 where the runner would fall over before balancers can act.

    Attributes:
        max_probe_interval_ms: the longest time between two probes of one balancer; observed probes may lengthen it.
        balancer_reaction_ms: from a balancer's reading of a report to the end of the traffic that it sent before.
        survivable_runs_per_core: that a warm runner survives in the mean of the window; 0 for what the settings say.
        overloaded_above: the pressure from which a runner is overloaded,
        no_traffic_above: from which it asks for no new requests: the rest is for what can't be foreseen,
        recovered_below: and under which it is overloaded no longer.
        min_overloaded_weight: at the end of the steps down, while no crossing is forecast.
        max_queue_wait_fraction: of the shortest latency objective: a longer wait in the queue is pressure 1.
        max_rejected_fraction: of the requests of the last window: more rejections are pressure 1.
        ramp_s: of the recovery ramp, from nothing to full weight.
        gauges_fresh_ms: gauges count in full until they are so old,
        gauges_expired_ms: and not at all from then on.
        link_down_grace_ms: without the connection to the kernel, before its state counts as unknown.
        link_settle_ms: a connection that is back must stay for so long; doubled with each further loss.
    """

    max_probe_interval_ms: float = 2000.0
    balancer_reaction_ms: float = 500.0
    survivable_runs_per_core: float = 0.0
    overloaded_above: float = 0.7
    no_traffic_above: float = 0.85
    recovered_below: float = 0.5
    min_overloaded_weight: int = 10
    max_queue_wait_fraction: float = 0.3
    max_rejected_fraction: float = 0.5
    ramp_s: float = 10.0
    gauges_fresh_ms: float = 1000.0
    gauges_expired_ms: float = 5000.0
    link_down_grace_ms: float = 2000.0
    link_settle_ms: float = 500.0
