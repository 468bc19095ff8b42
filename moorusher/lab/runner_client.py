"""A client of one runner over the platform's protocol: JSON-RPC, one message per line."""

from __future__ import annotations

import base64
import itertools
import json
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from twisted.internet.protocol import ClientFactory
from twisted.protocols.basic import LineOnlyReceiver

from .arrivals import Arrival
from .ports import HOST

MAX_REQUESTS_PER_CONNECTION = 32
REJECTED_CODE = -32014
"""Error code of a request that the runner rejected without starting it."""
_MEMORY_COST = 20.0
_RANK = 0.5
_CONNECT_TIMEOUT_S = 1

OnOutcome = Callable[[str], None]
"""Called once with the outcome: served, refused, failed, lost (connection closed) or unreached (not connected)."""


class _QueuedRequest(NamedTuple):
    """A request that waits for its connection."""

    line: bytes
    number: int
    on_outcome: OnOutcome


class _Connection(LineOnlyReceiver):
    """One connection to the runner.

    Attributes:
        client: Client that opened the connection.
        waiting: Callbacks of requests without an answer, by number.
        leaving: Whether the runner has announced its shutdown.
    """

    transport: Any
    delimiter = b"\n"
    MAX_LENGTH = 65_536

    def __init__(self, client: RunnerClient) -> None:
        self.client = client
        self.waiting: dict[int, OnOutcome] = {}
        self.leaving = False

    def connectionMade(self) -> None:
        """Send the requests that waited for a connection."""
        self.transport.setTcpNoDelay(True)
        self.client.connected(self)

    def lineReceived(self, line: bytes) -> None:
        """Process an answer, or the notice that the runner is shutting down."""
        message = json.loads(line)
        if message.get("method") == "leaving":
            self.leaving = True
        on_outcome = self.waiting.pop(message.get("id") or 0, None)
        if on_outcome is not None:
            on_outcome(_outcome_of(message))

    def connectionLost(self, reason: object = None) -> None:
        """Report all requests without an answer as lost."""
        self.client.connections.discard(self)
        waiting = self.waiting
        self.waiting = {}
        for on_outcome in waiting.values():
            on_outcome("lost")

    def send_request(self, request: _QueuedRequest) -> None:
        """Send a request and register its callback."""
        self.waiting[request.number] = request.on_outcome
        self.transport.write(request.line + b"\n")


def _outcome_of(answer: dict[str, Any]) -> str:
    if "result" in answer:
        return "served"
    return "refused" if answer["error"]["code"] == REJECTED_CODE else "failed"


class RunnerClient(ClientFactory):
    """Sends requests to one runner and opens connections as needed.

    :param port: port of the runner's request listener.
    :param peer: number that identifies this client to the runner.

    Attributes:
        connections: Open connections.
    """

    noisy = False

    def __init__(self, reactor: Any, port: int, peer: int) -> None:
        self.reactor = reactor
        self.port = port
        self.peer = peer
        self.connections: set[_Connection] = set()
        self._numbers = itertools.count(1)
        self._queue: list[_QueuedRequest] = []

    def buildProtocol(self, addr: object) -> _Connection:
        """Return a new connection."""
        return _Connection(self)

    def clientConnectionFailed(self, connector: object, reason: object) -> None:
        """Report all requests that waited for a connection as unreached."""
        queue = self._queue
        self._queue = []
        for request in queue:
            request.on_outcome("unreached")

    def send(self, arrival: Arrival, request_id: str, on_outcome: OnOutcome) -> None:
        """Send one request; queue it for a new connection if no open one accepts it."""
        number = next(self._numbers)
        line = self._encode(arrival, request_id, number)
        request = _QueuedRequest(line, number, on_outcome)
        for connection in self.connections:
            if len(connection.waiting) < MAX_REQUESTS_PER_CONNECTION and not connection.leaving:
                return connection.send_request(request)
        self._queue.append(request)
        self.reactor.connectTCP(HOST, self.port, self, timeout=_CONNECT_TIMEOUT_S)

    def _encode(self, arrival: Arrival, request_id: str, number: int) -> bytes:
        request_class = arrival.request_class
        params: dict[str, object] = {
            "rid": request_id,
            "t0": int(time.time() * 1000),
            "peer": self.peer,
            "acct": arrival.tenant,
            "budget": request_class.deadline_ms,
            "mem": _MEMORY_COST,
            "prio": _RANK,
            "content": base64.b64encode(arrival.body).decode(),
        }
        if arrival.token:
            params["token"] = arrival.token
        message = {"jsonrpc": "2.0", "id": number, "method": request_class.name, "params": params}
        return json.dumps(message).encode()

    def connected(self, connection: _Connection) -> None:
        """Send queued requests on a new connection, up to its limit."""
        self.connections.add(connection)
        sendable = self._queue[:MAX_REQUESTS_PER_CONNECTION]
        self._queue = self._queue[MAX_REQUESTS_PER_CONNECTION:]
        for request in sendable:
            connection.send_request(request)

    def close(self) -> None:
        """Abort all connections."""
        for connection in list(self.connections):
            connection.transport.abortConnection()
