"""Calls below to a uwsgi peer: a connection for each call, closed to give it up. Framing only."""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from ..config.section import Address
from ..core.call import CallRequest
from ..core.outcomes import EndReason
from ..core.request_engine import RequestEngine
from ..frontends.uwsgi_packets import VARS, build_packet
from .http_client import HttpClient


def call_packet(asked: CallRequest) -> bytes:
    """A call below, as a uwsgi request."""
    # The peer gives the call a rid of its own: a second call for this request is a new try there.
    variables: dict[str, str | None] = {
        "REQUEST_METHOD": "POST",
        "REQUEST_URI": "/",
        "CONTENT_LENGTH": str(len(asked.body)),
        VARS["class"]: asked.class_name,
        VARS["budget"]: str(asked.timeout_ms),
        "MOORUSHER_REF": asked.rid,
        VARS["tenant"]: asked.tenant,
        VARS["token"]: asked.token,
    }
    return build_packet({name: value for name, value in variables.items() if value is not None}) + asked.body


def ending_of(status: int, headers: dict[bytes, bytes]) -> EndReason:
    """How a call ended, by its response; without a proof it may have run."""
    if status == 200:
        return EndReason.CALL_ANSWERED
    if headers.get(b"x-moorusher-never-ran") == b"1":
        return EndReason.CALL_REJECTED
    if status == 504:
        return EndReason.CALL_DEADLINE_EXCEEDED
    return EndReason.CALL_FAILED


class UwsgiCall(HttpClient):
    """Sends its packet as it comes up; the reply is an HTTP response."""

    def __init__(self, dial: _Dial) -> None:
        super().__init__()
        self.dial = dial

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.asked()
        self.transport.write(call_packet(self.dial.asked))

    def replied(self, status: int, headers: dict[bytes, bytes], body: bytes, keep: bool) -> None:
        self.dial.end(ending_of(status, headers), body)
        self.transport.loseConnection()

    def garbled(self, why: str) -> None:
        self.dial.end(EndReason.CALL_REPLY_UNREADABLE)
        self.transport.abortConnection()

    def stray(self) -> None:
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure | None = None) -> None:
        self.dial.end(EndReason.CALL_CONNECTION_LOST)  # where it was answered before, this says nothing more


class _Dial(ClientFactory):
    noisy = False

    def __init__(self, link: UwsgiCalls, number: int, asked: CallRequest) -> None:
        self.link, self.number, self.asked, self.over = link, number, asked, False
        self.connector: Any = None

    def buildProtocol(self, addr: object) -> UwsgiCall | None:
        return None if self.over else UwsgiCall(self)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        self.end(EndReason.CALL_NOT_CONNECTED)

    def end(self, ending: EndReason, body: bytes = b"") -> None:
        if not self.over:
            self.over = True
            self.link.over(self, ending, body)


class UwsgiCalls:
    """Calls to one uwsgi peer, each over a connection of its own."""

    def __init__(self, reactor: Any, address: Address) -> None:
        self._reactor, self.address = reactor, address
        self.core: RequestEngine  # set by the owner
        self._open: dict[int, _Dial] = {}

    def move(self, address: Address) -> None:
        self.address = address  # each call has a connection of its own: the next ones go there

    def close(self) -> None:
        """No more calls are made here; nothing is kept between calls."""

    def call(self, number: int, asked: CallRequest) -> None:
        dial = self._open[number] = _Dial(self, number, asked)
        dial.connector = self._reactor.connectTCP(*self.address, dial, timeout=30)

    def give_up(self, number: int) -> None:
        if (dial := self._open.pop(number, None)) is not None:
            dial.over = True
            dial.connector.disconnect()

    def over(self, dial: _Dial, ending: EndReason, body: bytes) -> None:
        if self._open.get(dial.number) is dial:
            del self._open[dial.number]
            self.core.execution.call_ended(dial.number, ending, body)
