"""The uwsgi protocol: a packet of variables, then a body, then an HTTP response. Framing only.

Variables: CONTENT_LENGTH and those named in `VARS`; README.md has the table of statuses.
"""

from __future__ import annotations

import math
import secrets
import struct
from collections.abc import Callable
from enum import Enum
from typing import Any, cast

from twisted.internet.protocol import Factory, Protocol

from ..core.answer import Answer, Cause, Verdict
from ..core.clock import SECOND, Alarm
from ..core.decide import Decider
from ..core.endings import Ending
from ..core.intake import BUSY_MS, NEVER_RAN, Fault
from ..core.requests import BUDGET_MS, MEMORY_KB, PEER, RANK, UNIX_MS, Arrival, Range, Request, is_word
from .pending import read_pending
from .places import Places

HEAD = struct.Struct("<BHB")  # modifier1, size of the variables, modifier2
LENGTH = struct.Struct("<H")
WSGI, PING, PONG = 0, 100, 1
MOST_VARS = 128
MOST_UNREAD = 65_535 + 4  # a packet of variables can't be larger
LINGER = 2 * SECOND  # for an answer to be read, and for the other side to close

VARS = {
    "class": "MOORUSHER_CLASS", "tenant": "MOORUSHER_TENANT", "budget": "MOORUSHER_BUDGET_MS",
    "token": "MOORUSHER_TOKEN", "rid": "MOORUSHER_RID", "t0": "MOORUSHER_T0_MS", "peer": "MOORUSHER_PEER",
    "mem": "MOORUSHER_MEMORY_KB", "prio": "MOORUSHER_RANK", "obj": "MOORUSHER_SUBJECT",
}

FAULT_STATUS = {
    Fault.NO_SUCH_CLASS: 404, Fault.NO_SUCH_TENANT: 403, Fault.TOKEN_MISSING: 400, Fault.RID_IN_USE: 409,
    Fault.BODY_DIFFERS: 422, Fault.NO_SUCH_TIME: 400,
    Fault.KEY_UNSURE: 503, Fault.TOO_MANY: 503, Fault.KEYS_FULL: 503, Fault.NOT_READY: 503,
    Fault.RULES_UNKNOWN: 503,
}
# A gateway's two words: what stood behind it failed (502), or did not answer in time (504).
FAILED_STATUS = {
    Cause.RUN_FAILED: 502, Cause.NOT_ACCEPTED: 502, Cause.NO_RESULT: 502, Cause.FAULT: 502,
    Cause.GIVEN_UP: 504, Cause.STOPPING: 504, Cause.MAY_GO_ON: 504,
}
REASONS = {200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found", 408: "Request Timeout", 409: "Conflict",
           413: "Content Too Large",
           422: "Unprocessable Content", 502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout"}


class BadPacket(ValueError):
    """What was read is no uwsgi request; `status` is for the HTTP response."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


def parse_vars(block: bytes) -> dict[str, str]:
    """Pairs of key and value, each with its length before it. A later pair of one key wins, as in uWSGI."""
    found: dict[str, str] = {}
    at, end = 0, len(block)
    while at < end:
        pair = []
        for _ in range(2):
            if at + 2 > end:
                raise BadPacket(400, "a length runs past the variables")
            (size,) = LENGTH.unpack_from(block, at)
            at += 2
            if at + size > end:
                raise BadPacket(400, "a variable runs past its packet")
            pair.append(block[at:at + size].decode("latin-1"))
            at += size
        if not pair[0]:
            raise BadPacket(400, "a variable without a name")
        found[pair[0]] = pair[1]
        if len(found) > MOST_VARS:
            raise BadPacket(400, f"more than {MOST_VARS} variables")
    return found


def build_packet(variables: dict[str, str], modifier1: int = WSGI, modifier2: int = 0) -> bytes:
    parts = []
    for pair in variables.items():
        for text in pair:
            raw = text.encode("latin-1")
            parts.append(LENGTH.pack(len(raw)) + raw)
    block = b"".join(parts)
    return HEAD.pack(modifier1, len(block), modifier2) + block


def content_length(variables: dict[str, str], most: int) -> int:
    text = variables.get("CONTENT_LENGTH", "")
    if not text:
        return 0
    # isdigit alone lets other scripts' digits pass; int alone lets '+5', ' 5' and '1_0' pass.
    if not (text.isascii() and text.isdigit()):
        raise BadPacket(400, "CONTENT_LENGTH: expected a whole number")
    if len(text) > 12 or int(text) > most:
        raise BadPacket(413, f"CONTENT_LENGTH: more than {most}")
    return int(text)


def _number(variables: dict[str, str], name: str, allowed: Range) -> float | None:
    text = variables.get(VARS[name], "")
    if not text:
        return None
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not allowed.has(value):
        raise BadPacket(400, f"{VARS[name]}: expected a number {allowed}")
    return value


def read_arrival(variables: dict[str, str], body: bytes, came: int | None = None) -> Arrival:
    if not (klass := variables.get(VARS["class"], "")):
        raise BadPacket(400, f"{VARS['class']}: required")
    rid = variables.get(VARS["rid"], "") or secrets.token_hex(8)
    token = variables.get(VARS["token"], "") or None
    if not is_word(rid, 64) or (token is not None and not is_word(token, 128)):
        raise BadPacket(400, f"{VARS['rid']}, {VARS['token']}: expected letters, digits and -_.:")
    subject = variables.get(VARS["obj"], "")
    try:
        obj = int(subject, 16) if subject else None
    except ValueError:
        raise BadPacket(400, f"{VARS['obj']}: expected hex digits") from None
    return Arrival(
        rid, klass, body, _number(variables, "t0", UNIX_MS), came, _number(variables, "budget", BUDGET_MS),
        variables.get(VARS["tenant"], "") or None, int(_number(variables, "peer", PEER) or 0),
        _number(variables, "mem", MEMORY_KB) or len(body) / 1024 + 1, _number(variables, "prio", RANK) or 0.0,
        token, obj)


def response(status: int, body: bytes = b"", **headers: object) -> bytes:
    lines = [f"HTTP/1.1 {status} {REASONS[status]}", f"Content-Length: {len(body)}",
             "Content-Type: application/octet-stream", "Connection: close"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class State(Enum):
    VARS = "reading the packet"
    BODY = "reading the body"
    ASKED = "waits for its answer"
    OVER = "answered"


class UwsgiConnection(Protocol):
    """One request: the protocol has no way to put a second on a connection."""

    transport: Any

    def __init__(self, owner: UwsgiFront) -> None:
        self.owner, self.core = owner, owner.core
        self.state = State.VARS
        self.request: Request | None = None
        self.ending: Ending | None = None
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
        self.owner.places.joined(self)
        self.core.counters.add("uwsgi connections")
        self._since = self.core.clock.now  # a client's budget runs while its body is still on the way

    def leave(self) -> None:
        """uwsgi has no word for it: an idle client is simply told that it was too slow."""

    def end(self, ending: Ending) -> bool:
        """It has not come whole: in time, or as its place was needed. False where its rest was only unread."""
        self.read_rest()
        if self.state is State.ASKED:
            return False
        if self.state is not State.OVER:
            self.ending = self.ending or ending
            self._finish(response(408, b"the request did not come whole in time"), at_once=ending is Ending.MADE_WAY)
        return True

    def cut(self) -> None:
        """Answered, and the answer is not being read."""
        if self in self.owner.places.all:
            self.ending = self.ending or Ending.IDLE
            self.transport.abortConnection()

    def connectionLost(self, reason: object = None) -> None:
        if self._alarm is not None:
            self._alarm.cancel()
        self.owner.places.left(self)
        ending = self.ending or (Ending.CLOSED_BY_US if self.state is State.OVER else Ending.CLOSED_BY_PEER)
        self.core.counters.add("uwsgi connections: " + ending.value)
        # In the packet or its body: nothing has entered the core. After it: the caller is gone.
        if self.request is not None:
            self.core.gone(self.request)
        self.state, self.request = State.OVER, None

    def dataReceived(self, data: bytes) -> None:
        if self.state in (State.ASKED, State.OVER):
            return  # nothing may follow a request: it is not read as part of one
        self._data += data
        try:
            if self.state is State.VARS:
                self._read_packet()
            if self.state is State.BODY and len(self._data) >= self._length:
                self._ask(bytes(self._data[:self._length]))
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
        self._vars = parse_vars(bytes(self._data[HEAD.size:HEAD.size + size]))
        self._length = content_length(self._vars, self.owner.most_body)
        del self._data[:HEAD.size + size]
        self.state = State.BODY

    def _ask(self, body: bytes) -> None:
        self._data.clear()
        arrival = read_arrival(self._vars, body, self._since)
        taken = self.core.take(arrival, self, 0)
        if isinstance(taken, Fault):
            status = FAULT_STATUS[taken]
            more: dict[str, object] = {"Retry_After": 1} if status == 503 else {}
            if taken in NEVER_RAN:
                more |= {"X_Moorusher_Backoff_Ms": round(BUSY_MS), "X_Moorusher_Never_Ran": 1}
            return self._finish(response(status, taken.value.encode(), **more))
        self.state, self.request = State.ASKED, taken
        self.owner.places.busy(self)  # from here the core sees to the time

    def read_rest(self) -> None:
        """What has come until now still counts."""
        if self.state in (State.VARS, State.BODY):
            read_pending(self.transport)

    def close(self) -> None:
        """The runner ends: what has not come whole never entered the core, and may go elsewhere."""
        if self.state in (State.VARS, State.BODY) and self._data:
            said = response(503, Cause.STOPPING.value.encode(), Retry_After=1, X_Moorusher_Never_Ran=1)
            self._finish(said, at_once=True)
        else:
            self.transport.loseConnection()

    def answer(self, tag: int, answer: Answer, hint: float | None) -> None:
        more: dict[str, object] = {} if hint is None else {"X_Moorusher_Hint": f"{hint:g}"}
        if self.owner.load is not None:
            more["endpoint_load_metrics"] = self.owner.load()
        if answer.verdict is Verdict.SERVED:
            return self._finish(response(200, answer.content, **more))
        if answer.verdict is Verdict.REFUSED:
            # Whole seconds are all that Retry-After can say; the exact wait stands beside it.
            more |= {"Retry_After": max(1, math.ceil(answer.backoff_ms / 1000)),
                     "X_Moorusher_Backoff_Ms": round(answer.backoff_ms),
                     "X_Moorusher_Never_Ran": 1, "X_Moorusher_Final": int(answer.final)}
            return self._finish(response(503, answer.words.encode(), **more))
        self._finish(response(FAILED_STATUS[answer.cause], answer.cause.value.encode(), **more))

    def _finish(self, data: bytes, at_once: bool = False) -> None:
        """Our half is closed, and what still comes is thrown away until the other side closes or its time is over: with
        input unread, a close would reset the connection before the answer is seen. `at_once`: its descriptor is needed,
        or the runner ends."""
        self.state, self.request = State.OVER, None
        self.owner.places.closing(self)
        self.transport.write(data)
        if at_once:
            self.transport.loseConnection()
        else:
            self.transport.loseWriteConnection()
        self._alarm = self.core.alarms.at(self.core.clock.now + LINGER, self.cut)


class UwsgiFront(Factory):
    noisy = False

    def __init__(self, core: Decider, most: int, most_body: int, idle_s: float,
                 fit: Callable[[], bool]) -> None:
        self.core, self.most_body, self.fit = core, most_body, fit
        self.load: Callable[[], str] | None = None  # the load report that goes with each answer
        self.places = Places(core, most, round(idle_s * SECOND), 0)

    def buildProtocol(self, addr: object) -> UwsgiConnection | None:
        self.core.touch()
        if not self.places.room():
            self.core.counters.add("uwsgi connections: " + Ending.TOO_MANY.value)
            return None
        return UwsgiConnection(self)

    @property
    def connections(self) -> set[UwsgiConnection]:
        return cast(set[UwsgiConnection], self.places.all)
