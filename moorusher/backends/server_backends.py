"""The backends of the servers of the tier, each with the protocol of its server."""

from __future__ import annotations

from typing import Any

from ..load_balancing.policy import EndpointConfig, EndpointProtocol
from .database import DatabasePool
from .owner import BackendOwner
from .uwsgi import UwsgiClient

MAX_IDLE_PER_SERVER = 4  # Idle connections to one server. There may be many servers.

Backend = DatabasePool | UwsgiClient


class ServerBackends:
    """The backends of the servers that have been called, by server name."""

    def __init__(self, reactor: Any, owner: BackendOwner) -> None:
        """Create an empty set of backends. `owner` receives the ends of attempts."""
        self._reactor = reactor
        self._owner = owner
        self._by_name: dict[str, Backend] = {}

    def get(self, server: EndpointConfig) -> Backend:
        """Return the backend of a server, created or updated for its current address and protocol."""
        backend = self._by_name.get(server.name)
        uses_uwsgi = server.protocol is EndpointProtocol.UWSGI
        if backend is not None and isinstance(backend, UwsgiClient) is not uses_uwsgi:
            backend.close()  # The protocol has changed. Attempts in flight are not affected.
            backend = None
        if backend is None:
            backend = self._by_name[server.name] = self._make(server)
        elif backend.address != server.address:
            backend.set_address(server.address)
        return backend

    def _make(self, server: EndpointConfig) -> Backend:
        backend: Backend
        if server.protocol is EndpointProtocol.UWSGI:
            backend = UwsgiClient(self._reactor, server.address)
        else:
            backend = DatabasePool(self._reactor, server.address, MAX_IDLE_PER_SERVER)
        backend.core = self._owner
        return backend

    def update(self, server: EndpointConfig) -> None:
        """Update the backend of a server after a change of its configuration, if the server has been called."""
        if server.name in self._by_name:
            self.get(server)

    def close(self, name: str) -> None:
        """Close the idle connections to a server. Attempts in flight are not affected."""
        backend = self._by_name.pop(name, None)
        if backend is not None:
            backend.close()
