"""The administration API of the forecast.

    GET  /forecast           the leader's forecast of the next week for all customers
    GET  /forecast/NAME      the same for one customer
    GET  /forecast/+here     this runner's counts that it has not yet reported
    POST /forecast           imports hourly counts from another source

The body of POST is a JSON array:

    [{"customer": "acme", "route": "main", "zone": "a", "first_hour": 495000, "asked": [12, 40], "core_ms": 80}]
"""

from __future__ import annotations

from typing import Annotated, Any

import msgspec

from ..cluster_transport.forecast import ForecastLink
from ..forecast_service.messages import ImportedHistory
from ..forecasting.demand_counts import RouteKey
from ..forecasting.hourly_series import MAX_COUNT, MAX_HOURS
from .api import TOKEN_REQUIRED, TokenProtectedPage, path_segments, reply, reply_later

MAX_HISTORY_BYTES = 400 << 10
MAX_FIRST_HOUR = 10**8  # hours since 1970
MAX_CORE_MS = 1e7  # core time of one request
MAX_PRIORITY_WEIGHT = 1e9
US_PER_MS = 1_000
LOCAL_PAGE = "+here"  # Stands in the path in place of a customer's name.

RequestCount = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]


class _HistoryBody(msgspec.Struct, forbid_unknown_fields=True):
    """One route's history in the body of POST, with the keys of the API. See `ImportedHistory`."""

    first_hour: Annotated[int, msgspec.Meta(ge=0, le=MAX_FIRST_HOUR)]
    requests: Annotated[list[RequestCount], msgspec.Meta(min_length=1, max_length=MAX_HOURS)] = msgspec.field(
        name="asked"
    )
    customer: str = ""
    route: str = ""
    zone: str = ""
    namespace_incarnation: Annotated[int, msgspec.Meta(ge=0)] = msgspec.field(default=0, name="born")
    core_ms: Annotated[float, msgspec.Meta(ge=0, le=MAX_CORE_MS)] = 0.0
    priority_weight: Annotated[float, msgspec.Meta(ge=0, le=MAX_PRIORITY_WEIGHT)] = msgspec.field(
        default=0.0, name="worth"
    )

    def to_message(self) -> ImportedHistory:
        """Return the history as a message to the leader."""
        return ImportedHistory(
            RouteKey(self.customer, self.namespace_incarnation, self.route, self.zone),
            self.first_hour,
            self.requests,
            US_PER_MS * self.core_ms,
            self.priority_weight,
        )


class ForecastPages(TokenProtectedPage):
    """`/forecast`: the forecast by customer, and the import of histories."""

    def __init__(self, token: str, forecast: ForecastLink) -> None:
        super().__init__(token)
        self._forecast = forecast

    def render_POST(self, request: Any) -> Any:
        """Import histories. Answer 200, 400 for an invalid body, 401 without the token, 413 for too long a body."""
        if not self.is_authorized(request):
            return reply(request, 401, TOKEN_REQUIRED)
        raw = request.content.read(MAX_HISTORY_BYTES + 1)
        if len(raw) > MAX_HISTORY_BYTES:
            return reply(request, 413, {"error": f"more than {MAX_HISTORY_BYTES} bytes"})
        try:
            bodies = msgspec.json.decode(raw, type=list[_HistoryBody])
        except (msgspec.MsgspecError, RecursionError) as error:
            return reply(request, 400, {"error": str(error)})
        histories = [body.to_message() for body in bodies]
        return reply_later(request, lambda callback: self._forecast.import_history(histories, callback))

    def render_GET(self, request: Any) -> Any:
        """Answer 200 with the forecast for all customers or the named one, or with the local counts; else 404."""
        path = path_segments(request)
        if path == [LOCAL_PAGE]:
            return reply(request, 200, self._forecast.local_document())
        if len(path) > 1:
            return reply(request, 404, {"error": "no such page"})
        customer = path[0] if path else ""
        return reply_later(request, lambda callback: self._forecast.query(customer, callback))
