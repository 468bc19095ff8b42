"""The administration API of the forecast.

    GET  /forecast           the next week of all customers, from the leader
    GET  /forecast/NAME      of one customer
    GET  /forecast/+here     what this runner has counted and not reported yet
    POST /forecast           imports hours that were counted elsewhere

The body of the POST is a JSON array:

    [{"customer": "acme", "route": "main", "zone": "a", "first_hour": 495000, "asked": [12, 40], "core_ms": 80}]
"""

from __future__ import annotations

from typing import Annotated, Any

import msgspec

from ..cluster_transport.forecast import ForecastLink
from ..forecast_service.messages import ImportedHistory
from ..forecasting.demand_counts import RouteKey
from ..forecasting.hourly_series import MAX_COUNT, MAX_HOURS
from .api import NO_TOKEN, Guarded, later, path_of, reply

MAX_HISTORY_BYTES = 400 << 10
MAX_FIRST_HOUR = 10**8  # hours since 1970
MAX_CORE_MS = 1e7  # of a request
MAX_PRIORITY_WEIGHT = 1e9
US_PER_MS = 1_000
LOCAL_PAGE = "+here"  # in place of a customer's name

RequestCount = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]


class _HistoryBody(msgspec.Struct, forbid_unknown_fields=True):
    """One route's history as it is posted; the keys are those of the API. See `ImportedHistory`."""

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
        """Return it as it is sent to the leader."""
        return ImportedHistory(
            RouteKey(self.customer, self.namespace_incarnation, self.route, self.zone),
            self.first_hour,
            self.requests,
            US_PER_MS * self.core_ms,
            self.priority_weight,
        )


class ForecastPages(Guarded):
    """`/forecast`: the forecast, by customer, and the import of histories."""

    def __init__(self, token: str, forecast: ForecastLink) -> None:
        super().__init__(token)
        self._forecast = forecast

    def render_POST(self, request: Any) -> Any:
        """Import histories: 200, 400 for a faulty body, 401 without the token, 413 for one that is too long."""
        if not self.allowed(request):
            return reply(request, 401, NO_TOKEN)
        raw = request.content.read(MAX_HISTORY_BYTES + 1)
        if len(raw) > MAX_HISTORY_BYTES:
            return reply(request, 413, {"error": f"more than {MAX_HISTORY_BYTES} bytes"})
        try:
            bodies = msgspec.json.decode(raw, type=list[_HistoryBody])
        except (msgspec.MsgspecError, RecursionError) as error:
            return reply(request, 400, {"error": str(error)})
        histories = [body.to_message() for body in bodies]
        return later(request, lambda callback: self._forecast.import_history(histories, callback))

    def render_GET(self, request: Any) -> Any:
        """Answer 200 with the forecast of all customers or the named one, or with this runner's part; 404."""
        path = path_of(request)
        if path == [LOCAL_PAGE]:
            return reply(request, 200, self._forecast.local_document())
        if len(path) > 1:
            return reply(request, 404, {"error": "no such page"})
        customer = path[0] if path else ""
        return later(request, lambda callback: self._forecast.query(customer, callback))
