"""The uwsgi frontend: reads a packet of variables and a body, and sends an HTTP response. Framing only."""

from __future__ import annotations

import math
from collections.abc import Callable
from enum import Enum
from typing import Any, cast

from twisted.internet.protocol import Protocol

from ..core.answer import Answer, Cause, Verdict
from ..core.clock import Alarm
from ..core.outcomes import EndReason
from ..core.registration import NEVER_RAN, RETRY_AFTER_MS, InvalidArrival
from ..core.request_engine import RequestEngine
from ..core.requests import Request
from ..protocols.uwsgi_packets import (
    FAILED_STATUS,
    HEAD,
    INVALID_ARRIVAL_STATUS,
    PING,
    PONG,
    WSGI,
    InvalidPacketError,
    build_response,
    content_length,
    parse_vars,
    read_arrival,
)
from ..time_units import SECOND
from .connection_limits import ConnectionLimiter
from .limited_protocol import LimitedFactory
from .unread_input import read_unread_input

LINGER_US = 2 * SECOND  # Time for an answer to be read, and for the other side to close.


class State(Enum):
    """State of a connection."""

    READING_PACKET = "reading the packet"
    READING_BODY = "reading the body"
    AWAITING_ANSWER = "awaiting its answer"
    ANSWERED = "answered"


class UwsgiProtocol(Protocol):
    """A connection with its only request: the protocol does not support further requests on a connection.

    Attributes:
        state: State of the connection.
        request: The request that awaits its answer, None before and after.
        end_reason: Why the connection closes, None if that is not known.
    """

    transport: Any

    def __init__(self, factory: UwsgiFactory) -> None:
        self._factory = factory
        self._core = factory.core
        self.state = State.READING_PACKET
        self.request: Request | None = None
        self.end_reason: EndReason | None = None
        self._data = bytearray()
        # When the client connected. The request's time budget includes the transfer of its body.
        self._began_us = 0
        self._variables: dict[str, str] = {}
        self._body_bytes = 0  # Length of the body as stated in the packet.
        self._alarm: Alarm | None = None

    @property
    def reading(self) -> bool:
        """Whether a request has been received in part, and the rest may still arrive."""
        return self.state is State.READING_BODY or bool(self._data)

    def connectionMade(self) -> None:
        """Register the new connection."""
        self.transport.setTcpNoDelay(True)
        # Starts a timeout, so that a client that stops within its request does not keep its slot forever.
        self._factory.limiter.connection_opened(self)
        self._core.counters.add("uwsgi connections")
        self._began_us = self._core.clock.now

    def request_close(self) -> None:
        """Do nothing: uwsgi can't ask a client to close. An idle client gets status 408 from `try_close`."""

    def try_close(self, end_reason: EndReason) -> bool:
        """Answer 408 and close, since the request has not arrived in time or its slot is needed.

        Return False and stay open if the rest of the request is in unread input.
        """
        self.read_pending_input()
        if self.state is State.AWAITING_ANSWER:
            return False
        if self.state is not State.ANSWERED:
            self.end_reason = self.end_reason or end_reason
            self._finish(
                build_response(408, b"the request did not come whole in time"),
                close_now=end_reason is EndReason.EVICTED_WHILE_IDLE,
            )
        return True

    def abort(self) -> None:
        """Abort the connection, since the answer is not being read."""
        if self in self._factory.limiter.connections:
            self.end_reason = self.end_reason or EndReason.IDLE_TIMEOUT
            self.transport.abortConnection()

    def connectionLost(self, reason: object = None) -> None:
        """Release the connection's slot, count why it ended, and cancel its request.

        A request that has not arrived completely was never submitted to the core.
        """
        if self._alarm is not None:
            self._alarm.cancel()
        self._factory.limiter.connection_closed(self)
        end_reason = self.end_reason or (
            EndReason.CLOSED_LOCALLY if self.state is State.ANSWERED else EndReason.CLOSED_BY_PEER
        )
        self._core.counters.add("uwsgi connections: " + end_reason.value)
        if self.request is not None:
            self._core.caller_disconnected(self.request)
        self.state = State.ANSWERED
        self.request = None

    def dataReceived(self, data: bytes) -> None:
        """Parse data of the request, and discard any data after it."""
        if self.state in (State.AWAITING_ANSWER, State.ANSWERED):
            return
        self._data += data
        try:
            if self.state is State.READING_PACKET:
                self._read_packet()
            if self.state is State.READING_BODY and len(self._data) >= self._body_bytes:
                self._submit(bytes(self._data[: self._body_bytes]))
        except InvalidPacketError as error:
            self._core.counters.add("faulty")
            self._data.clear()
            self._finish(build_response(error.status, str(error).encode()))

    def _read_packet(self) -> None:
        if len(self._data) < HEAD.size:
            return
        modifier1, size, modifier2 = HEAD.unpack_from(self._data)
        if modifier1 == PING:
            self._core.counters.add("health checks")
            self._finish(HEAD.pack(PING, 0, PONG) if self._factory.is_fit() else b"")
            return
        if modifier1 != WSGI or modifier2 != 0:
            raise InvalidPacketError(
                400, f"modifiers {modifier1}, {modifier2}: only 0, 0 and pings are served"
            )
        if len(self._data) < HEAD.size + size:
            return
        self._variables = parse_vars(bytes(self._data[HEAD.size : HEAD.size + size]))
        self._body_bytes = content_length(self._variables, self._factory.max_body_bytes)
        del self._data[: HEAD.size + size]
        self.state = State.READING_BODY

    def _submit(self, body: bytes) -> None:
        self._data.clear()
        arrival = read_arrival(self._variables, body, self._began_us)
        submitted = self._core.submit(arrival, self, 0)
        if isinstance(submitted, InvalidArrival):
            self._reject(submitted)
            return
        self.state = State.AWAITING_ANSWER
        self.request = submitted
        self._factory.limiter.connection_busy(self)  # From now on, the core enforces the deadline.

    def _reject(self, reason: InvalidArrival) -> None:
        status = INVALID_ARRIVAL_STATUS[reason]
        headers: dict[str, object] = {"Retry_After": 1} if status == 503 else {}
        if reason in NEVER_RAN:
            headers |= {"X_Moorusher_Backoff_Ms": round(RETRY_AFTER_MS), "X_Moorusher_Never_Ran": 1}
        self._finish(build_response(status, reason.value.encode(), **headers))

    def read_pending_input(self) -> None:
        """Read pending input, so that a request in it is served."""
        if self.state in (State.READING_PACKET, State.READING_BODY):
            read_unread_input(self.transport)

    def close(self) -> None:
        """Close before the runner stops. A request that has not arrived completely is answered as never run."""
        if self.state in (State.READING_PACKET, State.READING_BODY) and self._data:
            refusal = build_response(
                503, Cause.SHUTTING_DOWN.value.encode(), Retry_After=1, X_Moorusher_Never_Ran=1
            )
            self._finish(refusal, close_now=True)
        else:
            self.transport.loseConnection()

    def answer(self, tag: int, answer: Answer, hint: float | None) -> None:
        """Send the final answer."""
        headers: dict[str, object] = {} if hint is None else {"X_Moorusher_Hint": f"{hint:g}"}
        if self._factory.load is not None:
            headers["endpoint_load_metrics"] = self._factory.load()
        if answer.verdict is Verdict.SERVED:
            self._finish(build_response(200, answer.content, **headers))
        elif answer.verdict is Verdict.REJECTED:
            # Retry-After has only whole seconds, so the exact delay is sent in a header of its own.
            headers |= {
                "Retry_After": max(1, math.ceil(answer.retry_after_ms / 1000)),
                "X_Moorusher_Backoff_Ms": round(answer.retry_after_ms),
                "X_Moorusher_Never_Ran": 1,
                "X_Moorusher_Final": int(answer.final),
            }
            self._finish(build_response(503, answer.rejection_message.encode(), **headers))
        else:
            self._finish(build_response(FAILED_STATUS[answer.cause], answer.cause.value.encode(), **headers))

    def _finish(self, data: bytes, close_now: bool = False) -> None:
        """Write the answer, close our half of the connection, and discard input until the other side closes.

        :param close_now: Close at once, since the descriptor is needed or the runner stops.
        """
        # A full close with unread input would reset the connection, and the answer could be lost. The connection is
        # aborted after `LINGER_US`.
        self.state = State.ANSWERED
        self.request = None
        self._factory.limiter.connection_closing(self)
        self.transport.write(data)
        if close_now:
            self.transport.loseConnection()
        else:
            self.transport.loseWriteConnection()
        self._alarm = self._core.alarms.at(self._core.clock.now + LINGER_US, self.abort)


class UwsgiFactory(LimitedFactory):
    """Builds the protocols of uwsgi connections.

    Attributes:
        max_body_bytes: Longest accepted body of a request.
        is_fit: Returns whether pings are answered.
        load: Returns the load report for each answer, None if there is none.
    """

    counter_prefix = "uwsgi connections"

    def __init__(
        self,
        core: RequestEngine,
        max_connections: int,
        max_body_bytes: int,
        idle_s: float,
        is_fit: Callable[[], bool],
    ) -> None:
        super().__init__(core, ConnectionLimiter(core, max_connections, round(idle_s * SECOND), 0))
        self.max_body_bytes = max_body_bytes
        self.is_fit = is_fit
        self.load: Callable[[], str] | None = None

    def connection(self) -> UwsgiProtocol:
        """Return the protocol of a new connection."""
        return UwsgiProtocol(self)

    @property
    def connections(self) -> set[UwsgiProtocol]:
        """The open connections."""
        return cast(set[UwsgiProtocol], self.limiter.connections)
