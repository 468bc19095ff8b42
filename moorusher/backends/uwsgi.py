"""Downstream calls to a uwsgi peer: a connection for each call; closing it cancels the call."""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from ..config.section import Address
from ..core.call import CallRequest
from ..core.outcomes import EndReason
from ..protocols.uwsgi_packets import VARS, build_packet
from .http_client import HttpClientProtocol, HttpResponse
from .owner import BackendOwner

CONNECT_TIMEOUT_S = 30  # a call's own time limit is mostly shorter
NEVER_RAN_HEADER = b"x-moorusher-never-ran"


def call_packet(call: CallRequest) -> bytes:
    """Encode a call as a uwsgi request."""
    # The peer gives the call a rid of its own: a second call for this request is a new attempt there.
    variables: dict[str, str | None] = {
        "REQUEST_METHOD": "POST",
        "REQUEST_URI": "/",
        "CONTENT_LENGTH": str(len(call.body)),
        VARS["class"]: call.class_name,
        VARS["budget"]: str(call.timeout_ms),
        "MOORUSHER_REF": call.rid,
        VARS["tenant"]: call.tenant,
        VARS["token"]: call.token,
    }
    return build_packet({name: value for name, value in variables.items() if value is not None}) + call.body


def end_reason_of(status: int, headers: dict[bytes, bytes]) -> EndReason:
    """Tell by the response how a call ended; without a proof that it never ran, it may have."""
    if status == 200:
        return EndReason.CALL_ANSWERED
    if headers.get(NEVER_RAN_HEADER) == b"1":
        return EndReason.CALL_REJECTED
    if status == 504:
        return EndReason.CALL_DEADLINE_EXCEEDED
    return EndReason.CALL_FAILED


class UwsgiProtocol(HttpClientProtocol):
    """The connection of one call: a uwsgi packet out, an HTTP response in."""

    def __init__(self, factory: UwsgiCallFactory) -> None:
        """`factory` is the call's."""
        super().__init__()
        self._factory = factory

    def connectionMade(self) -> None:
        """Send the call."""
        self.transport.setTcpNoDelay(True)
        self.request_sent()
        self.transport.write(call_packet(self._factory.call))

    def response_received(self, response: HttpResponse) -> None:
        """The call has ended by its response."""
        self._factory.call_ended(end_reason_of(response.status, response.headers), response.body)
        self.transport.loseConnection()

    def response_malformed(self, reason: str) -> None:
        """The call has ended without a readable response."""
        self._factory.call_ended(EndReason.CALL_REPLY_UNREADABLE)
        self.transport.abortConnection()

    def unexpected_data(self) -> None:
        """The response was whole; what follows it has no meaning."""
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure | None = None) -> None:
        """The call has ended, unless its response came before."""
        self._factory.call_ended(EndReason.CALL_CONNECTION_LOST)


class UwsgiCallFactory(ClientFactory):
    """One call, from dialling to its end, which is reported once.

    call: what is sent.
    connector: Twisted's, of the call's connection; set by the owner.
    """

    noisy = False

    def __init__(self, client: UwsgiCalls, number: int, call: CallRequest) -> None:
        """`number`: the call's, which its end is reported by."""
        self._client = client
        self._has_ended = False
        self.number = number
        self.call = call
        self.connector: Any = None

    def buildProtocol(self, addr: object) -> UwsgiProtocol | None:
        """Make the protocol; a call that was cancelled while it dialled needs none."""
        return None if self._has_ended else UwsgiProtocol(self)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        """The call never ran."""
        self.call_ended(EndReason.CALL_NOT_CONNECTED)

    def call_ended(self, reason: EndReason, body: bytes = b"") -> None:
        """Report the first end; others say nothing more."""
        if not self._has_ended:
            self._has_ended = True
            self._client.call_ended(self, reason, body)

    def cancel(self) -> None:
        """Close the connection; nothing is reported."""
        self._has_ended = True
        self.connector.disconnect()


class UwsgiCalls:
    """Calls to one uwsgi peer, each over a connection of its own.

    address: of the peer (Address).
    core: the request engine or the server pool, which calls come from (BackendOwner); set by it.
    """

    def __init__(self, reactor: Any, address: Address) -> None:
        """`address` may be changed by `move`."""
        self.core: BackendOwner
        self.address = address
        self._reactor = reactor
        self._open: dict[int, UwsgiCallFactory] = {}  # by the call's number

    def move(self, address: Address) -> None:
        """Send the next calls to a new address; each has a connection of its own."""
        self.address = address

    def close(self) -> None:
        """No more calls are made here; nothing is kept between calls."""

    def call(self, number: int, request: CallRequest) -> None:
        """Make a call; its end is reported to the core."""
        factory = self._open[number] = UwsgiCallFactory(self, number, request)
        factory.connector = self._reactor.connectTCP(*self.address, factory, timeout=CONNECT_TIMEOUT_S)

    def give_up(self, number: int) -> None:
        """Cancel a call; its end is not reported."""
        factory = self._open.pop(number, None)
        if factory is not None:
            factory.cancel()

    def call_ended(self, factory: UwsgiCallFactory, reason: EndReason, body: bytes) -> None:
        """Report the end of a call, unless another has its number by now."""
        if self._open.get(factory.number) is factory:
            del self._open[factory.number]
            self.core.execution.call_ended(factory.number, reason, body)
