"""The HTTP endpoints that load balancers and supervisors poll: /health, /ready, /startup, /alive. Framing only."""

from __future__ import annotations

import json

from ..core.request_engine import RequestEngine
from ..health import formatting
from ..health.report import HealthReport
from ..health_reporting.reporter import Reporter
from .http import HttpReply, HttpServerProtocol, not_allowed
from .probes import LoadReport, ProbeFactory

JSON_TYPES = ("application/json", "application/*")
TEXT_TYPES = ("text/plain", "text/*")


def wants_json(accept: str) -> bool:
    """Return whether an `Accept` header prefers JSON or rates it like text. An empty header means text."""
    json_quality = 0.0
    text_quality = 0.0
    for item in accept.lower().split(","):
        media_type, *parameters = (part.strip() for part in item.split(";"))
        quality = _quality(parameters)
        if media_type in JSON_TYPES:
            json_quality = max(json_quality, quality)
        elif media_type in TEXT_TYPES:
            text_quality = max(text_quality, quality)
    return json_quality > 0 and json_quality >= text_quality


def _quality(parameters: list[str]) -> float:
    quality = 1.0
    for parameter in parameters:
        if parameter.startswith("q="):
            try:
                quality = float(parameter.removeprefix("q="))
            except ValueError:
                quality = 0.0
    return quality


class HealthCheckFactory(ProbeFactory):
    """Builds the protocols of HTTP health checks, and answers the checks.

    Attributes:
        codes: The status codes that the operator has configured.
        load: The load report in answers of /health, None if it is off.
    """

    def __init__(
        self, core: RequestEngine, reporter: Reporter, codes: formatting.StatusCodes, load: LoadReport | None
    ) -> None:
        super().__init__(core, reporter, HttpServerProtocol)
        self.codes = codes
        self.load = load

    def handle(self, method: str, path: str, headers: dict[str, str], source: str) -> HttpReply:
        """Return the reply to a health check.

        :param source: Address of the load balancer.
        """
        if method not in ("GET", "HEAD"):
            return not_allowed("GET", "HEAD")
        self.count_check()
        if path == "/alive":  # for supervisors that restart dead processes, not for routing
            return HttpReply(200, b"alive\n")
        report = self.reporter.report(source)
        answer = self._answer(path, report)
        if answer is None:
            return HttpReply(404, b"known are /health, /ready, /startup and /alive\n")
        extra_headers = self._headers(answer, path)
        reason = formatting.one_line(report.reason)
        if wants_json(headers.get("accept", "")):
            document = {
                "standing": report.state.value,
                "weight": report.weight,
                "reason": reason,
                "unknown": list(report.unknown),
            }
            body = json.dumps(document).encode() + b"\n"
            return HttpReply(answer.status, body, "application/json", extra_headers)
        line = f"{report.state.value} {report.weight}% {reason}\n"
        return HttpReply(answer.status, line.encode("ascii"), headers=extra_headers)

    def _answer(self, path: str, report: HealthReport) -> formatting.ProbeResponse | None:
        if path == "/health":
            return formatting.health_response(report, self.codes)
        if path == "/ready":
            return formatting.readiness_response(report)
        if path == "/startup":
            return formatting.startup_response(self.core.ready)
        return None

    def _headers(self, answer: formatting.ProbeResponse, path: str) -> list[tuple[str, str]]:
        headers = []
        if answer.retry_after_s is not None:
            headers.append(("Retry-After", str(answer.retry_after_s)))
        if answer.degraded:
            headers.append(("x-envoy-degraded", "true"))
        if answer.fail_now:
            headers.append(("x-envoy-immediate-health-check-fail", "true"))
        if self.load is not None and path == "/health":
            headers.append(("endpoint-load-metrics", self.load.text()))
        return headers
