"""Which class goes before another, and the capacity that is reserved for classes that outrank others."""

from __future__ import annotations

from collections.abc import Sequence

from moorusher.scheduling.interface import RequestClass
from moorusher.scheduling.service_time import ClassState
from moorusher.scheduling.timing import NEVER

OUTRANKING_RATIO = 1.5  # times the priority weight of another class from which a class goes before it
DEMAND_LEARNING_RATE = 0.2  # weight of the newest window in the demand of a class
MIN_CLASS_CAPACITY = 0.1  # part of all slots that a class may use, however much the outranking ones ask for


def outranks(one: RequestClass, other: RequestClass) -> bool:
    """Whether the priority weight of `one` is clearly larger than that of `other`."""
    return one.priority_weight > OUTRANKING_RATIO * other.priority_weight


def update_reserve(classes: Sequence[ClassState], slot_ms: float, slot_count: int, window_ms: float) -> None:
    """At the end of a window, grant each class credit for the slot time that outranking classes leave to it.

    Admission of a class without credit stops while there is a queue. It binds only in overload: with the
    oldest first alone, all classes would lose alike.

    Args:
        classes: all classes of the settings; their `demand`, `credit_ms`, `arrivals` and `windows` change.
        slot_ms: mean time for which a run keeps a slot.
        slot_count: number of slots.
        window_ms: length of the window that has ended.
    """
    capacity_ms = slot_count * window_ms
    for state in classes:
        state.windows += 1
        # A class that was added later is learnt faster: else it would seem small beside the others for
        # seconds.
        weight = max(DEMAND_LEARNING_RATE, 1 / state.windows)
        state.demand += weight * (state.arrivals * slot_ms / capacity_ms - state.demand)
        state.arrivals = 0
    for state in classes:
        own = state.request_class
        outranking = sum(other.demand for other in classes if outranks(other.request_class, own))
        if not outranking:
            state.credit_ms = NEVER
            continue
        equal = sum(
            other.demand
            for other in classes
            if not outranks(other.request_class, own) and not outranks(own, other.request_class)
        )
        part = max(MIN_CLASS_CAPACITY, 1.0 - outranking) * state.demand / equal if equal else 1.0
        state.credit_ms = min(state.credit_ms + part * slot_count * window_ms, capacity_ms)
