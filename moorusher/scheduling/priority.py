"""Priority between request classes, and the capacity reserved for classes of higher priority."""

from __future__ import annotations

from collections.abc import Sequence

from moorusher.scheduling.interface import RequestClass
from moorusher.scheduling.service_time import ClassState
from moorusher.scheduling.timing import NEVER

OUTRANKING_RATIO = 1.5  # ratio of two priority weights above which one class outranks the other
DEMAND_LEARNING_RATE = 0.2  # weight of the newest window in the demand of a class

# Minimum share of all slots for the total of the classes of one priority, regardless of the demand of
# outranking classes.
MIN_CLASS_CAPACITY = 0.1


def outranks(request_class: RequestClass, other: RequestClass) -> bool:
    """Return whether the priority weight of `request_class` is clearly larger than that of `other`."""
    return request_class.priority_weight > OUTRANKING_RATIO * other.priority_weight


def update_credits(classes: Sequence[ClassState], slot_ms: float, slot_count: int, window_ms: float) -> None:
    """Grant each class credit for the slot time that outranking classes leave, at the end of a window.

    A request of a class without credit is admitted only if it can start at once. This has an effect only in
    overload, in which requests of all classes would otherwise be rejected alike.

    :param classes: All classes of the settings. Their `demand`, `credit_ms`, `arrivals` and `windows` are
        updated.
    :param slot_ms: Mean time for which a run holds a slot.
    :param window_ms: Length of the window that has ended.
    """
    capacity_ms = slot_count * window_ms
    for state in classes:
        state.windows += 1
        # The demand of a recently added class is learned faster. Otherwise it would be underestimated for
        # seconds.
        weight = max(DEMAND_LEARNING_RATE, 1 / state.windows)
        state.demand += weight * (state.arrivals * slot_ms / capacity_ms - state.demand)
        state.arrivals = 0
    for state in classes:
        request_class = state.request_class
        outranking_demand = sum(
            other.demand for other in classes if outranks(other.request_class, request_class)
        )
        if not outranking_demand:
            state.credit_ms = NEVER
            continue
        equal_demand = sum(
            other.demand
            for other in classes
            if not outranks(other.request_class, request_class)
            and not outranks(request_class, other.request_class)
        )
        share = (
            max(MIN_CLASS_CAPACITY, 1.0 - outranking_demand) * state.demand / equal_demand
            if equal_demand
            else 1.0
        )
        state.credit_ms = min(state.credit_ms + share * slot_count * window_ms, capacity_ms)
