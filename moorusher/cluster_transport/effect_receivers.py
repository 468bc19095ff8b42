"""Requests of duties to external receivers: one HTTP exchange each, with a fencing token or an intent in its body.

    POST /fenced  {"duty", "fence": [generation, term, revision], "body"}
                  200 {"verdict": "new" or "again"}      409 {"highest": [generation, term, revision]}
    POST /intent  {"duty", "number", "term", "what"}     200 {"done": true or false}
    POST /asked   {"duty", "number"}                     200 {"done": true or false}

After answering `/asked` with false, a receiver must never perform that intent. `body` and `what` are base64. A request
that times out may have been performed.
"""

from __future__ import annotations

import logging
from typing import Any

import msgspec
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from ..backends.http_client import HttpClientProtocol, HttpResponse
from ..config.section import parse_address
from ..core.clock import Alarm
from ..core.request_engine import RequestEngine
from ..leadership.effects import NO_RESPONSE, ReceiverResponse, ResponseCallback
from ..leadership.fencing_token import FencingToken, TokenVerdict
from ..leadership.lease_record import Intent
from ..time_units import MS

log = logging.getLogger("moorusher")

TIMEOUT_US = 1_000 * MS
CONNECT_TIMEOUT_S = 1
MAX_OPEN_EXCHANGES = 256  # an exchange beyond the limit ends without a response
HTTP_OK = 200
HTTP_CONFLICT = 409
ACCEPTED_VERDICTS = (TokenVerdict.CURRENT.value, TokenVerdict.DUPLICATE.value)


class Answer(msgspec.Struct):
    """The JSON body of a receiver's answer."""

    verdict: str = ""
    done: bool = False
    highest: tuple[int, int, int] | None = None


def parse_answer(status: int, body: bytes) -> ReceiverResponse:
    """Parse a receiver's answer; NO_RESPONSE if its body can't be decoded."""
    try:
        answer = msgspec.json.decode(body, type=Answer)
    except (msgspec.MsgspecError, RecursionError):
        return NO_RESPONSE
    if status == HTTP_CONFLICT and answer.highest is not None:
        return ReceiverResponse(answered=True, highest_token=FencingToken(*answer.highest))
    is_done = answer.done or answer.verdict in ACCEPTED_VERDICTS
    return ReceiverResponse(answered=status == HTTP_OK, done=is_done, body=body)


class EffectProtocol(HttpClientProtocol):
    """The connection of one exchange."""

    def __init__(self, exchange: EffectExchange) -> None:
        super().__init__()
        self._exchange = exchange

    def connectionMade(self) -> None:
        """Send the request."""
        self.transport.setTcpNoDelay(True)
        self.request_sent()
        self.transport.write(
            b"POST %s HTTP/1.1\r\nHost: receiver\r\nContent-Type: application/json\r\n"
            b"Connection: close\r\nContent-Length: %d\r\n\r\n%s"
            % (self._exchange.path, len(self._exchange.body), self._exchange.body)
        )

    def response_received(self, response: HttpResponse) -> None:
        """Finish the exchange with a complete response."""
        self.transport.loseConnection()
        self._exchange.finish(parse_answer(response.status, response.body))

    def response_malformed(self, reason: str) -> None:
        """Abort the connection after a malformed HTTP response."""
        log.warning("duties: malformed HTTP response of a receiver: reason=%s", reason)
        self.transport.abortConnection()

    def unexpected_data(self) -> None:
        """Abort the connection when data follows the response."""
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Finish the exchange, if there was no response."""
        self._exchange.finish(NO_RESPONSE)


class EffectExchange(ClientFactory):
    """One exchange with a receiver, with a timeout.

    Attributes:
        path: Path of the request.
        body: Body of the request.
    """

    noisy = False

    def __init__(
        self, receivers: HttpEffectReceivers, path: bytes, body: bytes, callback: ResponseCallback
    ) -> None:
        self.path = path
        self.body = body
        self._receivers = receivers
        self._callback: ResponseCallback | None = callback
        self._protocol: EffectProtocol | None = None
        core = receivers.core
        self._timeout: Alarm = core.alarms.at(core.clock.now + TIMEOUT_US, self._on_timeout)

    def buildProtocol(self, addr: object) -> EffectProtocol:
        """Create the protocol of the connection."""
        self._protocol = EffectProtocol(self)
        return self._protocol

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        """Finish the exchange when the connection was refused or timed out."""
        self.finish(NO_RESPONSE)

    def _on_timeout(self) -> None:
        if self._protocol is not None and self._protocol.transport is not None:
            self._protocol.transport.abortConnection()
        self.finish(NO_RESPONSE)

    def finish(self, response: ReceiverResponse) -> None:
        """Finish the exchange. Only the first call has an effect."""
        callback = self._callback
        self._callback = None
        if callback is not None:
            self._timeout.cancel()
            self._receivers.open_exchanges -= 1
            self._receivers.core.start_turn()
            callback(response)


class HttpEffectReceivers:
    """All exchanges of this runner with receivers (`leadership.worker.EffectReceivers`).

    Attributes:
        core: Request engine of this runner.
        open_exchanges: Number of unfinished exchanges.
    """

    def __init__(self, reactor: Any, core: RequestEngine) -> None:
        self.core = core
        self.open_exchanges = 0
        self._reactor = reactor

    def send_fenced(
        self, receiver: str, duty: str, token: FencingToken, body: bytes, callback: ResponseCallback
    ) -> None:
        """Send a request with its fencing token."""
        self._post(receiver, b"/fenced", {"duty": duty, "fence": token, "body": body}, callback)

    def send_intent(self, receiver: str, duty: str, intent: Intent, callback: ResponseCallback) -> None:
        """Send a recorded intent."""
        content = {"duty": duty, "number": intent.revision, "term": intent.term, "what": intent.payload}
        self._post(receiver, b"/intent", content, callback)

    def query_intent(self, receiver: str, duty: str, intent: Intent, callback: ResponseCallback) -> None:
        """Ask the receiver whether an intent was performed."""
        self._post(receiver, b"/asked", {"duty": duty, "number": intent.revision}, callback)

    def _post(self, receiver: str, path: bytes, content: dict[str, Any], callback: ResponseCallback) -> None:
        if self.open_exchanges >= MAX_OPEN_EXCHANGES:
            self.core.alarms.at(self.core.clock.now, lambda: callback(NO_RESPONSE))
            return
        self.open_exchanges += 1
        host, port = parse_address(receiver, "receiver")
        exchange = EffectExchange(self, path, msgspec.json.encode(content), callback)
        self._reactor.connectTCP(host, port, exchange, timeout=CONNECT_TIMEOUT_S)
