"""What the operator sets of the standing. Defaults and bounds; `config/loader.py` reads them from `[standing]`."""

from __future__ import annotations

from dataclasses import dataclass

MOST_MAINTENANCE_S = 7 * 86_400.0  # a maintenance that is to last longer is a removal
MOST_REASON = 200  # characters of a reason in words


@dataclass(frozen=True, slots=True)
class Policy:
    """Times in milliseconds where the name ends in `_ms`, in seconds in `_s`; shares from 0 to 1."""

    probe_ms: float = (
        2000.0  # the longest time between two probes of one balancer; seen probes may lengthen it
    )
    reaction_ms: float = (
        500.0  # from a balancer's reading of a report to the end of the traffic that it sent before
    )
    tip_per_core: float = (
        0.0  # runs on the cores, for each, that a warm runner does not survive; 0: as settings say
    )
    crowded_at: float = 0.7  # of what is survived, from which a runner is crowded,
    full_at: float = (
        0.85  # and from which it is told nothing new is to be sent: the rest is for what can't be foreseen
    )
    calm_at: float = 0.5  # and under which it is so no longer
    crowded_weight: int = 10  # at the end of the steps down, while no crossing is forecast
    hold_share: float = 0.3  # of the shortest aim: a request held for longer means crowded
    refused_share: float = 0.5  # of what came in the last window: turned away, it means crowded
    climb_s: float = 10.0  # from nothing to full weight
    gauge_fresh_ms: float = 1000.0  # a gauge counts whole until it is so old,
    gauge_unknown_ms: float = 5000.0  # and not at all from then on
    link_trust_ms: float = 2000.0  # without the kernel's link, before its state counts as unknown
    settle_ms: float = 500.0  # a link that is back must stay for so long; doubled with each further loss
