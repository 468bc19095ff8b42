"""Connections that end while something is owed on them: over real sockets, with the bad order forced each time."""

from __future__ import annotations

import json
import socket
import time
from types import SimpleNamespace
from typing import Any

import pytest

from moorusher.core.outcomes import EndReason
from moorusher.frontends.connection_limits import CLOSE_TIMEOUT_US, LEAVE_TIMEOUT_US
from moorusher.frontends.jsonrpc import FIRST_MESSAGE_TIMEOUT_US, MAX_LINE_BYTES, JsonRpcFactory
from moorusher.frontends.uwsgi import UwsgiFactory
from moorusher.server.accepting_port import ACCEPT_RETRY_S, AcceptingPort
from moorusher.server.composition import ClusterParts
from moorusher.server.graceful_shutdown import GracefulShutdown
from moorusher.server.sockets import open_listening_socket

from .by_hand import HOST, Client, Loop
from .stand_ins import status, uwsgi_request
from .test_core import World
from .test_fronts import request_line

HEARTBEAT = b'{"jsonrpc":"2.0","id":1,"method":"heartbeat"}\n'
ROOM = 3
IDLE_MS = 500.0
UWSGI_IDLE_S = 0.5


class Served:
    """A front on a loop turned by hand, with a kernel that only writes down."""

    def __init__(self, **changes: Any) -> None:
        self.world = World(max_idle_connection_ms=IDLE_MS, **changes)
        self.loop = Loop(self.world)
        self.front = JsonRpcFactory(self.world.core, ROOM, lambda: True)
        self.uwsgi = UwsgiFactory(self.world.core, ROOM, 2048, UWSGI_IDLE_S, lambda: True)

    def connect(self, factory: Any = None) -> Client:
        return self.loop.connect(self.front if factory is None else factory)

    def resting(self) -> Client:
        """A client that has had an answer, and asks nothing more."""
        client = self.connect()
        client.send(HEARTBEAT)
        self.loop.turn()
        return client

    def pass_by(self, us: int) -> None:
        """Time goes by, and what is due then is done; the loop reads nothing meanwhile."""
        self.world.wait(us / 1000)

    def run_over(self, rid: str) -> None:
        self.world.core.execution.run_ended(rid, EndReason.RUN_SUCCEEDED, b"done")
        self.loop.turn()


def answered(client: Client) -> dict[str, Any]:
    """The answer to its request, whatever else was said on the connection."""
    return next(m for m in client.messages() if "result" in m and "content" in m["result"])


# ---- the platform's protocol ----


def test_a_request_that_comes_as_its_silent_connection_is_closed_is_answered() -> None:
    s = Served()
    client = s.connect()
    s.pass_by(FIRST_MESSAGE_TIMEOUT_US - 10_000)
    client.send(request_line())
    s.pass_by(20_000)  # the time is over, and the request has not been read
    s.loop.turn()
    s.run_over("r1")
    assert answered(client)["id"] == 1 and not client.ended


def test_a_request_that_comes_as_its_idle_connection_is_closed_is_answered() -> None:
    s = Served()
    client = s.resting()
    s.pass_by(round(IDLE_MS * 1000) + 10_000)
    assert [m.get("method") for m in client.messages()][1:] == ["leaving"]
    client.send(request_line())
    s.pass_by(LEAVE_TIMEOUT_US)
    s.loop.turn()
    s.run_over("r1")
    assert answered(client)["id"] == 1 and not client.ended


def test_a_request_that_is_on_its_way_when_its_connection_was_asked_to_close_may_come_whole() -> None:
    s = Served()
    client = s.resting()
    s.pass_by(round(IDLE_MS * 1000) + LEAVE_TIMEOUT_US - 100_000)
    client.send(request_line()[:20])
    s.loop.turn()
    s.pass_by(200_000)
    client.send(request_line()[20:])
    s.loop.turn()
    s.run_over("r1")
    assert answered(client)["id"] == 1


def test_half_a_request_keeps_no_idle_connection_open_for_good() -> None:
    s = Served()
    client = s.resting()
    s.pass_by(round(IDLE_MS * 1000) + LEAVE_TIMEOUT_US - 100_000)
    client.send(request_line()[:20])
    s.loop.turn()
    s.pass_by(LEAVE_TIMEOUT_US + FIRST_MESSAGE_TIMEOUT_US + 100_000)
    s.loop.turn()
    assert client.ended and client.protocol.ending is EndReason.IDLE_TIMEOUT


def test_a_request_that_comes_as_its_place_is_needed_keeps_it_and_another_makes_way() -> None:
    s = Served(cores=8)
    clients = []
    for _ in range(ROOM):
        clients.append(s.resting())
        s.pass_by(10_000)
    s.pass_by(400_000)
    clients[0].send(request_line())  # the one that has rested longest: it would be the first to go
    s.connect()
    s.loop.turn()
    s.run_over("r1")
    assert answered(clients[0])["id"] == 1
    assert clients[1].ended and clients[1].messages()[-1]["method"] == "leaving" and not clients[2].ended


def test_a_message_that_has_begun_keeps_its_place_while_another_connection_is_of_no_use() -> None:
    s = Served()
    slow, idle, other = (s.connect() for _ in range(ROOM))
    slow.send(request_line()[:20])
    for client in (idle, other):
        client.send(HEARTBEAT)
        s.loop.turn()  # one by one: which of two is read first in one turn is chance
    s.pass_by(400_000)
    s.connect()
    s.loop.turn()
    slow.send(request_line()[20:])
    s.loop.turn()
    s.run_over("r1")
    assert answered(slow)["id"] == 1 and idle.ended and not other.ended


def test_where_every_connection_has_a_request_unread_the_new_one_finds_no_room() -> None:
    s = Served(cores=8)
    clients = [s.connect() for _ in range(ROOM)]
    for i, client in enumerate(clients):
        client.send(request_line(1, rid=f"r{i}"))
    assert s.front.buildProtocol(None) is None
    s.loop.turn()
    for i, client in enumerate(clients):
        s.run_over(f"r{i}")
        assert answered(client)["id"] == 1


def test_a_new_connection_waits_unaccepted_while_each_place_has_a_request_open() -> None:
    s = Served(cores=8)
    made = open_listening_socket((HOST, 0))
    address = made.getsockname()
    counts: list[str] = []
    with made:
        port = AcceptingPort.of(s.loop.reactor, made, s.front, 8, counts.append)
    clients = [socket.create_connection(address) for _ in range(ROOM + 2)]
    for i, client in enumerate(clients):
        client.send(request_line(1, rid=f"r{i}"))
    s.loop.turn()
    assert len(s.front.connections) == ROOM and counts
    assert sorted(s.world.core.table.by_rid) == ["r0", "r1", "r2"]
    s.run_over("r0")  # its connection rests from here on, and makes way
    time.sleep(2 * ACCEPT_RETRY_S)
    s.loop.turn()
    assert sorted(s.world.core.table.by_rid) == ["r1", "r2", "r3"]
    assert b'"id":1' in clients[0].recv(1000), "who makes way has had its answer"
    for rid in ("r1", "r2", "r3"):
        s.run_over(rid)
        time.sleep(2 * ACCEPT_RETRY_S)
        s.loop.turn()
    assert sorted(s.world.core.table.by_rid) == ["r4"]
    for client in clients:
        client.close()
    port.stopListening()


def test_a_fault_over_one_connection_does_not_end_the_listening_socket() -> None:
    s = Served()
    made = open_listening_socket((HOST, 0))
    address = made.getsockname()
    with made:
        port = AcceptingPort.of(s.loop.reactor, made, s.front, 8, lambda name: None)
    build, s.front.buildProtocol = s.front.buildProtocol, lambda addr: 1 / 0  # type: ignore[method-assign]
    first = socket.create_connection(address)
    s.loop.turn()
    s.front.buildProtocol = build  # type: ignore[method-assign]
    second = socket.create_connection(address)
    second.send(HEARTBEAT)
    s.loop.turn()
    assert first.recv(100) == b"" and b'"fit": true' in second.recv(1000)
    first.close()
    second.close()
    port.stopListening()


def test_a_line_too_long_behind_a_request_does_not_take_its_answer_away() -> None:
    s = Served()
    client = s.connect()
    client.send(request_line() + b"x" * (MAX_LINE_BYTES + 1))
    s.loop.turn()
    assert [m["error"]["code"] for m in client.messages()] == [-32700] and not client.ended
    s.run_over("r1")
    assert answered(client)["id"] == 1 and client.ended
    assert client.protocol.ending is EndReason.LINE_TOO_LONG


def test_a_connection_that_ends_while_the_other_side_does_not_read_closes_once_it_has_read() -> None:
    s = Served()
    client = s.connect()
    client.transport.write(bytes(8_000_000))  # more than the system holds back for the client
    s.loop.turn()
    assert client.protocol.unsent
    assert client.protocol.end(EndReason.IDLE_TIMEOUT)
    while not client.ended:
        before = len(client.read())
        s.loop.turn()
        assert client.ended or len(client.read()) > before


def test_a_closing_connection_that_is_never_read_is_cut_in_the_end() -> None:
    s = Served()
    client = s.connect()
    client.transport.write(bytes(8_000_000))
    s.loop.turn()
    client.protocol.end(EndReason.IDLE_TIMEOUT)
    s.loop.turn()
    assert len(s.front.limiter) == 1
    s.pass_by(CLOSE_TIMEOUT_US + 10_000)
    s.loop.turn()
    assert len(s.front.limiter) == 0


# ---- uwsgi ----


def test_a_uwsgi_request_whose_rest_comes_as_its_time_is_over_is_served() -> None:
    s = Served()
    client, raw = s.connect(s.uwsgi), uwsgi_request("read", b"body", tenant="", rid="u1")
    client.send(raw[:-1])
    s.loop.turn()
    client.send(raw[-1:])
    s.pass_by(round(UWSGI_IDLE_S * 1e6) + 10_000)
    s.loop.turn()
    s.run_over("u1")
    assert status(client.read()) == 200


def test_a_uwsgi_answer_is_read_whole_though_more_than_the_request_was_sent() -> None:
    s = Served()
    client = s.connect(s.uwsgi)
    client.send(uwsgi_request("read", b"body", tenant="", rid="u1"))
    s.loop.turn()
    s.world.core.execution.run_ended("u1", EndReason.RUN_SUCCEEDED, b"done")
    client.send(
        b"more than was announced"
    )  # as the answer goes out: closed over it, the connection would be reset
    s.loop.turn()
    client.send(b"and more")
    s.loop.turn()
    assert client.read().endswith(b"done") and client.ended
    client.sock.close()
    s.loop.turn()
    assert len(s.uwsgi.limiter) == 0


# ---- the end of the program ----


def end(s: Served) -> None:
    """The program's own end, with no other part than the fronts and the core."""
    nothing = SimpleNamespace(close=lambda *labels: None, stop_accepting=lambda: None)
    service: Any = SimpleNamespace(
        core=s.world.core,
        clock=s.world.core.clock,
        reactor=s.loop.reactor,
        jsonrpc=s.front,
        uwsgi=s.uwsgi,
        listeners=nothing,
        reporter=nothing,
        kernel=nothing,
        warm_start_store=None,
        hot_restart=None,
        cluster=ClusterParts(),
        serving=True,
    )
    GracefulShutdown(service).end()
    s.loop.turn()


def test_what_is_unread_held_or_running_as_the_program_ends_has_its_answer() -> None:
    s = Served(cores=1)
    running, held, unread, over_uwsgi = s.connect(), s.connect(), s.connect(), s.connect(s.uwsgi)
    running.send(request_line(rid="a"))
    s.loop.turn()
    held.send(request_line(rid="b"))
    s.loop.turn()
    assert s.world.runs() == ["a"] and s.world.core.table.unanswered == 2
    unread.send(request_line(rid="c"))
    over_uwsgi.send(uwsgi_request("read", b"body", tenant="", rid="d"))
    s.world.core.drain(4000.0)
    s.loop.reactor.runUntilCurrent()
    end(s)
    answers = [
        next(m for m in map(json.loads, c.read().splitlines()) if "error" in m)
        for c in (running, held, unread)
    ]
    codes = [answer["error"]["code"] for answer in answers]
    assert codes == [-32000, -32014, -32014]
    assert status(over_uwsgi.read()) == 503 and b"X-Moorusher-Never-Ran: 1" in over_uwsgi.read()
    assert (
        s.world.runs() == ["a"] and s.world.core.table.unanswered == 0 and running.ended and over_uwsgi.ended
    )


def test_half_a_request_counts_as_reading_until_its_time_is_over() -> None:
    s = Served()
    client = s.connect()
    client.send(request_line()[:9])
    s.loop.turn()
    assert client.protocol.reading
    client.send(request_line()[9:])
    s.loop.turn()
    assert not client.protocol.reading
    client.send(b"{")
    s.loop.turn()
    s.pass_by(FIRST_MESSAGE_TIMEOUT_US + 10_000)
    assert not client.protocol.reading


@pytest.mark.parametrize("late", [False, True])
def test_who_waits_at_a_listening_socket_as_it_closes_is_let_in(late: bool) -> None:
    s = Served()
    listening = open_listening_socket((HOST, 0))
    address = listening.getsockname()
    with listening:
        port = AcceptingPort.of(s.loop.reactor, listening, s.front, 1, s.world.core.counters.add)
    clients = [socket.create_connection(address) for _ in range(2)]
    port.accept_last()
    if late:  # Twisted closes the socket in a later turn: somebody may come in between
        clients.append(socket.create_connection(address))
    for i, client in enumerate(clients):
        client.sendall(request_line(1, rid=f"r{i}"))
    s.loop.turn()
    assert len(s.front.connections) == len(clients) and len(s.world.core.table) == len(clients)
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(address)
    for client in clients:
        client.close()
