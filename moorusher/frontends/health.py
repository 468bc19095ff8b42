"""The HTTP endpoints that balancers and supervisors ask: /health, /ready, /startup, /alive. Framing only."""

from __future__ import annotations

import json

from ..core.request_engine import RequestEngine
from ..health import formatting as words
from ..server.health_report import Reporter
from .http import HttpReply, HttpServerProtocol, not_allowed
from .probes import LoadReport, ProbeFactory


def wants_json(accept: str) -> bool:
    """By `Accept`: JSON where it is named, with a quality that text does not exceed. No header means text."""
    quality = {"json": 0.0, "text": 0.0}
    for item in accept.lower().split(","):
        kind, *params = (part.strip() for part in item.split(";"))
        q = 1.0
        for param in params:
            if param.startswith("q="):
                try:
                    q = float(param[2:])
                except ValueError:
                    q = 0.0
        if kind in ("application/json", "application/*"):
            quality["json"] = max(quality["json"], q)
        elif kind in ("text/plain", "text/*"):
            quality["text"] = max(quality["text"], q)
    return quality["json"] > 0 and quality["json"] >= quality["text"]


class HealthCheckFactory(ProbeFactory):
    """Listens for health checks over HTTP."""

    def __init__(
        self, core: RequestEngine, reporter: Reporter, codes: words.Codes, load: LoadReport | None
    ) -> None:
        super().__init__(core, reporter, HttpServerProtocol)
        self.codes, self.load = codes, load

    def called(self, method: str, path: str, headers: dict[str, str], source: str) -> HttpReply:
        if method not in ("GET", "HEAD"):
            return not_allowed("GET", "HEAD")
        self.asked()
        if (
            path == "/alive"
        ):  # as long as the process answers: for what restarts dead processes, not for routing
            return HttpReply(200, b"alive\n")
        report = self.reporter.report(source)
        if path == "/health":
            said = words.routing(report, self.codes)
        elif path == "/ready":
            said = words.readiness(report)
        elif path == "/startup":
            said = words.startup(report, self.core.ready)
        else:
            return HttpReply(404, b"known are /health, /ready, /startup and /alive\n")
        more: list[tuple[str, str]] = []
        if said.retry_after_s is not None:
            more.append(("Retry-After", str(said.retry_after_s)))
        if said.degraded:
            more.append(("x-envoy-degraded", "true"))
        if said.fail_now:
            more.append(("x-envoy-immediate-health-check-fail", "true"))
        if self.load is not None and path == "/health":
            more.append(("endpoint-load-metrics", self.load.text()))
        if wants_json(headers.get("accept", "")):
            body = json.dumps(
                {
                    "standing": report.standing.value,
                    "weight": report.weight,
                    "reason": words.clean(report.reason),
                    "unknown": list(report.unknown),
                }
            ).encode()
            return HttpReply(said.status, body + b"\n", "application/json", more)
        line = f"{report.standing.value} {report.weight}% {words.clean(report.reason)}\n"
        return HttpReply(said.status, line.encode("ascii"), more=more)
