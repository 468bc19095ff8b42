"""Messages arrive cut at any byte: each parser must make the same of the pieces as of the whole.

One table: what each wire is sent, and how a connection of it is made. What is compared is all that can be seen of it:
what it answered, whether it closed, and what the core and the links were told.
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

Fed = tuple[Any, Callable[[], object]]  # a connection, and what is to be seen once it was fed


class Heard:
    """Stands for the core behind a link: writes down what it is told."""

    def __init__(self, world: EngineHarness) -> None:
        self.said: list[Any] = []
        self.clock, self.alarms, self.counters = world.core.clock, world.core.alarms, world.core.counters
        self.ready = True
        self.execution = self.kernel_status = self

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *args, **named: self.said.append((name, args, named)) if name != "begin_turn" else None


def seen(world: EngineHarness, transport: Transport) -> object:
    world.turn()
    return (
        transport.value(),
        transport.disconnecting,
        transport.half_closed,
        transport.aborted,
        [(s[0], s[1]) for s in world.kernel.commands if s[0] == "run"],
        sorted((n, v) for n, v in world.core.counters.total.items()),
    )


def jsonrpc() -> Fed:
    world, _, connection, transport = connected_frontend()
    return connection, lambda: seen(world, transport)


def uwsgi() -> Fed:
    world = EngineHarness()
    connection, transport = (
        UwsgiFactory(world.core, 10, 2048, 60.0, lambda: True).buildProtocol(None),
        Transport(),
    )
    assert connection is not None
    connection.makeConnection(transport)
    return connection, lambda: seen(world, transport)


def probes(kind: str) -> Fed:
    world = EngineHarness()
    reporter = Reporter(world.core, HealthPolicy(), "n1")
    factory = (
        AgentCheckFactory(world.core, reporter)
        if kind == "agent"
        else HealthCheckFactory(world.core, reporter, StatusCodes(), None)
    )
    connection, transport = factory.buildProtocol(None), Transport()
    connection.makeConnection(transport)
    return connection, lambda: seen(world, transport)


def kernel() -> Fed:
    world = EngineHarness()
    link = KernelClient(SimpleNamespace(), ("127.0.0.1", 1))
    link.core = heard = Heard(world)  # type: ignore[assignment]
    connection, transport = KernelProtocol(link), Transport()
    connection.makeConnection(transport)  # type: ignore[no-untyped-call]
    return connection, lambda: (heard.said, transport.value(), transport.aborted, link.session.last_notice)


def database() -> Fed:
    pool = RecordingPool(EngineHarness())
    pool.call(1, CallRequest("r1", "read", None, Effect.IDEMPOTENT, None, b"q", 500))
    connection, transport = pool.establish()
    return connection, lambda: (pool.outcomes, transport.aborted, transport.disconnecting)


def uwsgi_below() -> Fed:
    world, dialled = EngineHarness(), []
    link = UwsgiClient(SimpleNamespace(connectTCP=lambda *a, **k: dialled.append(a[2])), ("127.0.0.1", 1))
    link.core = heard = Heard(world)
    link.call(1, CallRequest("r1", "read", None, Effect.IDEMPOTENT, None, b"q", 500))
    connection, transport = dialled[0].buildProtocol(None), Transport()
    connection.makeConnection(transport)
    return connection, lambda: (heard.said, transport.aborted, transport.disconnecting)


def announce() -> Fed:
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


def succession() -> Fed:
    take_messages: list[object] = []
    link: Any = SimpleNamespace(
        core=EngineHarness().core,
        connected=lambda peer: None,
        lost=take_messages.append,
        received=lambda peer, frame: take_messages.append((frame.fields, frame.result)),
    )
    peer = PeerConnection(link, accepted=True)
    peer.transport = transport = Transport()
    return peer, lambda: (take_messages, transport.aborted)


def frame(head: dict[str, object], blob: bytes = b"") -> bytes:
    whole = json.dumps(head).encode() + b"\n" + blob
    return struct.pack("!I", len(whole)) + whole


NOTICES = b"".join(
    json.dumps(m).encode() + b"\n"
    for m in (
        {"t": "BOOTED", "status": "LOADED", "time_ms": 5},
        {"t": "IOREQ", "no": 1, "rid": "a", "b64": "eHg="},
        {"t": "DMESG", "no": 2, "status": "hello"},
        {"t": "INFO", "mark": "g", "v": [0.5, 1, 2, 3]},
        {"t": "EINVAL", "status": "SCHED", "rid": "b"},
        {"t": "REAP", "no": 3, "rid": "a", "status": "PASS", "time_ms": 9, "b64": "eQ=="},
    )
)
HEARTBEAT = b'{"jsonrpc":"2.0","id":9,"method":"heartbeat"}\r\n'

CASES: list[tuple[str, Callable[[], Fed], bytes]] = [
    ("request, heartbeat", jsonrpc, request_line(1, t0=NOW_MS) + HEARTBEAT),
    ("noise, then a request", jsonrpc, b"\xff\x00{}\n[]\n\n" + request_line(2, "write", token="t")),
    (
        "revoked",
        jsonrpc,
        request_line(3) + b'{"jsonrpc":"2.0","method":"revoke","params":{"id":3}}\n' + HEARTBEAT,
    ),
    ("two under one number", jsonrpc, request_line(4) + request_line(4, rid="x") + request_line(5, "none")),
    ("uwsgi request", uwsgi, uwsgi_request("read", tenant="", t0=str(NOW_MS), rid="r1")),
    ("uwsgi ping", uwsgi, HEAD.pack(PING, 0, 0)),
    ("uwsgi packet that lies", uwsgi, HEAD.pack(0, 6, 0) + b"\x04\x00ab\x09\x00"),
    ("uwsgi body too long", uwsgi, uwsgi_request("read", b"x" * 2049, tenant="")),
    ("agent", lambda: probes("agent"), b"lb1\nmore"),
    (
        "health, twice",
        lambda: probes("health"),
        b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\nHEAD /alive HTTP/1.0\n\n",
    ),
    ("health, no HTTP", lambda: probes("health"), b"GET /ready HTTP/1.1\r\nno colon\r\n\r\n"),
    ("kernel", kernel, NOTICES),
    ("kernel, spoilt", kernel, NOTICES[:300] + b'{"t":"REAP","no":4}\n' + NOTICES),
    ("database", database, REPLY),
    (
        "database, 1xx first",
        database,
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\n" + REPLY,
    ),
    ("database, turned away", database, b"HTTP/1.1 503 No\r\nNever-Started: 1\r\nContent-Length: 0\r\n\r\n"),
    ("database, noise", database, b"\x00\x01HTTP/1.1 200 OK\r\n\r\n"),
    ("database, 3 GB", database, b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * 40),
    (
        "database, two lengths",
        database,
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxy",
    ),
    ("uwsgi below", uwsgi_below, REPLY),
    (
        "uwsgi below, never ran",
        uwsgi_below,
        b"HTTP/1.1 503 N\r\nX-Moorusher-Never-Ran: 1\r\nContent-Length: 2\r\n\r\nab",
    ),
    ("announce", announce, b"HTTP/1.1 204 No Content\r\n\r\n"),
    ("announce, spoilt", announce, b"HTTP/1.1 2\xff4\r\n\r\n"),
    ("succession", succession, frame({"t": "KEY", "k": [None, "b"]}, b"\x00\n\xff" * 9) + frame({"t": "GO"})),
    ("succession, nonsense", succession, frame({"t": "KEY"})[:-1] + b"!" + frame({"t": "GO"})),
]


def feed(make: Callable[[], Fed], *parts: bytes) -> object:
    connection, outcome = make()
    for part in parts:
        connection.dataReceived(part)
    return outcome()


@pytest.mark.parametrize("make, sent", [c[1:] for c in CASES], ids=[c[0] for c in CASES])
def test_pieces_are_read_as_the_whole_is(make: Callable[[], Fed], sent: bytes) -> None:
    whole = feed(make, sent)
    for at in range(1, len(sent)):
        assert feed(make, sent[:at], sent[at:]) == whole, at
    assert feed(make, *(sent[i : i + 1] for i in range(len(sent)))) == whole


@pytest.mark.parametrize("make, sent", [c[1:] for c in CASES], ids=[c[0] for c in CASES])
def test_half_of_it_and_a_close_end_nothing_else(make: Callable[[], Fed], sent: bytes) -> None:
    for at in range(0, len(sent), 7):
        connection, _ = make()
        connection.dataReceived(sent[:at])
        connection.connectionLost(None)
