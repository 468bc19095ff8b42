"""Calls below over HTTP/1.1: a pool of connections with one call at a time on each. Framing only."""

from __future__ import annotations

from collections import deque
from typing import Any

from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from moorusher.scheduling.retry_policy import Evidence, may_retry, tolerates_duplicates

from ..config.section import Address
from ..core.call import CallRequest
from ..core.clock import MS, SECOND, Alarm
from ..core.outcomes import EndReason
from ..core.request_engine import RequestEngine
from .http_client import HttpClient

SETTLE = 20 * MS  # after a reply, for what should not follow it
IDLE = 7 * SECOND  # the other side closes after 10 s: a call must not cross that close
MOST_IDLE = 32
MOST_OPEN = 1024


def ending_of(status: int, headers: dict[bytes, bytes]) -> EndReason:
    """How a call ended, by its reply; without a proof it may have run."""
    never = headers.get(b"never-started") == b"1"
    if status == 200:
        return EndReason.CALL_ANSWERED
    if status == 503 and never:
        return EndReason.CALL_REJECTED
    if status == 409 and never:
        return EndReason.CALL_NOT_AWAITED
    if status == 504:
        return EndReason.CALL_DEADLINE_EXCEEDED
    return EndReason.CALL_FAILED  # without the proof it may have had its effect


class DatabaseConnection(HttpClient):
    """A connection to the database: one call at a time."""

    def __init__(self, pool: DatabasePool, first: tuple[int, CallRequest]) -> None:
        super().__init__()
        self.pool, self.first, self.address = pool, first, pool.address
        self.number: int | None = None  # the request whose call is on it
        self.call: CallRequest | None = None
        self.idle_since = 0
        self.reused = False

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.send(*self.first)

    def send(self, number: int, asked: CallRequest) -> None:
        self.number, self.call = number, asked
        self.asked()
        self.transport.write(
            b"POST /v1/exec HTTP/1.1\r\nHost: db\r\nRequest-Ref: %s\r\nStatement-Timeout-Ms: %d\r\n"
            b"Content-Length: %d\r\n\r\n%s"
            % (asked.rid.encode(), asked.timeout_ms, len(asked.body), asked.body)
        )

    def replied(self, status: int, headers: dict[bytes, bytes], body: bytes, keep: bool) -> None:
        self.pool.core.begin_turn()
        number, self.number = self.number, None
        if number is None or not keep or self.address != self.pool.address:
            self.transport.loseConnection()
        else:
            self.pool.spare(self)
        if number is not None:
            self.pool.over(number, ending_of(status, headers), body)

    def stray(self) -> None:
        """More than the reply: what else comes could be taken for the next one."""
        self.pool.lost(self)
        self.transport.abortConnection()

    def garbled(self, why: str) -> None:
        number, self.number = self.number, None
        self.transport.abortConnection()
        if number is not None:
            self.pool.over(number, EndReason.CALL_REPLY_UNREADABLE, b"")

    def connectionLost(self, reason: Failure | None = None) -> None:
        self.pool.lost(self)
        number, self.number = self.number, None
        if number is None:
            return
        call = self.call
        if self.reused and call is not None and may_retry(call.effect, Evidence.CONNECTION_RESET):
            self.pool.core.counters.add("calls sent again: a connection that was idle broke")
            self.pool.dial(number, call)  # forgotten by the other side while idle, most likely
        else:
            self.pool.over(number, EndReason.CALL_CONNECTION_LOST, b"")


class _Dial(ClientFactory):
    """A connection that is being made for one call; the call is written as it comes up."""

    noisy = False

    def __init__(self, pool: DatabasePool, number: int, asked: CallRequest) -> None:
        self.pool, self.number, self.given_up = pool, number, False
        self.call = (number, asked)
        self.address, self.connector = pool.address, None  # type: Address, Any

    def buildProtocol(self, addr: object) -> DatabaseConnection | None:
        if self.given_up:
            return None
        connection = DatabaseConnection(self.pool, self.call)
        self.pool.connected(self.number, connection)
        return connection

    def dial(self, address: Address) -> None:
        self.address = address
        self.connector = self.pool.reactor.connectTCP(*address, self, timeout=30)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        if self.given_up:
            return
        if self.address != self.pool.address:
            self.dial(self.pool.address)  # nothing was written yet: the call goes where the database is now
        else:
            self.pool.over(self.number, EndReason.CALL_NOT_CONNECTED, b"")


class DatabasePool:
    """All connections to one database, and the calls that are out on them."""

    def __init__(self, reactor: Any, address: Address, most_idle: int = MOST_IDLE) -> None:
        self.reactor, self.address, self.most_idle = reactor, address, most_idle
        self.most_open = MOST_OPEN  # connections that carry or are made for a call
        self.core: RequestEngine  # set by the owner
        self._idle: deque[DatabaseConnection] = deque()  # oldest first; the newest is used first
        self._dialling: dict[int, _Dial] = {}
        self._busy: dict[int, DatabaseConnection] = {}
        self._alarm: Alarm | None = None

    # ---- from the core ----

    def call(self, number: int, asked: CallRequest) -> None:
        self._close_old()
        connection = self._settled() if tolerates_duplicates(asked.effect) else None
        if connection is None:
            return self.dial(number, asked)
        self._idle.remove(connection)
        self._busy[number] = connection
        connection.reused = True
        connection.send(number, asked)

    def _settled(self) -> DatabaseConnection | None:
        """The connection that became idle last, but not just now: late noise or a second copy of its reply would
        be taken for the next one. A call that must not run twice gets a fresh one: a reset on one that was idle
        proves nothing."""
        latest = self.core.clock.now - SETTLE
        return next((c for c in reversed(self._idle) if c.idle_since <= latest), None)

    def dial(self, number: int, asked: CallRequest) -> None:
        """On a fresh connection; where none may be made, nothing was sent."""
        if len(self._busy) + len(self._dialling) >= self.most_open:
            return self.over(number, EndReason.CALL_NOT_CONNECTED, b"")
        dial = self._dialling[number] = _Dial(self, number, asked)
        dial.dial(self.address)

    def give_up(self, number: int) -> None:
        """By closing its connection: that is how the other side hears of it."""
        if (dial := self._dialling.pop(number, None)) is not None:
            dial.given_up = True
            if dial.connector is not None:
                dial.connector.disconnect()
        if (connection := self._busy.pop(number, None)) is not None:
            connection.number = None
            connection.transport.abortConnection()

    def move(self, address: Address) -> None:
        """New calls go to the new address; those under way at the old one may still be answered there."""
        if address == self.address:
            return
        self.address = address
        idle, self._idle = self._idle, deque()
        for connection in idle:
            connection.transport.loseConnection()
        for dial in list(self._dialling.values()):
            dial.connector.disconnect()  # `clientConnectionFailed` dials anew

    def close(self) -> None:
        """No more calls are made here: what is kept goes, what is under way ends as it does."""
        self.keep(0)

    def keep(self, most_idle: int = MOST_IDLE) -> None:
        """So many connections without a call, from now on."""
        self.most_idle = most_idle
        while len(self._idle) > most_idle:
            self._idle.popleft().transport.loseConnection()

    # ---- from the connections ----

    def connected(self, number: int, connection: DatabaseConnection) -> None:
        self._dialling.pop(number, None)
        self._busy[number] = connection

    def over(self, number: int, ending: EndReason, body: bytes) -> None:
        self._dialling.pop(number, None)
        self._busy.pop(number, None)
        self.core.execution.call_ended(number, ending, body)

    def spare(self, connection: DatabaseConnection) -> None:
        connection.idle_since = self.core.clock.now
        self._idle.append(connection)
        if len(self._idle) > self.most_idle:
            self._idle.popleft().transport.loseConnection()
        self._watch()

    def lost(self, connection: DatabaseConnection) -> None:
        if connection in self._idle:
            self._idle.remove(connection)

    def _close_old(self) -> None:
        while self._idle and self.core.clock.now - self._idle[0].idle_since >= IDLE:
            self._idle.popleft().transport.loseConnection()

    def _watch(self) -> None:
        """One alarm for the connection that has been idle longest."""
        if self._alarm is None and self._idle:
            self._alarm = self.core.alarms.at(self._idle[0].idle_since + IDLE, self._aged)

    def _aged(self) -> None:
        self._alarm = None
        self._close_old()
        self._watch()
