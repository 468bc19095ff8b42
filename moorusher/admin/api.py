"""The administration API: JSON over HTTP on loopback. Reading is free there, changes need the bearer token."""

from __future__ import annotations

import hmac
import json
from collections.abc import Callable
from typing import Any

from twisted.web import resource, server

from .. import __version__
from ..config.load_balancing import endpoint_of
from ..config.section import ConfigError, Section
from ..core.request_engine import RequestEngine
from ..health.formatting import haproxy
from ..health.policy import MOST_MAINTENANCE_S, MOST_REASON
from ..server.health_report import Reporter

# Twisted's web classes carry no types; named once here, so that the rest is checked.
Resource: Any = resource.Resource
Site: Any = server.Site
MOST_BODY = 4096  # bytes of a change; every one that there is takes some hundred


class BadBody(ValueError):
    """What was sent is no such change; the text names the key."""


def quiet_site(root: Any) -> Any:
    """Without an access log."""
    site = Site(root, timeout=10)
    site.noisy = False
    site.log = lambda request: None
    return site


class _Json(Resource):  # type: ignore[misc]
    isLeaf = True

    def __init__(self, read: Callable[[], object]) -> None:
        super().__init__()
        self._read = read

    def render_GET(self, request: Any) -> bytes:
        return reply(request, 200, self._read())


class Guarded(Resource):  # type: ignore[misc]
    """Reading is free; `change` runs only for the holder of the token."""

    isLeaf = True

    def __init__(self, token: str) -> None:
        super().__init__()
        self._token = token

    def allowed(self, request: Any) -> bool:
        given = request.getHeader(b"authorization") or b""
        # Compared in constant time: the time of a plain comparison tells how much of a guess is right.
        if self._token and hmac.compare_digest(given, b"Bearer " + self._token.encode()):
            return True
        request.setHeader(b"www-authenticate", b"Bearer")
        return False

    def body(self, request: Any) -> dict[str, Any]:
        """The JSON object that was sent; {} where nothing was. Raises BadBody."""
        raw = request.content.read(MOST_BODY + 1)
        if len(raw) > MOST_BODY:
            raise BadBody(f"more than {MOST_BODY} bytes")
        if not raw.strip():
            return {}
        try:
            sent = json.loads(raw)
        except (ValueError, RecursionError):
            raise BadBody("expected a JSON object") from None
        if not isinstance(sent, dict):
            raise BadBody("expected a JSON object")
        return sent


class _Change(Guarded):
    def __init__(self, token: str, change: Callable[[], object]) -> None:
        super().__init__(token)
        self._change = change

    def render_POST(self, request: Any) -> bytes:
        if not self.allowed(request):
            return reply(request, 401, {"error": "a bearer token is needed"})
        return reply(request, 202, self._change())


def read_maintenance(sent: dict[str, Any]) -> tuple[str, float | None]:
    """The reason, and the seconds after which it ends by itself. Raises BadBody."""
    if odd := sorted(set(sent) - {"reason", "for_s"}):
        raise BadBody(f"{odd[0]}: no such key; known are for_s, reason")
    reason, for_s = sent.get("reason", "maintenance"), sent.get("for_s")
    if not isinstance(reason, str) or not 0 < len(reason) <= MOST_REASON:
        raise BadBody(f"reason: expected a string of 1 to {MOST_REASON} characters")
    if for_s is not None and (
        isinstance(for_s, bool) or not isinstance(for_s, (int, float)) or not 0 < for_s <= MOST_MAINTENANCE_S
    ):
        raise BadBody(f"for_s: expected seconds above 0 and up to {MOST_MAINTENANCE_S:g}")
    return reason, for_s


class _Maintenance(Guarded):
    """GET, PUT and DELETE. A runner that leaves can't be put into maintenance, nor out of it: 409."""

    def __init__(self, token: str, reporter: Reporter) -> None:
        super().__init__(token)
        self._reporter = reporter

    def render_GET(self, request: Any) -> bytes:
        return reply(request, 200, {"maintenance": self._reporter.inputs()["maintenance"]})

    def render_PUT(self, request: Any) -> bytes:
        if not self.allowed(request):
            return reply(request, 401, {"error": "a bearer token is needed"})
        try:
            reason, for_s = read_maintenance(self.body(request))
        except BadBody as exc:
            return reply(request, 400, {"error": str(exc)})
        if not self._reporter.maintain(reason, for_s):
            return reply(request, 409, {"error": "the runner is leaving, and does not come back"})
        return self.render_GET(request)

    def render_DELETE(self, request: Any) -> bytes:
        if not self.allowed(request):
            return reply(request, 401, {"error": "a bearer token is needed"})
        if self._reporter.put_back():
            return reply(request, 200, {"maintenance": None})
        return reply(
            request,
            409,
            {
                "error": "the runner is leaving"
                if self._reporter.core.drain_state.draining
                else "no maintenance is set"
            },
        )


class _Servers(Guarded):
    """/servers, and /servers/NAME with PUT and DELETE; POST /servers/NAME/drain."""

    def __init__(self, token: str, tier: Any, core: RequestEngine) -> None:
        super().__init__(token)
        self._tier, self._core = tier, core

    def _path(self, request: Any) -> list[str]:
        return [p.decode("utf-8", "replace") for p in request.postpath if p]

    def _told(self) -> list[dict[str, object]]:
        self._core.begin_turn()
        told: list[dict[str, object]] = self._tier.servers_json()
        return told

    def render_GET(self, request: Any) -> bytes:
        path = self._path(request)
        if not path:
            counts = self._tier.counts_json()
            open_calls = self._tier.balancer.open_calls
            return reply(request, 200, {"servers": self._told(), "counts": counts, "open": open_calls})
        found = [s for s in self._told() if s["name"] == path[0]]
        if len(path) > 1 or not found:
            return reply(request, 404, {"error": "no such server"})
        return reply(request, 200, found[0])

    def _change(self, request: Any, change: Callable[[str], bool]) -> bytes:
        if not self.allowed(request):
            return reply(request, 401, {"error": "a bearer token is needed"})
        self._core.begin_turn()
        name = self._path(request)[0] if self._path(request) else ""
        if not change(name):
            return reply(request, 404, {"error": "no such server"})
        return reply(request, 200, {"servers": self._told()})

    def render_PUT(self, request: Any) -> bytes:
        """Adds a server, or changes the address, weight or zone of the one that has the name."""
        path = self._path(request)
        if len(path) != 1:
            return reply(request, 404, {"error": "expected /servers/NAME"})
        try:
            server = (
                endpoint_of(Section({"name": path[0]} | self.body(request), ""))
                if self.allowed(request)
                else None
            )
        except (BadBody, ConfigError) as exc:
            return reply(request, 400, {"error": str(exc)})
        if server is None:
            return reply(request, 401, {"error": "a bearer token is needed"})
        self._core.begin_turn()
        try:
            self._tier.put(server)
        except ValueError as exc:
            return reply(request, 409, {"error": str(exc)})
        return reply(request, 200, {"servers": self._told()})

    def render_DELETE(self, request: Any) -> bytes:
        return self._change(request, self._tier.remove)

    def render_POST(self, request: Any) -> bytes:
        if self._path(request)[1:] != ["drain"]:
            return reply(request, 404, {"error": "expected /servers/NAME/drain"})
        return self._change(request, self._tier.drain)


class _Tenants(Resource):  # type: ignore[misc]
    """/tenants, and /tenants/NAME for one."""

    isLeaf = True

    def __init__(self, core: RequestEngine) -> None:
        super().__init__()
        self._core = core

    def render_GET(self, request: Any) -> bytes:
        core, path = self._core, [p.decode("utf-8", "replace") for p in request.postpath if p]
        every = {
            t.name: {
                "share": t.quota_share,
                "quota_per_s": t.quota_per_s,
                "counters": dict(core.counters.tenants.get(t.name, {})),
            }
            for t in core.settings.tenants
        }
        if not path:
            return reply(request, 200, every)
        if len(path) > 1 or path[0] not in every:
            return reply(request, 404, {"error": "no such tenant"})
        return reply(request, 200, every[path[0]])


def reply(request: Any, status: int, value: object) -> bytes:
    """Write a JSON answer with its status to a request of the web server."""
    request.setResponseCode(status)
    request.setHeader(b"content-type", b"application/json")
    return json.dumps(value, sort_keys=True).encode() + b"\n"


def later(request: Any, ask: Callable[[Callable[[Any], None]], None]) -> Any:
    """The answer comes once other runners have said; who asked may be gone by then. `ask` tells a value, JSON as bytes,
    or an error with its status and what an operator can do; one that it raises is told alike."""
    gone: list[object] = []
    request.notifyFinish().addErrback(gone.append)

    def told(got: Any) -> None:
        if gone:
            return
        if isinstance(got, Exception):
            request.write(
                reply(
                    request,
                    getattr(got, "status", 500),
                    {"error": str(got), "kind": type(got).__name__, "remedy": getattr(got, "remedy", "")},
                )
            )
        else:
            request.write(reply(request, 200, json.loads(got) if isinstance(got, bytes) else got))
        request.finish()

    try:
        ask(told)
    except Exception as exc:
        if not hasattr(exc, "status"):
            raise
        told(exc)
    return server.NOT_DONE_YET


def status_of(core: RequestEngine, reporter: Reporter, name: str) -> dict[str, object]:
    """What `GET /status` tells of this runner."""
    return {
        "name": name,
        "version": __version__,
        "state": haproxy(reporter.report()),
        "draining": core.drain_state.draining,
        "kernel_up": core.ready,
        "healthy": core.state.healthy,
        "hint": core.state.load_signal,
        "load": core.kernel_status.cpu_busy(),
        "requests": len(core.table),
        "owed": core.table.unanswered,
        "runs": len(core.runs),
        "calls": len(core.calls),
        "keys": len(core.keys),
        "key_bytes": core.keys.result_bytes,
    }


class _Fleet(Guarded):
    """GET /fleet and /fleet/work; POST /fleet/begin, the operator's word that nothing of it ran before, and
    /fleet/begin/lost, that what no seat remembers any more counts for nothing."""

    def __init__(self, token: str, fleet: Any) -> None:
        super().__init__(token)
        self._fleet = fleet

    def render_GET(self, request: Any) -> bytes:
        path = [p for p in request.postpath if p]
        if path == [b"work"]:
            return reply(request, 200, self._fleet.work_status())
        return (
            reply(request, 200, self._fleet.status())
            if not path
            else reply(request, 404, {"error": "no such page"})
        )

    def render_POST(self, request: Any) -> bytes:
        path = [p for p in request.postpath if p]
        if path not in ([b"begin"], [b"begin", b"lost"]):
            return reply(request, 404, {"error": "expected /fleet/begin or /fleet/begin/lost"})
        if not self.allowed(request):
            return reply(request, 401, {"error": "a bearer token is needed"})
        why = self._fleet.bootstrap(len(path) > 1)
        return reply(request, 200, {"begun": True}) if why is None else reply(request, 409, {"error": why})


def admin_site(
    core: RequestEngine,
    reporter: Reporter,
    name: str,
    token: str,
    drain: Callable[[], None],
    tier: Any = None,
    condition: Callable[[], Any] = lambda: None,
    fleet: Any = None,
    namespaces: Any = None,
    forecast: Any = None,
    outage: Any = None,
) -> Any:
    """The web site of the administration API, with the pages of those parts that are switched on."""

    def leave() -> object:
        drain()
        return {"draining": True}

    root = Resource()
    root.putChild(b"status", _Json(lambda: status_of(core, reporter, name)))
    root.putChild(b"counters", _Json(lambda: dict(core.counters.total)))
    root.putChild(b"standing", _Json(reporter.inputs))
    root.putChild(b"maintenance", _Maintenance(token, reporter))
    if tier is not None:
        from msgspec import to_builtins  # MessagePack and JSON of the same value

        def knowledge() -> object:
            core.begin_turn()
            return to_builtins(tier.learned_state(condition()))

        root.putChild(b"servers", _Servers(token, tier, core))
        root.putChild(b"knowledge", _Json(knowledge))
    if fleet is not None:
        root.putChild(b"fleet", _Fleet(token, fleet))
        if fleet.leadership is not None:
            from .leadership import DutyPages

            root.putChild(b"duties", DutyPages(token, fleet.leadership))
    if namespaces is not None:
        from .namespaces import NamespacePages

        root.putChild(b"namespaces", NamespacePages(token, namespaces))
    if forecast is not None:
        from .forecast import ForecastPages

        root.putChild(b"forecast", ForecastPages(token, forecast))
    if outage is not None:
        from .maintenance import OutagePages

        root.putChild(b"outage", OutagePages(token, outage))
    root.putChild(b"tenants", _Tenants(core))
    root.putChild(b"drain", _Change(token, leave))
    return quiet_site(root)
