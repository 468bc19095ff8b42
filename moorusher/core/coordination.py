"""Who else has a word on keyed work: the seam between the core and a fleet of runners.

The core asks before the module hears of a request, and before a run is commanded; what became of a try is told by the
keys (`keys.Told`). Where there is no fleet, as on the platform, nothing waits.
"""

from __future__ import annotations

from typing import Protocol

from .requests import Request


class KeyCoordinator(Protocol):
    """What the core asks of a fleet about keyed requests."""

    def hold_back(self, request: Request) -> bool:
        """True where the key is asked for first: one of the `Decider`'s `granted`, `joined` and `uncovered` follows."""

    def begins(self, request: Request) -> bool:
        """True where others must know first: `begun`, `given` or `not_begun` follows."""


class NoCoordinator:
    """One runner by itself."""

    def hold_back(self, request: Request) -> bool:
        return False

    def begins(self, request: Request) -> bool:
        return False
