"""The health states of a runner, and every transition between them."""

from __future__ import annotations

from enum import Enum


class HealthState(Enum):
    """What a runner is, for load balancers. The values are read in protocols, logs and names of counters."""

    STARTING = "starting"  # no kernel yet: nothing can be run
    WARMING_UP = "warming"  # it serves, at a part of its full speed
    SERVING = "serving"
    OVERLOADED = "crowded"  # alive, and has too many runs to be sent as much as now
    MAINTENANCE = "maintenance"  # an operator has taken it out; what comes all the same is served
    DRAINING = "draining"  # had the notice to shut down; for good
    FAILED = "failed"  # the kernel can't be trusted to be there, or the scheduler says it is unfit

    @property
    def routable(self) -> bool:
        """Whether a balancer may send new requests here."""
        return self in (HealthState.WARMING_UP, HealthState.SERVING, HealthState.OVERLOADED)


class ImpossibleTransitionError(ValueError):
    """A transition that the table does not have: what was observed contradicts itself. It is a fault of this program;
    the runner reports itself as failed until the next report makes sense."""


_TO_UNROUTABLE = {
    HealthState.MAINTENANCE: "an operator took it out",
    HealthState.DRAINING: "the notice to leave came",
    HealthState.FAILED: "the kernel is gone, or the decision module says unfit",
}

# For each state, those that may follow, and why. The state is worked out when a balancer probes: between two probes
# more than one thing may happen, so a transition may pass over a state that nobody saw. What no sequence of events
# leads to is missing here.
TRANSITIONS: dict[HealthState, dict[HealthState, str]] = {
    HealthState.STARTING: _TO_UNROUTABLE
    | {
        HealthState.WARMING_UP: "the kernel came up cold",
        HealthState.SERVING: "the kernel came up warm",
        HealthState.OVERLOADED: "the kernel came up, and work with it",
    },
    HealthState.WARMING_UP: _TO_UNROUTABLE
    | {HealthState.SERVING: "warm", HealthState.OVERLOADED: "a crossing is forecast"},
    # Never back to WARMING_UP: a kernel that starts anew starts the runner anew.
    HealthState.SERVING: _TO_UNROUTABLE | {HealthState.OVERLOADED: "a crossing is forecast"},
    HealthState.OVERLOADED: _TO_UNROUTABLE
    | {
        HealthState.WARMING_UP: "the crowd is gone, still cold",
        HealthState.SERVING: "the crowd is gone",
    },
    HealthState.MAINTENANCE: {
        HealthState.DRAINING: _TO_UNROUTABLE[HealthState.DRAINING],
        HealthState.FAILED: "put back, and the kernel is gone",
        HealthState.STARTING: "put back before the kernel came up",
        HealthState.WARMING_UP: "put back, still cold",
        HealthState.SERVING: "put back",
        HealthState.OVERLOADED: "put back into a crowd",
    },
    HealthState.DRAINING: {},  # a notice to shut down is not taken back
    HealthState.FAILED: {
        HealthState.MAINTENANCE: _TO_UNROUTABLE[HealthState.MAINTENANCE],
        HealthState.DRAINING: _TO_UNROUTABLE[HealthState.DRAINING],
        HealthState.WARMING_UP: "the kernel is back, still cold",
        HealthState.SERVING: "the kernel is back",
        HealthState.OVERLOADED: "the kernel is back, and runs are many",
    },
}


def transition_reason(before: HealthState, after: HealthState) -> str:
    """Why `after` may follow `before`; "" where nothing changes.

    Raises:
        ImpossibleTransitionError: it may not.
    """
    if before is after:
        return ""
    try:
        return TRANSITIONS[before][after]
    except KeyError:
        raise ImpossibleTransitionError(f"from {before.value} to {after.value}") from None
