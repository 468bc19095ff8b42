"""The operators' second address: HTTP/1.1, one call a connection, three calls. Framing only.

Its places are its own, and come out of the descriptors that clients never get. A caller that sends nothing, or half a
call, gets 408 in half a second from its accept on: it must neither wait long itself nor keep another from its answer.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import Factory

from ..core.clock import MS
from ..core.outcomes import EndReason
from ..core.request_engine import RequestEngine
from ..server.health_report import Reporter
from .connection_limits import ConnectionLimiter
from .http import HttpReply, HttpServerProtocol, not_allowed

SILENCE = 500 * MS  # for a call to come whole; an answer is owed within a second
MOST_BODY = 1024  # of a call: none needs one, and some tools send `{}`
QUIESCED = "quiesced by an operator"


class ConsoleConnection(HttpServerProtocol):
    """One call of an operator, answered and closed."""

    linger = 200 * MS
    most_body = MOST_BODY

    def leave(self) -> None:
        """It is told by its answer."""

    def _close(self, ending: EndReason) -> None:
        """Silent for too long, or its place is needed: told so, and closed."""
        if ending in (EndReason.READ_TIMEOUT, EndReason.EVICTED_WHILE_IDLE):
            self._write(HttpReply(408, b"the call did not come whole in time\n"), False)
        super()._close(ending)

    def _say(self, said: HttpReply, keep: bool, body: bool = True) -> None:
        super()._say(said, False, body)


class Console(Factory):
    """Listens at the operators' second address."""

    noisy = False
    counts = "console connections"

    def __init__(
        self, core: RequestEngine, reporter: Reporter, most: int, serving: Callable[[], bool]
    ) -> None:
        self.core, self.reporter, self._serving = core, reporter, serving
        self.limiter = ConnectionLimiter(core, most, SILENCE, 0)
        self._calls: dict[str, tuple[str, Callable[[], HttpReply]]] = {
            "/admin/health": ("GET", self._health),
            "/admin/quiesce": ("POST", self._quiesce),
            "/admin/resume": ("POST", self._resume),
        }

    def buildProtocol(self, addr: object) -> ConsoleConnection | None:
        self.core.begin_turn()
        if not self.limiter.admit():
            self.core.counters.add("console connections: " + EndReason.TOO_MANY_CONNECTIONS.value)
            return None
        return ConsoleConnection(self)

    def left(self, connection: Any) -> None:
        self.limiter.connection_closed(connection)

    def called(self, method: str, path: str, headers: dict[str, str], source: str) -> HttpReply:
        self.core.counters.add("console calls")
        if path not in self._calls:
            return HttpReply(404, f"known are {', '.join(self._calls)}\n".encode())
        wanted, call = self._calls[path]
        if method != wanted and (method, wanted) != ("HEAD", "GET"):
            return not_allowed(*(("GET", "HEAD") if wanted == "GET" else (wanted,)))
        return call()

    def _told(self, status: int) -> HttpReply:
        maintenance = self.reporter.tracker.maintenance if not self.reporter.wanted else None
        told = {
            "ready": self._ready,
            "kernel": self.core.ready,
            "leaving": self.core.drain_state.draining,
            "replaced": self.core.drain_state.replaced,
            "quiesced": None if maintenance is None else maintenance.reason,
        }
        return HttpReply(status, json.dumps(told).encode() + b"\n", "application/json")

    @property
    def _ready(self) -> bool:
        return self._serving() and self.reporter.fit

    def _health(self) -> HttpReply:
        return self._told(200 if self._ready else 503)

    def _quiesce(self) -> HttpReply:
        """Also where the runner leaves: then nothing new is sent to it already."""
        maintenance = self.reporter.tracker.maintenance
        if self.reporter.wanted or (maintenance is not None and maintenance.until is not None):
            self.reporter.maintain(QUIESCED)  # one that ends by itself would put the runner back on its own
        return self._told(200)

    def _resume(self) -> HttpReply:
        self.reporter.put_back()
        return self._told(409 if self.core.drain_state.draining else 200)
