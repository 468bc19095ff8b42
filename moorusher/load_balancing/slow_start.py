"""Slow start: limits the calls that a new or reinstated endpoint gets while it warms up.

There are two limits. The ramp is the fraction of the endpoint's full share of calls that it may get; it rises from
MIN_RAMP to 1 over `slow_start_s`, and the picker selects the endpoint with that probability. If `slow_start_calls` is
set, the calls of all runners together are limited, too: each runner gets slots of one call at its own phase, so that
the runners take turns without coordination. An unused slot expires early, so that idle runners can't all send at once.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

import xxhash

from .policy import LoadBalancingPolicy

MIN_RAMP = 0.1  # fraction of the full share at the beginning of slow start


@dataclass(frozen=True, slots=True)
class SlowStartBudget:
    """Limit on the calls that all runners together may send to an endpoint in slow start.

    Attributes:
        calls: Calls per window at the end of slow start; multiplied by the ramp before.
        window_us: Length of the window.
        runners: Number of runners that share the budget.
    """

    calls: int
    window_us: int
    runners: int

    def slots_per_us(self, ramp: float) -> float:
        """Return the number of one runner's slots per microsecond."""
        return self.calls * ramp / (self.window_us * self.runners)

    def usable_part(self, ramp: float) -> float:
        """Return the fraction of a slot, from its beginning, in which it may be used.

        The fraction decreases with the number of runners. Idle runners may have slots open at the same time; if all of
        them send, the calls then exceed the budget only by its statistical noise.
        """
        return min(1.0, (math.sqrt(self.calls * ramp) + 1) / self.runners)


def slot_phase(runner: str, endpoint: str) -> float:
    """Return the phase in [0, 1) of a runner's slots at an endpoint, derived from both names."""
    return xxhash.xxh3_64_intdigest(f"{runner}\0{endpoint}\0slow start".encode()) / 2**64


class SlotCounter:
    """One runner's slots at one endpoint. `ramp` is the endpoint's current ramp; times are in microseconds."""

    def __init__(self, budget: SlowStartBudget, phase: float, now: int) -> None:
        """Create a counter; `phase` is from `slot_phase`."""
        self._budget = budget
        self._slots = phase  # number of the current slot, plus the elapsed fraction of it
        self._advanced_at = now
        self._last_used = -1  # number of the slot of the last call

    def _advance(self, now: int, ramp: float) -> None:
        if now > self._advanced_at:
            self._slots += (now - self._advanced_at) * self._budget.slots_per_us(ramp)
            self._advanced_at = now

    def is_open(self, now: int, ramp: float) -> bool:
        """Return whether a call may be sent now."""
        self._advance(now, ramp)
        slot = math.floor(self._slots)
        return slot != self._last_used and self._slots - slot <= self._budget.usable_part(ramp)

    def call_sent(self, now: int, ramp: float) -> None:
        """Mark the current slot as used."""
        self._advance(now, ramp)
        self._last_used = math.floor(self._slots)

    def opens_at(self, now: int, ramp: float) -> int:
        """Return when the next slot begins at the current ramp; a rising ramp can make it slightly earlier."""
        self._advance(now, ramp)
        remaining = 1.0 - (self._slots - math.floor(self._slots))
        return now + max(1, math.ceil(remaining / self._budget.slots_per_us(ramp)))


class SlowStart:
    """The slow start of one endpoint at one runner.

    The parameter `awaiting_health_check` means that the endpoint awaits its health check; its ramp is then MIN_RAMP.
    """

    def __init__(self, policy: LoadBalancingPolicy, phase: float, now: int, established: bool) -> None:
        """Begin slow start, unless the endpoint is `established`, that is, existed before this runner started."""
        self._duration_us = round(policy.slow_start_s * 1e6)
        self._ends_at = now if established else now + self._duration_us
        self._slots: SlotCounter | None = None  # None if the calls of all runners together are not limited
        if policy.slow_start_calls and self._duration_us:
            window_us = round(policy.slow_start_window_ms * 1e3)
            budget = SlowStartBudget(policy.slow_start_calls, window_us, policy.runners)
            self._slots = SlotCounter(budget, phase, now)

    def restart(self, now: int) -> None:
        """Begin slow start again, after the endpoint was reinstated."""
        self._ends_at = now + self._duration_us

    def ramp(self, now: int) -> float:
        """Return the endpoint's current fraction of its full share, from MIN_RAMP to 1."""
        if now >= self._ends_at or not self._duration_us:
            return 1.0
        return max(MIN_RAMP, 1.0 - (self._ends_at - now) / self._duration_us)

    def _active_slots(self, now: int, awaiting_health_check: bool) -> SlotCounter | None:
        return self._slots if now < self._ends_at or awaiting_health_check else None

    def _slot_ramp(self, now: int, awaiting_health_check: bool) -> float:
        return MIN_RAMP if awaiting_health_check else self.ramp(now)

    def allows_call(self, now: int, awaiting_health_check: bool) -> bool:
        """Return whether the endpoint may get one more call now."""
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
        """Return when the next slot begins (us); None if slots do not limit the endpoint."""
        slots = self._active_slots(now, awaiting_health_check)
        return None if slots is None else slots.opens_at(now, self._slot_ramp(now, awaiting_health_check))
