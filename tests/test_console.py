"""The operators' second address and the drain: each call, each malformed one, each bound, without sockets."""

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


class Operated:
    """A core with its console and both fronts, and connections made by hand."""

    def __init__(self, kernel: bool = True, most: int = 8) -> None:
        self.world = EngineHarness(kernel=kernel)
        self.core = self.world.core
        self.reporter = Reporter(self.core, HealthPolicy(), "n1")
        self.serving, self.transports = True, list[Transport]()
        self.console = Console(self.core, self.reporter, most, lambda: self.serving)
        self.fit = lambda: self.reporter.is_fit
        self.front = JsonRpcFactory(self.core, 10, self.fit)
        self.uwsgi = UwsgiFactory(self.core, 10, 2048, 60.0, self.fit)

    def connect(self, *sent: bytes, front: Any = None) -> tuple[Any, Transport]:
        factory: Any = front or self.console
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
        assert transport.disconnecting or transport.half_closed, "one call a connection"
        assert transport.value().count(b"HTTP/1.1 ") == 1
        return int(transport.value().split(b" ", 2)[1])

    def health(self) -> int:
        return self.call("GET", "/admin/health")

    def told(self) -> set[bool]:
        """What every health answer says."""
        _, heard = self.connect(b'{"jsonrpc":"2.0","id":1,"method":"heartbeat"}\n', front=self.front)
        _, ping = self.connect(HEAD.pack(PING, 0, 0), front=self.uwsgi)
        return {
            self.health() == 200,
            take_messages(heard)[0]["result"]["fit"],
            ping.value() != b"",
            self.reporter.report().routable,
        }


def test_each_call_has_its_answer_and_all_health_answers_follow_the_drain_in_the_same_turn() -> None:
    o = Operated()
    assert o.told() == {True}
    assert o.call("POST", "/admin/quiesce") == 200
    assert o.call("POST", "/admin/quiesce", "Content-Length: 2", body=b"{}") == 200
    assert o.told() == {False}
    o.world.submit("a", 1)  # what still comes is served as always
    o.world.turn()
    assert o.world.runs() == ["a"]
    o.world.wait(5000)
    assert o.told() == {False}
    assert o.call("POST", "/admin/resume") == 200
    assert o.told() == {True}
    assert o.call("POST", "/admin/resume") == 200  # not drained: nothing to do


def test_a_drain_outlasts_a_maintenance_that_ends_by_itself_and_a_kernel_that_comes_up() -> None:
    o = Operated(kernel=False)
    o.reporter.set_maintenance("disk", 1.0)
    assert o.call("POST", "/admin/quiesce") == 200
    o.core.kernel_up(False, 0)
    o.world.wait(2000)
    assert o.told() == {False}
    assert o.call("POST", "/admin/resume") == 200 and o.told() == {True}


def test_a_runner_that_leaves_is_not_taken_back() -> None:
    o = Operated()
    o.call("POST", "/admin/quiesce")
    o.core.drain(4000)
    o.world.turn()
    assert [o.call("POST", "/admin/quiesce"), o.call("POST", "/admin/resume")] == [200, 409]
    assert o.told() == {False}


def test_health_is_yes_only_when_all_that_serving_needs_is_there() -> None:
    o = Operated(kernel=False)
    assert o.health() == 503
    o.core.kernel_up(False, 0)
    o.world.turn()
    assert o.health() == 200
    o.serving = False
    assert o.health() == 503


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
def test_a_call_cut_anywhere_gets_the_answer_that_it_gets_whole(sent: bytes, code: int) -> None:
    step = max(1, len(sent) // 60)
    for at in range(0, len(sent) + 1, step):
        o = Operated()
        connection, transport = o.connect(sent[:at], sent[at:])
        assert int(transport.value().split(b" ", 2)[1]) == code
        connection.dataReceived(b"GET /admin/health HTTP/1.1\r\n\r\n" * 3)  # one call a connection
        assert transport.value().count(b"HTTP/1.1 ") == 1
        assert o.reporter.is_in_rotation


def test_405_says_what_is_allowed() -> None:
    _, transport = Operated().connect(b"GET /admin/resume HTTP/1.1\r\n\r\n")
    assert b"\r\nAllow: POST\r\n" in transport.value()


@pytest.mark.parametrize(
    "half",
    [
        b"",
        b"G",
        b"GET /admin/health HTTP/1.1\r\n",
        b"POST /admin/quiesce HTTP/1.1\r\nContent-Length: 9\r\n\r\n{",
    ],
)
def test_a_silent_or_half_call_gets_408_and_a_close_well_within_a_second(half: bytes) -> None:
    o = Operated()
    connection, transport = o.connect(half)
    for _ in range(4):
        o.world.wait(100)
        connection.dataReceived(b"")  # nothing more: the time counts from the accept
        assert not transport.value()
    o.world.wait(150)
    assert transport.value().startswith(b"HTTP/1.1 408 ") and transport.disconnecting
    assert o.reporter.is_in_rotation


def test_a_hundred_silent_callers_neither_keep_a_call_from_its_answer_nor_hold_places() -> None:
    o = Operated(most=8)
    for _ in range(100):
        silent = o.connect()[1]
        assert sum(not t.disconnecting for t in o.transports) <= 8
    assert o.health() == 200
    o.world.wait(600)
    assert silent.value().startswith(b"HTTP/1.1 408 ")


def test_the_answer_says_how_things_stand() -> None:
    o = Operated()
    o.call("POST", "/admin/quiesce")
    _, transport = o.connect(b"GET /admin/health HTTP/1.1\r\n\r\n")
    assert json.loads(transport.value().split(b"\r\n\r\n")[1]) == {
        "ready": False,
        "kernel": True,
        "leaving": False,
        "replaced": False,
        "quiesced": "quiesced by an operator",
    }
