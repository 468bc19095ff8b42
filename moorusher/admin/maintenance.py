"""GET /outage: who is out, who waits and why. POST /outage/ask, /outage/cancel, /outage/hold, /outage/resume and
/outage/done with a JSON object change it; POST /outage/wait answers once a machine may be worked on, or will not be, or
after `for_s`.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import Any

from ..cluster_transport.maintenance import MOST_ID, MOST_TEXT, MOST_WAIT_S, OutageLink
from .api import BadBody, Guarded, later, reply

MOST_S = 30 * 86_400.0
MOST_PRIORITY = 9
ASKED = {
    "id",
    "seats",
    "all",
    "zone",
    "group",
    "reason",
    "by",
    "lasts_s",
    "not_before_s",
    "due_s",
    "priority",
    "together",
    "ends",
    "bound",
}


class _Sent:
    """The object that came; its errors name the key."""

    def __init__(self, sent: dict[str, Any], known: set[str]) -> None:
        if odd := sorted(set(sent) - known):
            raise BadBody(f"{odd[0]}: no such key; known are {', '.join(sorted(known))}")
        self.sent = sent

    def text(self, name: str, default: str | None = None, most: int = MOST_TEXT) -> str:
        value = self.sent.get(name, default)
        if not isinstance(value, str) or len(value) > most or (default is None and not value):
            raise BadBody(
                f"{name}: expected a string of {0 if default is not None else 1} to {most} characters"
            )
        return value

    def number(self, name: str, default: float, least: float, most: float) -> float:
        value = self.sent.get(name, default)
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not least <= value <= most:
            raise BadBody(f"{name}: expected a number from {least:g} to {most:g}")
        return float(value)

    def yes(self, name: str) -> bool:
        value = self.sent.get(name, False)
        if not isinstance(value, bool):
            raise BadBody(f"{name}: expected true or false")
        return value

    def names(self, name: str) -> list[str]:
        value = self.sent.get(name, [])
        if not isinstance(value, list) or not all(isinstance(v, str) and 0 < len(v) <= 64 for v in value):
            raise BadBody(f"{name}: expected a list of names")
        return value


def read_ask(sent: dict[str, Any]) -> dict[str, Any]:
    """Raises BadBody."""
    s = _Sent(sent, ASKED)
    ends = s.text("ends", "boot")
    if ends not in ("boot", "done"):
        raise BadBody(f"ends: expected one of boot, done, got {ends!r}")
    return {
        "id": s.text("id", os.urandom(8).hex(), MOST_ID),
        "reason": s.text("reason", "maintenance"),
        "by": s.text("by", "api", 64),
        "lasts_s": s.number("lasts_s", 600.0, 0.1, MOST_S),
        "not_before_s": s.number("not_before_s", 0.0, 0, 1e12),
        "due_s": s.number("due_s", 0.0, 0, 1e12),
        "priority": int(s.number("priority", 0, 0, MOST_PRIORITY)),
        "together": s.yes("together"),
        "ends": ends,
        "bound": s.yes("bound"),
        "all": s.yes("all"),
        "zone": s.text("zone", "", 64),
        "group": s.text("group", "", 64),
        "seats": s.names("seats"),
    }


class OutagePages(Guarded):
    """`/outage`: asks of machines, and an operator's words on them."""

    def __init__(self, token: str, outage: OutageLink) -> None:
        super().__init__(token)
        self._outage = outage
        self._does: dict[str, Callable[[dict[str, Any], Any], Any]] = {
            "ask": self._ask,
            "cancel": self._cancel,
            "hold": self._hold,
            "resume": self._resume,
            "done": self._done,
            "wait": self._wait,
        }

    def render_GET(self, request: Any) -> Any:
        if [p for p in request.postpath if p]:
            return reply(request, 404, {"error": "no such page"})
        return later(request, self._outage.show)

    def render_POST(self, request: Any) -> Any:
        if not self.allowed(request):
            return reply(request, 401, {"error": "a bearer token is needed"})
        path = [p.decode("utf-8", "replace") for p in request.postpath if p]
        does = self._does.get(path[0]) if len(path) == 1 else None
        if does is None:
            return reply(request, 404, {"error": f"expected one of {', '.join(sorted(self._does))}"})
        try:
            return does(self.body(request), request)
        except BadBody as exc:
            return reply(request, 400, {"error": str(exc)})

    def _ask(self, sent: dict[str, Any], request: Any) -> Any:
        asked = read_ask(sent)
        return later(request, lambda then: self._outage.ask(asked, then))

    def _cancel(self, sent: dict[str, Any], request: Any) -> Any:
        s = _Sent(sent, {"id", "seats", "by"})
        id, seats, by = s.text("id", most=MOST_ID), s.names("seats"), s.text("by", "api", 64)
        return later(request, lambda then: self._outage.cancel(id, seats, by, then))

    def _hold(self, sent: dict[str, Any], request: Any) -> Any:
        why = _Sent(sent, {"why"}).text("why", "held by an operator") or "held by an operator"
        return later(request, lambda then: self._outage.hold(why, then))

    def _resume(self, sent: dict[str, Any], request: Any) -> Any:
        seat = _Sent(sent, {"seat"}).text("seat", "", 64)
        return later(request, lambda then: self._outage.resume(seat, then))

    def _done(self, sent: dict[str, Any], request: Any) -> Any:
        s = _Sent(sent, {"seat", "by"})
        seat, by = s.text("seat", most=64), s.text("by", "api", 64)
        return later(request, lambda then: self._outage.over(seat, by, then))

    def _wait(self, sent: dict[str, Any], request: Any) -> Any:
        s = _Sent(sent, {"id", "seat", "for_s"})
        id, seat = s.text("id", most=MOST_ID), s.text("seat", "", 64)
        for_s = s.number("for_s", MOST_WAIT_S, 0, MOST_WAIT_S)

        def ask(then: Callable[[Any], None]) -> None:
            answered: list[bool] = []

            def told(got: Any) -> None:
                answered.append(True)
                then(got)

            left = self._outage.wait(id, seat, for_s, told)
            if not answered:
                request.notifyFinish().addErrback(lambda reason: left())

        return later(request, ask)
