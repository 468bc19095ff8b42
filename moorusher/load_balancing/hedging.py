"""Whether, when and where a call that takes long is hedged: a second copy is sent, and the first answer counts.

Inputs: the call's effect and deadline, the endpoint's 95th latency percentile and the set's typical latency (us), the
retry budget. Only a call that may run twice is hedged, once, and only at another endpoint; a health check never is.
"""

from __future__ import annotations

from .calls import OpenCall
from .endpoint import Endpoint
from .policy import LoadBalancingPolicy
from .retry import has_time_remaining

HEDGE_QUANTILE = 0.95  # of the endpoint's latency, after which its silence is unusual
MIN_TYPICAL_LATENCIES = 2.0  # so many typical latencies are waited for at least


def may_hedge(call: OpenCall, policy: LoadBalancingPolicy, is_health_check: bool) -> bool:
    """Whether an attempt of the call that is sent now may be hedged later."""
    return (
        policy.hedging_enabled
        and call.tolerates_duplicates
        and not call.hedged
        and not is_health_check
        and call.attempts_made < call.max_attempts
    )


def hedge_at(now: int, call: OpenCall, endpoint: Endpoint, typical_latency_us: float) -> int | None:
    """Return the time (us) to hedge an attempt sent now; None where nothing is known or the deadline comes first."""
    percentile_us = endpoint.latency.quantile(HEDGE_QUANTILE) or 0.0
    # An endpoint that has answered little yet, or hangs from the start, has no percentile: the set's figure stands in.
    wait_us = max(percentile_us, MIN_TYPICAL_LATENCIES * typical_latency_us)
    if not wait_us or not has_time_remaining(now + wait_us, call.deadline):
        return None
    return now + round(wait_us)


def hedge_still_useful(now: int, call: OpenCall) -> bool:
    """Whether, at the time to hedge, the call still waits for its one attempt and has time left."""
    return not call.hedged and len(call.attempts) == 1 and has_time_remaining(now, call.deadline)
