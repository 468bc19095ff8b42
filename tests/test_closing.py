"""Connections that close while a request or an answer is in transit.

The tests use real sockets and force the order of events in which the request or the answer could be lost.
"""

from __future__ import annotations

import json
import socket
import time
from types import SimpleNamespace
from typing import Any

import pytest

from moorusher.core.outcomes import EndReason
from moorusher.frontends.connection_limits import CLOSE_REQUEST_TIMEOUT_US, CLOSE_TIMEOUT_US
from moorusher.frontends.jsonrpc import FIRST_MESSAGE_TIMEOUT_US, MAX_LINE_BYTES, JsonRpcFactory
from moorusher.frontends.uwsgi import UwsgiFactory
from moorusher.server.accepting_port import ACCEPT_RETRY_S, AcceptingPort
from moorusher.server.composition import ClusterParts
from moorusher.server.graceful_shutdown import GracefulShutdown
from moorusher.server.sockets import open_listening_socket

from .by_hand import HOST, Client, Loop
from .stand_ins import status, uwsgi_request
from .test_core import EngineHarness
from .test_fronts import request_line

HEARTBEAT = b'{"jsonrpc":"2.0","id":1,"method":"heartbeat"}\n'
MAX_CONNECTIONS = 3
IDLE_MS = 500.0
UWSGI_IDLE_S = 0.5


class FrontendHarness:
    """Frontends on an event loop that the test runs turn by turn, with a kernel that only records its commands."""

    def __init__(self, **changes: Any) -> None:
        self.engine = EngineHarness(max_idle_connection_ms=IDLE_MS, **changes)
        self.loop = Loop(self.engine)
        self.jsonrpc = JsonRpcFactory(self.engine.core, MAX_CONNECTIONS, lambda: True)
        self.uwsgi = UwsgiFactory(self.engine.core, MAX_CONNECTIONS, 2048, UWSGI_IDLE_S, lambda: True)

    def connect(self, factory: Any = None) -> Client:
        return self.loop.connect(self.jsonrpc if factory is None else factory)

    def connect_idle(self) -> Client:
        """Return a client whose only request, a heartbeat, has been answered."""
        client = self.connect()
        client.send(HEARTBEAT)
        self.loop.turn()
        return client

    def advance(self, microseconds: int) -> None:
        """Advance the time and fire the timers that are due, without reading any sockets."""
        self.engine.wait(microseconds / 1000)

    def finish_run(self, rid: str) -> None:
        self.engine.core.execution.run_ended(rid, EndReason.RUN_SUCCEEDED, b"done")
        self.loop.turn()


def answer_of(client: Client) -> dict[str, Any]:
    """Return the answer to the client's request, and ignore other messages on the connection."""
    return next(
        message for message in client.messages() if "result" in message and "content" in message["result"]
    )


# ---- JSON-RPC ----


def test_a_request_that_arrives_as_the_read_timeout_expires_is_answered() -> None:
    """The request is in the socket's buffer when the read timeout of its connection expires.

    Guards against a close that does not read the buffer first, which would lose the request.
    """
    harness = FrontendHarness()
    client = harness.connect()
    harness.advance(FIRST_MESSAGE_TIMEOUT_US - 10_000)
    client.send(request_line())
    harness.advance(20_000)  # the read timeout has expired, and the request has not been read
    harness.loop.turn()
    harness.finish_run("r1")
    assert answer_of(client)["id"] == 1 and not client.ended


def test_a_request_that_arrives_as_its_idle_connection_is_closed_is_answered() -> None:
    """The client was asked to close its idle connection. Its next request is in the socket's buffer when the runner
    closes the connection."""
    harness = FrontendHarness()
    client = harness.connect_idle()
    harness.advance(round(IDLE_MS * 1000) + 10_000)
    assert [message.get("method") for message in client.messages()][1:] == ["leaving"]
    client.send(request_line())
    harness.advance(CLOSE_REQUEST_TIMEOUT_US)
    harness.loop.turn()
    harness.finish_run("r1")
    assert answer_of(client)["id"] == 1 and not client.ended


def test_a_request_half_received_when_its_idle_connection_is_closed_may_be_completed() -> None:
    """The client sent half a request before it read the message that asks it to close, and sends the rest later."""
    harness = FrontendHarness()
    client = harness.connect_idle()
    harness.advance(round(IDLE_MS * 1000) + CLOSE_REQUEST_TIMEOUT_US - 100_000)
    client.send(request_line()[:20])
    harness.loop.turn()
    harness.advance(200_000)
    client.send(request_line()[20:])
    harness.loop.turn()
    harness.finish_run("r1")
    assert answer_of(client)["id"] == 1


def test_half_a_request_does_not_keep_an_idle_connection_open_for_ever() -> None:
    """The client sends half a request on an idle connection and stops. The read timeout closes the connection."""
    harness = FrontendHarness()
    client = harness.connect_idle()
    harness.advance(round(IDLE_MS * 1000) + CLOSE_REQUEST_TIMEOUT_US - 100_000)
    client.send(request_line()[:20])
    harness.loop.turn()
    harness.advance(CLOSE_REQUEST_TIMEOUT_US + FIRST_MESSAGE_TIMEOUT_US + 100_000)
    harness.loop.turn()
    assert client.ended and client.protocol.end_reason is EndReason.IDLE_TIMEOUT


def test_a_connection_with_an_unread_request_is_not_evicted_and_another_is() -> None:
    """A new connection arrives at the connection limit, and the longest idle one has a request in its buffer."""
    harness = FrontendHarness(cores=8)
    clients = []
    for _ in range(MAX_CONNECTIONS):
        clients.append(harness.connect_idle())
        harness.advance(10_000)
    harness.advance(400_000)
    clients[0].send(request_line())  # idle for longest, so it would be evicted first
    harness.connect()
    harness.loop.turn()
    harness.finish_run("r1")
    assert answer_of(clients[0])["id"] == 1
    assert clients[1].ended and clients[1].messages()[-1]["method"] == "leaving" and not clients[2].ended


def test_a_connection_with_half_a_message_is_evicted_after_idle_ones() -> None:
    """A new connection arrives at the connection limit, and a slow client has sent half a request."""
    harness = FrontendHarness()
    slow, idle, other = (harness.connect() for _ in range(MAX_CONNECTIONS))
    slow.send(request_line()[:20])
    for client in (idle, other):
        client.send(HEARTBEAT)
        harness.loop.turn()  # one turn for each, as the order of reads within a turn is undefined
    harness.advance(400_000)
    harness.connect()
    harness.loop.turn()
    slow.send(request_line()[20:])
    harness.loop.turn()
    harness.finish_run("r1")
    assert answer_of(slow)["id"] == 1 and idle.ended and not other.ended


def test_no_connection_is_evicted_while_each_has_an_unread_request() -> None:
    """A new connection arrives at the connection limit, and all others have a request in their buffers.

    The new connection is not accepted.
    """
    harness = FrontendHarness(cores=8)
    clients = [harness.connect() for _ in range(MAX_CONNECTIONS)]
    for i, client in enumerate(clients):
        client.send(request_line(1, rid=f"r{i}"))
    assert harness.jsonrpc.buildProtocol(None) is None
    harness.loop.turn()
    for i, client in enumerate(clients):
        harness.finish_run(f"r{i}")
        assert answer_of(client)["id"] == 1


def test_a_new_connection_waits_unaccepted_while_all_others_have_a_request_in_flight() -> None:
    """More clients connect than the limit allows, each with a request.

    The excess connections wait in the backlog and are accepted one by one as others are answered.
    """
    harness = FrontendHarness(cores=8)
    listening = open_listening_socket((HOST, 0))
    address = listening.getsockname()
    counts: list[str] = []
    with listening:
        port = AcceptingPort.from_socket(harness.loop.reactor, listening, harness.jsonrpc, 8, counts.append)
    clients = [socket.create_connection(address) for _ in range(MAX_CONNECTIONS + 2)]
    for i, client in enumerate(clients):
        client.send(request_line(1, rid=f"r{i}"))
    harness.loop.turn()
    assert len(harness.jsonrpc.connections) == MAX_CONNECTIONS and counts
    assert sorted(harness.engine.core.table.by_rid) == ["r0", "r1", "r2"]
    harness.finish_run("r0")  # its connection is now idle and is evicted
    time.sleep(2 * ACCEPT_RETRY_S)
    harness.loop.turn()
    assert sorted(harness.engine.core.table.by_rid) == ["r1", "r2", "r3"]
    assert b'"id":1' in clients[0].recv(1000), "the evicted connection has received its answer"
    for rid in ("r1", "r2", "r3"):
        harness.finish_run(rid)
        time.sleep(2 * ACCEPT_RETRY_S)
        harness.loop.turn()
    assert sorted(harness.engine.core.table.by_rid) == ["r4"]
    for client in clients:
        client.close()
    port.stopListening()


def test_an_exception_while_accepting_a_connection_does_not_close_the_listening_socket() -> None:
    """Building the protocol of one connection raises an exception. Only that connection is closed."""
    harness = FrontendHarness()
    listening = open_listening_socket((HOST, 0))
    address = listening.getsockname()
    with listening:
        port = AcceptingPort.from_socket(
            harness.loop.reactor, listening, harness.jsonrpc, 8, lambda name: None
        )
    build_protocol = harness.jsonrpc.buildProtocol
    harness.jsonrpc.buildProtocol = lambda addr: 1 / 0  # type: ignore[method-assign]
    first = socket.create_connection(address)
    harness.loop.turn()
    harness.jsonrpc.buildProtocol = build_protocol  # type: ignore[method-assign]
    second = socket.create_connection(address)
    second.send(HEARTBEAT)
    harness.loop.turn()
    assert first.recv(100) == b"" and b'"fit": true' in second.recv(1000)
    first.close()
    second.close()
    port.stopListening()


def test_a_line_that_is_too_long_after_a_request_does_not_lose_its_answer() -> None:
    """The error is sent immediately, and the connection closes after the request in flight is answered."""
    harness = FrontendHarness()
    client = harness.connect()
    client.send(request_line() + b"x" * (MAX_LINE_BYTES + 1))
    harness.loop.turn()
    assert [message["error"]["code"] for message in client.messages()] == [-32700] and not client.ended
    harness.finish_run("r1")
    assert answer_of(client)["id"] == 1 and client.ended
    assert client.protocol.end_reason is EndReason.LINE_TOO_LONG


def test_a_connection_closed_with_unsent_bytes_ends_after_the_client_has_read_them() -> None:
    """The client reads slowly. All unsent bytes must reach it before the connection is closed."""
    harness = FrontendHarness()
    client = harness.connect()
    client.transport.write(bytes(8_000_000))  # more than the socket buffers hold
    harness.loop.turn()
    assert client.protocol.unsent_bytes
    assert client.protocol.try_close(EndReason.IDLE_TIMEOUT)
    while not client.ended:
        before = len(client.read())
        harness.loop.turn()
        assert client.ended or len(client.read()) > before


def test_a_closing_connection_whose_client_never_reads_is_aborted_after_the_close_timeout() -> None:
    """The client never reads. Its connection must not count towards the connection limit for ever."""
    harness = FrontendHarness()
    client = harness.connect()
    client.transport.write(bytes(8_000_000))
    harness.loop.turn()
    client.protocol.try_close(EndReason.IDLE_TIMEOUT)
    harness.loop.turn()
    assert len(harness.jsonrpc.limiter) == 1
    harness.advance(CLOSE_TIMEOUT_US + 10_000)
    harness.loop.turn()
    assert len(harness.jsonrpc.limiter) == 0


# ---- uwsgi ----


def test_a_uwsgi_request_completed_as_the_read_timeout_expires_is_served() -> None:
    """The last byte of the request is in the socket's buffer when the read timeout expires."""
    harness = FrontendHarness()
    client = harness.connect(harness.uwsgi)
    raw = uwsgi_request("read", b"body", tenant="", rid="u1")
    client.send(raw[:-1])
    harness.loop.turn()
    client.send(raw[-1:])
    harness.advance(round(UWSGI_IDLE_S * 1e6) + 10_000)
    harness.loop.turn()
    harness.finish_run("u1")
    assert status(client.read()) == 200


def test_a_uwsgi_answer_arrives_completely_although_the_client_sent_more_than_its_request() -> None:
    """Guards against a close with unread input, which would reset the connection and lose the answer."""
    harness = FrontendHarness()
    client = harness.connect(harness.uwsgi)
    client.send(uwsgi_request("read", b"body", tenant="", rid="u1"))
    harness.loop.turn()
    harness.engine.core.execution.run_ended("u1", EndReason.RUN_SUCCEEDED, b"done")
    # This input arrives while the answer is being sent. If it were unread at the close, the connection would be reset.
    client.send(b"more than was announced")
    harness.loop.turn()
    client.send(b"and more")
    harness.loop.turn()
    assert client.read().endswith(b"done") and client.ended
    client.sock.close()
    harness.loop.turn()
    assert len(harness.uwsgi.limiter) == 0


# ---- shutdown ----


def shut_down(harness: FrontendHarness) -> None:
    """Shut the runner down as the program does, with only the frontends and the engine as real components."""
    stub = SimpleNamespace(close=lambda *labels: None, stop_accepting=lambda: None)
    service: Any = SimpleNamespace(
        core=harness.engine.core,
        clock=harness.engine.core.clock,
        reactor=harness.loop.reactor,
        jsonrpc=harness.jsonrpc,
        uwsgi=harness.uwsgi,
        listeners=stub,
        reporter=stub,
        kernel=stub,
        warm_start_store=None,
        hot_restart=None,
        cluster=ClusterParts(),
        serving=True,
    )
    GracefulShutdown(service).end()
    harness.loop.turn()


def test_requests_unread_queued_or_running_at_shutdown_are_answered() -> None:
    """The drain time ends with open requests. Those that never ran are rejected, and the running one fails."""
    harness = FrontendHarness(cores=1)
    running = harness.connect()
    queued = harness.connect()
    unread = harness.connect()
    over_uwsgi = harness.connect(harness.uwsgi)
    running.send(request_line(rid="a"))
    harness.loop.turn()
    queued.send(request_line(rid="b"))
    harness.loop.turn()
    assert harness.engine.runs() == ["a"] and harness.engine.core.table.unanswered == 2
    unread.send(request_line(rid="c"))
    over_uwsgi.send(uwsgi_request("read", b"body", tenant="", rid="d"))
    harness.engine.core.drain(4000.0)
    harness.loop.reactor.runUntilCurrent()
    shut_down(harness)
    answers = [
        next(message for message in map(json.loads, client.read().splitlines()) if "error" in message)
        for client in (running, queued, unread)
    ]
    codes = [answer["error"]["code"] for answer in answers]
    assert codes == [-32000, -32014, -32014]
    assert status(over_uwsgi.read()) == 503 and b"X-Moorusher-Never-Ran: 1" in over_uwsgi.read()
    assert (
        harness.engine.runs() == ["a"]
        and harness.engine.core.table.unanswered == 0
        and running.ended
        and over_uwsgi.ended
    )


def test_half_a_request_counts_as_being_read_until_the_read_timeout() -> None:
    """Tests `reading`, by which a drain decides whether to wait for the rest of a partly received request.

    It must be true only until the read timeout, so that a client that stops within a request does not delay a drain.
    """
    harness = FrontendHarness()
    client = harness.connect()
    client.send(request_line()[:9])
    harness.loop.turn()
    assert client.protocol.reading
    client.send(request_line()[9:])
    harness.loop.turn()
    assert not client.protocol.reading
    client.send(b"{")
    harness.loop.turn()
    harness.advance(FIRST_MESSAGE_TIMEOUT_US + 10_000)
    assert not client.protocol.reading


@pytest.mark.parametrize("connects_during_close", [False, True])
def test_connections_waiting_in_the_backlog_of_a_closing_socket_are_accepted(
    connects_during_close: bool,
) -> None:
    """Clients connect just before the listening socket closes. None of their connections may be reset."""
    harness = FrontendHarness()
    listening = open_listening_socket((HOST, 0))
    address = listening.getsockname()
    with listening:
        port = AcceptingPort.from_socket(
            harness.loop.reactor, listening, harness.jsonrpc, 1, harness.engine.core.counters.add
        )
    clients = [socket.create_connection(address) for _ in range(2)]
    port.accept_backlog_and_close()
    if connects_during_close:  # Twisted closes the socket in a later turn of the loop
        clients.append(socket.create_connection(address))
    for i, client in enumerate(clients):
        client.sendall(request_line(1, rid=f"r{i}"))
    harness.loop.turn()
    assert len(harness.jsonrpc.connections) == len(clients) and len(harness.engine.core.table) == len(clients)
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(address)
    for client in clients:
        client.close()
