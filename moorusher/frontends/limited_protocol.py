"""The Factory of frontends that bound their connections with a `ConnectionLimiter`."""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import Factory

from ..core.outcomes import EndReason
from ..core.request_engine import RequestEngine
from .connection_limits import ConnectionLimiter


class LimitedFactory(Factory):
    """Builds the protocols of accepted connections. `server/accepting_port.py` asks it for a slot before it accepts.

    `core`: the request engine. `limiter`: the connections and their bound. `counted_as`: prefix of its counters.
    """

    noisy = False
    counted_as = "connections"

    def __init__(self, core: RequestEngine, limiter: ConnectionLimiter) -> None:
        self.core = core
        self.limiter = limiter

    def connection(self) -> Any:
        """Return the protocol of a new connection."""
        raise NotImplementedError

    def buildProtocol(self, addr: object) -> Any:
        """Return a protocol, or None where no slot is free and no connection can be evicted."""
        self.core.begin_turn()
        if not self.limiter.admit():
            self.core.counters.add(f"{self.counted_as}: {EndReason.TOO_MANY_CONNECTIONS.value}")
            return None
        return self.connection()

    def is_full(self) -> bool:
        """Whether all slots are taken."""
        return self.limiter.is_full

    def reserve_slot(self) -> bool:
        """Reserve a slot for the connection that is accepted next. False where every connection has a request."""
        self.core.begin_turn()
        return self.limiter.reserve()

    def evict_idle(self) -> None:
        """Close one connection that has no request open, if there is one: the process is out of descriptors."""
        self.core.begin_turn()
        self.limiter.evict_one()
