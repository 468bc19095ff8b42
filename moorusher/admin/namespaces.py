"""GET /namespaces: what this runner has. GET /namespaces/NAME: as a majority has it now. PUT /namespaces/NAME with a
draft, POST /namespaces/NAME/back/NUMBER and DELETE /namespaces/NAME change it; GET /namespaces/NAME/explain says which
rule decides. In the query: expects, by, id, wait.
"""

from __future__ import annotations

import os
from typing import Any

from ..cluster_transport.config_distribution import NamespaceLink
from ..namespaces.errors import Malformed
from ..namespaces.revisions import MOST_BY, Submission
from ..namespaces.rules import Asked
from .api import Guarded, later, reply

MOST_DRAFT = 768 << 10
MOST_ID = 64


class NamespacePages(Guarded):
    """`/namespaces`: customers' rules, read, published and explained."""

    def __init__(self, token: str, namespaces: NamespaceLink) -> None:
        super().__init__(token)
        self._namespaces = namespaces

    @staticmethod
    def _path(request: Any) -> list[str]:
        return [p.decode("utf-8", "replace") for p in request.postpath if p]

    @staticmethod
    def _query(request: Any, name: str, default: str = "") -> str:
        values = request.args.get(name.encode(), [])
        return values[-1].decode("utf-8", "replace") if values else default

    def _number(self, request: Any, name: str, default: float, least: float, most: float) -> float:
        text = self._query(request, name)
        try:
            number = float(text) if text else default
        except ValueError:
            raise Malformed(f"{name}: expected a number, got {text!r}") from None
        if not least <= number <= most:
            raise Malformed(f"{name}: expected {least:g} to {most:g}, got {text!r}")
        return number

    def _submission(self, request: Any, customer: str, draft: bytes = b"", back_to: int = 0) -> Submission:
        id = self._query(request, "id") or os.urandom(12).hex()
        if len(id) > MOST_ID:
            raise Malformed(f"id: expected at most {MOST_ID} characters")
        return Submission(
            customer,
            id,
            int(self._number(request, "expects", -1, -1, 1e15)),
            self._query(request, "by", "api")[:MOST_BY],
            draft,
            back_to,
        )

    def render_GET(self, request: Any) -> Any:
        path = self._path(request)
        if not path:
            return reply(request, 200, self._namespaces.listed())
        if len(path) == 1:
            return later(request, lambda then: self._namespaces.show(path[0], then))
        if path[1:] == ["explain"]:
            return later(
                request,
                lambda then: self._namespaces.explain(
                    path[0],
                    Asked(
                        self._query(request, "class"),
                        int(self._number(request, "caller", -1, -1, 1e15)),
                        int(self._number(request, "subject", -1, -1, 1e15)),
                        self._number(request, "rank", 0.0, 0.0, 1.0),
                        self._query(request, "key"),
                    ),
                    then,
                ),
            )
        return reply(request, 404, {"error": "no such page"})

    def render_PUT(self, request: Any) -> Any:
        if not self.allowed(request):
            return reply(request, 401, {"error": "a bearer token is needed"})
        path = self._path(request)
        if len(path) != 1:
            return reply(request, 404, {"error": "expected /namespaces/NAME"})
        draft = request.content.read(MOST_DRAFT + 1)
        if len(draft) > MOST_DRAFT:
            return reply(request, 413, {"error": f"more than {MOST_DRAFT} bytes"})
        return later(
            request,
            lambda then: self._namespaces.publish(
                self._submission(request, path[0], draft), bool(self._query(request, "wait")), then
            ),
        )

    def render_POST(self, request: Any) -> Any:
        if not self.allowed(request):
            return reply(request, 401, {"error": "a bearer token is needed"})
        path = self._path(request)
        if len(path) != 3 or path[1] != "back" or not path[2].isdigit() or not 0 < len(path[2]) < 16:
            return reply(request, 404, {"error": "expected /namespaces/NAME/back/NUMBER"})
        return later(
            request,
            lambda then: self._namespaces.publish(
                self._submission(request, path[0], back_to=int(path[2])),
                bool(self._query(request, "wait")),
                then,
            ),
        )

    def render_DELETE(self, request: Any) -> Any:
        if not self.allowed(request):
            return reply(request, 401, {"error": "a bearer token is needed"})
        path = self._path(request)
        if len(path) != 1:
            return reply(request, 404, {"error": "expected /namespaces/NAME"})
        return later(
            request, lambda then: self._namespaces.delete(path[0], bool(self._query(request, "wait")), then)
        )
