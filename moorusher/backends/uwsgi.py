"""Downstream calls to a uwsgi peer, with a connection for each call. Closing the connection cancels the call."""

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

CONNECT_TIMEOUT_S = 30  # The time limit of a call is usually shorter.
NEVER_RAN_HEADER = b"x-moorusher-never-ran"


def call_packet(call: CallRequest) -> bytes:
    """Encode a call as a uwsgi request."""
    # The peer assigns its own rid to the call, so another call for the same request is a new attempt there.
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
    """Return how a call ended. Assume that the call ran, unless the response proves that it never did."""
    if status == 200:
        return EndReason.CALL_ANSWERED
    if headers.get(NEVER_RAN_HEADER) == b"1":
        return EndReason.CALL_REJECTED
    if status == 504:
        return EndReason.CALL_DEADLINE_EXCEEDED
    return EndReason.CALL_FAILED


class UwsgiProtocol(HttpClientProtocol):
    """The connection of one call: sends a uwsgi packet and reads an HTTP response."""

    def __init__(self, factory: UwsgiCallFactory) -> None:
        super().__init__()
        self._factory = factory

    def connectionMade(self) -> None:
        """Send the call."""
        self.transport.setTcpNoDelay(True)
        self.request_sent()
        self.transport.write(call_packet(self._factory.call))

    def response_received(self, response: HttpResponse) -> None:
        """End the call with its response."""
        self._factory.call_ended(end_reason_of(response.status, response.headers), response.body)
        self.transport.loseConnection()

    def response_malformed(self, reason: str) -> None:
        """End the call without a response, and abort the connection."""
        self._factory.call_ended(EndReason.CALL_REPLY_UNREADABLE)
        self.transport.abortConnection()

    def unexpected_data(self) -> None:
        """Abort the connection. The response was complete, and the data after it is ignored."""
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure | None = None) -> None:
        """End the call, unless it has ended already."""
        self._factory.call_ended(EndReason.CALL_CONNECTION_LOST)


class UwsgiCallFactory(ClientFactory):
    """One call, from the connection attempt to its end, which is reported once.

    Attributes:
        number: Number of the call.
        call: The request of the call.
        connector: Twisted's connector of the call's connection; set by the owner.
    """

    noisy = False

    def __init__(self, client: UwsgiClient, number: int, call: CallRequest) -> None:
        self._client = client
        self._has_ended = False
        self.number = number
        self.call = call
        self.connector: Any = None

    def buildProtocol(self, addr: object) -> UwsgiProtocol | None:
        """Return the protocol, or None if the call was cancelled during the connection attempt."""
        return None if self._has_ended else UwsgiProtocol(self)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        """End the call, which was never sent."""
        self.call_ended(EndReason.CALL_NOT_CONNECTED)

    def call_ended(self, reason: EndReason, body: bytes = b"") -> None:
        """Report the end of the call, unless it has ended already."""
        if not self._has_ended:
            self._has_ended = True
            self._client.call_ended(self, reason, body)

    def cancel(self) -> None:
        """Close the connection. The end of the call is not reported."""
        self._has_ended = True
        self.connector.disconnect()


class UwsgiClient:
    """Calls to one uwsgi peer, each on its own connection.

    Attributes:
        address: Address of the peer.
        core: The request engine or server pool that makes the calls; set by it.
    """

    def __init__(self, reactor: Any, address: Address) -> None:
        self.core: BackendOwner
        self.address = address
        self._reactor = reactor
        self._open: dict[int, UwsgiCallFactory] = {}  # by call number

    def set_address(self, address: Address) -> None:
        """Send new calls to a new address. Calls in flight keep their own connections."""
        self.address = address

    def close(self) -> None:
        """Do nothing: no connection is kept between calls."""

    def call(self, number: int, request: CallRequest) -> None:
        """Make a call, and report its end to `core.execution`."""
        factory = self._open[number] = UwsgiCallFactory(self, number, request)
        factory.connector = self._reactor.connectTCP(*self.address, factory, timeout=CONNECT_TIMEOUT_S)

    def give_up(self, number: int) -> None:
        """Cancel a call. Its end is not reported."""
        factory = self._open.pop(number, None)
        if factory is not None:
            factory.cancel()

    def call_ended(self, factory: UwsgiCallFactory, reason: EndReason, body: bytes) -> None:
        """Report the end of a call, unless a newer call has the same number."""
        if self._open.get(factory.number) is factory:
            del self._open[factory.number]
            self.core.execution.call_ended(factory.number, reason, body)
