"""Tests of the console and of draining without sockets: all calls, malformed calls and limits."""

from __future__ import annotations

import json
from typing import Any

import pytest

from moorusher.frontends.console import Console
from moorusher.frontends.jsonrpc import JsonRpcFactory
from moorusher.frontends.uwsgi import UwsgiFactory
from moorusher.health.policy import HealthPolicy
from moorusher.health_reporting.reporter import Reporter
from moorusher.protocols.uwsgi_packets import HEAD, PING

from .test_core import EngineHarness
from .test_fronts import Transport, take_messages


class ConsoleHarness:
    """A core with its console and both frontends. Connections are in memory."""

    def __init__(self, kernel: bool = True, max_connections: int = 8) -> None:
        self.world = EngineHarness(kernel=kernel)
        self.core = self.world.core
        self.reporter = Reporter(self.core, HealthPolicy(), "n1")
        self.serving, self.transports = True, list[Transport]()
        self.console = Console(self.core, self.reporter, max_connections, lambda: self.serving)
        self.is_fit = lambda: self.reporter.is_fit
        self.jsonrpc = JsonRpcFactory(self.core, 10, self.is_fit)
        self.uwsgi = UwsgiFactory(self.core, 10, 2048, 60.0, self.is_fit)

    def connect(self, *sent: bytes, frontend: Any = None) -> tuple[Any, Transport]:
        factory: Any = frontend or self.console
        connection, transport = factory.buildProtocol(None), Transport()
        connection.makeConnection(transport)
        self.transports.append(transport)
        for part in sent:
            connection.dataReceived(part)
        self.world.turn()
        return connection, transport

    def call(self, method: str, path: str, *headers: str, body: bytes = b"") -> int:
        lines = [f"{method} {path} HTTP/1.1", "Host: x", *headers]
        _, transport = self.connect(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        assert transport.disconnecting or transport.half_closed, "the connection stays open after its call"
        assert transport.value().count(b"HTTP/1.1 ") == 1
        return int(transport.value().split(b" ", 2)[1])

    def health(self) -> int:
        return self.call("GET", "/admin/health")

    def health_answers(self) -> set[bool]:
        """Return the distinct answers of all kinds of health checks."""
        _, heartbeat = self.connect(b'{"jsonrpc":"2.0","id":1,"method":"heartbeat"}\n', frontend=self.jsonrpc)
        _, ping = self.connect(HEAD.pack(PING, 0, 0), frontend=self.uwsgi)
        return {
            self.health() == 200,
            take_messages(heartbeat)[0]["result"]["fit"],
            ping.value() != b"",
            self.reporter.report().routable,
        }


def test_each_call_is_answered_and_all_health_answers_change_in_the_turn_of_the_quiesce() -> None:
    harness = ConsoleHarness()
    assert harness.health_answers() == {True}
    assert harness.call("POST", "/admin/quiesce") == 200
    assert harness.call("POST", "/admin/quiesce", "Content-Length: 2", body=b"{}") == 200
    assert harness.health_answers() == {False}
    harness.world.submit("a", 1)  # Requests that still arrive are served as usual.
    harness.world.turn()
    assert harness.world.runs() == ["a"]
    harness.world.wait(5000)
    assert harness.health_answers() == {False}
    assert harness.call("POST", "/admin/resume") == 200
    assert harness.health_answers() == {True}
    assert harness.call("POST", "/admin/resume") == 200  # A resume without a quiesce does nothing.


def test_a_quiesce_remains_in_effect_after_a_maintenance_expires_and_the_kernel_boots() -> None:
    harness = ConsoleHarness(kernel=False)
    harness.reporter.set_maintenance("disk", 1.0)
    assert harness.call("POST", "/admin/quiesce") == 200
    harness.core.kernel_up(False, 0)
    harness.world.wait(2000)
    assert harness.health_answers() == {False}
    assert harness.call("POST", "/admin/resume") == 200 and harness.health_answers() == {True}


def test_a_draining_runner_can_not_be_resumed() -> None:
    harness = ConsoleHarness()
    harness.call("POST", "/admin/quiesce")
    harness.core.drain(4000)
    harness.world.turn()
    assert [harness.call("POST", "/admin/quiesce"), harness.call("POST", "/admin/resume")] == [200, 409]
    assert harness.health_answers() == {False}


def test_health_is_ok_only_if_the_kernel_is_up_and_clients_are_accepted() -> None:
    harness = ConsoleHarness(kernel=False)
    assert harness.health() == 503
    harness.core.kernel_up(False, 0)
    harness.world.turn()
    assert harness.health() == 200
    harness.serving = False
    assert harness.health() == 503


@pytest.mark.parametrize(
    "sent, code",
    [
        (b"GET /admin/other HTTP/1.1\r\n\r\n", 404),
        (b"GET / HTTP/1.1\r\n\r\n", 404),
        (b"POST /admin/health HTTP/1.1\r\n\r\n", 405),
        (b"GET /admin/quiesce HTTP/1.1\r\n\r\n", 405),
        (b"GET /admin/health\r\n\r\n", 400),
        (b"\x16\x03\x01\n\n", 400),
        (b"GET /admin/health HTTP/1.1\r\nnocolon\r\n\r\n", 400),
        (b"POST /admin/quiesce HTTP/1.1\r\nContent-Length: x\r\n\r\n", 400),
        (b"POST /admin/quiesce HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400),
        (b"POST /admin/quiesce HTTP/1.1\r\nContent-Length: 99999999999999\r\n\r\n", 413),
        (b"POST /admin/quiesce HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", 413),
        (b"GET /" + b"x" * 5000, 431),
        (b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * 2000, 431),
        (b"GET /admin/health HTTP/1.1\r\nHost: x\r\n\r\n", 200),
        (b"HEAD /admin/health HTTP/1.0\n\n", 200),
        (b"POST /admin/resume HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", 200),
    ],
)
def test_a_call_in_two_segments_gets_the_same_answer_wherever_it_is_split(sent: bytes, code: int) -> None:
    step = max(1, len(sent) // 60)
    for at in range(0, len(sent) + 1, step):
        harness = ConsoleHarness()
        connection, transport = harness.connect(sent[:at], sent[at:])
        assert int(transport.value().split(b" ", 2)[1]) == code
        # Only one call per connection is answered.
        connection.dataReceived(b"GET /admin/health HTTP/1.1\r\n\r\n" * 3)
        assert transport.value().count(b"HTTP/1.1 ") == 1
        assert harness.reporter.is_in_rotation


def test_a_405_reply_names_the_allowed_method() -> None:
    _, transport = ConsoleHarness().connect(b"GET /admin/resume HTTP/1.1\r\n\r\n")
    assert b"\r\nAllow: POST\r\n" in transport.value()


@pytest.mark.parametrize(
    "incomplete_call",
    [
        b"",
        b"G",
        b"GET /admin/health HTTP/1.1\r\n",
        b"POST /admin/quiesce HTTP/1.1\r\nContent-Length: 9\r\n\r\n{",
    ],
)
def test_an_incomplete_call_gets_408_and_is_closed_well_within_a_second(incomplete_call: bytes) -> None:
    harness = ConsoleHarness()
    connection, transport = harness.connect(incomplete_call)
    for _ in range(4):
        harness.world.wait(100)
        connection.dataReceived(b"")  # The timeout starts at the accept, not at the last event.
        assert not transport.value()
    harness.world.wait(150)
    assert transport.value().startswith(b"HTTP/1.1 408 ") and transport.disconnecting
    assert harness.reporter.is_in_rotation


def test_a_hundred_silent_callers_neither_block_a_call_nor_exceed_the_connection_limit() -> None:
    harness = ConsoleHarness(max_connections=8)
    for _ in range(100):
        silent = harness.connect()[1]
        assert sum(not t.disconnecting for t in harness.transports) <= 8
    assert harness.health() == 200
    harness.world.wait(600)
    assert silent.value().startswith(b"HTTP/1.1 408 ")


def test_the_health_answer_describes_the_state_of_the_runner() -> None:
    harness = ConsoleHarness()
    harness.call("POST", "/admin/quiesce")
    _, transport = harness.connect(b"GET /admin/health HTTP/1.1\r\n\r\n")
    assert json.loads(transport.value().split(b"\r\n\r\n")[1]) == {
        "ready": False,
        "kernel": True,
        "leaving": False,
        "replaced": False,
        "quiesced": "quiesced by an operator",
    }
