"""Input that arrives split at any byte: each parser must behave as if it had arrived in one piece.

`CASES` gives the input of each protocol and the function that makes a connection for it. The tests compare everything
observable: the answers, whether the connection was closed, and the calls to the request engine or the client.
"""

from __future__ import annotations

import json
import struct
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import pytest

from moorusher.backends.announce import Announcer
from moorusher.backends.kernel import KernelClient
from moorusher.backends.kernel_protocol import KernelProtocol
from moorusher.backends.uwsgi import UwsgiClient
from moorusher.cluster_transport.hot_restart.peer_connection import PeerConnection
from moorusher.core.call import CallRequest
from moorusher.frontends.agent import AgentCheckFactory
from moorusher.frontends.health import HealthCheckFactory
from moorusher.frontends.uwsgi import UwsgiFactory
from moorusher.health.formatting import StatusCodes
from moorusher.health.policy import HealthPolicy
from moorusher.health_reporting.reporter import Reporter
from moorusher.protocols.uwsgi_packets import HEAD, PING
from moorusher.scheduling.interface import Effect

from .stand_ins import uwsgi_request
from .test_core import EngineHarness
from .test_fronts import NOW_MS, Transport, connected_frontend, request_line
from .test_links import REPLY, RecordingPool

Connected = tuple[Any, Callable[[], object]]  # a connection, and a function that returns its observable state


class RecordingCore:
    """Replaces the request engine of a client, and records the calls of the engine's methods."""

    def __init__(self, world: EngineHarness) -> None:
        self.calls: list[Any] = []
        self.clock, self.alarms, self.counters = world.core.clock, world.core.alarms, world.core.counters
        self.ready = True
        self.execution = self.kernel_status = self

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *args, **kwargs: (
            self.calls.append((name, args, kwargs)) if name != "start_turn" else None
        )


def observable_state(world: EngineHarness, transport: Transport) -> object:
    world.turn()
    return (
        transport.value(),
        transport.disconnecting,
        transport.half_closed,
        transport.aborted,
        [(command[0], command[1]) for command in world.kernel.commands if command[0] == "run"],
        sorted((name, value) for name, value in world.core.counters.total.items()),
    )


def jsonrpc_connection() -> Connected:
    world, _, connection, transport = connected_frontend()
    return connection, lambda: observable_state(world, transport)


def uwsgi_connection() -> Connected:
    world = EngineHarness()
    connection, transport = (
        UwsgiFactory(world.core, 10, 2048, 60.0, lambda: True).buildProtocol(None),
        Transport(),
    )
    assert connection is not None
    connection.makeConnection(transport)
    return connection, lambda: observable_state(world, transport)


def probe_connection(kind: str) -> Connected:
    world = EngineHarness()
    reporter = Reporter(world.core, HealthPolicy(), "n1")
    factory = (
        AgentCheckFactory(world.core, reporter)
        if kind == "agent"
        else HealthCheckFactory(world.core, reporter, StatusCodes(), None)
    )
    connection, transport = factory.buildProtocol(None), Transport()
    connection.makeConnection(transport)
    return connection, lambda: observable_state(world, transport)


def kernel_connection() -> Connected:
    world = EngineHarness()
    link = KernelClient(SimpleNamespace(), ("127.0.0.1", 1))
    link.core = core = RecordingCore(world)  # type: ignore[assignment]
    connection, transport = KernelProtocol(link), Transport()
    connection.makeConnection(transport)  # type: ignore[no-untyped-call]
    return connection, lambda: (core.calls, transport.value(), transport.aborted, link.session.last_notice)


def database_connection() -> Connected:
    pool = RecordingPool(EngineHarness())
    pool.call(1, CallRequest("r1", "read", None, Effect.IDEMPOTENT, None, b"q", 500))
    connection, transport = pool.establish()
    return connection, lambda: (pool.outcomes, transport.aborted, transport.disconnecting)


def uwsgi_backend_connection() -> Connected:
    world, dialled = EngineHarness(), []
    link = UwsgiClient(SimpleNamespace(connectTCP=lambda *a, **k: dialled.append(a[2])), ("127.0.0.1", 1))
    link.core = core = RecordingCore(world)
    link.call(1, CallRequest("r1", "read", None, Effect.IDEMPOTENT, None, b"q", 500))
    connection, transport = dialled[0].buildProtocol(None), Transport()
    connection.makeConnection(transport)
    return connection, lambda: (core.calls, transport.aborted, transport.disconnecting)


def announcer_connection() -> Connected:
    world, dialled = EngineHarness(), []
    announcer = Announcer(
        SimpleNamespace(connectTCP=lambda *a, **k: dialled.append(a[2])), ("127.0.0.1", 1), "n1"
    )
    announcer.core = world.core
    announcer.start()
    connection, transport = announcer.buildProtocol(None), Transport()
    connection.makeConnection(transport)  # type: ignore[no-untyped-call]
    counters = world.core.counters.total
    return connection, lambda: (
        counters["reports heard"],
        counters["reports not heard"],
        transport.aborted,
        transport.disconnecting,
    )


def hot_restart_connection() -> Connected:
    messages: list[object] = []
    link: Any = SimpleNamespace(
        core=EngineHarness().core,
        connected=lambda peer: None,
        lost=messages.append,
        received=lambda peer, frame: messages.append((frame.fields, frame.result)),
    )
    peer = PeerConnection(link, accepted=True)
    peer.transport = transport = Transport()
    return peer, lambda: (messages, transport.aborted)


def frame(fields: dict[str, object], result: bytes = b"") -> bytes:
    content = json.dumps(fields).encode() + b"\n" + result
    return struct.pack("!I", len(content)) + content


NOTICES = b"".join(
    json.dumps(message).encode() + b"\n"
    for message in (
        {"t": "BOOTED", "status": "LOADED", "time_ms": 5},
        {"t": "IOREQ", "no": 1, "rid": "a", "b64": "eHg="},
        {"t": "DMESG", "no": 2, "status": "hello"},
        {"t": "INFO", "mark": "g", "v": [0.5, 1, 2, 3]},
        {"t": "EINVAL", "status": "SCHED", "rid": "b"},
        {"t": "REAP", "no": 3, "rid": "a", "status": "PASS", "time_ms": 9, "b64": "eQ=="},
    )
)
HEARTBEAT = b'{"jsonrpc":"2.0","id":9,"method":"heartbeat"}\r\n'

CASES: list[tuple[str, Callable[[], Connected], bytes]] = [
    ("request, heartbeat", jsonrpc_connection, request_line(1, t0=NOW_MS) + HEARTBEAT),
    (
        "invalid lines, then a request",
        jsonrpc_connection,
        b"\xff\x00{}\n[]\n\n" + request_line(2, "write", token="t"),
    ),
    (
        "revoked request",
        jsonrpc_connection,
        request_line(3) + b'{"jsonrpc":"2.0","method":"revoke","params":{"id":3}}\n' + HEARTBEAT,
    ),
    (
        "two requests with one id",
        jsonrpc_connection,
        request_line(4) + request_line(4, rid="x") + request_line(5, "none"),
    ),
    ("uwsgi request", uwsgi_connection, uwsgi_request("read", tenant="", t0=str(NOW_MS), rid="r1")),
    ("uwsgi ping", uwsgi_connection, HEAD.pack(PING, 0, 0)),
    ("uwsgi packet with wrong lengths", uwsgi_connection, HEAD.pack(0, 6, 0) + b"\x04\x00ab\x09\x00"),
    ("uwsgi body too long", uwsgi_connection, uwsgi_request("read", b"x" * 2049, tenant="")),
    ("agent check", lambda: probe_connection("agent"), b"lb1\nmore"),
    (
        "two health checks",
        lambda: probe_connection("health"),
        b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\nHEAD /alive HTTP/1.0\n\n",
    ),
    (
        "malformed health check",
        lambda: probe_connection("health"),
        b"GET /ready HTTP/1.1\r\nno colon\r\n\r\n",
    ),
    ("kernel", kernel_connection, NOTICES),
    ("kernel, malformed notice", kernel_connection, NOTICES[:300] + b'{"t":"REAP","no":4}\n' + NOTICES),
    ("database", database_connection, REPLY),
    (
        "database, 1xx first",
        database_connection,
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\n" + REPLY,
    ),
    (
        "database, rejected call",
        database_connection,
        b"HTTP/1.1 503 No\r\nNever-Started: 1\r\nContent-Length: 0\r\n\r\n",
    ),
    ("database, no HTTP", database_connection, b"\x00\x01HTTP/1.1 200 OK\r\n\r\n"),
    (
        "database, oversized reply",
        database_connection,
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * 40,
    ),
    (
        "database, two Content-Length headers",
        database_connection,
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxy",
    ),
    ("uwsgi backend", uwsgi_backend_connection, REPLY),
    (
        "uwsgi backend, never ran",
        uwsgi_backend_connection,
        b"HTTP/1.1 503 N\r\nX-Moorusher-Never-Ran: 1\r\nContent-Length: 2\r\n\r\nab",
    ),
    ("announce", announcer_connection, b"HTTP/1.1 204 No Content\r\n\r\n"),
    ("announce, malformed reply", announcer_connection, b"HTTP/1.1 2\xff4\r\n\r\n"),
    (
        "hot restart",
        hot_restart_connection,
        frame({"t": "KEY", "k": [None, "b"]}, b"\x00\n\xff" * 9) + frame({"t": "GO"}),
    ),
    (
        "hot restart, malformed frame",
        hot_restart_connection,
        frame({"t": "KEY"})[:-1] + b"!" + frame({"t": "GO"}),
    ),
]


def feed(make: Callable[[], Connected], *parts: bytes) -> object:
    connection, outcome = make()
    for part in parts:
        connection.dataReceived(part)
    return outcome()


@pytest.mark.parametrize("make, sent", [case[1:] for case in CASES], ids=[case[0] for case in CASES])
def test_input_split_anywhere_has_the_same_effect_as_in_one_piece(
    make: Callable[[], Connected], sent: bytes
) -> None:
    expected = feed(make, sent)
    for at in range(1, len(sent)):
        assert feed(make, sent[:at], sent[at:]) == expected, at
    assert feed(make, *(sent[i : i + 1] for i in range(len(sent)))) == expected


@pytest.mark.parametrize("make, sent", [case[1:] for case in CASES], ids=[case[0] for case in CASES])
def test_a_connection_lost_after_partial_input_raises_no_exception(
    make: Callable[[], Connected], sent: bytes
) -> None:
    for at in range(0, len(sent), 7):
        connection, _ = make()
        connection.dataReceived(sent[:at])
        connection.connectionLost(None)
