"""The platform's protocol: JSON-RPC 2.0, a message a line. Framing only."""

from __future__ import annotations

import binascii
import json
from collections.abc import Callable
from typing import Any, cast

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Factory
from twisted.protocols.basic import LineOnlyReceiver
from twisted.python.failure import Failure

from ..core.answer import Answer, Cause, Verdict
from ..core.clock import MS, SECOND
from ..core.decide import Decider
from ..core.endings import Ending
from ..core.intake import BUSY_MS, NEVER_RAN, Fault
from ..core.requests import BUDGET_MS, MEMORY_KB, PEER, RANK, UNIX_MS, Arrival, Range, Request, is_word
from .pending import read_pending
from .places import Places

PARSE, INVALID, NO_METHOD, BAD_PARAMS, FAILED, REFUSED = -32700, -32600, -32601, -32602, -32000, -32014
MOST_OPEN = 32  # requests on one connection
MOST_FAULTS = 16  # on one connection, until it is asked to leave: a front end makes none, but for classes that are not
# here yet, and what it has on its way then has its answers
END_FAULTS = MOST_FAULTS + 2 * MOST_OPEN  # it did not leave
MOST_BODY = 2048
MOST_LINE = 8192  # a body in base64 takes 2,732 of it
# Until a message that gets an answer has come: a bad client is owed its close within 3 s, and a slow one may take 2 s
# over its first request.
SILENCE = 2_500 * MS
IDLENESS = 30 * SECOND  # where the settings name no time after which front ends close idle connections
LINGER = SECOND  # for the other side to read why it is closed
MOST_READ = 16_384  # in one turn, from one connection: two of the longest lines; a crowd of them must not hold the loop
MOST_UNSENT = 256 * 1024  # 32 answers of 4 KiB in base64 are two thirds of it
FAULT_CODES = {Fault.NO_SUCH_CLASS: NO_METHOD, Fault.NO_SUCH_TENANT: BAD_PARAMS, Fault.NO_SUCH_TIME: BAD_PARAMS,
               Fault.TOKEN_MISSING: BAD_PARAMS, Fault.RID_IN_USE: BAD_PARAMS,
               Fault.BODY_DIFFERS: BAD_PARAMS}


class BadParams(ValueError):
    pass


def _number(params: dict[str, Any], key: str, allowed: Range) -> float | None:
    value = params.get(key)
    if value is None:
        return None
    # Not by isinstance alone: True is an int, and JSON as Python reads it has NaN and Infinity, in no range.
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not allowed.has(value):
        raise BadParams(f"{key}: expected a number {allowed}")
    return value


def _needed(params: dict[str, Any], key: str, allowed: Range) -> float:
    value = _number(params, key, allowed)
    if value is None:
        raise BadParams(f"{key}: required")
    return value


def _text(params: dict[str, Any], key: str, most: int) -> str | None:
    value = params.get(key)
    if value is None:
        return None
    if not isinstance(value, str) or not 0 < len(value) <= most:
        raise BadParams(f"{key}: expected a string of 1 to {most} characters")
    return value


def _hex(text: str | None, key: str) -> int | None:
    if text is None:
        return None
    try:
        return int(text, 16)
    except ValueError:
        raise BadParams(f"{key}: expected hex digits") from None


def read_arrival(method: str, params: Any) -> Arrival:
    if not isinstance(params, dict):
        raise BadParams("params: expected an object")
    rid, token = _text(params, "rid", 64), _text(params, "token", 128)
    if rid is None or not is_word(rid, 64):
        raise BadParams("rid: required, of letters, digits and -_.:")
    if token is not None and not is_word(token, 128):
        raise BadParams("token: expected letters, digits and -_.:")
    content = params.get("content", "")
    if not isinstance(content, str):
        raise BadParams("content: expected base64")
    try:
        body = binascii.a2b_base64(content, strict_mode=True)
    except (binascii.Error, ValueError):
        raise BadParams("content: expected base64") from None
    if len(body) > MOST_BODY:
        raise BadParams(f"content: more than {MOST_BODY} bytes")
    peer = _needed(params, "peer", PEER)
    if peer != int(peer):
        raise BadParams("peer: expected a whole number")
    return Arrival(
        rid, method, body, _needed(params, "t0", UNIX_MS), None, _number(params, "budget", BUDGET_MS),
        _text(params, "acct", 256), int(peer), _needed(params, "mem", MEMORY_KB), _needed(params, "prio", RANK),
        token, _hex(_text(params, "obj", 32), "obj"),
        bool(params.get("again")), _number(params, "est", BUDGET_MS))


def _error(tag: object, code: int, message: str, hint: float | None = None, **data: object) -> bytes:
    if hint is not None:
        data["hint"] = hint
    error: dict[str, object] = {"code": code, "message": message}
    if data:
        error["data"] = data
    return json.dumps({"jsonrpc": "2.0", "id": tag, "error": error}).encode() + b"\n"


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
        self.doom: Ending | None = None  # nothing more is read; it closes once what is open has its answer
        self.unsent = 0  # since the other side stopped reading; 0 where it reads
        self._produces = False  # it is registered as the transport's producer
        self.ending: Ending | None = None

    # ---- the connection ----

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = MOST_READ
        # A front end that does not read is not read either; what is already owed is bounded in `_send`.
        self.transport.registerProducer(self, True)
        self._produces = True
        self.core.touch()
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
        ending = self.ending or (Ending.CLOSED_BY_PEER if clean else Ending.LOST)
        self.core.counters.add("connections: " + ending.value)
        requests, self.open = list(self.open.values()), {}
        self.by_rid.clear()
        for request in requests:
            self.core.gone(request)

    def end(self, ending: Ending) -> bool:
        """Close. What has come unread is read first: with a request among it the connection stays; False then."""
        if self.ending is None and ending is not Ending.READS_TOO_SLOWLY and not self.unsent:
            read_pending(self.transport)
            if self.ending is None and self.open:
                return False
            if self.ending is None and ending is Ending.IDLE and self.reading:
                self.owner.places.asked(self)
                return False
        if self.ending is None:
            self._close(ending)
        return True

    def _close(self, ending: Ending) -> None:
        if ending is Ending.MADE_WAY:
            self.leave()  # whoever rests hears why, and sends nothing new
        self.ending = ending
        self.owner.places.closing(self)
        if ending is Ending.READS_TOO_SLOWLY:
            self.transport.abortConnection()
        else:
            self._stop_producing()  # with a producer that is paused, Twisted would never close
            self.transport.loseConnection()

    def lineLengthExceeded(self, line: bytes) -> None:
        self._send(_error(None, PARSE, f"a line of more than {self.MAX_LENGTH} bytes"))
        self._read_no_more(Ending.LINE_TOO_LONG)  # where the next message starts is not known

    def _read_no_more(self, ending: Ending) -> None:
        if self.doom is None:
            self.doom = ending
            self.owner.places.busy(self)
            self._end_if_doomed()

    def _end_by_halves(self, ending: Ending) -> None:
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
        if self.ending is None and self.doom is None:
            self.core.touch()
            super().dataReceived(data)  # type: ignore[no-untyped-call]
            if not self._buffer:
                self._begun = 0
            elif not self._begun or self.delimiter in data:
                self._begun = self.core.clock.now

    def leave(self) -> None:
        if not self.leaving:
            self.leaving = True
            self._send(b'{"jsonrpc":"2.0","method":"leaving"}\n')

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
            self._close(Ending.CLOSED_BY_US)

    def _rested(self) -> None:
        if not self.open:
            self.owner.places.rested(self)

    def _send(self, line: bytes) -> None:
        self.transport.write(line)  # the transport writes once a turn, whatever was added to it
        if self.unsent:
            self.unsent += len(line)
            if self.unsent > MOST_UNSENT:
                self.end(Ending.READS_TOO_SLOWLY)

    # ---- what comes ----

    def lineReceived(self, line: bytes) -> None:
        if self.ending is not None or self.doom is not None:
            return
        if not line.strip():
            return
        self.core.touch()
        self.active = self.core.clock.now
        try:
            message = json.loads(line)
        except (ValueError, RecursionError):
            return self._fault(None, PARSE, "not valid JSON")
        if not isinstance(message, dict) or message.get("jsonrpc") != "2.0":
            return self._fault(None, INVALID, "expected one JSON-RPC 2.0 message")
        method, tag, params = message.get("method"), message.get("id"), message.get("params")
        if isinstance(tag, bool) or not isinstance(tag, int | None):
            return self._fault(None, INVALID, "id: expected a whole number")
        if not isinstance(method, str):
            return self._fault(tag, INVALID, "method: expected a string")
        if method == "revoke":
            return self._revoke(tag, params)
        if method == "heartbeat":
            return self._heartbeat(tag)
        if tag is None:
            return  # a notification of a method that we don't know: JSON-RPC has no answer to it
        if method not in self.core.intake.classes:
            # Front ends learn late of a class that was dropped: no reason to end their connection.
            return self._fault(tag, NO_METHOD, "no such method", method not in self.core.intake.former)
        if tag < 1 or tag in self.open:
            return self._fault(tag, INVALID, "id: expected one from 1 on that is not in use")
        if len(self.open) >= MOST_OPEN:
            return self._fault(tag, INVALID, f"more than {MOST_OPEN} requests open on one connection")
        try:
            arrival = read_arrival(method, params)
        except BadParams as exc:
            return self._fault(tag, BAD_PARAMS, str(exc))
        taken = self.core.take(arrival, self, tag)
        if isinstance(taken, Fault) and taken in NEVER_RAN:
            self._send(_error(tag, REFUSED, taken.value, self.core.hint, backoff=BUSY_MS))
            return self._rested()
        if isinstance(taken, Fault):
            return self._fault(tag, FAULT_CODES.get(taken, FAILED), taken.value, taken in FAULT_CODES)
        self.owner.places.busy(self)
        self.open[tag] = taken
        self.by_rid[taken.rid] = tag

    def _fault(self, tag: int | None, code: int, text: str, theirs: bool = True) -> None:
        self.core.counters.add("faulty")
        self._send(_error(tag, code, text))
        self._rested()
        if theirs:
            self._blame()

    def _blame(self) -> None:
        self.faults += 1
        if self.faults == MOST_FAULTS:
            self.leave()  # one that knows the protocol sends nothing new here; what is on its way has its answers
        if self.faults >= END_FAULTS:
            self._read_no_more(Ending.TOO_FAULTY)

    def _end_if_doomed(self) -> None:
        if self.doom is not None and not self.open:
            self._end_by_halves(self.doom)

    def _heartbeat(self, tag: int | None) -> None:
        result: dict[str, object] = {"fit": self.owner.fit()}
        if self.core.hint is not None:
            result["hint"] = self.core.hint
        self.core.counters.add("health checks")
        self._send(json.dumps({"jsonrpc": "2.0", "id": tag, "result": result}).encode() + b"\n")
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
            self.core.gone(request)
            self._rested()
        if tag is not None and tag not in self.open:
            self._send(json.dumps({"jsonrpc": "2.0", "id": tag, "result": {}}).encode() + b"\n")

    # ---- what goes back ----

    def answer(self, tag: int, answer: Answer, hint: float | None) -> None:
        request = self.open.pop(tag, None)
        if request is not None:
            self.by_rid.pop(request.rid, None)
            self._rested()
        if answer.verdict is Verdict.SERVED:
            content = binascii.b2a_base64(answer.content, newline=False)
            more = b"" if hint is None else b',"hint":%s' % json.dumps(hint).encode()
            self._send(b'{"jsonrpc":"2.0","id":%d,"result":{"content":"%s"%s}}\n' % (tag, content, more))
        elif answer.verdict is Verdict.REFUSED:
            data: dict[str, object] = {"backoff": answer.backoff_ms}
            if answer.final:
                data["final"] = 1
            self._send(_error(tag, REFUSED, answer.words, hint, **data))
        else:
            self._send(_error(tag, FAILED, answer.cause.value, hint))
            if answer.cause is Cause.NOT_ACCEPTED:
                self._blame()
        self._end_if_doomed()


class JsonRpcFront(Factory):
    """The listening side: its connections, their bound, and leaving."""

    noisy = False

    def __init__(self, core: Decider, most: int, fit: Callable[[], bool]) -> None:
        self.core, self.draining = core, False
        self.fit = fit  # what health checks hear
        idleness = round(core.settings.idle_connection_ms * MS) or IDLENESS
        self.places = Places(core, most, SILENCE, idleness)

    def buildProtocol(self, addr: object) -> JsonRpcConnection | None:
        self.core.touch()
        if not self.places.room():
            self.core.counters.add("connections: " + Ending.TOO_MANY.value)
            return None
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
