"""The platform's protocol: JSON-RPC 2.0, a message a line. Framing only."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, cast

from twisted.internet.error import ConnectionDone
from twisted.protocols.basic import LineOnlyReceiver
from twisted.python.failure import Failure

from ..core.answer import Answer, Cause
from ..core.clock import MS, SECOND
from ..core.outcomes import EndReason
from ..core.registration import NEVER_RAN, RETRY_AFTER_MS, InvalidArrival
from ..core.request_engine import RequestEngine
from ..core.requests import Request
from .connection_limits import Places
from .jsonrpc_messages import (
    BAD_PARAMS,
    FAILED,
    FAULT_CODES,
    INVALID,
    LEAVING,
    NO_METHOD,
    PARSE,
    REFUSED,
    BadMessage,
    BadParams,
    answer_line,
    error_line,
    read_arrival,
    read_message,
    result_line,
)
from .limited_protocol import PlacedFront
from .unread_input import read_pending

MOST_OPEN = 32  # requests on one connection
MOST_FAULTS = (
    16  # on one connection, until it is asked to leave: a front end makes none, but for classes that are not
)
# here yet, and what it has on its way then has its answers
END_FAULTS = MOST_FAULTS + 2 * MOST_OPEN  # it did not leave
MOST_LINE = 8192  # a body in base64 takes 2,732 of it
# Until a message that gets an answer has come: a bad client is owed its close within 3 s, and a slow one may take 2 s
# over its first request.
SILENCE = 2_500 * MS
IDLENESS = 30 * SECOND  # where the settings name no time after which front ends close idle connections
LINGER = SECOND  # for the other side to read why it is closed
MOST_READ = 16_384  # in one turn, from one connection: two of the longest lines; a crowd of them must not hold the loop
MOST_UNSENT = 256 * 1024  # 32 answers of 4 KiB in base64 are two thirds of it


class JsonRpcConnection(LineOnlyReceiver):
    """One connection of a front end, and the way back for the requests that came on it."""

    transport: Any  # zope's interfaces mean nothing to mypy
    delimiter = b"\n"
    MAX_LENGTH = MOST_LINE

    def __init__(self, owner: JsonRpcFront) -> None:
        self.owner, self.core = owner, owner.core
        self.open: dict[int, Request] = {}
        self.by_rid: dict[str, int] = {}
        self.active = self.faults = 0  # when something last came; what was malformed
        self._begun = 0  # when the message began whose end has not come yet; 0 where there is none
        self.leaving = False
        self.last_ending: EndReason | None = (
            None  # nothing more is read; it closes once what is open has its answer
        )
        self.unsent = 0  # since the other side stopped reading; 0 where it reads
        self._produces = False  # it is registered as the transport's producer
        self.ending: EndReason | None = None

    # ---- the connection ----

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = MOST_READ
        # A front end that does not read is not read either; what is already owed is bounded in `_send`.
        self.transport.registerProducer(self, True)
        self._produces = True
        self.core.begin_turn()
        self.active = self.core.clock.now
        self.owner.places.joined(self)
        self.core.counters.add("connections")
        if self.owner.draining:
            self.leave()

    def pauseProducing(self) -> None:
        self.unsent = 1
        self.transport.pauseProducing()

    def resumeProducing(self) -> None:
        self.unsent = 0
        self.transport.resumeProducing()

    def stopProducing(self) -> None:
        """The transport says so as the connection ends; `connectionLost` follows."""

    def _stop_producing(self) -> None:
        if self._produces:
            self._produces = False
            self.transport.unregisterProducer()

    def connectionLost(self, reason: Failure | None = None) -> None:
        self._stop_producing()
        clean = reason is None or reason.check(ConnectionDone)  # type: ignore[no-untyped-call]
        self.owner.places.left(self)
        ending = self.ending or (EndReason.CLOSED_BY_PEER if clean else EndReason.CONNECTION_LOST)
        self.core.counters.add("connections: " + ending.value)
        requests, self.open = list(self.open.values()), {}
        self.by_rid.clear()
        for request in requests:
            self.core.caller_gone(request)

    def end(self, ending: EndReason) -> bool:
        """Close. What has come unread is read first: with a request among it the connection stays; False then."""
        if self.ending is None and ending is not EndReason.SLOW_READER and not self.unsent:
            read_pending(self.transport)
            if self.ending is None and self.open:
                return False
            if self.ending is None and ending is EndReason.IDLE_TIMEOUT and self.reading:
                self.owner.places.asked(self)
                return False
        if self.ending is None:
            self._close(ending)
        return True

    def _close(self, ending: EndReason) -> None:
        if ending is EndReason.EVICTED_WHILE_IDLE:
            self.leave()  # whoever rests hears why, and sends nothing new
        self.ending = ending
        self.owner.places.closing(self)
        if ending is EndReason.SLOW_READER:
            self.transport.abortConnection()
        else:
            self._stop_producing()  # with a producer that is paused, Twisted would never close
            self.transport.loseConnection()

    def lineLengthExceeded(self, line: bytes) -> None:
        self._send(error_line(None, PARSE, f"a line of more than {self.MAX_LENGTH} bytes"))
        self._stop_reading(EndReason.LINE_TOO_LONG)  # where the next message starts is not known

    def _stop_reading(self, ending: EndReason) -> None:
        if self.last_ending is None:
            self.last_ending = ending
            self.owner.places.busy(self)
            self._end_if_answered()

    def _half_close(self, ending: EndReason) -> None:
        """A close with input unread would reset the connection, and the other side might never see the error: our
        half is closed, and what still comes is thrown away."""
        if self.ending is None:
            self.ending = ending
            self.owner.places.closing(self)
            self.transport.loseWriteConnection()
            self.core.alarms.at(self.core.clock.now + LINGER, self.cut)

    def cut(self) -> None:
        if self in self.owner.places.all:
            self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:
        if self.ending is None and self.last_ending is None:
            self.core.begin_turn()
            super().dataReceived(data)  # type: ignore[no-untyped-call]
            if not self._buffer:
                self._begun = 0
            elif not self._begun or self.delimiter in data:
                self._begun = self.core.clock.now

    def leave(self) -> None:
        if not self.leaving:
            self.leaving = True
            self._send(LEAVING)

    @property
    def reading(self) -> bool:
        """A message has begun, and its rest may still come."""
        return self._begun > 0 and self.core.clock.now - self._begun < SILENCE

    def read_rest(self) -> None:
        """The runner ends: what has come until now still gets its answer."""
        if self.ending is None and not self.unsent:
            read_pending(self.transport)

    def close(self) -> None:
        """The runner ends, and all that was open has its answer."""
        if self.ending is None:
            self._close(EndReason.CLOSED_LOCALLY)

    def _rested(self) -> None:
        if not self.open:
            self.owner.places.rested(self)

    def _send(self, line: bytes) -> None:
        self.transport.write(line)  # the transport writes once a turn, whatever was added to it
        if self.unsent:
            self.unsent += len(line)
            if self.unsent > MOST_UNSENT:
                self.end(EndReason.SLOW_READER)

    # ---- what comes ----

    def lineReceived(self, line: bytes) -> None:
        if self.ending is not None or self.last_ending is not None:
            return
        if not line.strip():
            return
        self.core.begin_turn()
        self.active = self.core.clock.now
        try:
            message = read_message(line)
        except BadMessage as exc:
            return self._fault(exc.tag, exc.code, str(exc))
        if message.method == "revoke":
            return self._revoke(message.tag, message.params)
        if message.method == "heartbeat":
            return self._heartbeat(message.tag)
        if message.tag is not None:  # JSON-RPC has no answer to a notification of a method that we don't know
            self._request(message.method, message.tag, message.params)

    def _request(self, method: str, tag: int, params: Any) -> None:
        if method not in self.core.registrar.classes:
            # Front ends learn late of a class that was dropped: no reason to end their connection.
            return self._fault(
                tag, NO_METHOD, "no such method", method not in self.core.registrar.former_classes
            )
        if tag < 1 or tag in self.open:
            return self._fault(tag, INVALID, "id: expected one from 1 on that is not in use")
        if len(self.open) >= MOST_OPEN:
            return self._fault(tag, INVALID, f"more than {MOST_OPEN} requests open on one connection")
        try:
            arrival = read_arrival(method, params, self._begun or None)
        except BadParams as exc:
            return self._fault(tag, BAD_PARAMS, str(exc))
        taken = self.core.submit(arrival, self, tag)
        if isinstance(taken, InvalidArrival) and taken in NEVER_RAN:
            self._send(
                error_line(tag, REFUSED, taken.value, self.core.state.load_signal, backoff=RETRY_AFTER_MS)
            )
            return self._rested()
        if isinstance(taken, InvalidArrival):
            return self._fault(tag, FAULT_CODES.get(taken, FAILED), taken.value, taken in FAULT_CODES)
        self.owner.places.busy(self)
        self.open[tag] = taken
        self.by_rid[taken.rid] = tag

    def _fault(self, tag: int | None, code: int, text: str, theirs: bool = True) -> None:
        self.core.counters.add("faulty")
        self._send(error_line(tag, code, text))
        self._rested()
        if theirs:
            self._blame()

    def _blame(self) -> None:
        self.faults += 1
        if self.faults == MOST_FAULTS:
            self.leave()  # one that knows the protocol sends nothing new here; what is on its way has its answers
        if self.faults >= END_FAULTS:
            self._stop_reading(EndReason.TOO_MANY_ERRORS)

    def _end_if_answered(self) -> None:
        if self.last_ending is not None and not self.open:
            self._half_close(self.last_ending)

    def _heartbeat(self, tag: int | None) -> None:
        result: dict[str, object] = {"fit": self.owner.fit()}
        if self.core.state.load_signal is not None:
            result["hint"] = self.core.state.load_signal
        self.core.counters.add("health checks")
        self._send(result_line(tag, result))
        self._rested()

    def _revoke(self, tag: int | None, params: Any) -> None:
        """Names the request by its rid, or by its id on this connection."""
        named = params if isinstance(params, dict) else {}
        number = named.get("id")
        rid = named.get("rid")
        if isinstance(rid, str):
            number = self.by_rid.get(rid)
        request = self.open.pop(number, None) if isinstance(number, int) else None
        if request is not None:
            self.by_rid.pop(request.rid, None)
            self.core.caller_gone(request)
            self._rested()
        if tag is not None and tag not in self.open:
            self._send(result_line(tag, {}))

    # ---- what goes back ----

    def answer(self, tag: int, answer: Answer, hint: float | None) -> None:
        request = self.open.pop(tag, None)
        if request is not None:
            self.by_rid.pop(request.rid, None)
            self._rested()
        self._send(answer_line(tag, answer, hint))
        if answer.cause is Cause.UNKNOWN_TO_KERNEL:
            self._blame()
        self._end_if_answered()


class JsonRpcFront(PlacedFront):
    """The listening side: its connections, their bound, and leaving."""

    def __init__(self, core: RequestEngine, most: int, fit: Callable[[], bool]) -> None:
        idleness = round(core.settings.max_idle_connection_ms * MS) or IDLENESS
        super().__init__(core, Places(core, most, SILENCE, idleness))
        self.draining = False
        self.fit = fit  # what health checks hear

    def connection(self) -> JsonRpcConnection:
        """A new connection of a front end."""
        return JsonRpcConnection(self)

    @property
    def connections(self) -> set[JsonRpcConnection]:
        return cast(set[JsonRpcConnection], self.places.all)

    def leave(self) -> None:
        self.draining = True
        for connection in list(self.connections):
            connection.leave()

    def trim(self, idle: int) -> None:
        """From now on, ask front ends to close what has carried nothing for so long: our own close could cross a
        request."""
        self.places.idle_after(idle)
