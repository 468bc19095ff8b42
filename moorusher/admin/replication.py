"""GET /fleet and /fleet/work; POST /fleet/begin and /fleet/begin/lost."""

from __future__ import annotations

from typing import Any

from .api import NO_TOKEN, Guarded, path_of, reply

BOOTSTRAP_PATHS = (["begin"], ["begin", "lost"])


class ReplicationPages(Guarded):
    """Members of the cluster, and the keyed work that its runners keep for each other."""

    def __init__(self, token: str, link: Any) -> None:
        super().__init__(token)
        self._link = link

    def render_GET(self, request: Any) -> bytes:
        """Answer 200 with the members, or with the work in hand; 404."""
        path = path_of(request)
        if path == ["work"]:
            return reply(request, 200, self._link.work_status())
        if path:
            return reply(request, 404, {"error": "no such page"})
        return reply(request, 200, self._link.status())

    def render_POST(self, request: Any) -> bytes:
        """Take the operator's word that no keyed work ran before (`begin`), or that what no member remembers any more
        counts for nothing (`begin/lost`).

        Answers 200, 401 without the token, 404, 409 with the reason why it can't begin.
        """
        path = path_of(request)
        if path not in BOOTSTRAP_PATHS:
            return reply(request, 404, {"error": "expected /fleet/begin or /fleet/begin/lost"})
        if not self.allowed(request):
            return reply(request, 401, NO_TOKEN)
        refusal = self._link.bootstrap(len(path) > 1)
        return (
            reply(request, 200, {"begun": True})
            if refusal is None
            else reply(request, 409, {"error": refusal})
        )
