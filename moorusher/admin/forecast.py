"""GET /forecast: all customers' next week, from whoever has the duty; GET /forecast/NAME: one customer's;
GET /forecast/+here: what this runner has counted and not told yet. POST /forecast brings hours counted elsewhere:

    [{"customer": "acme", "route": "main", "zone": "a", "first_hour": 495000, "asked": [12, 40], "core_ms": 80}]
"""

from __future__ import annotations

from typing import Annotated, Any

import msgspec

from ..cluster_transport.forecast import ForecastLink
from ..forecast_service.messages import Past
from ..forecasting.demand import Key
from .api import Guarded, later, reply

MOST_PAST = 400 << 10  # bytes
MOST_HOURS = 8 * 168


class _Past(msgspec.Struct, forbid_unknown_fields=True):
    first_hour: Annotated[int, msgspec.Meta(ge=0, le=10**8)]
    asked: Annotated[
        list[Annotated[int, msgspec.Meta(ge=0, le=2**32 - 1)]],
        msgspec.Meta(min_length=1, max_length=MOST_HOURS),
    ]
    customer: str = ""
    route: str = ""
    zone: str = ""
    born: Annotated[int, msgspec.Meta(ge=0)] = 0
    core_ms: Annotated[float, msgspec.Meta(ge=0, le=1e7)] = 0.0
    worth: Annotated[float, msgspec.Meta(ge=0, le=1e9)] = 0.0


class ForecastPages(Guarded):
    """`/forecast`: the forecast by customer, and its loading."""

    def __init__(self, token: str, forecast: ForecastLink) -> None:
        super().__init__(token)
        self._forecast = forecast

    def render_POST(self, request: Any) -> Any:
        """Load a past of demand: 200, 400 for a faulty body, 401 without the token, 413."""
        if not self.allowed(request):
            return reply(request, 401, {"error": "a bearer token is needed"})
        raw = request.content.read(MOST_PAST + 1)
        if len(raw) > MOST_PAST:
            return reply(request, 413, {"error": f"more than {MOST_PAST} bytes"})
        try:
            sent = msgspec.json.decode(raw, type=list[_Past])
        except (msgspec.MsgspecError, RecursionError) as exc:
            return reply(request, 400, {"error": str(exc)})
        past = [
            Past(
                Key(one.customer, one.born, one.route, one.zone),
                one.first_hour,
                one.asked,
                1000 * one.core_ms,
                one.worth,
            )
            for one in sent
        ]
        return later(request, lambda then: self._forecast.load(past, then))

    def render_GET(self, request: Any) -> Any:
        """Answer 200 with the forecast of all customers or the named one, or with what this runner has counted; 404."""
        path = [p.decode("utf-8", "replace") for p in request.postpath if p]
        if path == ["+here"]:
            return reply(request, 200, self._forecast.told())
        if len(path) > 1:
            return reply(request, 404, {"error": "no such page"})
        return later(request, lambda then: self._forecast.show(path[0] if path else "", then))
