"""The administration API: JSON over HTTP on loopback. Reading is free there, changes need the bearer token."""

from __future__ import annotations

import hmac
import json
from collections.abc import Callable
from typing import Any

from . import __version__
from .core.decide import Decider
from .fronts.agent import agent_word
from .fronts.health import Resource, quiet_site


class _Json(Resource):  # type: ignore[misc]
    isLeaf = True

    def __init__(self, read: Callable[[], object]) -> None:
        super().__init__()
        self._read = read

    def render_GET(self, request: Any) -> bytes:
        return reply(request, 200, self._read())


class _Change(Resource):  # type: ignore[misc]
    isLeaf = True

    def __init__(self, token: str, change: Callable[[], object]) -> None:
        super().__init__()
        self._token, self._change = token, change

    def render_POST(self, request: Any) -> bytes:
        given = request.getHeader(b"authorization") or b""
        # Compared in constant time: the time of a plain comparison tells how much of a guess is right.
        if not self._token or not hmac.compare_digest(given, b"Bearer " + self._token.encode()):
            request.setHeader(b"www-authenticate", b"Bearer")
            return reply(request, 401, {"error": "a bearer token is needed"})
        return reply(request, 202, self._change())


class _Tenants(Resource):  # type: ignore[misc]
    """/tenants, and /tenants/NAME for one."""

    isLeaf = True

    def __init__(self, core: Decider) -> None:
        super().__init__()
        self._core = core

    def render_GET(self, request: Any) -> bytes:
        core, path = self._core, [p.decode("utf-8", "replace") for p in request.postpath if p]
        every = {t.name: {"share": t.share, "quota_per_s": t.quota_per_s,
                          "counters": dict(core.counters.tenants.get(t.name, {}))}
                 for t in core.settings.tenants}
        if not path:
            return reply(request, 200, every)
        if len(path) > 1 or path[0] not in every:
            return reply(request, 404, {"error": "no such tenant"})
        return reply(request, 200, every[path[0]])


def reply(request: Any, status: int, value: object) -> bytes:
    request.setResponseCode(status)
    request.setHeader(b"content-type", b"application/json")
    return json.dumps(value, sort_keys=True).encode() + b"\n"


def status_of(core: Decider, name: str) -> dict[str, object]:
    return {
        "name": name, "version": __version__, "state": agent_word(core).decode(), "draining": core.draining,
        "kernel_up": core.ready, "healthy": core.healthy, "hint": core.hint, "load": core.load(),
        "requests": len(core.table), "owed": core.owed, "runs": len(core.runs), "calls": len(core.calls),
        "keys": len(core.keys), "key_bytes": core.keys.bytes,
    }


def admin_site(core: Decider, name: str, token: str, drain: Callable[[], None]) -> Any:
    def leave() -> object:
        drain()
        return {"draining": True}

    root = Resource()
    root.putChild(b"status", _Json(lambda: status_of(core, name)))
    root.putChild(b"counters", _Json(lambda: dict(core.counters.total)))
    root.putChild(b"tenants", _Tenants(core))
    root.putChild(b"drain", _Change(token, leave))
    return quiet_site(root)
