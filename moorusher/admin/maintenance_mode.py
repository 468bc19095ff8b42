"""GET, PUT and DELETE /maintenance: maintenance mode, in which load balancers send this runner no new requests."""

from __future__ import annotations

from typing import Any

from ..health.policy import MAX_MAINTENANCE_S, MAX_REASON_LENGTH
from ..health_reporting.document import health_document
from ..health_reporting.reporter import Reporter
from .api import TOKEN_REQUIRED, InvalidBodyError, TokenProtectedPage, reply

DEFAULT_REASON = "maintenance"


def read_maintenance(document: dict[str, Any]) -> tuple[str, float | None]:
    """Return the reason, and the seconds after which maintenance ends by itself; None if it has no time limit.

    :raises InvalidBodyError: A key is unknown, or its value is out of bounds.
    """
    unknown = sorted(set(document) - {"reason", "for_s"})
    if unknown:
        raise InvalidBodyError(f"{unknown[0]}: no such key; known are for_s, reason")
    reason = document.get("reason", DEFAULT_REASON)
    if not isinstance(reason, str) or not 0 < len(reason) <= MAX_REASON_LENGTH:
        raise InvalidBodyError(f"reason: expected a string of 1 to {MAX_REASON_LENGTH} characters")
    duration_s = document.get("for_s")
    if duration_s is not None and not _is_duration(duration_s):
        raise InvalidBodyError(f"for_s: expected seconds above 0 and up to {MAX_MAINTENANCE_S:g}")
    return reason, duration_s


def _is_duration(value: object) -> bool:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return is_number and 0 < value <= MAX_MAINTENANCE_S  # type: ignore[operator]


class MaintenanceModePage(TokenProtectedPage):
    """`/maintenance`: the maintenance mode. A runner that is shutting down refuses changes with 409."""

    def __init__(self, token: str, reporter: Reporter) -> None:
        super().__init__(token)
        self._reporter = reporter

    def render_GET(self, request: Any) -> bytes:
        """Answer 200 with the current maintenance, null if there is none."""
        return reply(request, 200, {"maintenance": health_document(self._reporter)["maintenance"]})

    def render_PUT(self, request: Any) -> bytes:
        """Begin maintenance. Answer 200, 400 for an invalid body, 401 without the token, 409 during shutdown."""
        if not self.is_authorized(request):
            return reply(request, 401, TOKEN_REQUIRED)
        try:
            reason, duration_s = read_maintenance(self.read_body(request))
        except InvalidBodyError as error:
            return reply(request, 400, {"error": str(error)})
        if not self._reporter.set_maintenance(reason, duration_s):
            return reply(request, 409, {"error": "the runner is leaving, and does not come back"})
        return self.render_GET(request)

    def render_DELETE(self, request: Any) -> bytes:
        """End maintenance. Answer 200, 401 without the token, 409 if there is none or during shutdown."""
        if not self.is_authorized(request):
            return reply(request, 401, TOKEN_REQUIRED)
        if self._reporter.end_maintenance():
            return reply(request, 200, {"maintenance": None})
        draining = self._reporter.core.drain_state.draining
        return reply(
            request, 409, {"error": "the runner is leaving" if draining else "no maintenance is set"}
        )
