"""The console, a second address for operators: HTTP/1.1 with one call per connection. Framing only."""

# The console has its own connection slots, from the descriptors that are never available to clients. A caller that has
# sent no complete call half a second after it was accepted gets status 408 and is disconnected. Thus slow callers free
# their slots soon.

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import Factory

from ..core.outcomes import EndReason
from ..core.request_engine import RequestEngine
from ..health_reporting.reporter import Reporter
from ..time_units import MS
from .connection_limits import ConnectionLimiter
from .http import HttpReply, HttpServerProtocol, not_allowed

CALL_TIMEOUT_US = 500 * MS  # Time for a call to arrive. It must be answered within a second.
LINGER_US = 200 * MS  # Time for an answer to be read, and for the other side to close.
MAX_BODY_BYTES = 1024  # No call needs a body, but some tools send `{}`.
QUIESCE_REASON = "quiesced by an operator"


class ConsoleProtocol(HttpServerProtocol):
    """One call of an operator. The answer closes the connection."""

    linger_us = LINGER_US
    max_body_bytes = MAX_BODY_BYTES

    def request_close(self) -> None:
        """Do nothing: the answer closes the connection."""

    def _close(self, end_reason: EndReason) -> None:
        """Answer 408 before closing a connection on which no complete call has arrived."""
        if end_reason in (EndReason.READ_TIMEOUT, EndReason.EVICTED_WHILE_IDLE):
            self._write(HttpReply(408, b"the call did not come whole in time\n"), keep_alive=False)
        super()._close(end_reason)

    def _answer(self, reply: HttpReply, keep_alive: bool, with_body: bool = True) -> None:
        super()._answer(reply, False, with_body)


class Console(Factory):
    """Builds the protocols of console connections, and answers the calls.

    Attributes:
        core: The request engine.
        reporter: Reports the health state.
        limiter: Limits the connections.
        counter_prefix: Prefix of the connection counters.
    """

    noisy = False
    counter_prefix = "console connections"

    def __init__(
        self,
        core: RequestEngine,
        reporter: Reporter,
        max_connections: int,
        is_serving: Callable[[], bool],
    ) -> None:
        """Create a console. `is_serving` returns whether clients are accepted."""
        self.core = core
        self.reporter = reporter
        self._is_serving = is_serving
        self.limiter = ConnectionLimiter(core, max_connections, CALL_TIMEOUT_US, 0)
        self._handlers: dict[str, tuple[str, Callable[[], HttpReply]]] = {  # method and handler by path
            "/admin/health": ("GET", self._health),
            "/admin/quiesce": ("POST", self._quiesce),
            "/admin/resume": ("POST", self._resume),
        }

    def buildProtocol(self, addr: object) -> ConsoleProtocol | None:
        """Return a protocol, or None if no slot is free."""
        self.core.start_turn()
        if not self.limiter.admit():
            self.core.counters.add("console connections: " + EndReason.TOO_MANY_CONNECTIONS.value)
            return None
        return ConsoleProtocol(self)

    def connection_closed(self, connection: Any) -> None:
        """Release the slot of a connection."""
        self.limiter.connection_closed(connection)

    def handle(self, method: str, path: str, headers: dict[str, str], source: str) -> HttpReply:
        """Return the reply to a call. `source` is not used."""
        self.core.counters.add("console calls")
        if path not in self._handlers:
            return HttpReply(404, f"known are {', '.join(self._handlers)}\n".encode())
        expected, handler = self._handlers[path]
        if method != expected and (method, expected) != ("HEAD", "GET"):
            return not_allowed(*(("GET", "HEAD") if expected == "GET" else (expected,)))
        return handler()

    def _state(self, status: int) -> HttpReply:
        maintenance = self.reporter.tracker.maintenance if not self.reporter.is_in_rotation else None
        document = {
            "ready": self._is_ready,
            "kernel": self.core.ready,
            "leaving": self.core.drain_state.draining,
            "replaced": self.core.drain_state.replaced,
            "quiesced": None if maintenance is None else maintenance.reason,
        }
        return HttpReply(status, json.dumps(document).encode() + b"\n", "application/json")

    @property
    def _is_ready(self) -> bool:
        return self._is_serving() and self.reporter.is_fit

    def _health(self) -> HttpReply:
        return self._state(200 if self._is_ready else 503)

    def _quiesce(self) -> HttpReply:
        """Set maintenance without an end, unless the runner already is out of rotation for an unlimited time."""
        maintenance = self.reporter.tracker.maintenance
        if self.reporter.is_in_rotation or (maintenance is not None and maintenance.expires_us is not None):
            # Replaces a maintenance that expires, since its end would put the runner back into rotation.
            self.reporter.set_maintenance(QUIESCE_REASON)
        return self._state(200)

    def _resume(self) -> HttpReply:
        self.reporter.end_maintenance()
        return self._state(409 if self.core.drain_state.draining else 200)
