"""Base class of the factories whose connections a `ConnectionLimiter` limits."""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import Factory

from ..core.outcomes import EndReason
from ..core.request_engine import RequestEngine
from .connection_limits import ConnectionLimiter


class LimitedFactory(Factory):
    """Builds the protocols of accepted connections. `server/accepting_port.py` reserves a slot before each accept.

    Attributes:
        core: The request engine.
        limiter: Limits the connections.
        counter_prefix: Prefix of the connection counters.
    """

    noisy = False
    counter_prefix = "connections"

    def __init__(self, core: RequestEngine, limiter: ConnectionLimiter) -> None:
        self.core = core
        self.limiter = limiter

    def connection(self) -> Any:
        """Return the protocol of a new connection."""
        raise NotImplementedError

    def buildProtocol(self, addr: object) -> Any:
        """Return a protocol, or None if no slot is free and no connection can be evicted."""
        self.core.start_turn()
        if not self.limiter.admit():
            self.core.counters.add(f"{self.counter_prefix}: {EndReason.TOO_MANY_CONNECTIONS.value}")
            return None
        return self.connection()

    def is_full(self) -> bool:
        """Return whether all slots are in use."""
        return self.limiter.is_full

    def reserve_slot(self) -> bool:
        """Reserve a slot for the next accepted connection. Return False if all connections have open requests."""
        self.core.start_turn()
        return self.limiter.reserve()

    def evict_idle(self) -> None:
        """Close one connection without an open request, if there is one, to free a file descriptor."""
        self.core.start_turn()
        self.limiter.evict_one()
