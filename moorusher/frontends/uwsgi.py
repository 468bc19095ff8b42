"""The uwsgi protocol: a packet of variables, then a body, then an HTTP response. Framing only."""

from __future__ import annotations

import math
from collections.abc import Callable
from enum import Enum
from typing import Any, cast

from twisted.internet.protocol import Protocol

from ..core.answer import Answer, Cause, Verdict
from ..core.clock import SECOND, Alarm
from ..core.outcomes import EndReason
from ..core.registration import NEVER_RAN, RETRY_AFTER_MS, InvalidArrival
from ..core.request_engine import RequestEngine
from ..core.requests import Request
from .connection_limits import ConnectionLimiter
from .limited_protocol import LimitedFactory
from .unread_input import read_unread_input
from .uwsgi_packets import (
    FAILED_STATUS,
    FAULT_STATUS,
    HEAD,
    PING,
    PONG,
    WSGI,
    BadPacket,
    content_length,
    parse_vars,
    read_arrival,
    response,
)

LINGER_US = 2 * SECOND  # for an answer to be read, and for the other side to close


class State(Enum):
    """How far a connection has come."""

    VARS = "reading the packet"
    BODY = "reading the body"
    ASKED = "waits for its answer"
    OVER = "answered"


class UwsgiProtocol(Protocol):
    """One request: the protocol has no way to put a second on a connection."""

    transport: Any

    def __init__(self, owner: UwsgiFactory) -> None:
        self.owner, self.core = owner, owner.core
        self.state = State.VARS
        self.request: Request | None = None
        self.ending: EndReason | None = None
        self._data = bytearray()
        self._since = 0
        self._vars: dict[str, str] = {}
        self._length = 0
        self._alarm: Alarm | None = None

    @property
    def reading(self) -> bool:
        return self.state is State.BODY or bool(self._data)

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        # A client that stops in the middle would else hold its place for ever.
        self.owner.limiter.connection_opened(self)
        self.core.counters.add("uwsgi connections")
        self._since = self.core.clock.now  # a client's budget runs while its body is still on the way

    def leave(self) -> None:
        """uwsgi has no word for it: an idle client is simply told that it was too slow."""

    def end(self, ending: EndReason) -> bool:
        """It has not come whole: in time, or as its place was needed. False where its rest was only unread."""
        self.read_rest()
        if self.state is State.ASKED:
            return False
        if self.state is not State.OVER:
            self.ending = self.ending or ending
            self._finish(
                response(408, b"the request did not come whole in time"),
                at_once=ending is EndReason.EVICTED_WHILE_IDLE,
            )
        return True

    def cut(self) -> None:
        """Answered, and the answer is not being read."""
        if self in self.owner.limiter.connections:
            self.ending = self.ending or EndReason.IDLE_TIMEOUT
            self.transport.abortConnection()

    def connectionLost(self, reason: object = None) -> None:
        if self._alarm is not None:
            self._alarm.cancel()
        self.owner.limiter.connection_closed(self)
        ending = self.ending or (
            EndReason.CLOSED_LOCALLY if self.state is State.OVER else EndReason.CLOSED_BY_PEER
        )
        self.core.counters.add("uwsgi connections: " + ending.value)
        # In the packet or its body: nothing has entered the core. After it: the caller is gone.
        if self.request is not None:
            self.core.caller_gone(self.request)
        self.state, self.request = State.OVER, None

    def dataReceived(self, data: bytes) -> None:
        if self.state in (State.ASKED, State.OVER):
            return  # nothing may follow a request: it is not read as part of one
        self._data += data
        try:
            if self.state is State.VARS:
                self._read_packet()
            if self.state is State.BODY and len(self._data) >= self._length:
                self._ask(bytes(self._data[: self._length]))
        except BadPacket as exc:
            self.core.counters.add("faulty")
            self._data.clear()
            self._finish(response(exc.status, str(exc).encode()))

    def _read_packet(self) -> None:
        if len(self._data) < HEAD.size:
            return
        modifier1, size, modifier2 = HEAD.unpack_from(self._data)
        if modifier1 == PING:
            self.core.counters.add("health checks")
            return self._finish(HEAD.pack(PING, 0, PONG) if self.owner.fit() else b"")
        if modifier1 != WSGI or modifier2 != 0:
            raise BadPacket(400, f"modifiers {modifier1}, {modifier2}: only 0, 0 and pings are served")
        if len(self._data) < HEAD.size + size:
            return
        self._vars = parse_vars(bytes(self._data[HEAD.size : HEAD.size + size]))
        self._length = content_length(self._vars, self.owner.most_body)
        del self._data[: HEAD.size + size]
        self.state = State.BODY

    def _ask(self, body: bytes) -> None:
        self._data.clear()
        arrival = read_arrival(self._vars, body, self._since)
        taken = self.core.submit(arrival, self, 0)
        if isinstance(taken, InvalidArrival):
            status = FAULT_STATUS[taken]
            more: dict[str, object] = {"Retry_After": 1} if status == 503 else {}
            if taken in NEVER_RAN:
                more |= {"X_Moorusher_Backoff_Ms": round(RETRY_AFTER_MS), "X_Moorusher_Never_Ran": 1}
            return self._finish(response(status, taken.value.encode(), **more))
        self.state, self.request = State.ASKED, taken
        self.owner.limiter.connection_busy(self)  # from here the core sees to the time

    def read_rest(self) -> None:
        """What has come until now still counts."""
        if self.state in (State.VARS, State.BODY):
            read_unread_input(self.transport)

    def close(self) -> None:
        """The runner ends: what has not come whole never entered the core, and may go elsewhere."""
        if self.state in (State.VARS, State.BODY) and self._data:
            said = response(503, Cause.SHUTTING_DOWN.value.encode(), Retry_After=1, X_Moorusher_Never_Ran=1)
            self._finish(said, at_once=True)
        else:
            self.transport.loseConnection()

    def answer(self, tag: int, answer: Answer, hint: float | None) -> None:
        more: dict[str, object] = {} if hint is None else {"X_Moorusher_Hint": f"{hint:g}"}
        if self.owner.load is not None:
            more["endpoint_load_metrics"] = self.owner.load()
        if answer.verdict is Verdict.SERVED:
            return self._finish(response(200, answer.content, **more))
        if answer.verdict is Verdict.REJECTED:
            # Whole seconds are all that Retry-After can say; the exact wait stands beside it.
            more |= {
                "Retry_After": max(1, math.ceil(answer.retry_after_ms / 1000)),
                "X_Moorusher_Backoff_Ms": round(answer.retry_after_ms),
                "X_Moorusher_Never_Ran": 1,
                "X_Moorusher_Final": int(answer.final),
            }
            return self._finish(response(503, answer.rejection_message.encode(), **more))
        self._finish(response(FAILED_STATUS[answer.cause], answer.cause.value.encode(), **more))

    def _finish(self, data: bytes, at_once: bool = False) -> None:
        """Our half is closed, and what still comes is thrown away until the other side closes or its time is over: with
        input unread, a close would reset the connection before the answer is seen. `at_once`: its descriptor is needed,
        or the runner ends."""
        self.state, self.request = State.OVER, None
        self.owner.limiter.connection_closing(self)
        self.transport.write(data)
        if at_once:
            self.transport.loseConnection()
        else:
            self.transport.loseWriteConnection()
        self._alarm = self.core.alarms.at(self.core.clock.now + LINGER_US, self.cut)


class UwsgiFactory(LimitedFactory):
    """Listens for uwsgi clients."""

    counted_as = "uwsgi connections"

    def __init__(
        self, core: RequestEngine, most: int, most_body: int, idle_s: float, fit: Callable[[], bool]
    ) -> None:
        super().__init__(core, ConnectionLimiter(core, most, round(idle_s * SECOND), 0))
        self.most_body, self.fit = most_body, fit
        self.load: Callable[[], str] | None = None  # the load report that goes with each answer

    def connection(self) -> UwsgiProtocol:
        """A new connection of a client."""
        return UwsgiProtocol(self)

    @property
    def connections(self) -> set[UwsgiProtocol]:
        return cast(set[UwsgiProtocol], self.limiter.connections)
