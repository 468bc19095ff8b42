"""The standings that a runner can have, and every way from one to another."""

from __future__ import annotations

from enum import Enum


class Standing(Enum):
    """What a runner is, for balancers."""

    STARTING = "starting"  # no kernel yet: nothing can be run
    WARMING = "warming"  # cold: it serves, at a part of its full speed
    SERVING = "serving"
    CROWDED = "crowded"  # alive, and too full to be sent as much as now
    MAINTENANCE = "maintenance"  # an operator has taken it out; what comes all the same is served
    DRAINING = "draining"  # had the notice to leave; for good
    FAILED = "failed"  # the kernel can't be trusted to be there, or the decision module says it is unfit

    @property
    def routable(self) -> bool:
        """May a balancer send new requests here?"""
        return self in (Standing.WARMING, Standing.SERVING, Standing.CROWDED)


class Impossible(ValueError):
    """A transition that the table does not have: what was observed contradicts itself."""


_S = Standing
_OUT = {
    _S.MAINTENANCE: "an operator took it out",
    _S.DRAINING: "the notice to leave came",
    _S.FAILED: "the kernel is gone, or the decision module says unfit",
}

# A standing is worked out as a probe asks: what happened between two probes can be more than one step, so a way
# may lead over a standing that nobody saw. What no sequence of events leads to is not here, and is an error.
TRANSITIONS: dict[Standing, dict[Standing, str]] = {
    _S.STARTING: _OUT
    | {
        _S.WARMING: "the kernel came up cold",
        _S.SERVING: "the kernel came up warm",
        _S.CROWDED: "the kernel came up, and work with it",
    },
    _S.WARMING: _OUT | {_S.SERVING: "warm", _S.CROWDED: "a crossing is forecast"},
    # Never back to WARMING: a kernel that starts anew starts the runner anew.
    _S.SERVING: _OUT | {_S.CROWDED: "a crossing is forecast"},
    _S.CROWDED: _OUT | {_S.WARMING: "the crowd is gone, still cold", _S.SERVING: "the crowd is gone"},
    _S.MAINTENANCE: {
        _S.DRAINING: _OUT[_S.DRAINING],
        _S.FAILED: "put back, and the kernel is gone",
        _S.STARTING: "put back before the kernel came up",
        _S.WARMING: "put back, still cold",
        _S.SERVING: "put back",
        _S.CROWDED: "put back into a crowd",
    },
    _S.DRAINING: {},  # a notice to leave is not taken back
    _S.FAILED: {
        _S.MAINTENANCE: _OUT[_S.MAINTENANCE],
        _S.DRAINING: _OUT[_S.DRAINING],
        _S.WARMING: "the kernel is back, still cold",
        _S.SERVING: "the kernel is back",
        _S.CROWDED: "the kernel is back, and runs are many",
    },
}


def step(before: Standing, after: Standing) -> str:
    """Why `after` may follow `before`; "" where nothing changes. Raises Impossible where it may not."""
    if before is after:
        return ""
    try:
        return TRANSITIONS[before][after]
    except KeyError:
        raise Impossible(f"from {before.value} to {after.value}") from None
