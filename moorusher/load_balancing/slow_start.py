"""What one runner may send to a server in slow start: its part of a budget that holds for all runners together.

The budget grows with the server's ramp. A runner's part of it comes in slots, one call in each, with a phase of the
runner's own, so that the runners take turns without a word among them. A slot that was not used is lost soon: else all
runners that were idle could send at once.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

import xxhash

LEAST_RAMP = 0.1  # of a server's whole share, as it comes or returns


@dataclass(frozen=True, slots=True)
class StartBudget:
    """`calls` that a server may get within `window_us` as its slow start ends, from `runners` runners in all."""

    calls: int
    window_us: int
    runners: int

    def slots_per_us(self, ramp: float) -> float:
        """Of one runner."""
        return self.calls * ramp / (self.window_us * self.runners)

    def usable_part(self, ramp: float) -> float:
        """Of a slot: so little that what idle runners have open together stays within the noise of the budget."""
        return min(1.0, (math.sqrt(self.calls * ramp) + 1) / self.runners)


def phase_of(runner: str, server: str) -> float:
    """From 0 to under 1: runners differ, and so do one runner's servers."""
    return xxhash.xxh3_64_intdigest(f"{runner}\0{server}\0slow start".encode()) / 2**64


class SlotCounter:
    """One runner's slots at one server. `ramp` is the server's as it stands at the time."""

    def __init__(self, budget: StartBudget, phase: float, now: int) -> None:
        self._budget, self._slots, self._at = budget, phase, now
        self._used = -1  # the last slot that had its call

    def _advance(self, now: int, ramp: float) -> None:
        if now > self._at:
            self._slots += (now - self._at) * self._budget.slots_per_us(ramp)
            self._at = now

    def is_open(self, now: int, ramp: float) -> bool:
        """A call may be sent now."""
        self._advance(now, ramp)
        slot = math.floor(self._slots)
        return slot != self._used and self._slots - slot <= self._budget.usable_part(ramp)

    def sent(self, now: int, ramp: float) -> None:
        self._advance(now, ramp)
        self._used = math.floor(self._slots)

    def opens_at(self, now: int, ramp: float) -> int:
        """When the next slot begins, as far as the ramp at this time tells: by then it may be a little more."""
        self._advance(now, ramp)
        left = 1.0 - (self._slots - math.floor(self._slots))
        return now + max(1, math.ceil(left / self._budget.slots_per_us(ramp)))
