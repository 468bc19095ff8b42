"""The connections to each server of the tier, over the protocol it speaks."""

from __future__ import annotations

from typing import Any

from ..load_balancing.policy import EndpointConfig, EndpointProtocol
from .database import DatabasePool
from .owner import BackendOwner
from .uwsgi import UwsgiCalls

MAX_IDLE_PER_SERVER = 4  # that are kept to one server: there are many servers

Backend = DatabasePool | UwsgiCalls


class ServerBackends:
    """A backend for each server that was called, by its name."""

    def __init__(self, reactor: Any, owner: BackendOwner) -> None:
        """The ends of attempts are reported to the owner."""
        self._reactor = reactor
        self._owner = owner
        self._by_name: dict[str, Backend] = {}

    def get(self, server: EndpointConfig) -> Backend:
        """Return the backend of a server, made or moved to its present address and protocol."""
        backend = self._by_name.get(server.name)
        speaks_uwsgi = server.protocol is EndpointProtocol.UWSGI
        if backend is not None and isinstance(backend, UwsgiCalls) is not speaks_uwsgi:
            backend.close()  # the protocol has changed; attempts in flight end as they do
            backend = None
        if backend is None:
            backend = self._by_name[server.name] = self._make(server)
        elif backend.address != server.address:
            backend.move(server.address)
        return backend

    def _make(self, server: EndpointConfig) -> Backend:
        backend: Backend
        if server.protocol is EndpointProtocol.UWSGI:
            backend = UwsgiCalls(self._reactor, server.address)
        else:
            backend = DatabasePool(self._reactor, server.address, MAX_IDLE_PER_SERVER)
        backend.core = self._owner
        return backend

    def update(self, server: EndpointConfig) -> None:
        """Move the backend of a server whose configuration has changed; one that was never called has none."""
        if server.name in self._by_name:
            self.get(server)

    def close(self, name: str) -> None:
        """Keep no connection to a server any more; attempts in flight end as they do."""
        backend = self._by_name.pop(name, None)
        if backend is not None:
            backend.close()
