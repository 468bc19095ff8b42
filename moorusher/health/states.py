"""Health states of a runner, and the allowed transitions between them."""

from __future__ import annotations

from enum import Enum


class HealthState(Enum):
    """State of a runner for load balancers. The values appear in protocols, logs and counter names."""

    STARTING = "starting"  # the kernel is not connected yet, so nothing can run
    WARMING_UP = "warming"  # serves requests below full speed
    SERVING = "serving"
    OVERLOADED = "crowded"  # serves requests, but needs less traffic
    MAINTENANCE = "maintenance"  # set by an operator; requests that still arrive are served
    DRAINING = "draining"  # shutting down; final
    FAILED = "failed"  # the connection to the kernel is not trusted, or the scheduler is unhealthy

    @property
    def routable(self) -> bool:
        """Whether load balancers may send new requests in this state."""
        return self in (HealthState.WARMING_UP, HealthState.SERVING, HealthState.OVERLOADED)


class ImpossibleTransitionError(ValueError):
    """Raised if a transition is not in the table: observations contradict each other, which is a fault of this program.

    The runner reports itself as failed until a report is consistent again.
    """


_TO_UNROUTABLE = {
    HealthState.MAINTENANCE: "an operator set maintenance",
    HealthState.DRAINING: "shutdown was requested",
    HealthState.FAILED: "the kernel connection failed, or the scheduler reports unhealthy",
}

# States that may follow each state, with the reason of the transition. The state is determined at each health check.
# Several events may happen between two health checks, so a transition may skip an intermediate state. Transitions that
# no sequence of events causes are not in the table.
TRANSITIONS: dict[HealthState, dict[HealthState, str]] = {
    HealthState.STARTING: _TO_UNROUTABLE
    | {
        HealthState.WARMING_UP: "the kernel is up and warming up",
        HealthState.SERVING: "the kernel is up and warm",
        HealthState.OVERLOADED: "the kernel is up and overloaded",
    },
    HealthState.WARMING_UP: _TO_UNROUTABLE
    | {
        HealthState.SERVING: "warm-up is complete",
        HealthState.OVERLOADED: "the pressure has reached the overload threshold",
    },
    # No transition back to WARMING_UP: a restart of the kernel comes with a restart of the runner.
    HealthState.SERVING: _TO_UNROUTABLE
    | {HealthState.OVERLOADED: "the pressure has reached the overload threshold"},
    HealthState.OVERLOADED: _TO_UNROUTABLE
    | {
        HealthState.WARMING_UP: "overload has ended during warm-up",
        HealthState.SERVING: "overload has ended",
    },
    HealthState.MAINTENANCE: {
        HealthState.DRAINING: _TO_UNROUTABLE[HealthState.DRAINING],
        HealthState.FAILED: "maintenance has ended, but the kernel or the scheduler is unhealthy",
        HealthState.STARTING: "maintenance has ended before the kernel is up",
        HealthState.WARMING_UP: "maintenance has ended during warm-up",
        HealthState.SERVING: "maintenance has ended",
        HealthState.OVERLOADED: "maintenance has ended during overload",
    },
    HealthState.DRAINING: {},  # a shutdown can't be cancelled
    HealthState.FAILED: {
        HealthState.MAINTENANCE: _TO_UNROUTABLE[HealthState.MAINTENANCE],
        HealthState.DRAINING: _TO_UNROUTABLE[HealthState.DRAINING],
        HealthState.WARMING_UP: "recovered, still warming up",
        HealthState.SERVING: "recovered",
        HealthState.OVERLOADED: "recovered, but overloaded",
    },
}


def transition_reason(before: HealthState, after: HealthState) -> str:
    """Return the reason of the transition from `before` to `after`; "" if they are the same.

    :raises ImpossibleTransitionError: The transition is not in the table.
    """
    if before is after:
        return ""
    try:
        return TRANSITIONS[before][after]
    except KeyError:
        raise ImpossibleTransitionError(f"from {before.value} to {after.value}") from None
