"""What fronts with a bounded number of connections have in common: their side of `frontends/connection_limits.py`."""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import Factory

from ..core.outcomes import EndReason
from ..core.request_engine import RequestEngine
from .connection_limits import Places


class PlacedFront(Factory):
    """The listening side of a front. `server/accepting_port.py` asks it for a place before it accepts."""

    noisy = False
    counted_as = "connections"

    def __init__(self, core: RequestEngine, places: Places) -> None:
        self.core, self.places = core, places

    def connection(self) -> Any:
        """A new connection of this front."""
        raise NotImplementedError

    def buildProtocol(self, addr: object) -> Any:
        """None where each place is of use, and this one was accepted all the same."""
        self.core.begin_turn()
        if not self.places.room():
            self.core.counters.add(f"{self.counted_as}: {EndReason.TOO_MANY_CONNECTIONS.value}")
            return None
        return self.connection()

    def is_full(self) -> bool:
        """All places are taken."""
        return self.places.full

    def promise_place(self) -> bool:
        """For the connection that waits to be accepted. False where each place is of use."""
        self.core.begin_turn()
        return self.places.promise()

    def make_way(self) -> None:
        """The process has no descriptor for one more connection."""
        self.core.begin_turn()
        self.places.make_way()
