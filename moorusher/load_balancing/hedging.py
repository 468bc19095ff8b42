"""Hedging: when a call takes long, a second copy is sent and the first answer is used.

Only a call that may run twice is hedged, at most once, and only at another endpoint. A health check is never hedged.
The second copy takes a token from the retry budget.
"""

from __future__ import annotations

from .calls import OpenCall
from .endpoint import Endpoint
from .policy import LoadBalancingPolicy
from .retry import has_time_remaining

HEDGE_QUANTILE = 0.95  # quantile of its endpoint's latencies that a call waits at least before it is hedged
MIN_TYPICAL_LATENCIES = 2.0  # minimum wait before hedging, as a multiple of the set's typical latency


def may_hedge(call: OpenCall, policy: LoadBalancingPolicy, is_health_check: bool) -> bool:
    """Return whether an attempt that is sent now may be hedged later."""
    return (
        policy.hedging_enabled
        and call.tolerates_duplicates
        and not call.hedged
        and not is_health_check
        and call.attempts_made < call.max_attempts
    )


def hedge_at(now: int, call: OpenCall, endpoint: Endpoint, typical_latency_us: float) -> int | None:
    """Return when to hedge an attempt sent now (us); None if no latency is known or the deadline is too near."""
    percentile_us = endpoint.latency.quantile(HEDGE_QUANTILE) or 0.0
    # The typical latency of all endpoints gives a minimum wait. It alone determines the wait if the endpoint has no
    # percentile, because it has given few answers or has hung from the start.
    wait_us = max(percentile_us, MIN_TYPICAL_LATENCIES * typical_latency_us)
    if not wait_us or not has_time_remaining(now + wait_us, call.deadline):
        return None
    return now + round(wait_us)


def hedge_still_useful(now: int, call: OpenCall) -> bool:
    """Return whether the call still has exactly one attempt in flight, was not hedged, and has time remaining."""
    return not call.hedged and len(call.attempts) == 1 and has_time_remaining(now, call.deadline)
