"""GET /fleet and /fleet/work; POST /fleet/begin and /fleet/begin/lost."""

from __future__ import annotations

from typing import Any

from .api import TOKEN_REQUIRED, TokenProtectedPage, path_segments, reply

BOOTSTRAP_PATHS = (["begin"], ["begin", "lost"])


class ReplicationPages(TokenProtectedPage):
    """`/fleet`: the cluster's members, its replicated work with keys, and its bootstrap."""

    def __init__(self, token: str, link: Any) -> None:
        super().__init__(token)
        self._link = link

    def render_GET(self, request: Any) -> bytes:
        """Answer 200 with the members or the open work; else 404."""
        path = path_segments(request)
        if path == ["work"]:
            return reply(request, 200, self._link.work_status())
        if path:
            return reply(request, 404, {"error": "no such page"})
        return reply(request, 200, self._link.status())

    def render_POST(self, request: Any) -> bytes:
        """Bootstrap the cluster on an operator's statement.

        With `begin`, the operator states that no work with a key ran before. With `begin/lost`, the operator permits
        the loss of work that no member remembers. Answer 200, 401 without the token, 404, or 409 with the reason for
        the refusal.
        """
        path = path_segments(request)
        if path not in BOOTSTRAP_PATHS:
            return reply(request, 404, {"error": "expected /fleet/begin or /fleet/begin/lost"})
        if not self.is_authorized(request):
            return reply(request, 401, TOKEN_REQUIRED)
        refusal = self._link.bootstrap(len(path) > 1)
        return (
            reply(request, 200, {"begun": True})
            if refusal is None
            else reply(request, 409, {"error": refusal})
        )
