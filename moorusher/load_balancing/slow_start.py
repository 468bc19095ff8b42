"""Slow start: what a new or returning endpoint may get while it warms up.

Two bounds. The ramp is a fraction of the endpoint's full share of calls, from MIN_RAMP to 1 over `slow_start_s`; the
picker draws the endpoint so much less often. With `slow_start_calls` the sum of what all runners send is bounded, too:
each runner gets slots of one call, with a phase of its own, so that the runners take turns without coordination. A slot
that was not used is soon lost: otherwise all runners that were idle could send at once.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

import xxhash

from .policy import LoadBalancingPolicy

MIN_RAMP = 0.1  # of the full share, as an endpoint comes or returns


@dataclass(frozen=True, slots=True)
class SlowStartBudget:
    """What all runners together may send to an endpoint in slow start.

    calls: in each window, as slow start ends; fewer before, by the ramp.
    window_us: the window.
    runners: that share the budget.
    """

    calls: int
    window_us: int
    runners: int

    def slots_per_us(self, ramp: float) -> float:
        """Return the rate of one runner's slots."""
        return self.calls * ramp / (self.window_us * self.runners)

    def usable_part(self, ramp: float) -> float:
        """Return the first part of a slot in which it may be used, from 0 to 1.

        It shrinks with the number of runners, so that the slots idle runners have open together stay within the
        statistical noise of the budget.
        """
        return min(1.0, (math.sqrt(self.calls * ramp) + 1) / self.runners)


def slot_phase(runner: str, endpoint: str) -> float:
    """Return where in a slot a runner begins with an endpoint, from 0 to under 1; runners and endpoints differ."""
    return xxhash.xxh3_64_intdigest(f"{runner}\0{endpoint}\0slow start".encode()) / 2**64


class SlotCounter:
    """One runner's slots at one endpoint. `ramp` is the endpoint's at the time; times are in microseconds."""

    def __init__(self, budget: SlowStartBudget, phase: float, now: int) -> None:
        """`phase`: from `slot_phase`."""
        self._budget = budget
        self._slots = phase  # slots that have begun, and the part of the present one that has passed
        self._advanced_at = now
        self._last_used = -1  # the slot of the last call

    def _advance(self, now: int, ramp: float) -> None:
        if now > self._advanced_at:
            self._slots += (now - self._advanced_at) * self._budget.slots_per_us(ramp)
            self._advanced_at = now

    def is_open(self, now: int, ramp: float) -> bool:
        """Whether a call may be sent now."""
        self._advance(now, ramp)
        slot = math.floor(self._slots)
        return slot != self._last_used and self._slots - slot <= self._budget.usable_part(ramp)

    def call_sent(self, now: int, ramp: float) -> None:
        """Use up the present slot."""
        self._advance(now, ramp)
        self._last_used = math.floor(self._slots)

    def opens_at(self, now: int, ramp: float) -> int:
        """Return when the next slot begins by the present ramp; as the ramp grows it may be a little earlier."""
        self._advance(now, ramp)
        remaining = 1.0 - (self._slots - math.floor(self._slots))
        return now + max(1, math.ceil(remaining / self._budget.slots_per_us(ramp)))


class SlowStart:
    """The slow start of one endpoint at one runner.

    `awaiting_health_check`: the endpoint waits for its health check, and so is at the foot of its ramp.
    """

    def __init__(self, policy: LoadBalancingPolicy, phase: float, now: int, established: bool) -> None:
        """`established`: the endpoint was there before this runner, and needs no slow start."""
        self._duration_us = round(policy.slow_start_s * 1e6)
        self._ends_at = now if established else now + self._duration_us
        self._slots: SlotCounter | None = None  # None: the sum of all runners' calls is not bounded
        if policy.slow_start_calls and self._duration_us:
            window_us = round(policy.slow_start_window_ms * 1e3)
            budget = SlowStartBudget(policy.slow_start_calls, window_us, policy.runners)
            self._slots = SlotCounter(budget, phase, now)

    def restart(self, now: int) -> None:
        """The endpoint has returned."""
        self._ends_at = now + self._duration_us

    def ramp(self, now: int) -> float:
        """Return the endpoint's present fraction of its full share, from MIN_RAMP to 1."""
        if now >= self._ends_at or not self._duration_us:
            return 1.0
        return max(MIN_RAMP, 1.0 - (self._ends_at - now) / self._duration_us)

    def _active_slots(self, now: int, awaiting_health_check: bool) -> SlotCounter | None:
        return self._slots if now < self._ends_at or awaiting_health_check else None

    def _slot_ramp(self, now: int, awaiting_health_check: bool) -> float:
        return MIN_RAMP if awaiting_health_check else self.ramp(now)

    def allows_call(self, now: int, awaiting_health_check: bool) -> bool:
        """Whether the endpoint may get one more call now."""
        if self._slots is None:
            return True
        slots = self._active_slots(now, awaiting_health_check)
        return slots is None or slots.is_open(now, self._slot_ramp(now, awaiting_health_check))

    def call_sent(self, now: int, awaiting_health_check: bool) -> None:
        """Count a call against the budget."""
        slots = self._active_slots(now, awaiting_health_check)
        if slots is not None:
            slots.call_sent(now, self._slot_ramp(now, awaiting_health_check))

    def next_slot(self, now: int, awaiting_health_check: bool) -> int | None:
        """Return when the next slot begins (us); None where no slot has to be waited for."""
        slots = self._active_slots(now, awaiting_health_check)
        return None if slots is None else slots.opens_at(now, self._slot_ramp(now, awaiting_health_check))
