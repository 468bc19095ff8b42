"""A client of one runner, over the platform's protocol: JSON-RPC, a message a line."""

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
"""The code of the error that says that a request was not begun."""
_MEMORY_COST = 20.0
_RANK = 0.5
_CONNECT_TIMEOUT_S = 1

OnOutcome = Callable[[str], None]
"""Called once with the outcome: served, refused, failed, lost (the connection ended) or unreached."""


class _QueuedRequest(NamedTuple):
    line: bytes
    number: int
    on_outcome: OnOutcome


class _Connection(LineOnlyReceiver):
    """One connection to the runner."""

    transport: Any
    delimiter = b"\n"
    MAX_LENGTH = 65_536

    def __init__(self, client: RunnerClient) -> None:
        self.client = client
        self.waiting: dict[int, OnOutcome] = {}
        self.leaving = False

    def connectionMade(self) -> None:
        """Take up requests that waited for a connection."""
        self.transport.setTcpNoDelay(True)
        self.client.connected(self)

    def lineReceived(self, line: bytes) -> None:
        """An answer, or the notice that the runner is leaving."""
        message = json.loads(line)
        if message.get("method") == "leaving":
            self.leaving = True
        on_outcome = self.waiting.pop(message.get("id") or 0, None)
        if on_outcome is not None:
            on_outcome(_outcome_of(message))

    def connectionLost(self, reason: object = None) -> None:
        """All that had no answer is lost."""
        self.client.connections.discard(self)
        waiting = self.waiting
        self.waiting = {}
        for on_outcome in waiting.values():
            on_outcome("lost")

    def send_request(self, request: _QueuedRequest) -> None:
        """Write it, and wait for its answer."""
        self.waiting[request.number] = request.on_outcome
        self.transport.write(request.line + b"\n")


def _outcome_of(answer: dict[str, Any]) -> str:
    if "result" in answer:
        return "served"
    return "refused" if answer["error"]["code"] == REJECTED_CODE else "failed"


class RunnerClient(ClientFactory):
    """Sends requests to one runner, by as many connections as it takes.

    :param port: of the runner.
    :param peer: the number by which the runner knows this client.
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
        """A further connection."""
        return _Connection(self)

    def clientConnectionFailed(self, connector: object, reason: object) -> None:
        """Nobody listens: all that waited for a connection is unreached."""
        queue = self._queue
        self._queue = []
        for request in queue:
            request.on_outcome("unreached")

    def send(self, arrival: Arrival, request_id: str, on_outcome: OnOutcome) -> None:
        """Send one request."""
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
        """A new connection takes as many of the waiting requests as it may."""
        self.connections.add(connection)
        taken = self._queue[:MAX_REQUESTS_PER_CONNECTION]
        self._queue = self._queue[MAX_REQUESTS_PER_CONNECTION:]
        for request in taken:
            connection.send_request(request)

    def close(self) -> None:
        """Abort all connections."""
        for connection in list(self.connections):
            connection.transport.abortConnection()
