"""GET /tenants and /tenants/NAME: quotas and counters of each tenant."""

from __future__ import annotations

from typing import Any

from ..core.request_engine import RequestEngine
from .api import Resource, path_segments, reply


class TenantsPage(Resource):  # type: ignore[misc]
    """`/tenants`: a read-only page, which needs no token."""

    isLeaf = True

    def __init__(self, core: RequestEngine) -> None:
        super().__init__()
        self._core = core

    def render_GET(self, request: Any) -> bytes:
        """Answer 200 with all tenants or the named one; else 404."""
        path = path_segments(request)
        documents = self._documents()
        if not path:
            return reply(request, 200, documents)
        if len(path) > 1 or path[0] not in documents:
            return reply(request, 404, {"error": "no such tenant"})
        return reply(request, 200, documents[path[0]])

    def _documents(self) -> dict[str, dict[str, object]]:
        counters = self._core.counters.tenants
        return {
            tenant.name: {
                "share": tenant.quota_share,
                "quota_per_s": tenant.quota_per_s,
                "counters": dict(counters.get(tenant.name, {})),
            }
            for tenant in self._core.settings.tenants
        }
