"""GET /duties: what this runner has or keeps; GET /duties/NAME: read through the register, so current.
POST /duties/NAME/resume lets one that was put aside go on; POST /duties/NAME/settle/NUMBER/done (or
undone) closes an open intent.
"""

from __future__ import annotations

from typing import Any

from ..cluster_transport.leadership import DutyLink
from .api import Guarded, later, reply


class DutyPages(Guarded):
    """`/duties`: what the fleet has, and an operator's words on it."""

    def __init__(self, token: str, duties: DutyLink) -> None:
        super().__init__(token)
        self._duties = duties

    @staticmethod
    def _path(request: Any) -> list[str]:
        return [p.decode("utf-8", "replace") for p in request.postpath if p]

    def render_GET(self, request: Any) -> Any:
        path = self._path(request)
        if not path:
            return reply(request, 200, {"duties": self._duties.listed()})
        # A name may hold slashes.
        return later(request, lambda then: self._duties.read("/".join(path), then))

    def render_POST(self, request: Any) -> Any:
        if not self.allowed(request):
            return reply(request, 401, {"error": "a bearer token is needed"})
        path = self._path(request)
        if len(path) > 1 and path[-1] == "resume":
            return later(request, lambda then: self._duties.resume("/".join(path[:-1]), then))
        if (
            len(path) > 3
            and path[-3] == "settle"
            and path[-2].isdigit()
            and len(path[-2]) < 19
            and path[-1] in ("done", "undone")
        ):
            return later(
                request, lambda then: self._duties.settle("/".join(path[:-3]), int(path[-2]), path[-1], then)
            )
        return reply(
            request, 404, {"error": "expected /duties/NAME/resume or /duties/NAME/settle/NUMBER/done"}
        )
