"""GET /servers and /servers/NAME; PUT and DELETE /servers/NAME; POST /servers/NAME/drain."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..config.load_balancing import read_endpoint
from ..config.section import ConfigError, Section
from ..core.request_engine import RequestEngine
from .api import TOKEN_REQUIRED, InvalidBodyError, TokenProtectedPage, path_segments, reply

NO_SUCH_SERVER = {"error": "no such server"}


class ServersPage(TokenProtectedPage):
    """`/servers`: the pool of servers that answer downstream calls."""

    def __init__(self, token: str, pool: Any, core: RequestEngine) -> None:
        super().__init__(token)
        self._pool = pool
        self._core = core

    def _servers(self) -> list[dict[str, object]]:
        self._core.start_turn()
        servers: list[dict[str, object]] = self._pool.servers_json()
        return servers

    def render_GET(self, request: Any) -> bytes:
        """Answer 200 with all servers or the named one; else 404."""
        path = path_segments(request)
        if not path:
            document = {
                "servers": self._servers(),
                "counts": self._pool.counts_json(),
                "open": self._pool.balancer.open_calls,
            }
            return reply(request, 200, document)
        found = [server for server in self._servers() if server["name"] == path[0]]
        if len(path) > 1 or not found:
            return reply(request, 404, NO_SUCH_SERVER)
        return reply(request, 200, found[0])

    def render_PUT(self, request: Any) -> bytes:
        """Add a server, or change the address, weight or zone of the server with that name.

        Answer 200, 400 for an invalid body, 401 without the token, 409 if there are too many servers.
        """
        path = path_segments(request)
        if len(path) != 1:
            return reply(request, 404, {"error": "expected /servers/NAME"})
        if not self.is_authorized(request):
            return reply(request, 401, TOKEN_REQUIRED)
        try:
            endpoint = read_endpoint(Section({"name": path[0]} | self.read_body(request), ""))
        except (InvalidBodyError, ConfigError) as error:
            return reply(request, 400, {"error": str(error)})
        self._core.start_turn()
        try:
            self._pool.put(endpoint)
        except ValueError as error:
            return reply(request, 409, {"error": str(error)})
        return reply(request, 200, {"servers": self._servers()})

    def render_DELETE(self, request: Any) -> bytes:
        """Remove a server. Answer 200, 401 without the token, or 404."""
        return self._change(request, self._pool.remove)

    def render_POST(self, request: Any) -> bytes:
        """Drain a server. Answer 200, 401 without the token, or 404."""
        if path_segments(request)[1:] != ["drain"]:
            return reply(request, 404, {"error": "expected /servers/NAME/drain"})
        return self._change(request, self._pool.drain)

    def _change(self, request: Any, change: Callable[[str], bool]) -> bytes:
        if not self.is_authorized(request):
            return reply(request, 401, TOKEN_REQUIRED)
        self._core.start_turn()
        path = path_segments(request)
        if not change(path[0] if path else ""):
            return reply(request, 404, NO_SUCH_SERVER)
        return reply(request, 200, {"servers": self._servers()})
